//! A term won by this controller, and a controller's view of the current leader.

use super::campaign::WatermarkCompleteness;
use super::leader_key::LeaderKey;
use hookway_wire::Precondition;

/// A term for which this controller was elected, as one answer of the store proves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    key: LeaderKey,
    watermark_completeness: WatermarkCompleteness,
}

impl LeaderTerm {
    /// Creates the term of a leader key that an election of this process wrote.
    pub(super) fn new(key: LeaderKey, watermark_completeness: WatermarkCompleteness) -> Self {
        Self { key, watermark_completeness }
    }

    /// Returns the number of the term, which is also its first fencing token.
    pub fn term(&self) -> u64 {
        self.key.record().term
    }

    /// Returns the precondition of every durable write of this term: the leader key has not changed
    /// since the election.
    pub fn precondition(&self) -> Precondition {
        self.key.unchanged()
    }

    /// Returns the id, in the store, of the lease that the leader key is attached to.
    pub fn lease_id(&self) -> u64 {
        self.key.lease_id()
    }

    /// Returns whether the start watermarks of earlier terms were complete when this term began.
    pub fn watermark_completeness(&self) -> WatermarkCompleteness {
        self.watermark_completeness
    }
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
