//! Effects of a transaction's outcome on each of its items.

use super::commit_queue::{CommitItem, JobPage, RegistryMember, is_leader_record};
use super::{ClusterState, Job, JobKey};
use crate::records::{
    FinalRecord, JobSchedulingRecord, ProgressKey, ProgressRecord, parse_progress_key,
    scheduling_key, shared_watermarks_key,
};
use hookway_time::seconds_f64;
use hookway_wire::{JobId, KeyValue};

impl ClusterState {
    /// Processes an item that became durable: a transaction wrote it at `revision`.
    pub(super) fn mark_item_durable(&mut self, item: CommitItem, revision: u64) {
        match item {
            CommitItem::Final { job, record } => self.complete_job(job, record),
            CommitItem::ProgressPage { job: key, page, record } => {
                if let Some(job) = self.jobs.get(&key) {
                    let first = job.progress.range(page).start;
                    self.results_stored(key, first, revision, Some(&record));
                }
            }
            CommitItem::MachineRegistry { number, members } => {
                self.registry_record_stored(number, members);
            }
            CommitItem::Scheduling { job, record } => {
                self.scheduling_record_stored(job, &record);
            }
            CommitItem::SharedWatermarks { number, jobs } => {
                self.shared_watermarks_stored(number, &jobs);
            }
            CommitItem::KeyDeletion(_) | CommitItem::Classes | CommitItem::WatermarkMarker => {}
        }
    }

    fn registry_record_stored(&mut self, number: u64, members: Vec<RegistryMember>) {
        let machines = members.iter().map(|member| member.machine.as_str());
        self.commit_queue.registry.mark_durable(number, machines);
        for RegistryMember { machine: name, images } in members {
            // A machine that was removed meanwhile has left its record, which is already marked as
            // stale.
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.has_durable_registration = true;
                machine.stored_images = images;
            }
            if let Some(legacy_key) = self.commit_queue.legacy_registry_keys.remove(&name) {
                self.commit_queue.keys_to_delete.push_back(legacy_key);
            }
        }
    }

    fn scheduling_record_stored(&mut self, key: JobKey, record: &JobSchedulingRecord) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.stored_min_tasks = Some(record.min_tasks);
        job.start_watermark.mark_durable(record.start_watermark);
        if job.completion.is_final() {
            let store_key = scheduling_key(&job.id);
            self.commit_queue.keys_to_delete.push_back(store_key);
        }
        self.resolve_assumed_watermark(key);
    }

    /// Removes a job from those with an assumed watermark if its watermark is durable or it has
    /// ended.
    pub(super) fn resolve_assumed_watermark(&mut self, key: JobKey) {
        let is_assumed = |job: &Job| !job.completion.is_final() && job.start_watermark.is_assumed();
        if self.jobs.get(&key).is_some_and(is_assumed) {
            return;
        }
        if self.commit_queue.watermark_marker.remove_assumed(key) {
            let now = self.clocks.latest.monotonic;
            let after_s = seconds_f64(now.saturating_duration_since(self.clocks.elected_at()));
            tracing::info!(term = self.term, after_s, "assumed start watermarks durable");
        }
    }

    fn shared_watermarks_stored(&mut self, number: u64, keys: &[JobKey]) {
        for key in keys {
            if let Some(job) = self.jobs.get_mut(key) {
                job.start_watermark.mark_durable(job.spec.tasks);
            }
            self.resolve_assumed_watermark(*key);
        }
        // The record was removed, because all of its jobs ended while the transaction was in
        // flight.
        if self.commit_queue.shared_watermarks.jobs(number).is_none() {
            self.commit_queue.keys_to_delete.push_back(shared_watermarks_key(number));
        }
    }

    /// Returns an item that may not be durable to its queue, if it is still needed.
    pub(super) fn requeue(&mut self, item: CommitItem) {
        match item {
            CommitItem::Final { job: key, .. } => {
                if self.jobs.get(&key).is_some_and(|job| !job.completion.is_final()) {
                    self.commit_queue.finished_jobs.push_front(key);
                }
            }
            CommitItem::ProgressPage { job: key, page, .. } => {
                if self.jobs.get_mut(&key).is_some_and(|job| job.progress.queue(page)) {
                    self.commit_queue.progress_pages.push_back(JobPage { job: key, page });
                }
            }
            CommitItem::MachineRegistry { number, .. } => {
                self.commit_queue.registry.requeue(number);
            }
            CommitItem::KeyDeletion(key) => self.commit_queue.keys_to_delete.push_back(key),
            CommitItem::Classes => self.commit_queue.classes_changed = true,
            CommitItem::WatermarkMarker => self.commit_queue.watermark_marker.requeue(),
            CommitItem::SharedWatermarks { jobs, .. } => {
                self.commit_queue.watermark_raises.extend(jobs);
            }
            CommitItem::Scheduling { job: key, .. } => {
                if self.jobs.get(&key).is_some_and(|job| job.start_watermark.needs_record()) {
                    self.commit_queue.watermark_raises.insert(key);
                }
            }
        }
    }

    /// Applies a key that was read again after a transaction that was not confirmed as applied.
    pub(super) fn apply_reread(&mut self, key: &str, value: Option<KeyValue>) {
        if is_leader_record(key) {
            self.commit_queue.set_mod_revision(key, value.map_or(0, |v| v.mod_revision));
            return;
        }
        let mut parts = key.split('/');
        let kind = parts.next().unwrap_or_default();
        let id = parts.next().and_then(JobId::parse);
        let Some(job) = id.and_then(|id| self.jobs.key(&id)) else { return };
        match kind {
            "f" => {
                let record =
                    value.and_then(|v| serde_json::from_value::<FinalRecord>(v.value).ok());
                if let Some(record) = record {
                    self.complete_job(job, record);
                }
            }
            "p" => {
                let Some(ProgressKey { first_task, .. }) = parse_progress_key(key) else { return };
                let revision = value.as_ref().map_or(0, |v| v.mod_revision);
                let record =
                    value.and_then(|v| serde_json::from_value::<ProgressRecord>(v.value).ok());
                self.apply_progress_record(job, first_task, revision, record.as_ref());
            }
            _ => {}
        }
    }

    /// Applies the stored progress record whose results begin at task `first`, and queues its page
    /// if results of the page are not durable. `record` is `None` if there is none or it is
    /// unreadable.
    pub(super) fn apply_progress_record(
        &mut self,
        key: JobKey,
        first: u32,
        revision: u64,
        record: Option<&ProgressRecord>,
    ) {
        self.results_stored(key, first, revision, record);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let page = job.progress.page_of(first);
        if first < job.spec.tasks && job.has_unstored_results(page) && job.progress.queue(page) {
            self.commit_queue.progress_pages.push_back(JobPage { job: key, page });
        }
    }

    /// Records that the results of a progress record are durable.
    fn results_stored(
        &mut self,
        key: JobKey,
        first: u32,
        revision: u64,
        record: Option<&ProgressRecord>,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        // The end of a daemon's replica is not a result, whatever a record says.
        if job.spec.is_daemon() || first >= job.spec.tasks {
            return;
        }
        let stored = job.progress.apply_record(first, revision, record);
        for index in stored.done {
            job.mark_completed(index);
        }
        for page in stored.pages_to_write {
            if job.progress.queue(page) {
                self.commit_queue.progress_pages.push_back(JobPage { job: key, page });
            }
        }
        self.has_pending_stops = true;
        if job.completion.is_final() && revision != 0 {
            let store_key = crate::records::progress_key(&job.id, first);
            self.commit_queue.keys_to_delete.push_back(store_key);
        }
        self.finish_if_complete(key);
    }

    /// Queues the final record of a job if all of its tasks are completed. Daemons never complete.
    pub(super) fn finish_if_complete(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.completed == job.spec.tasks && !job.spec.is_daemon() && job.completion.decide_done()
        {
            self.commit_queue.finished_jobs.push_back(key);
        }
    }
}
