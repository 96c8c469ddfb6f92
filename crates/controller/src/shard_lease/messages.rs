//! The messages by which a shard lease is renewed. Their fields have fixed positions in frames.

use serde::{Deserialize, Serialize};

/// A controller requests its shard, and states how it used the lease so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaseRenewal {
    /// The name of the requesting controller.
    pub controller: String,
    /// Distinguishes this process from earlier ones of the same name.
    pub process_nonce: u64,
    /// How long this process has been running, ms.
    pub uptime_ms: u64,
    /// The last lease that it received; it had dropped leases of other terms by then.
    pub acknowledged: Option<ShardLeaseAcknowledgement>,
    /// How long ago it last extended a worker lease, ms; `None`: never in this process.
    pub extended_ago_ms: Option<u64>,
}

/// The lease that a renewal acknowledges. In frames it is two integers, the term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaseAcknowledgement {
    /// The term of the leader that granted it.
    pub term: u64,
    /// The leader's time of the grant, ms: see [`ShardLease::granted_at_ms`].
    pub granted_at_ms: u64,
}

/// The leader's response to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// The leader's term.
    pub term: u64,
    /// The leader's monotonic clock, ms. The next renewal returns it, which proves that it was sent
    /// after this moment.
    pub granted_at_ms: u64,
    /// The zones whose machines are in the shard.
    pub zones: Vec<String>,
    /// Length of the lease, ms, from when the renewal was sent; 0: no lease.
    pub lease_ms: u64,
}
