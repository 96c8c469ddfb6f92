//! What users ask of jobs: their states, their cancellation, and their ends.

use super::{Job, Ledger, leases_end_in_time};
use crate::records::FinalRecord;
use hookway_wire::{JobId, JobState, JobStatus};

/// What the leader knows of a job that a user asks about.
#[derive(Debug, Clone, PartialEq)]
pub enum Lookup {
    /// Its state.
    Known(JobStatus),
    /// Its end is being written down: the state service must be asked.
    Deciding,
    /// Not in this picture: over, not yet seen, or never accepted.
    NotHere,
}

/// What became of a request to cancel.
#[derive(Debug, Clone, PartialEq)]
pub enum Cancellation {
    /// It is over already.
    Over(JobStatus),
    /// The decision is being written down; it comes with [`Ledger::take_decided`].
    Pending,
    /// Its tasks may not be gone in time yet, so its user can't be told; nothing of it is started any more.
    Unproven,
    /// Not in this picture.
    NotHere,
}

impl Ledger {
    /// What the leader can say of a job.
    pub fn status(&self, id: &JobId) -> Lookup {
        let Some(job) = self.by_id.get(id).and_then(|k| self.jobs.get(k)) else {
            return Lookup::NotHere;
        };
        match &job.over {
            Some(record) => Lookup::Known(record.status(id)),
            None if job.deciding => Lookup::Deciding,
            None => Lookup::Known(self.describe(job)),
        }
    }

    pub(super) fn describe(&self, job: &Job) -> JobStatus {
        JobStatus {
            id: job.id.clone(),
            state: if job.running > 0 { JobState::Running } else { JobState::Queued },
            done: job.done,
            running: job.running,
            team: Some(job.spec.team.clone()),
            leader: Some(self.setup.label.clone()),
            notes: job.notes.iter().cloned().collect(),
        }
    }

    /// A user cancels a job. Nothing of it is started from here on, even before the decision is
    /// durable.
    pub fn cancel(&mut self, id: &JobId) -> Cancellation {
        let now = self.told.now;
        let Some(key) = self.by_id.get(id).copied() else { return Cancellation::NotHere };
        let Some(job) = self.jobs.get_mut(&key) else { return Cancellation::NotHere };
        if let Some(record) = &job.over {
            return Cancellation::Over(record.status(id));
        }
        if job.ending.is_none() {
            tracing::info!("job {id}: its user cancels it");
            job.ending = Some(JobState::Cancelled);
            job.cancel_asked_at = Some(now);
            self.stops_due = true;
            self.unproven.insert(key);
            self.write_proven(self.told.now);
        }
        if self.unproven.contains(&key) { Cancellation::Unproven } else { Cancellation::Pending }
    }

    /// Cancellations of which it is sure that all rights which may keep tasks alive end in time are written
    /// down. As a rule that is all of them at once: blocks are leased so that they end in time, and a
    /// worker's lease is shorter than a cancellation may take. Where it is not, the tasks must be gone first.
    pub(super) fn write_proven(&mut self, now: u64) {
        if self.unproven.is_empty() {
            return;
        }
        let by_themselves = leases_end_in_time(&self.setup.params);
        let settled = self.settled(now);
        for key in std::mem::take(&mut self.unproven) {
            let Some(job) = self.jobs.get(&key) else { continue };
            if by_themselves || settled && job.held == 0 {
                self.writer.finals.push_back(key);
            } else {
                self.unproven.insert(key);
            }
        }
    }

    /// Jobs whose end has become durable since the last call.
    pub fn take_decided(&mut self) -> Vec<(JobId, FinalRecord)> {
        std::mem::take(&mut self.decided)
    }

    /// The end of a job is durable.
    pub(super) fn decide(&mut self, key: u64, record: FinalRecord) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.over.is_some() {
            return;
        }
        tracing::info!("job {}: {}", job.id, record.state);
        job.over = Some(record.clone());
        job.ending = Some(record.state);
        job.deciding = false;
        job.free.clear();
        for key in job.progress.stored_keys(&job.id) {
            self.writer.trash(key);
        }
        match job.shared_mark {
            Some(number) if self.writer.marks.remove(number, &job.id) => {
                self.writer.trash(crate::records::shared_marks_key(number));
            }
            Some(_) => {}
            None if job.written_minimum.is_some() || job.opened > 0 => {
                self.writer.trash(crate::records::minimum_key(&job.id));
            }
            None => {}
        }
        self.stops_due = true;
        self.ended.insert(job.id.clone());
        self.decided.push((job.id.clone(), record));
        self.drop_if_gone(key);
    }

    /// Forgets a job that is over and has nothing left on any machine.
    pub(super) fn drop_if_gone(&mut self, key: u64) {
        let gone = self.jobs.get(&key).is_some_and(|j| j.over.is_some() && j.held == 0);
        if gone && let Some(job) = self.jobs.remove(&key) {
            self.by_id.remove(&job.id);
        }
    }
}
