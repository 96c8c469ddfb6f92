//! The messages that renew a shard lease. Frames encode their fields by position, so the order of
//! the fields is part of the protocol.

use serde::{Deserialize, Serialize};

/// A controller's request for its shard, with a report of how it has used its shard leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaseRenewal {
    /// The name of the requesting controller.
    pub controller: String,
    /// Distinguishes the requesting process from earlier processes of the same controller.
    pub process_nonce: u64,
    /// How long the requesting process has been running, ms.
    pub uptime_ms: u64,
    /// The last lease that the process received, even one of length 0; it had dropped its leases of
    /// other terms by then. `None` if it received none since it started or last led.
    pub acknowledged: Option<ShardLeaseAcknowledgement>,
    /// How long before this renewal the process last extended a worker lease, ms; `None` if it
    /// never did.
    pub extended_ago_ms: Option<u64>,
}

/// Identifies the lease that a renewal acknowledges. Frames encode it as two integers, the term
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaseAcknowledgement {
    /// The term of the leader that granted the lease.
    pub term: u64,
    /// The time of the grant on the leader's clock, ms; see [`ShardLease::granted_at_ms`].
    pub granted_at_ms: u64,
}

/// The leader's response to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// The term of the responding leader.
    pub term: u64,
    /// The time of the response on the leader's monotonic clock, ms. The next renewal returns it,
    /// which proves that that renewal was sent after this time.
    pub granted_at_ms: u64,
    /// The zones whose machines are in the shard; empty if no lease was granted.
    pub zones: Vec<String>,
    /// The length of the lease, ms, from when the lessee sent the renewal; 0 if no lease was
    /// granted.
    pub lease_ms: u64,
}
