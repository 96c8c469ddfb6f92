//! Shard leases, and the margin that keeps them within the time limit of a cancellation.

use std::time::Duration;

/// Default length of a shard lease from the leader to another controller. The tasks in a partitioned zone continue for
/// this long plus the lease of their worker, and partitions last about a minute.
pub const DEFAULT_SHARD_LEASE: Duration = Duration::from_millis(30_000);
/// Interval between renewals of a shard lease. Delays the proof that a worker's lease has expired by up to this time.
pub const SHARD_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// A shard lease followed by a worker lease must expire at least this long before the time limit of a cancellation.
/// Covers clock drift and a slightly late worker.
pub const CANCEL_MARGIN: Duration = Duration::from_millis(1_000);
