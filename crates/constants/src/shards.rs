//! Shard leases and the bound on cancellations.

/// Length of a shard lease from the leader to another controller, ms. The design starts with 15 s;
/// a worker in a partitioned zone lives for this long plus its own lease, and partitions last a
/// minute.
pub const SHARD_LEASE_MS: u64 = 30_000;
/// Interval between renewals of a shard lease, ms. Delays the proof of a lease expiry by as much.
pub const SHARD_LEASE_RENEWAL_INTERVAL_MS: u64 = 1_000;
/// A shard lease followed by a worker lease must expire this long before the time for a
/// cancellation is over, ms: covers clock drift and a slightly late worker.
pub const CANCEL_MARGIN_MS: f64 = 1_000.0;
