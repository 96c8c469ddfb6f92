//! Shard leases and the bound on cancellations.

use std::time::Duration;

/// Length of a shard lease from the leader to another controller. The tasks in a partitioned zone
/// run on for this long plus the lease of their worker, and partitions last about a minute.
pub const SHARD_LEASE: Duration = Duration::from_millis(30_000);
/// Interval between renewals of a shard lease. Delays the proof of a lease expiry by as much.
pub const SHARD_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// A shard lease followed by a worker lease must expire this long before the time for a
/// cancellation is over: covers clock drift and a slightly late worker.
pub const CANCEL_MARGIN: Duration = Duration::from_millis(1_000);
