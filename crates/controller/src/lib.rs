//! The controller of hookway as a library.
//!
//! [`ClusterState`] is the leader's model of jobs and machines. It does no I/O and reads no clock,
//! so a test can apply any sequence of events to it. The actors and services of a controller
//! surround it: the election of the leader (`leadership`), the actor that owns the cluster state
//! while the controller leads (`actor`), the API for users and workers (`api`, `http`), the
//! protocol between controllers (`peers`, `leader_sync`), the standby's copy of the leader's state
//! (`standby`), and the leases of controllers that answer workers while the leader is unreachable
//! (`shard_lease`).

pub mod actor;
pub mod api;
mod circuit_breaker;
mod clock_drift;
pub mod cluster_state;
pub mod concurrency_limiter;
pub mod connection_table;
pub mod final_state_cache;
pub mod frame;
pub mod http;
pub mod leader_sync;
pub mod leadership;
pub mod networks;
pub mod peer_job_status;
pub mod peers;
pub mod proven_status;
pub mod records;
pub mod request_outcome;
pub mod run;
pub mod settings;
pub mod shard_lease;
pub mod standby;
pub mod status_relay;
pub mod unanswered_jobs;

pub use cluster_state::ClusterState;
pub use run::{StartError, run};
pub use settings::{ConfigError, OperatorSettings, Settings};
