//! Recovery: how a new leader restores the cluster state from the records that earlier leaders
//! wrote to the store.

use super::machine::FirstListing;
use super::machine_registry::MachineRegistry;
use super::{CachedImage, ClassHistory, ClusterState, JobKey, JobOrigin, Machine, Timestamp};
use crate::leadership::WatermarkCompleteness;
use crate::records::{
    ClassRecord, JobSchedulingRecord, LegacyImagesRecord, MachineRegistryRecord, ProgressRecord,
    SharedStartWatermarksRecord,
};
use hookway_time::{WallTime, millis_f64};
use hookway_wire::{JobId, KeyValue, ListedKeyValue};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// Subtracted from the age of a machine's registration, in addition to the errors of the two wall
/// clocks: covers the time between a reading of a clock and its use.
const REGISTRATION_AGE_MARGIN: Duration = Duration::from_secs(1);

/// The records that a new leader read from the store.
#[derive(Debug, Clone)]
pub struct LoadedRecords {
    /// Job records, under the prefix `j/`: one for each accepted job that has not ended.
    pub jobs: Vec<ListedKeyValue>,
    /// Progress records, under the prefix `p/`.
    pub progress: Vec<ListedKeyValue>,
    /// Scheduling records of jobs and shared start watermark records, under the prefix `m/`.
    pub scheduling: Vec<ListedKeyValue>,
    /// Records of the machine registry, under the prefix `r/`.
    pub registry: Vec<ListedKeyValue>,
    /// Image records of version 0.1.0, under the prefix `i/`.
    pub images: Vec<ListedKeyValue>,
    /// The record of the job classes; `None` if no leader has written one.
    pub classes: Option<KeyValue>,
    /// Whether the start watermarks that earlier leaders recorded are complete.
    pub watermark_completeness: WatermarkCompleteness,
}

impl LoadedRecords {
    /// Returns a value without records, with the given completeness of the start watermarks.
    pub fn empty(watermark_completeness: WatermarkCompleteness) -> Self {
        Self {
            jobs: Vec::new(),
            progress: Vec::new(),
            scheduling: Vec::new(),
            registry: Vec::new(),
            images: Vec::new(),
            classes: None,
            watermark_completeness,
        }
    }
}

/// Returns the job id in a key of the form `<prefix>/<job>...`; `None` if it has no valid one.
fn job_id_in_key(key: &str) -> Option<JobId> {
    key.split('/').nth(1).and_then(JobId::parse)
}

/// The accepted jobs that have not ended: those with a job record, whether this version can read it
/// or not. The other records of a job whose job record is unreadable are kept, since a later
/// version may be able to read it.
struct JobsWithRecord(HashSet<JobId>);

impl JobsWithRecord {
    fn new(jobs: &[ListedKeyValue]) -> Self {
        Self(jobs.iter().filter_map(|kv| job_id_in_key(&kv.key)).collect())
    }

    /// Whether the record under `key` belongs to a job that has ended, or to no accepted job.
    fn lacks_job_of(&self, key: &str) -> bool {
        job_id_in_key(key).is_none_or(|id| !self.0.contains(&id))
    }
}

impl ClusterState {
    /// Restores the cluster state from all records. Jobs come first, as other records refer to
    /// them.
    pub(super) fn load_records(&mut self, loaded: LoadedRecords, at: Timestamp) {
        let leader_records = loaded.scheduling.iter().chain(&loaded.registry);
        leader_records.for_each(|kv| self.commit_queue.set_mod_revision(&kv.key, kv.mod_revision));
        if let Some(kv) = &loaded.classes {
            self.commit_queue.set_mod_revision(&kv.key, kv.mod_revision);
        }
        self.load_classes(loaded.classes);
        let jobs_with_record = JobsWithRecord::new(&loaded.jobs);
        let job_records = loaded.jobs.len();
        for kv in loaded.jobs {
            self.add_job(&kv.key, kv.value, at, JobOrigin::EarlierTerm);
        }
        let all_jobs_readable = self.jobs.len() == job_records;
        for kv in loaded.progress {
            self.load_progress(kv, &jobs_with_record);
        }
        let mut shared_watermarks_complete = true;
        for kv in loaded.scheduling {
            match crate::records::parse_shared_watermarks_key(&kv.key) {
                Some(number) => {
                    shared_watermarks_complete &= self.load_shared_watermark_record(kv, number)
                }
                None => self.load_scheduling_record(kv, &jobs_with_record),
            }
        }
        self.finish_loading_watermarks(loaded.watermark_completeness, shared_watermarks_complete);
        self.queue_assumed_watermarks(loaded.watermark_completeness, all_jobs_readable);
        for kv in loaded.registry {
            self.load_registry_record(kv, at);
        }
        for kv in loaded.images {
            self.load_legacy_images(kv);
        }
    }

    /// Loads the histories of the job classes. Without the history of a class of which it finds no
    /// job, a leader would scale in the spare machines of that class.
    fn load_classes(&mut self, classes: Option<KeyValue>) {
        let classes = classes.map(|kv| serde_json::from_value(kv.value));
        match classes.transpose() {
            Ok(classes) => {
                let classes: BTreeMap<String, ClassRecord> = classes.unwrap_or_default();
                let known =
                    classes.into_iter().map(|(name, r)| (name, ClassHistory::from_record(&r)));
                self.classes.extend(known);
            }
            Err(error) => {
                let key = crate::records::CLASSES_KEY;
                tracing::error!(key, %error, "class record can't be read");
            }
        }
    }

    /// Queues the deletion of a record if its job has ended or was never accepted.
    fn remove_if_orphaned(&mut self, key: String, jobs_with_record: &JobsWithRecord) {
        if jobs_with_record.lacks_job_of(&key) {
            self.commit_queue.queue_deletion(key);
        }
    }

    fn load_progress(&mut self, kv: ListedKeyValue, jobs_with_record: &JobsWithRecord) {
        let place = crate::records::parse_progress_key(&kv.key)
            .and_then(|key| Some((self.jobs.key(&key.job)?, key.first_task)));
        let Some((job, from)) = place else {
            return self.remove_if_orphaned(kv.key, jobs_with_record);
        };
        match serde_json::from_value::<ProgressRecord>(kv.value) {
            Ok(record) => self.apply_progress_record(job, from, kv.mod_revision, Some(&record)),
            Err(error) => {
                // The completed tasks that it recorded run again. The new record is written only if
                // the stored one still has this revision.
                tracing::error!(key = %kv.key, %error, "progress record can't be read");
                self.apply_progress_record(job, from, kv.mod_revision, None);
            }
        }
    }

    /// Loads a start watermark record that small jobs share. Returns `false` if it is unreadable.
    fn load_shared_watermark_record(&mut self, kv: ListedKeyValue, number: u64) -> bool {
        match serde_json::from_value::<SharedStartWatermarksRecord>(kv.value) {
            Ok(record) => {
                self.load_shared_watermarks(kv.key, number, record);
                true
            }
            Err(error) => {
                tracing::error!(
                    key = %kv.key, %error,
                    "shared start watermarks can't be read, all small jobs count as started"
                );
                self.commit_queue.shared_watermarks.add_loaded(number, BTreeSet::new());
                false
            }
        }
    }

    fn load_scheduling_record(&mut self, kv: ListedKeyValue, jobs_with_record: &JobsWithRecord) {
        let job = job_id_in_key(&kv.key).and_then(|id| self.jobs.by_id_mut(&id));
        let Some(job) = job else {
            return self.remove_if_orphaned(kv.key, jobs_with_record);
        };
        match serde_json::from_value::<JobSchedulingRecord>(kv.value) {
            Ok(record) => {
                job.stored_min_tasks = Some(record.min_tasks);
                job.run_times.count = record.run_time_count;
                job.run_times.sum = Duration::from_millis(record.run_time_sum_ms);
                job.start_watermark.mark_durable(record.start_watermark);
            }
            Err(error) => {
                tracing::error!(
                    key = %kv.key, %error,
                    "scheduling record can't be read, all tasks of the job count as started"
                );
                job.start_watermark.assume_all_started(job.spec.tasks);
            }
        }
    }

    /// Determines for each job the index from which on no task was started in an earlier term.
    /// Without complete start watermarks, every task of the job may have been started.
    fn finish_loading_watermarks(
        &mut self,
        stored: WatermarkCompleteness,
        shared_watermarks_complete: bool,
    ) {
        let watermarks_complete = stored == WatermarkCompleteness::Complete;
        for job in self.jobs.values_mut() {
            let complete = watermarks_complete && (shared_watermarks_complete || !job.is_small());
            job.start_watermark.finish_loading(job.spec.tasks, complete);
        }
    }

    /// Queues start watermark records for the jobs that are assumed to have been started, so that
    /// the next leader knows it as well. Until a job's record is durable, the assumption allows no
    /// start of its tasks. Where the store did not mark the watermarks as complete at the election,
    /// it does so only once all these records are durable.
    fn queue_assumed_watermarks(&mut self, stored: WatermarkCompleteness, all_jobs_readable: bool) {
        let assumed = self.jobs.iter().filter(|(_, job)| job.start_watermark.is_assumed());
        let assumed: BTreeSet<JobKey> = assumed.map(|(key, _)| *key).collect();
        tracing::info!(
            term = self.term, watermarks = %stored, jobs = self.jobs.len(),
            assumed_started = assumed.len(), "start watermarks loaded"
        );
        self.commit_queue.watermark_raises.extend(&assumed);
        self.commit_queue.watermark_marker.records_loaded(stored, assumed, all_jobs_readable);
    }

    fn load_registry_record(&mut self, kv: ListedKeyValue, at: Timestamp) {
        let Some(name) = kv.key.strip_prefix(crate::records::REGISTRY_PREFIX) else { return };
        let Some(number) = MachineRegistry::record_number(name) else {
            let at_ms = kv.value.get("at_ms").and_then(serde_json::Value::as_u64);
            let registered_at = at_ms.map(WallTime::from_unix_millis);
            self.add_registered_machine(name, registered_at, Vec::new(), at);
            self.commit_queue.migrate_legacy_entry(name, registered_at.unwrap_or(at.wall));
            return;
        };
        let record: MachineRegistryRecord = match serde_json::from_value(kv.value) {
            Ok(record) => record,
            Err(error) => {
                // The machines that it names are unknown. Their heartbeats report their tasks.
                // Until the leases of their workers have expired, reconciliation does not end, and
                // no task is started that an earlier leader may have started.
                tracing::error!(key = %kv.key, %error, "machine registry record can't be read");
                self.reconciliation.unreadable_records.insert(kv.key);
                self.commit_queue.registry.mark_unreadable(number);
                return;
            }
        };
        let images = self.images.with_ids(&record.images);
        for (machine, entry) in record.machines {
            let cached = entry.images.iter().filter_map(|i| images.get(*i).copied()).collect();
            let registered_at = WallTime::from_unix_millis(entry.registered_at_ms);
            self.add_registered_machine(&machine, Some(registered_at), cached, at);
            self.commit_queue.registry.add_loaded(number, &machine, registered_at);
        }
    }

    /// Loads a machine's cached images from a record of version 0.1.0, and queues the deletion of
    /// the record: from now on the machine registry holds the images.
    fn load_legacy_images(&mut self, kv: ListedKeyValue) {
        let name = kv.key.strip_prefix(crate::records::LEGACY_IMAGES_PREFIX).unwrap_or_default();
        if let Ok(record) = serde_json::from_value::<LegacyImagesRecord>(kv.value) {
            let images = self.images.with_ids(&record.images);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.images = images;
            }
        }
        self.commit_queue.queue_deletion(kv.key);
    }

    /// Marks the small jobs that a shared start watermark record names: an earlier leader may have
    /// started them. Queues the deletion of the record if none of its jobs is left.
    fn load_shared_watermarks(
        &mut self,
        key: String,
        number: u64,
        record: SharedStartWatermarksRecord,
    ) {
        let mut live = BTreeSet::new();
        for id in record.jobs {
            if let Some(job) = self.jobs.by_id_mut(&id) {
                job.start_watermark.mark_durable(job.spec.tasks);
                job.start_watermark.set_shared_record_number(number);
                live.insert(id);
            }
        }
        if live.is_empty() {
            self.commit_queue.queue_deletion(key);
        }
        self.commit_queue.shared_watermarks.add_loaded(number, live);
    }

    /// Adds a machine that the registry names, to be reconciled.
    fn add_registered_machine(
        &mut self,
        name: &str,
        registered_at: Option<WallTime>,
        images: Vec<CachedImage>,
        at: Timestamp,
    ) {
        let mut machine = Machine::new(at.monotonic);
        machine.has_durable_registration = true;
        machine.images = images;
        machine.stored_images = machine.image_ids();
        // A machine that was registered long enough ago must appear in every machine list from now
        // on; one that is missing no longer exists. Both wall clocks may be off: the one of the
        // leader that registered the machine, and this one.
        if let Some(registered_at) = registered_at {
            let clock_error_ms =
                self.config.platform.max_clock_error_ms * 2.0 + millis_f64(REGISTRATION_AGE_MARGIN);
            let age_ms =
                millis_f64(at.wall.saturating_duration_since(registered_at)) - clock_error_ms;
            if age_ms > 0.0 {
                let age = Duration::from_millis(age_ms as u64);
                machine.first_listing = Some(FirstListing { learned_at: at.monotonic, age });
            }
        }
        self.machines.insert(name.to_owned(), machine);
        self.reconciliation.machines.insert(name.to_owned());
    }
}
