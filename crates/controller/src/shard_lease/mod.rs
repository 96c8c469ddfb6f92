//! Shard leases: they entitle one controller to extend the worker leases of a zone while the leader
//! cannot.
//!
//! The shard of a zone consists of all machines in the zone. The leader leases it to a controller
//! in that zone, the lessee; the shards of its own zone and of zones without a controller it leases
//! to itself. While the leader is reachable, the lessee redirects workers to it. The leader can
//! become unreachable because the zone is partitioned, or because its leadership lease has expired
//! while the store is unavailable. After a timeout, the lessee then answers the heartbeats of
//! the workers of its shard itself, with the higher one of the fencing token that the worker
//! reports and that of the term of the shard lease. This extends the worker leases, so that tasks
//! continue. The lessee starts no task and stops only tasks of durably finished jobs. It no longer
//! answers workers once its shard lease has expired.
//!
//! No leader may assume that a task has ended while a lessee may have extended the lease of its
//! worker. [`ShardLessor`] computes how long that may be from what lessees report in each renewal
//! and, for silent lessees, from the latest expiry of their leases. docs/safety.md has the proof.
//!
//! All times are readings of the monotonic clock of the controller that uses them; only the
//! messages between controllers carry plain milliseconds.

mod lessee;
mod lessor;
mod messages;

pub use lessee::{ShardLessee, WorkerLeaseExtension, leader_timeout};
pub use lessor::{ShardLessor, UNKNOWN_ZONE};
pub use messages::{ShardLease, ShardLeaseAcknowledgement, ShardLeaseRenewal};

#[cfg(test)]
mod tests;
