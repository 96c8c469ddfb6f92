//! The state machine of a failover. Each transition needs its proof, and no phase can be skipped.

use crate::metrics::FailoverMetrics;
use hookway_constants as constants;
use hookway_time::whole_millis;

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
pub enum Step {
    /// Nothing.
    NoAction,
    /// Read the leadership record in the state service now.
    ReadLeader,
    /// Read the records of earlier leaders.
    ReadRecords,
    /// Start to act as the leader.
    Lead,
    /// Stop acting as the leader.
    Stop,
}

/// The state machine of a failover. All times are in ms on the caller's monotonic clock.
#[derive(Debug)]
pub struct Promotion {
    phase: Phase,
    /// Latest term that this controller was elected for or has observed.
    term: u64,
    /// Time of the leader's last response.
    leader_responded_at_ms: Option<u64>,
    suspected_at_ms: Option<u64>,
    lease_expired_at_ms: Option<u64>,
    elected_at_ms: Option<u64>,
    records_read_at_ms: Option<u64>,
    metrics: FailoverMetrics,
}

impl Default for Promotion {
    fn default() -> Self {
        Self {
            phase: Phase::Following,
            term: 0,
            leader_responded_at_ms: None,
            suspected_at_ms: None,
            lease_expired_at_ms: None,
            elected_at_ms: None,
            records_read_at_ms: None,
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

    /// Handles an event at `now_ms`, and returns what the caller has to do.
    ///
    /// # Errors
    ///
    /// A [`TransitionError`] if the event is of a wrong term.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Result<Step, TransitionError> {
        match event {
            Event::LeaderResponded => {
                self.leader_responded_at_ms = Some(now_ms);
                if self.phase == Phase::Suspecting {
                    self.return_to_following();
                }
                Ok(Step::NoAction)
            }
            Event::LeaderSilent if self.phase == Phase::Following => {
                self.phase = Phase::Suspecting;
                self.suspected_at_ms = Some(now_ms);
                Ok(Step::ReadLeader)
            }
            Event::LeaderSilent
                if self.phase == Phase::Suspecting && self.may_read_leader_again(now_ms) =>
            {
                self.suspected_at_ms = Some(now_ms);
                Ok(Step::ReadLeader)
            }
            Event::LeaseExpired if matches!(self.phase, Phase::Following | Phase::Suspecting) => {
                self.phase = Phase::Fencing;
                self.lease_expired_at_ms = Some(now_ms);
                Ok(Step::NoAction)
            }
            Event::OtherLeader if matches!(self.phase, Phase::Suspecting | Phase::Fencing) => {
                self.return_to_following();
                Ok(Step::NoAction)
            }
            Event::Elected { term } => self.elected(term, now_ms),
            Event::RecordsRead { term } => self.records_read(term, now_ms),
            Event::Dispatched => {
                self.dispatched(now_ms);
                Ok(Step::NoAction)
            }
            Event::Deposed => {
                let was_elected = matches!(self.phase, Phase::CatchingUp(_) | Phase::Active(_));
                self.return_to_following();
                Ok(if was_elected { Step::Stop } else { Step::NoAction })
            }
            Event::LeaderSilent | Event::LeaseExpired | Event::OtherLeader => Ok(Step::NoAction),
        }
    }

    /// Whether the leadership record may be read once more: an earlier read may have come just before the lease
    /// expired.
    fn may_read_leader_again(&self, now_ms: u64) -> bool {
        let interval_over = |at: u64| now_ms >= at + whole_millis(constants::LEADER_CHECK_INTERVAL);
        self.suspected_at_ms.is_none_or(interval_over)
    }

    fn return_to_following(&mut self) {
        self.phase = Phase::Following;
        (self.suspected_at_ms, self.lease_expired_at_ms) = (None, None);
        (self.elected_at_ms, self.records_read_at_ms) = (None, None);
    }

    fn elected(&mut self, term: u64, now_ms: u64) -> Result<Step, TransitionError> {
        if term <= self.term {
            return Err(TransitionError::OldTerm { found: term, known: self.term });
        }
        self.term = term;
        self.phase = Phase::CatchingUp(term);
        self.elected_at_ms = Some(now_ms);
        Ok(Step::ReadRecords)
    }

    fn records_read(&mut self, term: u64, now_ms: u64) -> Result<Step, TransitionError> {
        if self.phase != Phase::CatchingUp(term) {
            return Err(TransitionError::OldRecords(term));
        }
        self.phase = Phase::Active(term);
        self.records_read_at_ms = Some(now_ms);
        Ok(Step::Lead)
    }

    fn dispatched(&mut self, now_ms: u64) {
        let Phase::Active(_) = self.phase else { return };
        let (Some(elected), Some(read)) =
            (self.elected_at_ms.take(), self.records_read_at_ms.take())
        else {
            return;
        };
        let since = |from: Option<u64>, to: u64| from.map(|from| to.saturating_sub(from));
        self.metrics.detection.record(since(
            self.leader_responded_at_ms,
            self.lease_expired_at_ms.unwrap_or(elected),
        ));
        self.metrics.election.record(since(self.lease_expired_at_ms, elected));
        self.metrics.catching_up.record(Some(read.saturating_sub(elected)));
        self.metrics.first_dispatch.record(Some(now_ms.saturating_sub(read)));
        self.metrics.whole.record(since(self.leader_responded_at_ms, now_ms));
        (self.suspected_at_ms, self.lease_expired_at_ms, self.leader_responded_at_ms) =
            (None, None, None);
    }
}
