//! Records that help the next leader to schedule.

use hookway_policy::Resources;
use hookway_wire::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The value of `m/<job>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSchedulingRecord {
    /// The minimum number of running tasks.
    #[serde(rename = "least")]
    pub min_tasks: u32,
    /// The number of tasks whose run time is known.
    #[serde(rename = "timed")]
    pub run_time_count: u32,
    /// The sum of their run times, ms.
    #[serde(rename = "sum_ms")]
    pub run_time_sum_ms: u64,
    /// The start watermark: tasks from this number on were never started, by any leader.
    #[serde(rename = "opened", default)]
    pub start_watermark: u32,
}

/// The value of `m/shared-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedStartWatermarksRecord {
    /// Jobs whose tasks may have been started.
    pub jobs: BTreeSet<JobId>,
}

/// What `c/lanes` records about a class of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The resource request of its largest task.
    #[serde(rename = "need")]
    pub request: Resources,
    /// The size of its largest image, GB.
    pub image_gb: f64,
    /// Whether its jobs may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Whether its jobs are gangs.
    pub gangs: bool,
}
