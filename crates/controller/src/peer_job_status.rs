//! The status of a job, in the form that controllers exchange.

use hookway_wire::{JobId, JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// The status of a job at one time. Frames encode it by the positions of its fields, so they are
/// never reordered, added or removed. [`JobStatus`], which users see, is encoded by names instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerJobStatus {
    /// The id of the job.
    pub id: JobId,
    /// Whether the job is queued, running, done or cancelled.
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Name of the team that owns the job; `None` if it is not known.
    pub team: Option<String>,
    /// Name of the leader that schedules the job; `None` if the job is finished or the leader is
    /// not known.
    pub leader: Option<String>,
    /// Notes for the user, which say why attempts of the job's tasks failed.
    pub notes: Vec<String>,
}

impl From<JobStatus> for PeerJobStatus {
    fn from(status: JobStatus) -> Self {
        let JobStatus { id, state, done, running, team, leader, notes } = status;
        Self { id, state, done, running, team, leader, notes }
    }
}

impl From<PeerJobStatus> for JobStatus {
    fn from(status: PeerJobStatus) -> Self {
        let PeerJobStatus { id, state, done, running, team, leader, notes } = status;
        Self { id, state, done, running, team, leader, notes }
    }
}
