//! Shard leases: which controller may extend the worker leases of a zone while the leader cannot.
//!
//! The leader leases the shard of a zone, which is all its machines, to a controller in that zone.
//! While the leader is reachable, the lessee redirects workers to it. When the leader has been
//! unreachable for a while (the zone is partitioned, or the leader has no leadership lease because
//! the state service is unavailable), the lessee answers the heartbeats of its shard with the
//! fencing token that the worker reports: worker leases are extended and tasks continue, nothing is
//! started, and only tasks of durably finished jobs are stopped. It stops when its shard lease
//! expires.
//!
//! No leader may assume that a task has ended while a lessee may have extended the lease of its
//! worker. [`ShardLessor`] computes this from what lessees state in each renewal and, for silent
//! ones, from the latest expiry of their leases. docs/safety.md has the proof.
//!
//! All times are of the monotonic clock of the controller that uses them; only the messages between
//! controllers carry plain milliseconds.

mod lessee;
mod lessor;
mod messages;

pub use lessee::{ShardLessee, WorkerLeaseExtension, leader_timeout};
pub use lessor::{ShardLessor, UNKNOWN_ZONE};
pub use messages::{ShardLease, ShardLeaseAcknowledgement, ShardLeaseRenewal};

#[cfg(test)]
mod tests;
