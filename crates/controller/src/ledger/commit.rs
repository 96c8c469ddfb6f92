use super::roster::Roster;
use super::writer::{Commit, CommitResult, Item, is_own};
use super::{Ledger, Slot};
use crate::records::{
    CLASSES, ClassRecord, FinalRecord, MinimumRecord, ProgressRecord, SharedMarksRecord, final_key,
    fits, job_key, minimum_key, progress_key, progress_place, shared_marks_key,
};
use hookway_constants as constants;
use hookway_policy::min_tasks_need_rewrite;
use hookway_wire::{JobId, JobState, KeyValue, Operation, Transaction};
use std::collections::BTreeMap;

impl Ledger {
    /// Whether some write showed that another node leads.
    pub fn deposed(&self) -> bool {
        self.writer.deposed
    }

    /// The next transaction, if something waits, the budget allows it and none is under way.
    /// Ends of jobs go first, since users wait for them; hints for the next leader last.
    pub fn next_commit(&mut self, now: u64) -> Option<Commit> {
        if self.writer.busy || self.writer.deposed || now < self.writer.pause_until {
            return None;
        }
        let tokens = self.writer.bucket.fill(now).floor() as usize;
        self.retry_rejected(now);
        let most = self.writer.most_changes.min(tokens);
        if most < constants::JOB_COMPLETION_OPERATIONS {
            return None;
        }
        let mut commit = Commit {
            transaction: Transaction {
                preconditions: vec![self.writer.lead.clone()],
                operations: vec![],
            },
            items: vec![],
            most,
            bytes: 0,
        };
        self.add_finals(&mut commit);
        self.add_roster(&mut commit);
        self.add_opens(&mut commit);
        self.add_chunks(&mut commit);
        while commit.open(1)
            && let Some(key) = self.writer.trash.pop_front()
        {
            commit.delete(key.clone());
            commit.items.push(Item::Trash(key));
        }
        self.add_minimums(&mut commit, now);
        self.add_classes(&mut commit, now);
        self.add_hints(&mut commit, now);
        if commit.transaction.operations.is_empty() {
            return None;
        }
        self.writer.bucket.units -= commit.transaction.operations.len() as f64;
        self.writer.busy = true;
        Some(commit)
    }

    fn add_finals(&mut self, commit: &mut Commit) {
        while commit.open(constants::JOB_COMPLETION_OPERATIONS)
            && let Some(key) = self.writer.finals.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            let Some(state) = job.ending.filter(|_| job.over.is_none()) else { continue };
            job.deciding = true;
            let mut record = FinalRecord {
                state,
                done: job.done,
                team: job.spec.team.clone(),
                notes: job.notes.iter().cloned().collect(),
            };
            if !fits(&record, self.setup.params.state.value_kb) {
                record.notes.clear();
            }
            let Ok(value) = serde_json::to_value(&record) else { continue };
            commit.guard(final_key(&job.id), 0);
            commit.put(final_key(&job.id), value);
            commit.delete(job_key(&job.id));
            commit.items.push(Item::Final(key, record));
        }
    }

    fn add_roster(&mut self, commit: &mut Commit) {
        while commit.open(1)
            && let Some(number) = self.writer.roster.next_urgent()
        {
            self.add_roster_record(commit, number);
        }
    }

    /// Hints about machines, within the share of minimums, since nothing waits for them.
    fn add_hints(&mut self, commit: &mut Commit, now: u64) {
        while commit.open(1) && self.writer.minimum_bucket.fill(now) >= 1.0 {
            let Some(number) = self.writer.roster.next_stale() else { break };
            self.writer.minimum_bucket.units -= 1.0;
            self.add_roster_record(commit, number);
        }
    }

    fn add_roster_record(&mut self, commit: &mut Commit, number: u64) {
        let names = &self.image_names;
        let images = |machine: &str| -> Vec<(&str, f64)> {
            let held = self.machines.get(machine).map(|h| h.images.as_slice()).unwrap_or_default();
            let named = |(i, gb): &(u32, f64)| Some((names.get(*i as usize)?.as_str(), *gb));
            held.iter().filter_map(named).collect()
        };
        let value_kb = self.setup.params.state.value_kb;
        let Some(value) = self.writer.roster.record(number, value_kb, images) else {
            self.writer.roster.divide(number);
            return;
        };
        let members = self.writer.roster.members(number).map(|(machine, _)| {
            let images =
                self.machines.get(machine).map(super::Machine::image_set).unwrap_or_default();
            (machine.clone(), images)
        });
        let members: Vec<(String, Vec<u32>)> = members.collect();
        let key = Roster::key(number);
        commit.over(&self.writer.stamps, &key);
        if members.is_empty() {
            commit.delete(key);
        } else {
            commit.put(key, value);
        }
        commit.items.push(Item::Roster(number, members));
    }

    fn add_chunks(&mut self, commit: &mut Commit) {
        let mut waiting = Vec::new();
        while commit.open(1)
            && let Some((key, chunk)) = self.writer.chunks.pop_front()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            // What is over, or about to be, needs no progress record.
            if !job.live() {
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
            commit.guard(name.clone(), job.progress.stamp(chunk));
            commit.put(name, value);
            commit.items.push(Item::Chunk(key, chunk, record));
        }
        self.writer.chunks.extend(waiting);
    }

    fn add_opens(&mut self, commit: &mut Commit) {
        let mut shared: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        while commit.open(1 + shared.len())
            && let Some(key) = self.writer.opens.pop_first()
        {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            if job.small() && job.written_minimum.is_none() {
                if job.live() {
                    // A record of an earlier leader may be larger than values may be now.
                    let kept = job.shared_mark.filter(|n| !self.writer.marks.too_large(*n));
                    let number = kept.unwrap_or_else(|| self.writer.marks.add(&job.id));
                    job.shared_mark = Some(number);
                    shared.entry(number).or_default().push(key);
                }
                continue;
            }
            self.add_minimum(commit, key);
        }
        for (number, keys) in shared {
            let jobs = self.writer.marks.jobs(number).cloned().unwrap_or_default();
            let Ok(value) = serde_json::to_value(SharedMarksRecord { jobs }) else { continue };
            let key = shared_marks_key(number);
            commit.over(&self.writer.stamps, &key);
            commit.put(key, value);
            commit.items.push(Item::Marks(number, keys));
        }
    }

    fn add_minimums(&mut self, commit: &mut Commit, now: u64) {
        while commit.open(1) && self.writer.minimum_bucket.fill(now) >= 1.0 {
            let Some(key) = self.writer.minimums.pop_first() else { break };
            self.writer.minimum_bucket.units -= 1.0;
            self.add_minimum(commit, key);
        }
    }

    /// What the next leader should know of the classes; one record for all, written when one changes.
    fn add_classes(&mut self, commit: &mut Commit, now: u64) {
        if !self.writer.classes || !commit.open(1) || self.writer.minimum_bucket.fill(now) < 1.0 {
            return;
        }
        self.writer.classes = false;
        let classes: BTreeMap<&String, ClassRecord> =
            self.classes.iter().map(|(name, class)| (name, class.record())).collect();
        let Ok(value) = serde_json::to_value(&classes) else { return };
        // It is a hint: where there are too many classes for one value, the next leader does without.
        if !fits(&value, self.setup.params.state.value_kb) {
            return;
        }
        self.writer.minimum_bucket.units -= 1.0;
        commit.over(&self.writer.stamps, CLASSES);
        commit.put(CLASSES.to_owned(), value);
        commit.items.push(Item::Classes);
    }

    fn add_minimum(&mut self, commit: &mut Commit, key: u64) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.live()) else { return };
        let record = MinimumRecord {
            least: job.least,
            timed: job.timed,
            sum_ms: job.sum_ms,
            opened: job.opened.max(job.opening),
        };
        let Ok(value) = serde_json::to_value(&record) else { return };
        let name = minimum_key(&job.id);
        commit.over(&self.writer.stamps, &name);
        commit.put(name, value);
        commit.items.push(Item::Minimum(key, record));
        self.writer.minimums.remove(&key);
    }

    /// A job's minimum is now this: kept for the next leader if it changed by a quarter.
    pub(super) fn keep_minimum(&mut self, key: u64, least: u32) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.least = least;
        if !job.small() && min_tasks_need_rewrite(job.written_minimum, least) {
            self.writer.minimums.insert(key);
        }
    }

    /// What became of the transaction under way.
    pub fn committed(&mut self, commit: Commit, result: CommitResult, now: u64) {
        self.writer.busy = false;
        match result {
            CommitResult::Applied(revision) => {
                for change in &commit.transaction.operations {
                    match change {
                        Operation::Put { key: put, .. } if is_own(put) => {
                            self.writer.stamp(put, revision)
                        }
                        Operation::Put { .. } => {}
                        Operation::Delete { key: delete } => self.writer.stamp(delete, 0),
                    }
                }
                for item in commit.items {
                    self.applied(item, revision);
                }
            }
            CommitResult::NotDone => {
                self.writer.pause_until = now + constants::LEADER_RETRY_MS;
                for item in commit.items {
                    self.not_carried_out(&item);
                    self.again(item);
                }
            }
            CommitResult::Rejected => self.rejected(commit, now),
            CommitResult::Unsure(learned) => {
                for (key, value) in learned {
                    if key == self.writer.lead.key {
                        let stamp = value.as_ref().map_or(0, |v| v.mod_revision);
                        if stamp != self.writer.lead.mod_revision {
                            tracing::info!("another node leads now, or none");
                            self.writer.deposed = true;
                        }
                        continue;
                    }
                    self.learn(&key, value);
                }
                for item in commit.items {
                    if let Item::Final(key, _) = &item
                        && let Some(job) = self.jobs.get_mut(key)
                    {
                        job.in_doubt = true;
                    }
                    self.again(item);
                }
            }
        }
    }

    /// An end that was not carried out this time. An earlier transaction with it that had no answer still may
    /// be, and other controllers then tell the end that they read.
    fn not_carried_out(&mut self, item: &Item) {
        if let Item::Final(key, _) = item
            && let Some(job) = self.jobs.get_mut(key)
        {
            job.deciding = job.in_doubt;
        }
    }

    /// The state service rejected a transaction for its size. It is tried again in smaller parts; what is
    /// rejected by itself waits and holds up nothing else.
    fn rejected(&mut self, commit: Commit, now: u64) {
        self.writer.pause_until = now + constants::LEADER_RETRY_MS;
        let changes = commit.transaction.operations.len();
        self.writer.most_changes = (changes / 2).max(constants::JOB_COMPLETION_OPERATIONS);
        let alone = commit.items.len() == 1;
        for item in commit.items {
            self.not_carried_out(&item);
            if alone {
                let retry_at = now + constants::REJECTED_RETRY_MS;
                self.writer.rejected.push_back((retry_at, item));
            } else {
                self.again(item);
            }
        }
    }

    /// What was rejected by itself goes back to its queue after a while.
    fn retry_rejected(&mut self, now: u64) {
        while self.writer.rejected.front().is_some_and(|(retry_at, _)| now >= *retry_at)
            && let Some((_, item)) = self.writer.rejected.pop_front()
        {
            self.again(item);
        }
    }

    fn applied(&mut self, item: Item, revision: u64) {
        match item {
            Item::Final(key, record) => self.decide(key, record),
            Item::Chunk(key, chunk, record) => {
                if let Some(job) = self.jobs.get(&key) {
                    let from = job.progress.range(chunk).start;
                    self.durable(key, from, revision, Some(&record));
                }
            }
            Item::Roster(number, members) => {
                self.writer
                    .roster
                    .stored(number, members.iter().map(|(machine, _)| machine.as_str()));
                for (machine, images) in members {
                    // What is gone meanwhile has left its record, which is out of date already.
                    if let Some(h) = self.machines.get_mut(&machine) {
                        h.rostered = true;
                        h.written_images = images;
                    }
                    if let Some(old) = self.writer.old_entries.remove(&machine) {
                        self.writer.trash.push_back(old);
                    }
                }
            }
            Item::Minimum(key, record) => {
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.written_minimum = Some(record.least);
                    job.opened = job.opened.max(record.opened);
                    job.written_opened = true;
                    if job.over.is_some() {
                        let name = minimum_key(&job.id);
                        self.writer.trash.push_back(name);
                    }
                }
            }
            Item::Marks(number, keys) => {
                for key in keys {
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.opened = job.spec.tasks;
                        job.written_opened = true;
                    }
                }
                // All of them ended while it was under way.
                if self.writer.marks.jobs(number).is_none() {
                    self.writer.trash.push_back(shared_marks_key(number));
                }
            }
            Item::Trash(_) | Item::Classes => {}
        }
    }

    /// An item that may not have been written goes back to its queue.
    fn again(&mut self, item: Item) {
        match item {
            Item::Final(key, _) => {
                if self.jobs.get(&key).is_some_and(|j| j.over.is_none()) {
                    self.writer.finals.push_front(key);
                }
            }
            Item::Chunk(key, chunk, _) => {
                if self.jobs.get_mut(&key).is_some_and(|job| job.progress.queue(chunk)) {
                    self.writer.chunks.push_back((key, chunk));
                }
            }
            Item::Roster(number, _) => self.writer.roster.again(number),
            Item::Trash(key) => self.writer.trash.push_back(key),
            Item::Classes => self.writer.classes = true,
            Item::Marks(_, keys) => self.writer.opens.extend(keys),
            Item::Minimum(key, _) => {
                let waits = |j: &super::Job| j.opening > j.opened || !j.written_opened;
                if self.jobs.get(&key).is_some_and(waits) {
                    self.writer.opens.insert(key);
                }
            }
        }
    }

    fn queue_if_needed(&mut self, key: u64, chunk: usize) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.has_unstored_results(chunk) && job.progress.queue(chunk) {
            self.writer.chunks.push_back((key, chunk));
        }
    }

    /// A key was read again after an unclear or failed transaction.
    fn learn(&mut self, key: &str, value: Option<KeyValue>) {
        if is_own(key) {
            self.writer.stamp(key, value.map_or(0, |kv| kv.mod_revision));
            return;
        }
        let mut parts = key.split('/');
        let kind = parts.next().unwrap_or_default();
        let job = parts.next().and_then(JobId::parse).and_then(|id| self.by_id.get(&id)).copied();
        let Some(job) = job else { return };
        match kind {
            "f" => {
                let record =
                    value.and_then(|kv| serde_json::from_value::<FinalRecord>(kv.value).ok());
                if let Some(record) = record {
                    self.decide(job, record);
                }
            }
            "p" => {
                let Some((_, from)) = progress_place(key) else { return };
                let stamp = value.as_ref().map_or(0, |kv| kv.mod_revision);
                let record =
                    value.and_then(|kv| serde_json::from_value::<ProgressRecord>(kv.value).ok());
                self.learn_progress(job, from, stamp, record.as_ref());
            }
            _ => {}
        }
    }

    /// The progress record that begins at task `from`, as it is in the store.
    pub(super) fn learn_progress(
        &mut self,
        key: u64,
        from: u32,
        stamp: u64,
        record: Option<&ProgressRecord>,
    ) {
        self.durable(key, from, stamp, record);
        let Some(job) = self.jobs.get(&key) else { return };
        let chunk = job.progress.chunk_of(from);
        if from < job.spec.tasks {
            self.queue_if_needed(key, chunk);
        }
    }

    /// Results are in the store.
    fn durable(&mut self, key: u64, from: u32, stamp: u64, record: Option<&ProgressRecord>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        // A replica's end is no result, whatever a record says.
        if job.spec.is_daemon() || from >= job.spec.tasks {
            return;
        }
        let learned = job.progress.learn(from, stamp, record);
        for index in learned.done {
            if job.slots[index as usize] != Slot::Done {
                job.slots[index as usize] = Slot::Done;
                job.free.remove(&index);
                job.done += 1;
            }
        }
        for chunk in learned.chunks_to_write {
            if job.progress.queue(chunk) {
                self.writer.chunks.push_back((key, chunk));
            }
        }
        self.stops_due = true;
        if job.over.is_some() && stamp != 0 {
            self.writer.trash.push_back(progress_key(&job.id, from));
        }
        self.finish_if_done(key);
    }

    /// All tasks of a job are done: its end is to be written.
    pub(super) fn finish_if_done(&mut self, key: u64) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.done == job.spec.tasks && job.ending.is_none() && !job.spec.is_daemon() {
            job.ending = Some(JobState::Done);
            self.writer.finals.push_back(key);
        }
    }
}
