use super::commit_queue::{CommitItem, CommitResult, PendingCommit, is_leader_record};
use super::machine_registry::MachineRegistry;
use super::{CachedImage, ClusterState, JobKey};
use crate::records::{
    CLASSES_KEY, ClassRecord, FinalRecord, JobSchedulingRecord, ProgressRecord,
    SharedStartWatermarksRecord, final_state_key, fits_value_limit, job_key, parse_progress_key,
    progress_key, scheduling_key, shared_watermarks_key,
};
use hookway_constants as constants;
use hookway_policy::min_tasks_need_rewrite;
use hookway_wire::{JobId, KeyValue, Operation, Transaction};
use std::collections::BTreeMap;

impl ClusterState {
    /// Whether some write showed that another node leads.
    pub fn leadership_lost(&self) -> bool {
        self.commit_queue.leadership_lost
    }

    /// The next transaction, if something waits, the budget allows it and none is under way.
    /// Ends of jobs go first, since users wait for them; hints for the next leader last.
    pub fn next_commit(&mut self, now: u64) -> Option<PendingCommit> {
        if self.commit_queue.commit_in_flight
            || self.commit_queue.leadership_lost
            || now < self.commit_queue.backoff_until
        {
            return None;
        }
        let tokens = self.commit_queue.bucket.fill(now).floor() as usize;
        self.retry_rejected(now);
        let most = self.commit_queue.max_operations.min(tokens);
        if most < constants::JOB_COMPLETION_OPERATIONS {
            return None;
        }
        let mut commit = PendingCommit {
            transaction: Transaction {
                preconditions: vec![self.commit_queue.leader_precondition.clone()],
                operations: vec![],
            },
            items: vec![],
            max_operations: most,
            bytes: 0,
        };
        self.add_finished_jobs(&mut commit);
        self.add_registry(&mut commit);
        self.add_watermark_raises(&mut commit);
        self.add_progress_pages(&mut commit);
        while commit.has_room_for(1)
            && let Some(key) = self.commit_queue.stale_keys.pop_front()
        {
            commit.delete(key.clone());
            commit.items.push(CommitItem::StaleKey(key));
        }
        self.add_scheduling_records(&mut commit, now);
        self.add_classes(&mut commit, now);
        self.add_registry_hints(&mut commit, now);
        if commit.transaction.operations.is_empty() {
            return None;
        }
        self.commit_queue.bucket.tokens -= commit.transaction.operations.len() as f64;
        self.commit_queue.commit_in_flight = true;
        Some(commit)
    }

    fn add_finished_jobs(&mut self, commit: &mut PendingCommit) {
        while commit.has_room_for(constants::JOB_COMPLETION_OPERATIONS)
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
            if !fits_value_limit(&record, self.config.platform.state.value_kb) {
                record.notes.clear();
            }
            let Ok(value) = serde_json::to_value(&record) else { continue };
            commit.require(final_state_key(&job.id), 0);
            commit.put(final_state_key(&job.id), value);
            commit.delete(job_key(&job.id));
            commit.items.push(CommitItem::Final(key, record));
        }
    }

    fn add_registry(&mut self, commit: &mut PendingCommit) {
        while commit.has_room_for(1)
            && let Some(number) = self.commit_queue.registry.next_urgent()
        {
            self.add_registry_record(commit, number);
        }
    }

    /// Hints about machines, within the share of minimums, since nothing waits for them.
    fn add_registry_hints(&mut self, commit: &mut PendingCommit, now: u64) {
        while commit.has_room_for(1) && self.commit_queue.minimum_bucket.fill(now) >= 1.0 {
            let Some(number) = self.commit_queue.registry.next_stale() else { break };
            self.commit_queue.minimum_bucket.tokens -= 1.0;
            self.add_registry_record(commit, number);
        }
    }

    fn add_registry_record(&mut self, commit: &mut PendingCommit, number: u64) {
        let names = &self.image_names;
        let images = |machine: &str| -> Vec<(&str, f64)> {
            let held = self.machines.get(machine).map(|h| h.images.as_slice()).unwrap_or_default();
            let named = |c: &CachedImage| Some((names.get(c.image as usize)?.as_str(), c.size_gb));
            held.iter().filter_map(named).collect()
        };
        let value_kb = self.config.platform.state.value_kb;
        let Some(value) = self.commit_queue.registry.record(number, value_kb, images) else {
            self.commit_queue.registry.split(number);
            return;
        };
        let members = self.commit_queue.registry.members(number).map(|(machine, _)| {
            let images =
                self.machines.get(machine).map(super::Machine::image_ids).unwrap_or_default();
            (machine.clone(), images)
        });
        let members: Vec<(String, Vec<u32>)> = members.collect();
        let key = MachineRegistry::key(number);
        commit.require_known_revision(&self.commit_queue.mod_revisions, &key);
        if members.is_empty() {
            commit.delete(key);
        } else {
            commit.put(key, value);
        }
        commit.items.push(CommitItem::MachineRegistry(number, members));
    }

    fn add_progress_pages(&mut self, commit: &mut PendingCommit) {
        let mut waiting = Vec::new();
        while commit.has_room_for(1)
            && let Some((key, chunk)) = self.commit_queue.progress_pages.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            // What is over, or about to be, needs no progress record.
            if !job.is_active() {
                job.progress.unqueue(chunk);
                continue;
            }
            if job.progress.must_wait(chunk) {
                waiting.push((key, chunk));
                continue;
            }
            let record = ProgressRecord::new(&job.results(chunk));
            let Ok(value) = serde_json::to_value(&record) else { continue };
            job.progress.unqueue(chunk);
            let name = job.progress.key(&job.id, chunk);
            commit.require(name.clone(), job.progress.mod_revision(chunk));
            commit.put(name, value);
            commit.items.push(CommitItem::ProgressPage(key, chunk, record));
        }
        self.commit_queue.progress_pages.extend(waiting);
    }

    fn add_watermark_raises(&mut self, commit: &mut PendingCommit) {
        let mut shared: BTreeMap<u64, Vec<JobKey>> = BTreeMap::new();
        while commit.has_room_for(1 + shared.len())
            && let Some(key) = self.commit_queue.watermark_raises.pop_first()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            if job.is_small() && job.stored_min_tasks.is_none() {
                if job.is_active() {
                    // A record of an earlier leader may be larger than values may be now.
                    let kept = job
                        .start_watermark
                        .shared_record()
                        .filter(|n| !self.commit_queue.shared_watermarks.too_large(*n));
                    let number =
                        kept.unwrap_or_else(|| self.commit_queue.shared_watermarks.add(&job.id));
                    job.start_watermark.set_shared_record(number);
                    shared.entry(number).or_default().push(key);
                }
                continue;
            }
            self.add_scheduling_record(commit, key);
        }
        for (number, keys) in shared {
            let jobs =
                self.commit_queue.shared_watermarks.jobs(number).cloned().unwrap_or_default();
            let Ok(value) = serde_json::to_value(SharedStartWatermarksRecord { jobs }) else {
                continue;
            };
            let key = shared_watermarks_key(number);
            commit.require_known_revision(&self.commit_queue.mod_revisions, &key);
            commit.put(key, value);
            commit.items.push(CommitItem::SharedWatermarks(number, keys));
        }
    }

    fn add_scheduling_records(&mut self, commit: &mut PendingCommit, now: u64) {
        while commit.has_room_for(1) && self.commit_queue.minimum_bucket.fill(now) >= 1.0 {
            let Some(key) = self.commit_queue.scheduling_records.pop_first() else { break };
            self.commit_queue.minimum_bucket.tokens -= 1.0;
            self.add_scheduling_record(commit, key);
        }
    }

    /// What the next leader should know of the classes; one record for all, written when one changes.
    fn add_classes(&mut self, commit: &mut PendingCommit, now: u64) {
        if !self.commit_queue.classes_changed
            || !commit.has_room_for(1)
            || self.commit_queue.minimum_bucket.fill(now) < 1.0
        {
            return;
        }
        self.commit_queue.classes_changed = false;
        let classes: BTreeMap<&String, ClassRecord> =
            self.classes.iter().map(|(name, class)| (name, class.record())).collect();
        let Ok(value) = serde_json::to_value(&classes) else { return };
        // It is a hint: where there are too many classes for one value, the next leader does without.
        if !fits_value_limit(&value, self.config.platform.state.value_kb) {
            return;
        }
        self.commit_queue.minimum_bucket.tokens -= 1.0;
        commit.require_known_revision(&self.commit_queue.mod_revisions, CLASSES_KEY);
        commit.put(CLASSES_KEY.to_owned(), value);
        commit.items.push(CommitItem::Classes);
    }

    fn add_scheduling_record(&mut self, commit: &mut PendingCommit, key: JobKey) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.is_active()) else { return };
        let record = JobSchedulingRecord {
            min_tasks: job.min_tasks,
            run_time_count: job.run_time_count,
            run_time_sum_ms: job.run_time_sum_ms,
            start_watermark: job.start_watermark.highest(),
        };
        let Ok(value) = serde_json::to_value(&record) else { return };
        let name = scheduling_key(&job.id);
        commit.require_known_revision(&self.commit_queue.mod_revisions, &name);
        commit.put(name, value);
        commit.items.push(CommitItem::Scheduling(key, record));
        self.commit_queue.scheduling_records.remove(&key);
    }

    /// A job's minimum is now this: kept for the next leader if it changed by a quarter.
    pub(super) fn set_min_tasks(&mut self, key: JobKey, least: u32) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.min_tasks = least;
        if !job.is_small() && min_tasks_need_rewrite(job.stored_min_tasks, least) {
            self.commit_queue.scheduling_records.insert(key);
        }
    }

    /// What became of the transaction under way.
    pub fn committed(&mut self, commit: PendingCommit, result: CommitResult, now: u64) {
        self.commit_queue.commit_in_flight = false;
        match result {
            CommitResult::Applied(revision) => {
                for change in &commit.transaction.operations {
                    match change {
                        Operation::Put { key: put, .. } if is_leader_record(put) => {
                            self.commit_queue.set_mod_revision(put, revision)
                        }
                        Operation::Put { .. } => {}
                        Operation::Delete { key: delete } => {
                            self.commit_queue.set_mod_revision(delete, 0)
                        }
                    }
                }
                for item in commit.items {
                    self.applied(item, revision);
                }
            }
            CommitResult::NotApplied => {
                self.commit_queue.backoff_until = now + constants::LEADER_RETRY_MS;
                for item in commit.items {
                    self.end_not_applied(&item);
                    self.requeue(item);
                }
            }
            CommitResult::Rejected => self.rejected(commit, now),
            CommitResult::Indeterminate(learned) => {
                for (key, value) in learned {
                    if key == self.commit_queue.leader_precondition.key {
                        let stamp = value.as_ref().map_or(0, |v| v.mod_revision);
                        if stamp != self.commit_queue.leader_precondition.mod_revision {
                            tracing::info!("another node leads now, or none");
                            self.commit_queue.leadership_lost = true;
                        }
                        continue;
                    }
                    self.apply_reread(&key, value);
                }
                for item in commit.items {
                    if let CommitItem::Final(key, _) = &item
                        && let Some(job) = self.jobs.get_mut(key)
                    {
                        job.completion.commit_indeterminate();
                    }
                    self.requeue(item);
                }
            }
        }
    }

    /// An end that was not carried out this time. An earlier transaction with it that had no answer still may
    /// be, and other controllers then tell the end that they read.
    fn end_not_applied(&mut self, item: &CommitItem) {
        if let CommitItem::Final(key, _) = item
            && let Some(job) = self.jobs.get_mut(key)
        {
            job.completion.commit_not_applied();
        }
    }

    /// The state service rejected a transaction for its size. It is tried again in smaller parts; what is
    /// rejected by itself waits and holds up nothing else.
    fn rejected(&mut self, commit: PendingCommit, now: u64) {
        self.commit_queue.backoff_until = now + constants::LEADER_RETRY_MS;
        let changes = commit.transaction.operations.len();
        self.commit_queue.max_operations = (changes / 2).max(constants::JOB_COMPLETION_OPERATIONS);
        let alone = commit.items.len() == 1;
        for item in commit.items {
            self.end_not_applied(&item);
            if alone {
                let retry_at = now + constants::REJECTED_RETRY_MS;
                self.commit_queue.rejected.push_back((retry_at, item));
            } else {
                self.requeue(item);
            }
        }
    }

    /// What was rejected by itself goes back to its queue after a while.
    fn retry_rejected(&mut self, now: u64) {
        while self.commit_queue.rejected.front().is_some_and(|(retry_at, _)| now >= *retry_at)
            && let Some((_, item)) = self.commit_queue.rejected.pop_front()
        {
            self.requeue(item);
        }
    }

    fn applied(&mut self, item: CommitItem, revision: u64) {
        match item {
            CommitItem::Final(key, record) => self.complete_job(key, record),
            CommitItem::ProgressPage(key, chunk, record) => {
                if let Some(job) = self.jobs.get(&key) {
                    let from = job.progress.range(chunk).start;
                    self.results_stored(key, from, revision, Some(&record));
                }
            }
            CommitItem::MachineRegistry(number, members) => {
                self.commit_queue
                    .registry
                    .stored(number, members.iter().map(|(machine, _)| machine.as_str()));
                for (machine, images) in members {
                    // What is gone meanwhile has left its record, which is out of date already.
                    if let Some(h) = self.machines.get_mut(&machine) {
                        h.registered = true;
                        h.stored_images = images;
                    }
                    if let Some(old) = self.commit_queue.legacy_registry_keys.remove(&machine) {
                        self.commit_queue.stale_keys.push_back(old);
                    }
                }
            }
            CommitItem::Scheduling(key, record) => {
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.stored_min_tasks = Some(record.min_tasks);
                    job.start_watermark.record_stored(record.start_watermark);
                    if job.completion.is_final() {
                        let name = scheduling_key(&job.id);
                        self.commit_queue.stale_keys.push_back(name);
                    }
                }
            }
            CommitItem::SharedWatermarks(number, keys) => {
                for key in keys {
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.start_watermark.record_stored(job.spec.tasks);
                    }
                }
                // All of them ended while it was under way.
                if self.commit_queue.shared_watermarks.jobs(number).is_none() {
                    self.commit_queue.stale_keys.push_back(shared_watermarks_key(number));
                }
            }
            CommitItem::StaleKey(_) | CommitItem::Classes => {}
        }
    }

    /// An item that may not have been written goes back to its queue.
    fn requeue(&mut self, item: CommitItem) {
        match item {
            CommitItem::Final(key, _) => {
                if self.jobs.get(&key).is_some_and(|j| !j.completion.is_final()) {
                    self.commit_queue.finished_jobs.push_front(key);
                }
            }
            CommitItem::ProgressPage(key, chunk, _) => {
                if self.jobs.get_mut(&key).is_some_and(|job| job.progress.queue(chunk)) {
                    self.commit_queue.progress_pages.push_back((key, chunk));
                }
            }
            CommitItem::MachineRegistry(number, _) => self.commit_queue.registry.requeue(number),
            CommitItem::StaleKey(key) => self.commit_queue.stale_keys.push_back(key),
            CommitItem::Classes => self.commit_queue.classes_changed = true,
            CommitItem::SharedWatermarks(_, keys) => {
                self.commit_queue.watermark_raises.extend(keys)
            }
            CommitItem::Scheduling(key, _) => {
                let waits = |j: &super::Job| j.start_watermark.needs_record();
                if self.jobs.get(&key).is_some_and(waits) {
                    self.commit_queue.watermark_raises.insert(key);
                }
            }
        }
    }

    fn queue_progress_page(&mut self, key: JobKey, chunk: usize) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.has_unstored_results(chunk) && job.progress.queue(chunk) {
            self.commit_queue.progress_pages.push_back((key, chunk));
        }
    }

    /// A key was read again after an unclear or failed transaction.
    fn apply_reread(&mut self, key: &str, value: Option<KeyValue>) {
        if is_leader_record(key) {
            self.commit_queue.set_mod_revision(key, value.map_or(0, |kv| kv.mod_revision));
            return;
        }
        let mut parts = key.split('/');
        let kind = parts.next().unwrap_or_default();
        let job =
            parts.next().and_then(JobId::parse).and_then(|id| self.job_keys.get(&id)).copied();
        let Some(job) = job else { return };
        match kind {
            "f" => {
                let record =
                    value.and_then(|kv| serde_json::from_value::<FinalRecord>(kv.value).ok());
                if let Some(record) = record {
                    self.complete_job(job, record);
                }
            }
            "p" => {
                let Some((_, from)) = parse_progress_key(key) else { return };
                let stamp = value.as_ref().map_or(0, |kv| kv.mod_revision);
                let record =
                    value.and_then(|kv| serde_json::from_value::<ProgressRecord>(kv.value).ok());
                self.apply_progress_record(job, from, stamp, record.as_ref());
            }
            _ => {}
        }
    }

    /// The progress record that begins at task `from`, as it is in the store.
    pub(super) fn apply_progress_record(
        &mut self,
        key: JobKey,
        from: u32,
        stamp: u64,
        record: Option<&ProgressRecord>,
    ) {
        self.results_stored(key, from, stamp, record);
        let Some(job) = self.jobs.get(&key) else { return };
        let chunk = job.progress.page_of(from);
        if from < job.spec.tasks {
            self.queue_progress_page(key, chunk);
        }
    }

    /// Results are in the store.
    fn results_stored(
        &mut self,
        key: JobKey,
        from: u32,
        stamp: u64,
        record: Option<&ProgressRecord>,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        // A replica's end is no result, whatever a record says.
        if job.spec.is_daemon() || from >= job.spec.tasks {
            return;
        }
        let learned = job.progress.learn(from, stamp, record);
        for index in learned.done {
            job.mark_completed(index);
        }
        for chunk in learned.pages_to_write {
            if job.progress.queue(chunk) {
                self.commit_queue.progress_pages.push_back((key, chunk));
            }
        }
        self.stops_due = true;
        if job.completion.is_final() && stamp != 0 {
            self.commit_queue.stale_keys.push_back(progress_key(&job.id, from));
        }
        self.finish_if_complete(key);
    }

    /// All tasks of a job are done: its end is to be written.
    pub(super) fn finish_if_complete(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.completed == job.spec.tasks && !job.spec.is_daemon() && job.completion.finish() {
            self.commit_queue.finished_jobs.push_back(key);
        }
    }
}
