//! The state machine of a failover.
//!
//! A controller becomes active only after it was elected for a later term than all known ones and has read all
//! records since that election.

use crate::metrics::{CompletedFailover, FailoverMetrics};
use hookway_constants as constants;
use hookway_time::MonotonicTime;

/// Phase of a controller on its way from standby to leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverPhase {
    /// The controller follows the leader, or does not know one yet.
    Following,
    /// The leader has been silent for unusually long. The only consequence is a read of the leadership record.
    Suspecting,
    /// The leader's lease has expired in the store, and before that on the leader's own clock, so the leader's term has
    /// ended. A new leader has to be elected.
    Fencing,
    /// The controller is elected for this term, whose fencing token is higher than all earlier ones. It reads the
    /// records of earlier leaders; the read began after the election.
    CatchingUp(u64),
    /// The controller is the leader of this term and dispatches tasks.
    Active(u64),
}

/// An event that may change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverEvent {
    /// The leader responded to a replication request.
    LeaderResponded,
    /// The failure detector suspects the leader.
    LeaderSilent,
    /// According to the store there is no leader.
    LeaseExpired,
    /// According to the store another controller is the leader.
    OtherLeader,
    /// The store has recorded this controller as the leader of a term.
    Elected {
        /// Term of the election; it must be later than every known term.
        term: u64,
    },
    /// All records in the store were read.
    RecordsRead {
        /// Term in which the read of the records began.
        term: u64,
    },
    /// A task start was dispatched. Only the first one after a failover has an effect.
    Dispatched,
    /// This controller is no longer the leader.
    Deposed,
}

/// Why an event was rejected. The phase is then unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The term of an election is not later than the latest known term.
    #[error("term {found} does not come after term {known}")]
    OldTerm {
        /// Term of the election.
        found: u64,
        /// Latest term that this controller was elected for or has observed.
        known: u64,
    },
    /// The read of the records began in this term, but the controller is not catching up in it.
    #[error("records read in term {0}, of which this controller is not the elected leader")]
    OldRecords(u64),
}

/// What the caller has to do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverAction {
    /// Nothing.
    None,
    /// Read the leadership record in the store now.
    ReadLeader,
    /// Read the records of earlier leaders in the store.
    ReadRecords,
    /// Start to act as the leader: the controller may dispatch tasks.
    Lead,
    /// Stop acting as the leader.
    Stop,
}

/// The state machine of a failover to this controller.
#[derive(Debug)]
pub struct Promotion {
    phase: FailoverPhase,
    /// Latest term that this controller was elected for or has observed.
    term: u64,
    times: FailoverTimes,
    metrics: FailoverMetrics,
}

/// Times of the failover in progress, from which its metrics are computed.
#[derive(Debug, Default)]
struct FailoverTimes {
    /// Time of the last response of the leader that this controller follows or followed last; kept when the controller
    /// returns to following.
    leader_responded_at: Option<MonotonicTime>,
    /// Time of the last read of the leadership record because of a suspicion.
    leadership_read_at: Option<MonotonicTime>,
    lease_expired_at: Option<MonotonicTime>,
    elected_at: Option<MonotonicTime>,
    records_read_at: Option<MonotonicTime>,
}

impl Default for Promotion {
    fn default() -> Self {
        Self {
            phase: FailoverPhase::Following,
            term: 0,
            times: FailoverTimes::default(),
            metrics: FailoverMetrics::default(),
        }
    }
}

impl Promotion {
    /// Returns the current phase.
    pub fn phase(&self) -> FailoverPhase {
        self.phase
    }

    /// Whether the controller may dispatch tasks as the leader of `term`.
    pub fn may_dispatch(&self, term: u64) -> bool {
        self.phase == FailoverPhase::Active(term)
    }

    /// Returns the durations of the completed failovers to this controller.
    pub fn metrics(&self) -> &FailoverMetrics {
        &self.metrics
    }

    /// Records the term of another leader. This controller can then be elected for later terms only.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Applies an event that occurred at `now`, and returns what the caller has to do. Most events have no effect in
    /// phases that they do not apply to.
    ///
    /// # Errors
    ///
    /// A [`TransitionError`] if the term of the event does not permit the transition.
    pub fn apply_event(
        &mut self,
        event: FailoverEvent,
        now: MonotonicTime,
    ) -> Result<FailoverAction, TransitionError> {
        let action = match event {
            FailoverEvent::LeaderResponded => self.leader_responded(now),
            FailoverEvent::LeaderSilent => self.leader_silent(now),
            FailoverEvent::LeaseExpired => self.lease_expired(now),
            FailoverEvent::OtherLeader => self.other_leader(),
            FailoverEvent::Elected { term } => self.elected(term, now)?,
            FailoverEvent::RecordsRead { term } => self.records_read(term, now)?,
            FailoverEvent::Dispatched => self.dispatched(now),
            FailoverEvent::Deposed => self.deposed(),
        };
        Ok(action)
    }

    fn leader_responded(&mut self, now: MonotonicTime) -> FailoverAction {
        self.times.leader_responded_at = Some(now);
        if self.phase == FailoverPhase::Suspecting {
            self.return_to_following();
        }
        FailoverAction::None
    }

    fn leader_silent(&mut self, now: MonotonicTime) -> FailoverAction {
        let should_read_leader = match self.phase {
            FailoverPhase::Following => true,
            FailoverPhase::Suspecting => self.can_read_leader_again(now),
            FailoverPhase::Fencing | FailoverPhase::CatchingUp(_) | FailoverPhase::Active(_) => {
                false
            }
        };
        if !should_read_leader {
            return FailoverAction::None;
        }
        self.phase = FailoverPhase::Suspecting;
        self.times.leadership_read_at = Some(now);
        FailoverAction::ReadLeader
    }

    /// Whether enough time has passed since the last read of the leadership record for another one. Repeated reads are
    /// needed because an earlier read may have preceded the expiry of the lease.
    fn can_read_leader_again(&self, now: MonotonicTime) -> bool {
        let has_interval_passed = |last_read| now >= last_read + constants::LEADER_CHECK_INTERVAL;
        self.times.leadership_read_at.is_none_or(has_interval_passed)
    }

    fn lease_expired(&mut self, now: MonotonicTime) -> FailoverAction {
        if matches!(self.phase, FailoverPhase::Following | FailoverPhase::Suspecting) {
            self.phase = FailoverPhase::Fencing;
            self.times.lease_expired_at = Some(now);
        }
        FailoverAction::None
    }

    fn other_leader(&mut self) -> FailoverAction {
        if matches!(self.phase, FailoverPhase::Suspecting | FailoverPhase::Fencing) {
            self.return_to_following();
        }
        FailoverAction::None
    }

    fn return_to_following(&mut self) {
        self.phase = FailoverPhase::Following;
        let leader_responded_at = self.times.leader_responded_at;
        self.times = FailoverTimes { leader_responded_at, ..FailoverTimes::default() };
    }

    fn elected(
        &mut self,
        term: u64,
        now: MonotonicTime,
    ) -> Result<FailoverAction, TransitionError> {
        if term <= self.term {
            return Err(TransitionError::OldTerm { found: term, known: self.term });
        }
        self.term = term;
        self.phase = FailoverPhase::CatchingUp(term);
        self.times.elected_at = Some(now);
        Ok(FailoverAction::ReadRecords)
    }

    fn records_read(
        &mut self,
        term: u64,
        now: MonotonicTime,
    ) -> Result<FailoverAction, TransitionError> {
        if self.phase != FailoverPhase::CatchingUp(term) {
            return Err(TransitionError::OldRecords(term));
        }
        self.phase = FailoverPhase::Active(term);
        self.times.records_read_at = Some(now);
        Ok(FailoverAction::Lead)
    }

    fn deposed(&mut self) -> FailoverAction {
        let was_elected =
            matches!(self.phase, FailoverPhase::CatchingUp(_) | FailoverPhase::Active(_));
        self.return_to_following();
        if was_elected { FailoverAction::Stop } else { FailoverAction::None }
    }

    /// Completes the failover with the first dispatch. Later dispatches have no effect, because the times of the
    /// failover have been reset.
    fn dispatched(&mut self, now: MonotonicTime) -> FailoverAction {
        if let Some(failover) = self.failover_completed_at(now) {
            self.metrics.record(&failover);
            self.times = FailoverTimes::default();
        }
        FailoverAction::None
    }

    /// Returns the times of the failover if a dispatch at `now` completes it.
    fn failover_completed_at(&self, now: MonotonicTime) -> Option<CompletedFailover> {
        let FailoverPhase::Active(_) = self.phase else { return None };
        Some(CompletedFailover {
            leader_responded_at: self.times.leader_responded_at,
            lease_expired_at: self.times.lease_expired_at,
            elected_at: self.times.elected_at?,
            records_read_at: self.times.records_read_at?,
            dispatched_at: now,
        })
    }
}
