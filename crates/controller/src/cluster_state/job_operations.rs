//! What users ask of jobs: their states, their cancellation, and their ends.

use super::{ClusterState, Job, JobKey, leases_expire_within_cancellation};
use crate::records::FinalRecord;
use hookway_wire::{JobId, JobState, JobStatus};

/// What the leader knows of a job that a user asks about.
#[derive(Debug, Clone, PartialEq)]
pub enum JobLookup {
    /// Its state.
    Known(JobStatus),
    /// Its end is being written down: the state service must be asked.
    CommitInFlight,
    /// Not in this picture: over, not yet seen, or never accepted.
    UnknownJob,
}

/// What became of a request to cancel.
#[derive(Debug, Clone, PartialEq)]
pub enum CancelOutcome {
    /// It is over already.
    AlreadyFinal(JobStatus),
    /// The decision is being written down; it comes with [`ClusterState::take_completed_jobs`].
    Pending,
    /// Its tasks may not be gone in time yet, so its user can't be told; nothing of it is started any more.
    LeasesOutstanding,
    /// Not in this picture.
    UnknownJob,
}

impl ClusterState {
    /// What the leader can say of a job.
    pub fn status(&self, id: &JobId) -> JobLookup {
        let Some(job) = self.job_keys.get(id).and_then(|k| self.jobs.get(k)) else {
            return JobLookup::UnknownJob;
        };
        match job.completion.final_record() {
            Some(record) => JobLookup::Known(record.status(id)),
            None if job.completion.commit_outstanding() => JobLookup::CommitInFlight,
            None => JobLookup::Known(self.describe(job)),
        }
    }

    pub(super) fn describe(&self, job: &Job) -> JobStatus {
        JobStatus {
            id: job.id.clone(),
            state: if job.running > 0 { JobState::Running } else { JobState::Queued },
            done: job.completed,
            running: job.running,
            team: Some(job.spec.team.clone()),
            leader: Some(self.config.controller_name.clone()),
            notes: job.notes.iter().cloned().collect(),
        }
    }

    /// A user cancels a job. Nothing of it is started from here on, even before the decision is
    /// durable.
    pub fn cancel(&mut self, id: &JobId) -> CancelOutcome {
        let now = self.last_timestamp.monotonic;
        let Some(key) = self.job_keys.get(id).copied() else { return CancelOutcome::UnknownJob };
        let Some(job) = self.jobs.get_mut(&key) else { return CancelOutcome::UnknownJob };
        if let Some(record) = job.completion.final_record() {
            return CancelOutcome::AlreadyFinal(record.status(id));
        }
        if job.completion.request_cancel(now) {
            tracing::info!("job {id}: its user cancels it");
            self.stops_due = true;
            self.unproven_cancellations.insert(key);
            self.queue_proven_cancellations(self.last_timestamp.monotonic);
        }
        if self.unproven_cancellations.contains(&key) {
            CancelOutcome::LeasesOutstanding
        } else {
            CancelOutcome::Pending
        }
    }

    /// Cancellations of which it is sure that all rights which may keep tasks alive end in time are written
    /// down. As a rule that is all of them at once: blocks are leased so that they end in time, and a
    /// worker's lease is shorter than a cancellation may take. Where it is not, the tasks must be gone first.
    pub(super) fn queue_proven_cancellations(&mut self, now: u64) {
        if self.unproven_cancellations.is_empty() {
            return;
        }
        let by_themselves = leases_expire_within_cancellation(&self.config.platform);
        let settled = self.reconciled(now);
        for key in std::mem::take(&mut self.unproven_cancellations) {
            let Some(job) = self.jobs.get(&key) else { continue };
            if by_themselves || settled && job.placed == 0 {
                self.commit_queue.finished_jobs.push_back(key);
            } else {
                self.unproven_cancellations.insert(key);
            }
        }
    }

    /// Jobs whose end has become durable since the last call.
    pub fn take_completed_jobs(&mut self) -> Vec<(JobId, FinalRecord)> {
        std::mem::take(&mut self.completed_jobs)
    }

    /// The end of a job is durable.
    pub(super) fn complete_job(&mut self, key: JobKey, record: FinalRecord) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !job.completion.complete(record.clone()) {
            return;
        }
        tracing::info!("job {}: {}", job.id, record.state);
        job.unplaced.clear();
        for key in job.progress.stored_keys(&job.id) {
            self.commit_queue.delete_stale(key);
        }
        match job.start_watermark.shared_record() {
            Some(number) if self.commit_queue.shared_watermarks.remove(number, &job.id) => {
                self.commit_queue.delete_stale(crate::records::shared_watermarks_key(number));
            }
            Some(_) => {}
            None if job.stored_min_tasks.is_some() || job.start_watermark.is_stored() => {
                self.commit_queue.delete_stale(crate::records::scheduling_key(&job.id));
            }
            None => {}
        }
        self.stops_due = true;
        self.ended_jobs.insert(job.id.clone());
        self.completed_jobs.push((job.id.clone(), record));
        self.forget_if_removed(key);
    }

    /// Forgets a job that is over and has nothing left on any machine.
    pub(super) fn forget_if_removed(&mut self, key: JobKey) {
        let gone = self.jobs.get(&key).is_some_and(|j| j.completion.is_final() && j.placed == 0);
        if gone && let Some(job) = self.jobs.remove(&key) {
            self.job_keys.remove(&job.id);
        }
    }
}
