//! Records of accepted and of finished jobs.

use hookway_wire::{JobId, JobSpec, JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// The value of `j/<job>`: a job that was accepted and is not finished.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as the user submitted it.
    pub spec: JobSpec,
    /// When the job was accepted, in ms of Unix time by the accepting controller's wall clock.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Whether the version that accepted the job keeps a start watermark for it, in `m/<job>` or
    /// `m/shared-<n>`. Missing, and so `false`, in the records that version 0.1.0 wrote.
    #[serde(rename = "marked", default)]
    pub has_start_watermark: bool,
}

/// The value of `f/<job>`: the final state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// [`JobState::Done`] or [`JobState::Cancelled`].
    pub state: JobState,
    /// Number of tasks that were completed.
    pub done: u32,
    /// Name of the team that owns the job.
    #[serde(rename = "owner")]
    pub team: String,
    /// Notes for the user, which say why attempts of the job's tasks failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl FinalRecord {
    /// Returns the status of the job `job`, whose record this is, as users see it.
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
