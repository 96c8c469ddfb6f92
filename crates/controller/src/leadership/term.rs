//! A term of leadership, and what a controller knows about the current leader.

use super::campaign::StoredWatermarks;
use hookway_wire::Precondition;

/// A term that this controller won.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The number of the term, which is its first fencing token too.
    pub term: u64,
    /// The precondition of every durable write of this term: the leader key is unchanged.
    pub precondition: Precondition,
    /// The id of the lease that the leader key is attached to.
    pub lease_id: u64,
    /// The start watermarks of jobs that the leaders before recorded.
    pub stored_watermarks: StoredWatermarks,
}

/// What this controller knows about the current leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeadershipView {
    /// The name of the leader that was seen last.
    pub leader: Option<String>,
    /// The leader's term; `None` while the state service records no leader.
    pub leader_term: Option<u64>,
    /// The term of this controller; `None` while it does not lead.
    pub own_term: Option<LeaderTerm>,
}
