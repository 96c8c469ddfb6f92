//! The marker that says that the start watermarks in the state service are complete.
//!
//! The next leader relies on it: a task without a record then counts as never started. So it is
//! written only once that holds. A leader that knew the records of its predecessors to be complete
//! has written it with its election; any other one first makes durable what it assumes.

use super::JobKey;
use crate::leadership::StoredWatermarks;
use crate::records::{COMPLETE_WATERMARKS_KEY, LEADER_WATERMARKS_KEY};
use std::collections::BTreeSet;

/// How far the marker of this term has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MarkerState {
    /// The records of this term are not loaded yet, or some job can't be read.
    Withheld,
    /// It is written once no assumed watermark is left.
    Pending,
    /// It is being written, or durable.
    Sent,
}

/// The marker of this term.
#[derive(Debug)]
pub(super) struct WatermarkMarker {
    /// What the state service says of the records of earlier leaders.
    stored: StoredWatermarks,
    /// Jobs that count as started without a durable record that says so.
    assumed: BTreeSet<JobKey>,
    state: MarkerState,
}

impl WatermarkMarker {
    /// The marker of a leader that has not loaded its records yet.
    pub fn new() -> Self {
        Self {
            stored: StoredWatermarks::Absent,
            assumed: BTreeSet::new(),
            state: MarkerState::Withheld,
        }
    }

    /// The records are loaded. `assumed`: the jobs whose watermarks are assumed. `all_readable`: no
    /// job exists that this version can't read, and for which it could write no record.
    pub fn records_loaded(
        &mut self,
        stored: StoredWatermarks,
        assumed: BTreeSet<JobKey>,
        all_readable: bool,
    ) {
        self.stored = stored;
        self.assumed = assumed;
        let may_claim = stored == StoredWatermarks::Complete || all_readable;
        self.state = if may_claim { MarkerState::Pending } else { MarkerState::Withheld };
    }

    /// Number of jobs whose watermarks are assumed.
    pub fn assumed_jobs(&self) -> usize {
        self.assumed.len()
    }

    /// The watermark of a job is durable, or the job has ended. `true`: it was the last assumed one.
    pub fn resolve(&mut self, job: JobKey) -> bool {
        self.assumed.remove(&job) && self.assumed.is_empty()
    }

    /// The keys to write now; none before the claim holds.
    pub fn due_keys(&self) -> &'static [&'static str] {
        let complete_before = self.stored == StoredWatermarks::Complete;
        match self.state {
            MarkerState::Pending if complete_before => &[LEADER_WATERMARKS_KEY],
            MarkerState::Pending if self.assumed.is_empty() => {
                &[LEADER_WATERMARKS_KEY, COMPLETE_WATERMARKS_KEY]
            }
            MarkerState::Withheld | MarkerState::Pending | MarkerState::Sent => &[],
        }
    }

    /// It is in a transaction.
    pub fn sent(&mut self) {
        self.state = MarkerState::Sent;
    }

    /// It may not be durable.
    pub fn requeue(&mut self) {
        self.state = MarkerState::Pending;
    }
}
