//! Adds waiting items to a transaction: one function for each kind of record.

use super::commit_queue::{CommitItem, JobPage, PendingCommit, RegistryMember};
use super::machine_registry::MachineRegistry;
use super::{ClusterState, JobKey, Machine};
use crate::leadership::last_fencing_token;
use crate::records::{
    CLASSES_KEY, ClassRecord, FinalRecord, JobSchedulingRecord, ProgressRecord,
    SharedStartWatermarksRecord, final_state_key, fits_value_limit, job_key, scheduling_key,
    shared_watermarks_key,
};
use hookway_constants as constants;
use hookway_policy::should_rewrite_min_tasks;
use hookway_time::{MonotonicTime, whole_millis};
use std::collections::BTreeMap;

impl ClusterState {
    /// Adds the final records of jobs that end.
    pub(super) fn add_finished_jobs(&mut self, commit: &mut PendingCommit) {
        while commit.can_add(constants::JOB_COMPLETION_OPERATIONS)
            && let Some(key) = self.commit_queue.finished_jobs.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            let Some(state) = job.completion.begin_commit() else { continue };
            let mut record = FinalRecord {
                state,
                done: job.completed,
                team: job.spec.team.clone(),
                notes: job.notes.iter().cloned().collect(),
            };
            if !fits_value_limit(&record, self.config.platform.store.value_kb) {
                record.notes.clear();
            }
            let Ok(value) = serde_json::to_value(&record) else { continue };
            commit.require(final_state_key(&job.id), 0);
            commit.put(final_state_key(&job.id), value);
            commit.delete(job_key(&job.id));
            commit.items.push(CommitItem::Final { job: key, record });
        }
    }

    /// Adds registry records that must be durable before tasks start on some machine in them.
    pub(super) fn add_registry(&mut self, commit: &mut PendingCommit) {
        while commit.can_add(1)
            && let Some(number) = self.commit_queue.registry.pop_urgent()
        {
            self.add_registry_record(commit, number);
        }
    }

    /// Adds registry records with hints for the next leader, within the budget for hints.
    pub(super) fn add_registry_hints(&mut self, commit: &mut PendingCommit, now: MonotonicTime) {
        while commit.can_add(1) && self.commit_queue.hint_bucket.has_token(now) {
            let Some(number) = self.commit_queue.registry.pop_stale() else { break };
            self.commit_queue.hint_bucket.consume(1);
            self.add_registry_record(commit, number);
        }
    }

    fn add_registry_record(&mut self, commit: &mut PendingCommit, number: u64) {
        let cached_images = |machine: &str| {
            let machine = self.machines.get(machine);
            let cached = machine.map(|m| m.images.as_slice()).unwrap_or_default();
            self.images.with_names(cached)
        };
        let value_kb = self.config.platform.store.value_kb;
        let Some(value) = self.commit_queue.registry.record_value(number, value_kb, cached_images)
        else {
            self.commit_queue.registry.split(number);
            return;
        };
        let members = self.commit_queue.registry.members(number).map(|(machine, _)| {
            let images = self.machines.get(machine).map(Machine::image_ids).unwrap_or_default();
            RegistryMember { machine: machine.clone(), images }
        });
        let members: Vec<RegistryMember> = members.collect();
        let key = MachineRegistry::key(number);
        commit.require_known_revision(&self.commit_queue.mod_revisions, &key);
        if members.is_empty() {
            commit.delete(key);
        } else {
            commit.put(key, value);
        }
        commit.items.push(CommitItem::MachineRegistry { number, members });
    }

    /// Adds progress pages with results that are not durable.
    pub(super) fn add_progress_pages(&mut self, commit: &mut PendingCommit) {
        let mut waiting = Vec::new();
        while commit.can_add(1)
            && let Some(JobPage { job: key, page }) = self.commit_queue.progress_pages.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            // A job that is ending or has ended needs no progress record.
            if !job.is_active() {
                job.progress.unqueue(page);
                continue;
            }
            if job.progress.must_not_overwrite_yet(page) {
                waiting.push(JobPage { job: key, page });
                continue;
            }
            let record = ProgressRecord::new(&job.completed_flags(page));
            let Ok(value) = serde_json::to_value(&record) else { continue };
            job.progress.unqueue(page);
            let store_key = job.progress.key(&job.id, page);
            commit.require(store_key.clone(), job.progress.mod_revision(page));
            commit.put(store_key, value);
            commit.items.push(CommitItem::ProgressPage { job: key, page, record });
        }
        self.commit_queue.progress_pages.extend(waiting);
    }

    /// Adds start watermark records that tasks wait for, or that make an assumed watermark durable.
    pub(super) fn add_watermark_raises(&mut self, commit: &mut PendingCommit) {
        let mut shared: BTreeMap<u64, Vec<JobKey>> = BTreeMap::new();
        while commit.can_add(1 + shared.len())
            && let Some(key) = self.commit_queue.watermark_raises.pop_first()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            if !job.is_small() || job.stored_min_tasks.is_some() {
                self.add_scheduling_record(commit, key);
            } else if job.is_active() {
                let watermarks = &mut self.commit_queue.shared_watermarks;
                // A record of an earlier leader may exceed the current value limit.
                let current = job.start_watermark.shared_record_number();
                let usable = current.filter(|number| !watermarks.is_too_large(*number));
                let number = usable.unwrap_or_else(|| watermarks.add(&job.id));
                job.start_watermark.set_shared_record_number(number);
                shared.entry(number).or_default().push(key);
            }
        }
        for (number, jobs) in shared {
            self.add_shared_watermarks(commit, number, jobs);
        }
    }

    fn add_shared_watermarks(
        &mut self,
        commit: &mut PendingCommit,
        number: u64,
        waiting: Vec<JobKey>,
    ) {
        let jobs = self.commit_queue.shared_watermarks.jobs(number).cloned().unwrap_or_default();
        let record = SharedStartWatermarksRecord { jobs };
        let Ok(value) = serde_json::to_value(record) else { return };
        let key = shared_watermarks_key(number);
        commit.require_known_revision(&self.commit_queue.mod_revisions, &key);
        commit.put(key, value);
        commit.items.push(CommitItem::SharedWatermarks { number, jobs: waiting });
    }

    /// Adds the marker that says that the start watermarks are complete, once they are.
    pub(super) fn add_watermark_marker(&mut self, commit: &mut PendingCommit) {
        let keys = self.commit_queue.watermark_marker.due_keys();
        if keys.is_empty() || !commit.can_add(keys.len()) {
            return;
        }
        for key in keys {
            commit.put((*key).to_owned(), last_fencing_token(self.term).into());
        }
        commit.items.push(CommitItem::WatermarkMarker);
        self.commit_queue.watermark_marker.mark_sent();
    }

    /// Adds the deletions of keys that nothing refers to any more.
    pub(super) fn add_key_deletions(&mut self, commit: &mut PendingCommit) {
        while commit.can_add(1)
            && let Some(key) = self.commit_queue.keys_to_delete.pop_front()
        {
            commit.delete(key.clone());
            commit.items.push(CommitItem::KeyDeletion(key));
        }
    }

    /// Adds scheduling records with hints for the next leader, within the budget for hints.
    pub(super) fn add_scheduling_records(
        &mut self,
        commit: &mut PendingCommit,
        now: MonotonicTime,
    ) {
        while commit.can_add(1) && self.commit_queue.hint_bucket.has_token(now) {
            let Some(key) = self.commit_queue.scheduling_records.pop_first() else { break };
            self.commit_queue.hint_bucket.consume(1);
            self.add_scheduling_record(commit, key);
        }
    }

    fn add_scheduling_record(&mut self, commit: &mut PendingCommit, key: JobKey) {
        let Some(job) = self.jobs.get(&key).filter(|job| job.is_active()) else { return };
        let record = JobSchedulingRecord {
            min_tasks: job.min_tasks,
            run_time_count: job.run_times.count,
            run_time_sum_ms: whole_millis(job.run_times.sum),
            start_watermark: job.start_watermark.value_to_record(),
        };
        let Ok(value) = serde_json::to_value(&record) else { return };
        let store_key = scheduling_key(&job.id);
        commit.require_known_revision(&self.commit_queue.mod_revisions, &store_key);
        commit.put(store_key, value);
        commit.items.push(CommitItem::Scheduling { job: key, record });
        self.commit_queue.scheduling_records.remove(&key);
    }

    /// Adds the record of all job classes, a hint for the next leader, if one of them has changed.
    pub(super) fn add_classes(&mut self, commit: &mut PendingCommit, now: MonotonicTime) {
        if !self.commit_queue.classes_changed
            || !commit.can_add(1)
            || !self.commit_queue.hint_bucket.has_token(now)
        {
            return;
        }
        self.commit_queue.classes_changed = false;
        let classes: BTreeMap<&String, ClassRecord> =
            self.classes.iter().map(|(name, class)| (name, class.record())).collect();
        let Ok(value) = serde_json::to_value(&classes) else { return };
        // If the classes exceed the value limit, the next leader gets no hint.
        if !fits_value_limit(&value, self.config.platform.store.value_kb) {
            return;
        }
        self.commit_queue.hint_bucket.consume(1);
        commit.require_known_revision(&self.commit_queue.mod_revisions, CLASSES_KEY);
        commit.put(CLASSES_KEY.to_owned(), value);
        commit.items.push(CommitItem::Classes);
    }

    /// Sets a job's minimum task count. Queues its scheduling record, as a hint for the next
    /// leader, if the count has changed enough.
    pub(super) fn set_min_tasks(&mut self, key: JobKey, min_tasks: u32) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.min_tasks = min_tasks;
        if !job.is_small() && should_rewrite_min_tasks(job.stored_min_tasks, min_tasks) {
            self.commit_queue.scheduling_records.insert(key);
        }
    }
}
