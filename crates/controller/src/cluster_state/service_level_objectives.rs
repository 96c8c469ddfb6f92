//! Service-level objectives: when a job should start and be complete.

use crate::settings::PlatformSettings;
use hookway_wire::JobSpec;

/// When a job should start and be complete, in seconds after its submission.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceLevelObjectives {
    /// When the job should be complete; `None` if it has no deadline.
    pub deadline_s: Option<f64>,
    /// When the job should have started, tightest objective first; empty without an objective.
    pub start_s: Vec<f64>,
}

impl ServiceLevelObjectives {
    /// Returns the objectives of a job. The job's own deadline takes precedence over the one that
    /// the platform's objectives imply for its class. A daemon has no objectives: all its replicas
    /// are needed at all times, and a late start makes none of them less needed.
    pub fn of_job(spec: &JobSpec, platform: &PlatformSettings) -> Self {
        if spec.is_daemon() {
            return Self::default();
        }
        let mut start_s: Vec<f64> = class_objectives(platform, spec, "wait").collect();
        start_s.sort_by(f64::total_cmp);
        let finished_s = class_objectives(platform, spec, "finished").next();
        // If the last tasks of an array end one task time after the start objective, all have
        // started in time.
        let started_s =
            start_s.first().filter(|_| !spec.is_gang()).map(|s| s + spec.estimated_run_time_s);
        let implied_s = match (finished_s, started_s) {
            (Some(finished_s), Some(started_s)) => Some(finished_s.min(started_s)),
            (finished_s, started_s) => finished_s.or(started_s),
        };
        Self { deadline_s: spec.deadline_s.or(implied_s), start_s }
    }
}

/// Returns the time limits of the platform's objectives of one kind for a job's class, s.
fn class_objectives<'a>(
    platform: &'a PlatformSettings,
    spec: &'a JobSpec,
    kind: &'a str,
) -> impl Iterator<Item = f64> + 'a {
    platform
        .objectives
        .iter()
        .filter(move |o| o.kind == kind && o.class.as_deref() == Some(&spec.class))
        .filter_map(|o| o.within_s)
}
