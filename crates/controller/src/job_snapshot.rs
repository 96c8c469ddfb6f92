//! The state of a job as controllers exchange it.

use hookway_wire::{JobId, JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// The state of a job. Its fields have fixed positions in frames, unlike those of [`JobStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The job.
    pub id: JobId,
    /// Its state.
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// The team.
    pub team: Option<String>,
    /// The name of the leader that schedules it.
    pub leader: Option<String>,
    /// Why attempts of its tasks failed.
    pub notes: Vec<String>,
}

impl From<JobStatus> for JobSnapshot {
    fn from(status: JobStatus) -> Self {
        let JobStatus { id, state, done, running, team, leader, notes } = status;
        Self { id, state, done, running, team, leader, notes }
    }
}

impl From<JobSnapshot> for JobStatus {
    fn from(snapshot: JobSnapshot) -> Self {
        let JobSnapshot { id, state, done, running, team, leader, notes } = snapshot;
        Self { id, state, done, running, team, leader, notes }
    }
}
