//! A term won by this controller, and a controller's view of the current leader.

use super::campaign::WatermarkCompleteness;
use hookway_wire::Precondition;

/// A term for which this controller was elected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The number of the term, which is also its first fencing token.
    pub term: u64,
    /// The precondition of every durable write of this term: the leader key has not changed since
    /// the election.
    pub precondition: Precondition,
    /// The id, in the store, of the lease that the leader key is attached to.
    pub lease_id: u64,
    /// Whether the start watermarks of earlier terms were complete when this term began.
    pub watermark_completeness: WatermarkCompleteness,
}

/// What this controller knows about the current leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeadershipView {
    /// The name of the last known leader, which may have lost its term since. `None` if no leader
    /// has been found since this process started, or since the last term that it led.
    pub leader: Option<String>,
    /// The leader's term; `None` while the store has no leader record.
    pub leader_term: Option<u64>,
    /// The term that this controller leads; `None` while it does not lead.
    pub own_term: Option<LeaderTerm>,
}
