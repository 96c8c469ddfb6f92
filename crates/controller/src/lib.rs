//! The controller of hookway: the part that every node runs, as a library.
//!
//! [`ClusterState`] is the leader's picture of jobs and machines. It does no I/O and reads no clock, so a
//! test can play any sequence of events to it. Around it stand the actors: leadership, the node that
//! owns the ledger while it leads, the user and worker interface, and the link to the other nodes.

pub mod answers;
pub mod api;
pub mod blocks;
pub mod config;
pub mod door;
pub mod frame;
pub mod holders;
pub mod http;
pub mod lead;
pub mod ledger;
pub mod limiter;
pub mod networks;
pub mod node;
pub mod peers;
pub mod records;
pub mod run;
mod silence;
pub mod standby;

pub use config::{ConfigError, OperatorSettings, Settings};
pub use ledger::ClusterState;
pub use run::{StartError, run};
