//! The constants of hookway: time limits, intervals, bounds, shares and weights, in one module per area.
//!
//! The comment or the type of a constant gives its unit. No constant describes a particular deployment: values that
//! depend on one are derived from its settings and from the machine types that the cloud offers. All constants are
//! exported at the root of the crate.

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
