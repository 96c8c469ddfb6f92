//! The steps of a takeover. Each has its proof, and none can be passed over.

use crate::metrics::TakeoverMetrics;
use hookway_constants as constants;

/// Where a controller stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It follows the active controller, or looks for one.
    Following,
    /// The active controller is silent for unusually long. Nothing follows from that but a closer look.
    Suspecting,
    /// The state service has ended the active controller's lease: its term is over, and it knows that by its own
    /// reckoning. Somebody has to be elected.
    Fencing,
    /// Elected for this term, whose token workers prefer to every earlier one. What earlier leaders recorded is
    /// being read, in a reading that began after the election.
    CatchingUp(u64),
    /// It decides, as the leader of this term.
    Active(u64),
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The active controller gave a sign of life.
    LeaderHeard,
    /// Its silence is unusual.
    Silence,
    /// The state service says that nobody leads.
    LeaseEnded,
    /// The state service says that another controller leads.
    OtherLeads,
    /// The state service has recorded this controller as the leader of a term.
    Elected {
        /// The term.
        term: u64,
    },
    /// Everything that a leader needs was read.
    RecordsRead {
        /// The term in which the reading began.
        term: u64,
    },
    /// The first decision since the election was made.
    Decided,
    /// This controller leads no more.
    Deposed,
}

/// A step that is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The term is no later than one that is known.
    #[error("term {found} does not come after term {known}")]
    OldTerm {
        /// Its term.
        found: u64,
        /// The latest known one.
        known: u64,
    },
    /// What was read was not read in the term that this controller leads.
    #[error("records that were read in term {0}, which this controller does not lead")]
    OldRecords(u64),
}

/// What a step leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Stay,
    /// Look at the state service now.
    Look,
    /// Read what earlier leaders recorded.
    ReadRecords,
    /// Decide.
    Lead,
    /// Decide nothing any more.
    Stop,
}

/// The state machine of a takeover.
#[derive(Debug)]
pub struct Promotion {
    phase: Phase,
    /// The latest term that this controller was elected for, or saw.
    term: u64,
    /// When the active controller was last heard, ms.
    heard_at: Option<u64>,
    suspected_at: Option<u64>,
    lease_ended_at: Option<u64>,
    elected_at: Option<u64>,
    read_at: Option<u64>,
    metrics: TakeoverMetrics,
}

impl Default for Promotion {
    fn default() -> Self {
        Self {
            phase: Phase::Following,
            term: 0,
            heard_at: None,
            suspected_at: None,
            lease_ended_at: None,
            elected_at: None,
            read_at: None,
            metrics: TakeoverMetrics::default(),
        }
    }
}

impl Promotion {
    /// Where the controller stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it may decide as the leader of `term`.
    pub fn may_decide(&self, term: u64) -> bool {
        self.phase == Phase::Active(term)
    }

    /// How long takeovers took.
    pub fn metrics(&self) -> &TakeoverMetrics {
        &self.metrics
    }

    /// Another controller's term became known.
    pub fn learn_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Something happened at `now`, ms.
    pub fn on(&mut self, event: Event, now: u64) -> Result<Step, Refused> {
        match event {
            Event::LeaderHeard => {
                self.heard_at = Some(now);
                if self.phase == Phase::Suspecting {
                    self.follow();
                }
                Ok(Step::Stay)
            }
            Event::Silence if self.phase == Phase::Following => {
                self.phase = Phase::Suspecting;
                self.suspected_at = Some(now);
                Ok(Step::Look)
            }
            Event::Silence if self.phase == Phase::Suspecting && self.looks_again(now) => {
                self.suspected_at = Some(now);
                Ok(Step::Look)
            }
            Event::LeaseEnded if matches!(self.phase, Phase::Following | Phase::Suspecting) => {
                self.phase = Phase::Fencing;
                self.lease_ended_at = Some(now);
                Ok(Step::Stay)
            }
            Event::OtherLeads if matches!(self.phase, Phase::Suspecting | Phase::Fencing) => {
                self.follow();
                Ok(Step::Stay)
            }
            Event::Elected { term } => self.elected(term, now),
            Event::RecordsRead { term } => self.records_read(term, now),
            Event::Decided => {
                self.decided(now);
                Ok(Step::Stay)
            }
            Event::Deposed => {
                let acted = matches!(self.phase, Phase::CatchingUp(_) | Phase::Active(_));
                self.follow();
                Ok(if acted { Step::Stop } else { Step::Stay })
            }
            Event::Silence | Event::LeaseEnded | Event::OtherLeads => Ok(Step::Stay),
        }
    }

    /// A look may have come a moment before the lease ended.
    fn looks_again(&self, now: u64) -> bool {
        let again = |at: u64| now >= at + constants::LEADER_CHECK_INTERVAL_MS;
        self.suspected_at.is_none_or(again)
    }

    fn follow(&mut self) {
        self.phase = Phase::Following;
        (self.suspected_at, self.lease_ended_at) = (None, None);
        (self.elected_at, self.read_at) = (None, None);
    }

    fn elected(&mut self, term: u64, now: u64) -> Result<Step, Refused> {
        if term <= self.term {
            return Err(Refused::OldTerm { found: term, known: self.term });
        }
        self.term = term;
        self.phase = Phase::CatchingUp(term);
        self.elected_at = Some(now);
        Ok(Step::ReadRecords)
    }

    fn records_read(&mut self, term: u64, now: u64) -> Result<Step, Refused> {
        if self.phase != Phase::CatchingUp(term) {
            return Err(Refused::OldRecords(term));
        }
        self.phase = Phase::Active(term);
        self.read_at = Some(now);
        Ok(Step::Lead)
    }

    fn decided(&mut self, now: u64) {
        let Phase::Active(_) = self.phase else { return };
        let (Some(elected), Some(read)) = (self.elected_at.take(), self.read_at.take()) else {
            return;
        };
        let since = |from: Option<u64>, to: u64| from.map(|from| to.saturating_sub(from));
        self.metrics.detection.record(since(self.heard_at, self.lease_ended_at.unwrap_or(elected)));
        self.metrics.election.record(since(self.lease_ended_at, elected));
        self.metrics.catching_up.record(Some(read.saturating_sub(elected)));
        self.metrics.first_decision.record(Some(now.saturating_sub(read)));
        self.metrics.whole.record(since(self.heard_at, now));
        (self.suspected_at, self.lease_ended_at, self.heard_at) = (None, None, None);
    }
}
