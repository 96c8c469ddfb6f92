//! Cancellations by users, and the completion of jobs.

use super::{ClusterState, JobKey, leases_expire_within_cancellation};
use crate::records::FinalRecord;
use hookway_time::MonotonicTime;
use hookway_wire::{JobId, JobStatus};

/// The outcome of a request to cancel a job.
#[derive(Debug, Clone, PartialEq)]
pub enum CancelOutcome {
    /// The end of the job is durable, whether through this cancellation or not.
    Final(JobStatus),
    /// The final record is being written. Once it is durable,
    /// [`ClusterState::take_completed_jobs`] returns the job.
    Pending,
    /// Worker leases may keep tasks of the job alive for longer than a cancellation may take, so it
    /// can't be confirmed yet. No more tasks of the job are started.
    LeasesOutstanding,
    /// The job is not in the cluster state.
    UnknownJob,
}

/// A job whose final record has become durable.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletedJob {
    /// The id under which the final record is stored.
    pub id: JobId,
    /// The final record, as it is stored.
    pub record: FinalRecord,
}

impl ClusterState {
    /// Cancels a job on request of its user. From now on none of its tasks is started, even before
    /// the final record is durable.
    pub fn cancel(&mut self, id: &JobId) -> CancelOutcome {
        let now = self.clocks.latest.monotonic;
        let Some(key) = self.jobs.key(id) else { return CancelOutcome::UnknownJob };
        let Some(job) = self.jobs.get_mut(&key) else { return CancelOutcome::UnknownJob };
        if let Some(record) = job.completion.final_record() {
            return CancelOutcome::Final(record.status(id));
        }
        if job.completion.request_cancel(now) {
            tracing::info!(job = %id, "cancellation requested");
            self.has_pending_stops = true;
            self.unconfirmed_cancellations.insert(key);
            self.queue_confirmable_cancellations(now);
        }
        if self.unconfirmed_cancellations.contains(&key) {
            CancelOutcome::LeasesOutstanding
        } else {
            CancelOutcome::Pending
        }
    }

    /// Queues the final records of those cancelled jobs whose tasks are certain to end within the
    /// time for a cancellation. Usually these are all of them, because shard leases and worker
    /// leases expire within that time. Where worker leases are longer, a final record is queued
    /// only once all machines are reconciled and the job's tasks have left their machines.
    pub(super) fn queue_confirmable_cancellations(&mut self, now: MonotonicTime) {
        if self.unconfirmed_cancellations.is_empty() {
            return;
        }
        let leases_expire_in_time = leases_expire_within_cancellation(&self.config.platform);
        let is_reconciled = self.is_reconciled(now);
        for key in std::mem::take(&mut self.unconfirmed_cancellations) {
            let Some(job) = self.jobs.get(&key) else { continue };
            if leases_expire_in_time || is_reconciled && job.placed_attempts == 0 {
                self.commit_queue.finished_jobs.push_back(key);
            } else {
                self.unconfirmed_cancellations.insert(key);
            }
        }
    }

    /// Returns the jobs whose final records have become durable since the last call.
    pub fn take_completed_jobs(&mut self) -> Vec<CompletedJob> {
        std::mem::take(&mut self.completed_jobs)
    }

    /// Completes a job whose final record is durable: its tasks are stopped, and its other records
    /// are queued for deletion.
    pub(super) fn complete_job(&mut self, key: JobKey, record: FinalRecord) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !job.completion.mark_final(record.clone()) {
            return;
        }
        tracing::info!(job = %job.id, state = %record.state, "job completed");
        job.placeable.clear();
        for key in job.progress.stored_keys(&job.id) {
            self.commit_queue.queue_deletion(key);
        }
        match job.start_watermark.shared_record_number() {
            Some(number) if self.commit_queue.shared_watermarks.remove(number, &job.id) => {
                self.commit_queue.queue_deletion(crate::records::shared_watermarks_key(number));
            }
            Some(_) => {}
            None => {
                let scheduling_key = crate::records::scheduling_key(&job.id);
                if self.commit_queue.has_record(&scheduling_key) {
                    self.commit_queue.queue_deletion(scheduling_key);
                }
            }
        }
        self.has_pending_stops = true;
        let id = job.id.clone();
        self.jobs.mark_ended(&id);
        self.resolve_assumed_watermark(key);
        self.completed_jobs.push(CompletedJob { id, record });
        self.remove_if_finished(key);
    }

    /// Removes a job from the cluster state if its end is durable and no machine has a task of it.
    pub(super) fn remove_if_finished(&mut self, key: JobKey) {
        let removed =
            self.jobs.get(&key).is_some_and(|j| j.completion.is_final() && j.placed_attempts == 0);
        if removed {
            self.jobs.remove(key);
        }
    }
}
