//! The marker in the store that says that the start watermarks in the store are complete.
//!
//! The next leader relies on the marker: a task that no watermark covers then counts as never
//! started. So the marker is written only once that is certain. A leader that found the watermarks
//! of earlier terms complete wrote the marker in the transaction of its election. Any other leader
//! first makes its assumed watermarks durable.

use super::JobKey;
use crate::leadership::WatermarkCompleteness;
use crate::records::{COMPLETE_WATERMARKS_KEY, LEGACY_COMPLETE_WATERMARKS_KEY};
use std::collections::BTreeSet;

/// Whether this term's marker has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MarkerState {
    /// Not to be written: the records are not loaded yet, or an unreadable job record keeps the
    /// watermarks from becoming complete.
    Withheld,
    /// To be written once no assumed watermark is left.
    Pending,
    /// In a transaction, or durable.
    Sent,
}

/// The completeness marker of this term, and what its writing waits for.
#[derive(Debug)]
pub(super) struct WatermarkMarker {
    /// Whether the store marks the watermarks of earlier leaders as complete.
    stored: WatermarkCompleteness,
    /// Jobs whose tasks count as started although no durable record says so.
    assumed: BTreeSet<JobKey>,
    state: MarkerState,
}

impl WatermarkMarker {
    /// Creates the marker of a leader that has not loaded the records yet: it is withheld.
    pub fn new() -> Self {
        Self {
            stored: WatermarkCompleteness::Absent,
            assumed: BTreeSet::new(),
            state: MarkerState::Withheld,
        }
    }

    /// Records that the records of earlier leaders are loaded. `assumed`: the jobs whose watermarks
    /// are assumed. `all_jobs_readable`: whether this version can read every job record; for a job
    /// with an unreadable one, it can't write a watermark record.
    pub fn records_loaded(
        &mut self,
        stored: WatermarkCompleteness,
        assumed: BTreeSet<JobKey>,
        all_jobs_readable: bool,
    ) {
        self.stored = stored;
        self.assumed = assumed;
        let can_become_complete = stored == WatermarkCompleteness::Complete || all_jobs_readable;
        self.state = if can_become_complete { MarkerState::Pending } else { MarkerState::Withheld };
    }

    /// Returns the number of jobs whose watermarks are assumed.
    pub fn assumed_jobs(&self) -> usize {
        self.assumed.len()
    }

    /// Removes a job from the assumed ones: its watermark is durable, or it has ended. Returns
    /// whether it was the last of them.
    pub fn remove_assumed(&mut self, job: JobKey) -> bool {
        self.assumed.remove(&job) && self.assumed.is_empty()
    }

    /// Returns the keys to write now; none before the watermarks are complete.
    pub fn due_keys(&self) -> &'static [&'static str] {
        let complete_before = self.stored == WatermarkCompleteness::Complete;
        match self.state {
            MarkerState::Pending if complete_before => &[LEGACY_COMPLETE_WATERMARKS_KEY],
            MarkerState::Pending if self.assumed.is_empty() => {
                &[LEGACY_COMPLETE_WATERMARKS_KEY, COMPLETE_WATERMARKS_KEY]
            }
            MarkerState::Withheld | MarkerState::Pending | MarkerState::Sent => &[],
        }
    }

    /// Records that the marker is in a transaction.
    pub fn mark_sent(&mut self) {
        self.state = MarkerState::Sent;
    }

    /// Queues the marker again, as its transaction may not have been applied.
    pub fn requeue(&mut self) {
        self.state = MarkerState::Pending;
    }
}
