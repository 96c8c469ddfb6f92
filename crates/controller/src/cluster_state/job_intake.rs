//! Adds accepted jobs to the cluster state.

use super::class_history::ClassHistory;
use super::job::{JobContext, JobOrigin};
use super::service_level_objectives::ServiceLevelObjectives;
use super::{ClusterState, Job, Timestamp};
use crate::records::{JOBS_PREFIX, JobRecord};
use hookway_wire::{JobId, JobSpec};

impl ClusterState {
    /// Adds the job of a record that a watch or a range read of the store returned. A job that was
    /// added before is ignored; a record that can't be parsed is logged and ignored.
    pub fn add_job(
        &mut self,
        key: &str,
        value: serde_json::Value,
        at: Timestamp,
        origin: JobOrigin,
    ) {
        let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) else { return };
        if self.jobs.has_seen(&id) {
            return;
        }
        let record: JobRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(job = %id, %error, "job record can't be read");
                return;
            }
        };
        log_job(&id, &record.spec);
        let platform = &self.config.platform;
        let image = self.images.id_of(&record.spec.image);
        let team = platform.teams.iter().position(|team| team.name == record.spec.team);
        let objectives = ServiceLevelObjectives::of_job(&record.spec, platform);
        let context = JobContext {
            team: team.unwrap_or(0),
            image,
            zones: platform.zones.len(),
            max_value_kb: platform.store.value_kb,
            origin,
        };
        self.update_class_history(&record.spec, image);
        self.jobs.add(id, Job::new(record, &objectives, &context, at));
    }

    /// Adds a job to the history of its class, and queues the record of the classes if that changes
    /// it.
    fn update_class_history(&mut self, spec: &JobSpec, image: u32) {
        let before = self.classes.get(&spec.class).map(ClassHistory::record);
        let class = self
            .classes
            .entry(spec.class.clone())
            .or_insert_with(|| ClassHistory::before_first_job(spec));
        class.add_job(spec, image);
        self.commit_queue.classes_changed |= before != Some(class.record());
    }
}

fn log_job(id: &JobId, spec: &JobSpec) {
    tracing::info!(
        job = %id, kind = ?spec.kind, tasks = spec.tasks, class = %spec.class,
        image = %spec.image, image_gb = spec.image_gb, estimate_s = spec.estimated_run_time_s,
        deadline_s = ?spec.deadline_s, "job added"
    );
}
