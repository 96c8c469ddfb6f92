//! The state machine of a failover. Each transition needs its proof, and no phase can be skipped.

use crate::metrics::{CompletedFailover, FailoverMetrics};
use hookway_constants as constants;
use hookway_time::MonotonicTime;

/// Phase of a controller between standby and leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It follows the leader, or waits for one.
    Following,
    /// The leader is silent for unusually long. The only consequence is a read of the leadership record.
    Suspecting,
    /// The leader's lease has expired in the state service, and earlier on the leader's own clock: its term has
    /// ended. A new leader has to be elected.
    Fencing,
    /// Elected for this term, whose fencing token is higher than all earlier ones. The records of earlier leaders
    /// are being read; the read began after the election.
    CatchingUp(u64),
    /// It is the leader of this term and dispatches tasks.
    Active(u64),
}

/// An event that may change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The leader responded to a request.
    LeaderResponded,
    /// The leader is silent for unusually long.
    LeaderSilent,
    /// According to the state service there is no leader.
    LeaseExpired,
    /// According to the state service another controller is the leader.
    OtherLeader,
    /// The state service has recorded this controller as the leader of a term.
    Elected {
        /// The term.
        term: u64,
    },
    /// All records were read.
    RecordsRead {
        /// Term in which the read began.
        term: u64,
    },
    /// A task start was dispatched. Only the first one of a term counts.
    Dispatched,
    /// This controller has lost the leadership.
    Deposed,
}

/// Why a transition is not allowed. The phase is then unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The term is not later than the latest known one.
    #[error("term {found} does not come after term {known}")]
    OldTerm {
        /// Term of the event.
        found: u64,
        /// Latest known term.
        known: u64,
    },
    /// The read of the records began in a term of which this controller is not the elected leader.
    #[error("records read in term {0}, of which this controller is not the elected leader")]
    OldRecords(u64),
}

/// What the caller has to do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    None,
    /// Read the leadership record in the state service now.
    ReadLeader,
    /// Read the records of earlier leaders.
    ReadRecords,
    /// Start to act as the leader.
    Lead,
    /// Stop acting as the leader.
    Stop,
}

/// The state machine of a failover.
#[derive(Debug)]
pub struct Promotion {
    phase: Phase,
    /// Latest term that this controller was elected for or has observed.
    term: u64,
    times: FailoverTimes,
    metrics: FailoverMetrics,
}

/// Times of the failover in progress, for its metrics.
#[derive(Debug, Default)]
struct FailoverTimes {
    /// Time of the leader's last response.
    leader_responded_at: Option<MonotonicTime>,
    /// When the suspicion last led to a read of the leadership record.
    suspected_at: Option<MonotonicTime>,
    lease_expired_at: Option<MonotonicTime>,
    elected_at: Option<MonotonicTime>,
    records_read_at: Option<MonotonicTime>,
}

impl Default for Promotion {
    fn default() -> Self {
        Self {
            phase: Phase::Following,
            term: 0,
            times: FailoverTimes::default(),
            metrics: FailoverMetrics::default(),
        }
    }
}

impl Promotion {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the controller may dispatch tasks as the leader of `term`.
    pub fn may_dispatch(&self, term: u64) -> bool {
        self.phase == Phase::Active(term)
    }

    /// Durations of the failovers to this controller.
    pub fn metrics(&self) -> &FailoverMetrics {
        &self.metrics
    }

    /// Records the term of another controller.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Handles an event at `now`, and returns what the caller has to do. Events that mean nothing in the current
    /// phase are ignored.
    ///
    /// # Errors
    ///
    /// A [`TransitionError`] if the event is of a wrong term.
    pub fn handle(&mut self, event: Event, now: MonotonicTime) -> Result<Action, TransitionError> {
        let action = match event {
            Event::LeaderResponded => self.leader_responded(now),
            Event::LeaderSilent => self.leader_silent(now),
            Event::LeaseExpired => self.lease_expired(now),
            Event::OtherLeader => self.other_leader(),
            Event::Elected { term } => self.elected(term, now)?,
            Event::RecordsRead { term } => self.records_read(term, now)?,
            Event::Dispatched => self.dispatched(now),
            Event::Deposed => self.deposed(),
        };
        Ok(action)
    }

    fn leader_responded(&mut self, now: MonotonicTime) -> Action {
        self.times.leader_responded_at = Some(now);
        if self.phase == Phase::Suspecting {
            self.return_to_following();
        }
        Action::None
    }

    fn leader_silent(&mut self, now: MonotonicTime) -> Action {
        let must_read_leader = match self.phase {
            Phase::Following => true,
            Phase::Suspecting => self.may_read_leader_again(now),
            Phase::Fencing | Phase::CatchingUp(_) | Phase::Active(_) => false,
        };
        if !must_read_leader {
            return Action::None;
        }
        self.phase = Phase::Suspecting;
        self.times.suspected_at = Some(now);
        Action::ReadLeader
    }

    /// Whether the leadership record may be read once more: an earlier read may have come just before the lease
    /// expired.
    fn may_read_leader_again(&self, now: MonotonicTime) -> bool {
        let interval_over = |last_read| now >= last_read + constants::LEADER_CHECK_INTERVAL;
        self.times.suspected_at.is_none_or(interval_over)
    }

    fn lease_expired(&mut self, now: MonotonicTime) -> Action {
        if matches!(self.phase, Phase::Following | Phase::Suspecting) {
            self.phase = Phase::Fencing;
            self.times.lease_expired_at = Some(now);
        }
        Action::None
    }

    fn other_leader(&mut self) -> Action {
        if matches!(self.phase, Phase::Suspecting | Phase::Fencing) {
            self.return_to_following();
        }
        Action::None
    }

    fn return_to_following(&mut self) {
        self.phase = Phase::Following;
        let leader_responded_at = self.times.leader_responded_at;
        self.times = FailoverTimes { leader_responded_at, ..FailoverTimes::default() };
    }

    fn elected(&mut self, term: u64, now: MonotonicTime) -> Result<Action, TransitionError> {
        if term <= self.term {
            return Err(TransitionError::OldTerm { found: term, known: self.term });
        }
        self.term = term;
        self.phase = Phase::CatchingUp(term);
        self.times.elected_at = Some(now);
        Ok(Action::ReadRecords)
    }

    fn records_read(&mut self, term: u64, now: MonotonicTime) -> Result<Action, TransitionError> {
        if self.phase != Phase::CatchingUp(term) {
            return Err(TransitionError::OldRecords(term));
        }
        self.phase = Phase::Active(term);
        self.times.records_read_at = Some(now);
        Ok(Action::Lead)
    }

    fn deposed(&mut self) -> Action {
        let was_elected = matches!(self.phase, Phase::CatchingUp(_) | Phase::Active(_));
        self.return_to_following();
        if was_elected { Action::Stop } else { Action::None }
    }

    /// Completes the failover with its first dispatch. Later ones find no times of a failover.
    fn dispatched(&mut self, now: MonotonicTime) -> Action {
        if let Some(failover) = self.failover_completed_at(now) {
            self.metrics.record(&failover);
            self.times = FailoverTimes::default();
        }
        Action::None
    }

    fn failover_completed_at(&self, now: MonotonicTime) -> Option<CompletedFailover> {
        let Phase::Active(_) = self.phase else { return None };
        Some(CompletedFailover {
            leader_responded_at: self.times.leader_responded_at,
            lease_expired_at: self.times.lease_expired_at,
            elected_at: self.times.elected_at?,
            records_read_at: self.times.records_read_at?,
            dispatched_at: now,
        })
    }
}
