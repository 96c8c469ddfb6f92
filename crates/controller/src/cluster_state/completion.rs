//! The end of a job, from the decision until the final record is durable.

use crate::records::FinalRecord;
use hookway_time::MonotonicTime;
use hookway_wire::JobState;

/// The decided outcome of a job that is ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntendedEnd {
    /// All tasks are completed.
    Done,
    /// The user asked this leader to cancel the job.
    Cancelled { requested_at: MonotonicTime },
}

/// State of the transactions that write the final record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FinalCommit {
    /// None is in flight, and no earlier one can still be applied.
    NotSent,
    /// One is in flight, and no earlier one can still be applied.
    InFlight,
    /// The outcome of some transaction is unknown: it may still be applied at any time, whatever
    /// the outcome of later ones.
    Indeterminate,
}

#[derive(Debug)]
enum Phase {
    Active,
    Ending { intended: IntendedEnd, commit: FinalCommit },
    Final { record: FinalRecord, cancel_requested_at: Option<MonotonicTime> },
}

/// Whether a job is active, ending (its end is decided), or final (its end is durable).
#[derive(Debug)]
pub(super) struct Completion(Phase);

impl Completion {
    /// Returns the state of a job whose end is not decided.
    pub fn active() -> Self {
        Self(Phase::Active)
    }

    /// Whether the end is not decided yet, so that tasks may be started.
    pub fn is_active(&self) -> bool {
        matches!(self.0, Phase::Active)
    }

    /// Whether the end is durable.
    pub fn is_final(&self) -> bool {
        self.final_record().is_some()
    }

    /// Returns the final record; `None` until it is durable.
    pub fn final_record(&self) -> Option<&FinalRecord> {
        match &self.0 {
            Phase::Final { record, .. } => Some(record),
            Phase::Active | Phase::Ending { .. } => None,
        }
    }

    /// Whether only the store can tell if the job has ended: a transaction with the final record is
    /// in flight, or its outcome is unknown.
    pub fn commit_outstanding(&self) -> bool {
        matches!(
            self.0,
            Phase::Ending { commit: FinalCommit::InFlight | FinalCommit::Indeterminate, .. }
        )
    }

    /// Returns the decided or durable final state; `None` while the job is active.
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

    /// Returns when the user asked this leader to cancel the job; `None` if the user did not, or
    /// if another controller decided the cancellation.
    pub fn cancel_requested_at(&self) -> Option<MonotonicTime> {
        match self.0 {
            Phase::Ending { intended: IntendedEnd::Cancelled { requested_at }, .. } => {
                Some(requested_at)
            }
            Phase::Final { cancel_requested_at, .. } => cancel_requested_at,
            Phase::Active | Phase::Ending { .. } => None,
        }
    }

    /// Decides that the job ends as done, since all its tasks are completed. Returns `false`, and
    /// changes nothing, if an end is decided already.
    pub fn decide_done(&mut self) -> bool {
        self.begin_ending(IntendedEnd::Done)
    }

    /// Decides at `now` that the job ends as cancelled, since its user asked for it. Returns
    /// `false`, and changes nothing, if an end is decided already.
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

    /// Records that a transaction with the final record is about to be sent, and returns the state
    /// to write. Returns `None` if there is nothing to write: the job is active, or its end is
    /// durable.
    pub fn begin_commit(&mut self) -> Option<JobState> {
        let state = self.end_state();
        let Phase::Ending { commit, .. } = &mut self.0 else { return None };
        if *commit == FinalCommit::NotSent {
            *commit = FinalCommit::InFlight;
        }
        state
    }

    /// Records that the last transaction was certainly not applied. The state stays indeterminate
    /// if the outcome of an earlier one is unknown: if that one is applied after all, other
    /// controllers report the end that they read from the store.
    pub fn commit_not_applied(&mut self) {
        if let Phase::Ending { commit, .. } = &mut self.0
            && *commit == FinalCommit::InFlight
        {
            *commit = FinalCommit::NotSent;
        }
    }

    /// Records that the outcome of the last transaction is unknown.
    pub fn commit_indeterminate(&mut self) {
        if let Phase::Ending { commit, .. } = &mut self.0 {
            *commit = FinalCommit::Indeterminate;
        }
    }

    /// Records that a final record is durable, whichever controller decided the end. Returns
    /// `false` if that was known already.
    pub fn mark_final(&mut self, record: FinalRecord) -> bool {
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
