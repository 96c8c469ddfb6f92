//! How a new leader takes in what earlier ones left in the state service.

use super::roster::Roster;
use super::{ClassHistory, Ledger, Loaded, Machine, Moment};
use crate::records::{
    ClassRecord, ImagesRecord, MinimumRecord, ProgressRecord, RosterRecord, SharedMarksRecord,
};
use hookway_wire::{JobId, KeyValue};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// The job that a record of the kind `<prefix>/<job>...` is about.
fn job_of_key(key: &str) -> Option<JobId> {
    key.split('/').nth(1).and_then(JobId::parse)
}

/// The jobs that have a record, whether it can be read or not: of a job whose record can't be read nothing is
/// thrown away, since a later version may read it.
struct Accepted(HashSet<JobId>);

impl Accepted {
    fn new(jobs: &[KeyValue]) -> Self {
        Self(jobs.iter().filter_map(|kv| job_of_key(&kv.key)).collect())
    }

    /// Whether a record is about no job that was accepted and is not over.
    fn lacks_job_of(&self, key: &str) -> bool {
        job_of_key(key).is_none_or(|id| !self.0.contains(&id))
    }
}

impl Ledger {
    /// Takes in everything that was read. Jobs come first, as what the other records say is about them.
    pub(super) fn load(&mut self, loaded: Loaded, at: Moment) {
        let own = loaded.minimums.iter().chain(&loaded.roster).chain(&loaded.classes);
        own.for_each(|kv| self.writer.stamp(&kv.key, kv.mod_revision));
        self.load_classes(loaded.classes);
        let accepted = Accepted::new(&loaded.jobs);
        for kv in loaded.jobs {
            self.job_seen(&kv.key, kv.value, at, true);
        }
        for kv in loaded.progress {
            self.load_progress(kv, &accepted);
        }
        let mut shared_marks_complete = true;
        for kv in loaded.minimums {
            match crate::records::shared_marks_number(&kv.key) {
                Some(number) => shared_marks_complete &= self.load_shared_marks_record(kv, number),
                None => self.load_minimum(kv, &accepted),
            }
        }
        self.settle_marks(loaded.marked, shared_marks_complete);
        for kv in loaded.roster {
            self.load_roster_record(kv, at);
        }
        for kv in loaded.images {
            self.load_images(kv);
        }
    }

    /// What classes need. Without it a leader that finds no job of a class would return the machines that stand
    /// by for it.
    fn load_classes(&mut self, classes: Option<KeyValue>) {
        let classes = classes.map(|kv| serde_json::from_value(kv.value));
        match classes.transpose() {
            Ok(classes) => {
                let classes: BTreeMap<String, ClassRecord> = classes.unwrap_or_default();
                let known = classes.into_iter().map(|(name, r)| (name, ClassHistory::known(&r)));
                self.classes.extend(known);
            }
            Err(e) => tracing::error!("{}: can't be read: {e}", crate::records::CLASSES),
        }
    }

    /// Removes a record of a job that is over, or never was.
    fn remove_if_orphaned(&mut self, key: String, accepted: &Accepted) {
        if accepted.lacks_job_of(&key) {
            self.writer.trash(key);
        }
    }

    fn load_progress(&mut self, kv: KeyValue, accepted: &Accepted) {
        let place = crate::records::progress_place(&kv.key)
            .and_then(|(id, from)| Some((*self.by_id.get(&id)?, from)));
        let Some((job, from)) = place else {
            return self.remove_if_orphaned(kv.key, accepted);
        };
        match serde_json::from_value::<ProgressRecord>(kv.value) {
            Ok(record) => self.learn_progress(job, from, kv.mod_revision, Some(&record)),
            Err(e) => {
                // What it says is done runs once more, and the new record replaces just this version.
                tracing::error!("{}: the progress record can't be read: {e}", kv.key);
                self.learn_progress(job, from, kv.mod_revision, None);
            }
        }
    }

    /// A record of marks that small jobs share; `false` if it can't be read.
    fn load_shared_marks_record(&mut self, kv: KeyValue, number: u64) -> bool {
        match serde_json::from_value::<SharedMarksRecord>(kv.value) {
            Ok(record) => {
                self.load_shared_marks(kv.key, number, record);
                true
            }
            Err(e) => {
                tracing::error!("{}: can't be read, all jobs count as started: {e}", kv.key);
                self.writer.marks.loaded(number, BTreeSet::new());
                false
            }
        }
    }

    fn load_minimum(&mut self, kv: KeyValue, accepted: &Accepted) {
        let known = job_of_key(&kv.key).and_then(|id| self.by_id.get(&id));
        let Some(job) = known.and_then(|k| self.jobs.get_mut(k)) else {
            return self.remove_if_orphaned(kv.key, accepted);
        };
        match serde_json::from_value::<MinimumRecord>(kv.value) {
            Ok(record) => {
                job.written_minimum = Some(record.least);
                job.timed = record.timed;
                job.sum_ms = record.sum_ms;
                job.opened = record.opened.max(job.opened);
            }
            Err(e) => {
                tracing::error!("{}: can't be read, all of the job counts as started: {e}", kv.key);
                job.opened = job.spec.tasks;
            }
        }
    }

    /// From which task on each job was surely not started. Without marks every task may have been, and the next
    /// leader must know it too.
    fn settle_marks(&mut self, last_leader_kept_marks: bool, shared_marks_complete: bool) {
        for job in self.jobs.values_mut() {
            let marked = job.marked && last_leader_kept_marks;
            if !marked || !shared_marks_complete && job.small() {
                job.opened = job.spec.tasks;
                job.written_opened = false;
            }
            job.sure_from = job.opened;
        }
        let unwritten = self.jobs.iter().filter(|(_, j)| !j.written_opened);
        self.writer.opens.extend(unwritten.map(|(key, _)| *key));
    }

    fn load_roster_record(&mut self, kv: KeyValue, at: Moment) {
        let Some(name) = kv.key.strip_prefix(crate::records::ROSTER) else { return };
        let Some(number) = Roster::number(name) else {
            let since = kv.value.get("at_ms").and_then(serde_json::Value::as_u64);
            self.inherit_machine(name, since, Vec::new(), at);
            self.writer.old_entry(name, since.unwrap_or(at.wall));
            return;
        };
        let record: RosterRecord = match serde_json::from_value(kv.value) {
            Ok(record) => record,
            Err(e) => {
                // Nothing can be said of its machines: what they hold shows in their reports, and
                // until their leases are over nothing older is started.
                tracing::error!("{}: the roster record can't be read: {e}", kv.key);
                self.unheard.insert(kv.key);
                self.writer.roster.unreadable(number);
                return;
            }
        };
        let images = self.images_of(&record.images);
        for (machine, entry) in record.machines {
            let held = entry.images.iter().filter_map(|i| images.get(*i).copied()).collect();
            self.inherit_machine(&machine, Some(entry.at_ms), held, at);
            self.writer.roster.loaded(number, &machine, entry.at_ms);
        }
    }

    /// A machine's images as version 0.1.0 wrote them; the roster has them from now on.
    fn load_images(&mut self, kv: KeyValue) {
        let name = kv.key.strip_prefix(crate::records::IMAGES).unwrap_or_default();
        if let Ok(record) = serde_json::from_value::<ImagesRecord>(kv.value) {
            let images = self.images_of(&record.images);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.images = images;
            }
        }
        self.writer.trash(kv.key);
    }

    /// Small jobs that an earlier leader may have started.
    fn load_shared_marks(&mut self, key: String, number: u64, record: SharedMarksRecord) {
        let mut live = BTreeSet::new();
        for id in record.jobs {
            let job = self.by_id.get(&id).and_then(|key| self.jobs.get_mut(key));
            if let Some(job) = job {
                job.opened = job.spec.tasks;
                job.shared_mark = Some(number);
                live.insert(id);
            }
        }
        if live.is_empty() {
            self.writer.trash(key);
        }
        self.writer.marks.loaded(number, live);
    }

    /// A machine of the roster, known since that time of day.
    fn inherit_machine(
        &mut self,
        name: &str,
        since: Option<u64>,
        images: Vec<(u32, f64)>,
        at: Moment,
    ) {
        let mut machine = Machine::new(at.now);
        machine.rostered = true;
        machine.images = images;
        machine.written_images = machine.image_set();
        // Old enough entries must be in any list from now on, or the machine is gone. Times of day
        // may be off on either side.
        if let Some(since) = since {
            let off = self.setup.params.clock_off_ms * 2.0 + 1000.0;
            let age = at.wall as f64 - since as f64 - off;
            if age > 0.0 {
                machine.first_listed = Some(at.now as i64 - age as i64);
            }
        }
        self.machines.insert(name.to_owned(), machine);
        self.unheard.insert(name.to_owned());
    }
}
