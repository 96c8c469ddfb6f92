//! Every tuning constant of hookway, by concern, each with its unit and the reason for its value.
//!
//! Nothing here describes a particular deployment: what depends on one is derived from its settings and from the
//! cloud's list of machine types. All constants are exported at the root of the crate.

mod api;
mod cloud;
mod failures;
mod leadership;
mod preemption;
mod replication;
mod scheduling;
mod shards;
mod store;
mod workers;

pub use api::*;
pub use cloud::*;
pub use failures::*;
pub use leadership::*;
pub use preemption::*;
pub use replication::*;
pub use scheduling::*;
pub use shards::*;
pub use store::*;
pub use workers::*;
