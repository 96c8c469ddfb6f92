//! Records about scheduling: start watermarks, and hints for the next leader.

use hookway_policy::Resources;
use hookway_wire::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The value of `m/<job>`: the start watermark of a job, and hints about its run time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSchedulingRecord {
    /// Minimum number of tasks that should run at the same time, as computed by
    /// `hookway_policy::min_tasks`.
    #[serde(rename = "least")]
    pub min_tasks: u32,
    /// Number of completed tasks whose run times are in `run_time_sum_ms`.
    #[serde(rename = "timed")]
    pub run_time_count: u32,
    /// Sum of the run times of these tasks, ms.
    #[serde(rename = "sum_ms")]
    pub run_time_sum_ms: u64,
    /// The start watermark: tasks with this index or a higher one were never started by any leader.
    #[serde(rename = "opened", default)]
    pub start_watermark: u32,
}

/// The value of `m/shared-<n>`, which several small jobs share instead of an `m/<job>` each.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedStartWatermarksRecord {
    /// Jobs whose tasks may all have been started.
    pub jobs: BTreeSet<JobId>,
}

/// The entry of a class of jobs in the value of `c/lanes`, a hint for the next leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The largest request of a task of the class, for each resource separately.
    #[serde(rename = "need")]
    pub request: Resources,
    /// The size of the largest image of the class, GB.
    pub image_gb: f64,
    /// Whether all jobs of the class may run on spot machines.
    #[serde(rename = "loaners")]
    pub allows_spot: bool,
    /// Whether the first job of the class was a gang. If so, the class counts as one of gangs.
    #[serde(rename = "gangs")]
    pub is_gang_class: bool,
}
