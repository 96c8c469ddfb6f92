//! How a new leader takes in what earlier ones left in the state service.

use super::machine_registry::MachineRegistry;
use super::{CachedImage, ClassHistory, ClusterState, LoadedState, Machine, Timestamp};
use crate::records::{
    ClassRecord, ImagesRecord, JobSchedulingRecord, MachineRegistryRecord, ProgressRecord,
    SharedStartWatermarksRecord,
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

impl ClusterState {
    /// Takes in everything that was read. Jobs come first, as what the other records say is about them.
    pub(super) fn load(&mut self, loaded: LoadedState, at: Timestamp) {
        let own = loaded.scheduling.iter().chain(&loaded.registry).chain(&loaded.classes);
        own.for_each(|kv| self.commit_queue.set_mod_revision(&kv.key, kv.mod_revision));
        self.load_classes(loaded.classes);
        let accepted = Accepted::new(&loaded.jobs);
        for kv in loaded.jobs {
            self.add_job(&kv.key, kv.value, at, true);
        }
        for kv in loaded.progress {
            self.load_progress(kv, &accepted);
        }
        let mut shared_marks_complete = true;
        for kv in loaded.scheduling {
            match crate::records::parse_shared_watermarks_key(&kv.key) {
                Some(number) => {
                    shared_marks_complete &= self.load_shared_watermark_record(kv, number)
                }
                None => self.load_scheduling_record(kv, &accepted),
            }
        }
        self.load_watermarks(loaded.has_start_watermarks, shared_marks_complete);
        for kv in loaded.registry {
            self.load_registry_record(kv, at);
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
                let known =
                    classes.into_iter().map(|(name, r)| (name, ClassHistory::from_record(&r)));
                self.classes.extend(known);
            }
            Err(e) => tracing::error!("{}: can't be read: {e}", crate::records::CLASSES_KEY),
        }
    }

    /// Removes a record of a job that is over, or never was.
    fn remove_if_orphaned(&mut self, key: String, accepted: &Accepted) {
        if accepted.lacks_job_of(&key) {
            self.commit_queue.delete_stale(key);
        }
    }

    fn load_progress(&mut self, kv: KeyValue, accepted: &Accepted) {
        let place = crate::records::parse_progress_key(&kv.key)
            .and_then(|(id, from)| Some((*self.job_keys.get(&id)?, from)));
        let Some((job, from)) = place else {
            return self.remove_if_orphaned(kv.key, accepted);
        };
        match serde_json::from_value::<ProgressRecord>(kv.value) {
            Ok(record) => self.apply_progress_record(job, from, kv.mod_revision, Some(&record)),
            Err(e) => {
                // What it says is done runs once more, and the new record replaces just this version.
                tracing::error!("{}: the progress record can't be read: {e}", kv.key);
                self.apply_progress_record(job, from, kv.mod_revision, None);
            }
        }
    }

    /// A record of marks that small jobs share; `false` if it can't be read.
    fn load_shared_watermark_record(&mut self, kv: KeyValue, number: u64) -> bool {
        match serde_json::from_value::<SharedStartWatermarksRecord>(kv.value) {
            Ok(record) => {
                self.load_shared_marks(kv.key, number, record);
                true
            }
            Err(e) => {
                tracing::error!("{}: can't be read, all jobs count as started: {e}", kv.key);
                self.commit_queue.shared_watermarks.loaded(number, BTreeSet::new());
                false
            }
        }
    }

    fn load_scheduling_record(&mut self, kv: KeyValue, accepted: &Accepted) {
        let known = job_of_key(&kv.key).and_then(|id| self.job_keys.get(&id));
        let Some(job) = known.and_then(|k| self.jobs.get_mut(k)) else {
            return self.remove_if_orphaned(kv.key, accepted);
        };
        match serde_json::from_value::<JobSchedulingRecord>(kv.value) {
            Ok(record) => {
                job.stored_min_tasks = Some(record.min_tasks);
                job.run_time_count = record.run_time_count;
                job.run_time_sum_ms = record.run_time_sum_ms;
                job.start_watermark.load(record.start_watermark);
            }
            Err(e) => {
                tracing::error!("{}: can't be read, all of the job counts as started: {e}", kv.key);
                job.start_watermark.load_all(job.spec.tasks);
            }
        }
    }

    /// From which task on each job was surely not started. Without marks every task may have been, and the next
    /// leader must know it too.
    fn load_watermarks(&mut self, last_leader_kept_marks: bool, shared_marks_complete: bool) {
        for job in self.jobs.values_mut() {
            let complete = last_leader_kept_marks && (shared_marks_complete || !job.is_small());
            job.start_watermark.finish_loading(job.spec.tasks, complete);
        }
        let unwritten = self.jobs.iter().filter(|(_, j)| !j.start_watermark.is_recorded());
        self.commit_queue.watermark_raises.extend(unwritten.map(|(key, _)| *key));
    }

    fn load_registry_record(&mut self, kv: KeyValue, at: Timestamp) {
        let Some(name) = kv.key.strip_prefix(crate::records::REGISTRY_PREFIX) else { return };
        let Some(number) = MachineRegistry::record_number(name) else {
            let since = kv.value.get("at_ms").and_then(serde_json::Value::as_u64);
            self.inherit_machine(name, since, Vec::new(), at);
            self.commit_queue.migrate_legacy_entry(name, since.unwrap_or(at.wall));
            return;
        };
        let record: MachineRegistryRecord = match serde_json::from_value(kv.value) {
            Ok(record) => record,
            Err(e) => {
                // Nothing can be said of its machines: what they hold shows in their reports, and
                // until their leases are over nothing older is started.
                tracing::error!("{}: the roster record can't be read: {e}", kv.key);
                self.unreconciled_machines.insert(kv.key);
                self.commit_queue.registry.unreadable(number);
                return;
            }
        };
        let images = self.image_ids_of(&record.images);
        for (machine, entry) in record.machines {
            let held = entry.images.iter().filter_map(|i| images.get(*i).copied()).collect();
            self.inherit_machine(&machine, Some(entry.registered_at_ms), held, at);
            self.commit_queue.registry.loaded(number, &machine, entry.registered_at_ms);
        }
    }

    /// A machine's images as version 0.1.0 wrote them; the roster has them from now on.
    fn load_images(&mut self, kv: KeyValue) {
        let name = kv.key.strip_prefix(crate::records::LEGACY_IMAGES_PREFIX).unwrap_or_default();
        if let Ok(record) = serde_json::from_value::<ImagesRecord>(kv.value) {
            let images = self.image_ids_of(&record.images);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.images = images;
            }
        }
        self.commit_queue.delete_stale(kv.key);
    }

    /// Small jobs that an earlier leader may have started.
    fn load_shared_marks(&mut self, key: String, number: u64, record: SharedStartWatermarksRecord) {
        let mut live = BTreeSet::new();
        for id in record.jobs {
            let job = self.job_keys.get(&id).and_then(|key| self.jobs.get_mut(key));
            if let Some(job) = job {
                job.start_watermark.load_all(job.spec.tasks);
                job.start_watermark.set_shared_record(number);
                live.insert(id);
            }
        }
        if live.is_empty() {
            self.commit_queue.delete_stale(key);
        }
        self.commit_queue.shared_watermarks.loaded(number, live);
    }

    /// A machine of the roster, known since that time of day.
    fn inherit_machine(
        &mut self,
        name: &str,
        since: Option<u64>,
        images: Vec<CachedImage>,
        at: Timestamp,
    ) {
        let mut machine = Machine::new(at.monotonic);
        machine.registered = true;
        machine.images = images;
        machine.stored_images = machine.image_ids();
        // Old enough entries must be in any list from now on, or the machine is gone. Times of day
        // may be off on either side.
        if let Some(since) = since {
            let off = self.config.platform.clock_off_ms * 2.0 + 1000.0;
            let age = at.wall as f64 - since as f64 - off;
            if age > 0.0 {
                machine.first_listed_at = Some(at.monotonic as i64 - age as i64);
            }
        }
        self.machines.insert(name.to_owned(), machine);
        self.unreconciled_machines.insert(name.to_owned());
    }
}
