//! The controller of hookway: the part that every node runs, as a library.
//!
//! [`ClusterState`] is the leader's picture of jobs and machines. It does no I/O and reads no clock, so a
//! test can play any sequence of events to it. Around it stand the actors: leadership, the node that
//! owns the ledger while it leads, the user and worker interface, and the link to the other nodes.

pub mod api_service;
mod circuit_breaker;
pub mod cluster_state;
pub mod concurrency_limiter;
pub mod connection_table;
pub mod controller_actor;
pub mod frame;
pub mod http;
pub mod leadership;
pub mod networks;
pub mod peers;
pub mod records;
pub mod request_outcome;
pub mod run;
pub mod settings;
pub mod shard_lease;
pub mod standby;

pub use cluster_state::ClusterState;
pub use run::{StartError, run};
pub use settings::{ConfigError, OperatorSettings, Settings};
