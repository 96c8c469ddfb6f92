//! The completion of a job: from the decision that it ends until the final record is durable.

use crate::records::FinalRecord;
use hookway_time::MonotonicTime;
use hookway_wire::JobState;

/// What a job is to end as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntendedEnd {
    /// All of its tasks are completed.
    Done,
    /// Its user asked this leader to cancel it.
    Cancelled { requested_at: MonotonicTime },
}

/// The transaction with the final record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FinalCommit {
    /// None is in flight, and none may still be applied.
    NotSent,
    /// One is in flight.
    InFlight,
    /// Some transaction had no answer: it may be applied at any time, whatever becomes of later ones.
    Indeterminate,
}

#[derive(Debug)]
enum Phase {
    Active,
    Ending { intended: IntendedEnd, commit: FinalCommit },
    Final { record: FinalRecord, cancel_requested_at: Option<MonotonicTime> },
}

/// How far the completion of a job has progressed: active, ending, or final.
#[derive(Debug)]
pub(super) struct Completion(Phase);

impl Completion {
    /// The completion of a job that nobody has ended.
    pub fn active() -> Self {
        Self(Phase::Active)
    }

    /// Whether no end is decided, so that tasks may be started.
    pub fn is_active(&self) -> bool {
        matches!(self.0, Phase::Active)
    }

    /// Whether the end is durable.
    pub fn is_final(&self) -> bool {
        self.final_record().is_some()
    }

    /// The durable end.
    pub fn final_record(&self) -> Option<&FinalRecord> {
        match &self.0 {
            Phase::Final { record, .. } => Some(record),
            Phase::Active | Phase::Ending { .. } => None,
        }
    }

    /// Whether only the state service can tell if the job has ended: its final record is in flight,
    /// or the outcome of that transaction is not known.
    pub fn commit_outstanding(&self) -> bool {
        matches!(
            self.0,
            Phase::Ending { commit: FinalCommit::InFlight | FinalCommit::Indeterminate, .. }
        )
    }

    /// The state that the job ends, or has ended, as; `None` while it is active.
    pub fn end_state(&self) -> Option<JobState> {
        match &self.0 {
            Phase::Active => None,
            Phase::Ending { intended: IntendedEnd::Done, .. } => Some(JobState::Done),
            Phase::Ending { intended: IntendedEnd::Cancelled { .. }, .. } => {
                Some(JobState::Cancelled)
            }
            Phase::Final { record, .. } => Some(record.state),
        }
    }

    /// When the user asked this leader to cancel the job; `None` if nobody did, or another
    /// controller decided the cancellation.
    pub fn cancel_requested_at(&self) -> Option<MonotonicTime> {
        match self.0 {
            Phase::Ending { intended: IntendedEnd::Cancelled { requested_at }, .. } => {
                Some(requested_at)
            }
            Phase::Final { cancel_requested_at, .. } => cancel_requested_at,
            Phase::Active | Phase::Ending { .. } => None,
        }
    }

    /// All tasks are completed. `false`: some end is decided already, which stays.
    pub fn finish(&mut self) -> bool {
        self.begin_ending(IntendedEnd::Done)
    }

    /// The user cancels the job at `now`. `false`: some end is decided already, which stays.
    pub fn request_cancel(&mut self, now: MonotonicTime) -> bool {
        self.begin_ending(IntendedEnd::Cancelled { requested_at: now })
    }

    fn begin_ending(&mut self, intended: IntendedEnd) -> bool {
        let was_active = self.is_active();
        if was_active {
            self.0 = Phase::Ending { intended, commit: FinalCommit::NotSent };
        }
        was_active
    }

    /// A transaction with the final record is about to be sent: the state to write. `None`: there is
    /// nothing to write, as the job is active or its end is durable.
    pub fn begin_commit(&mut self) -> Option<JobState> {
        let state = self.end_state();
        let Phase::Ending { commit, .. } = &mut self.0 else { return None };
        if *commit == FinalCommit::NotSent {
            *commit = FinalCommit::InFlight;
        }
        state
    }

    /// The transaction was surely not applied. An earlier indeterminate one may still be, and other
    /// controllers then tell the end that they read.
    pub fn commit_not_applied(&mut self) {
        if let Phase::Ending { commit, .. } = &mut self.0
            && *commit == FinalCommit::InFlight
        {
            *commit = FinalCommit::NotSent;
        }
    }

    /// The outcome of the transaction is not known.
    pub fn commit_indeterminate(&mut self) {
        if let Phase::Ending { commit, .. } = &mut self.0 {
            *commit = FinalCommit::Indeterminate;
        }
    }

    /// The final record is durable, whoever decided it. `false`: it was known already.
    pub fn complete(&mut self, record: FinalRecord) -> bool {
        if self.is_final() {
            return false;
        }
        let cancel_requested_at = self.cancel_requested_at();
        self.0 = Phase::Final { record, cancel_requested_at };
        true
    }
}

#[cfg(test)]
mod tests;
