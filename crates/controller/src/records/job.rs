//! Records of jobs.

use hookway_wire::{JobId, JobSpec, JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// The value of `j/<job>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted (wall clock, ms).
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Whether its start watermark is recorded in `m/<job>` or `m/shared-<n>`. Missing in jobs that
    /// version 0.1.0 accepted.
    #[serde(rename = "marked", default)]
    pub has_start_watermark: bool,
}

/// The value of `f/<job>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// The team.
    #[serde(rename = "owner")]
    pub team: String,
    /// Why attempts of its tasks failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl FinalRecord {
    /// The status of the job for its user.
    pub fn status(&self, job: &JobId) -> JobStatus {
        JobStatus {
            id: job.clone(),
            state: self.state,
            done: self.done,
            running: 0,
            team: Some(self.team.clone()),
            leader: None,
            notes: self.notes.clone(),
        }
    }
}
