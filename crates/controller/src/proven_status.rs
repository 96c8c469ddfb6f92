//! What a controller can prove about a job that has been accepted.
//!
//! Users are told a state only on a proof. Without a leader, or as a leader that has not heard from
//! all workers, a controller often can't prove that no task of a job runs. Such a job is not
//! `queued`: its state is unknown, and the user is asked to repeat the request. Only a job that gets
//! no answer for long is presumed to run ([`UnansweredJobs`](crate::unanswered_jobs::UnansweredJobs)).

use crate::peer_job_status::PeerJobStatus;
use crate::records::FinalRecord;
use hookway_wire::{JobId, JobState, JobStatus};
use std::num::NonZeroU32;

/// Why no task of a job runs. Each reason may be older than the answer by at most
/// [`MAX_STATUS_LAG`](hookway_constants::MAX_STATUS_LAG).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTaskRuns {
    /// The job was accepted at most [`MAX_STATUS_LAG`](hookway_constants::MAX_STATUS_LAG) ago.
    JustAccepted,
    /// The records of all leaders show that none of them has been about to start a task of the job.
    NeverStarted,
    /// The leader knows all attempts of the job's tasks, and none of them runs.
    AttemptsKnown,
}

/// What users see of a job besides its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobDetails {
    /// The id of the job.
    pub id: JobId,
    /// Number of completed tasks.
    pub done: u32,
    /// Name of the team that owns the job; `None` if it is not known.
    pub team: Option<String>,
    /// Name of the leader; `None` if it is not known.
    pub leader: Option<String>,
    /// Notes for the user, oldest first.
    pub notes: Vec<String>,
}

/// A status of a job whose state is proven at the time of the status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProvenStatus(PeerJobStatus);

impl ProvenStatus {
    /// The job has ended: its final record is durable.
    pub fn ended(job: &JobId, record: &FinalRecord) -> Self {
        Self(record.status(job).into())
    }

    /// Workers have reported `running` running tasks of the job.
    pub fn running(details: JobDetails, running: NonZeroU32) -> Self {
        Self::in_state(details, JobState::Running, running.get())
    }

    /// The job has not ended and no task of it runs, by the proof `_no_task_runs`.
    pub fn queued(details: JobDetails, _no_task_runs: NoTaskRuns) -> Self {
        Self::in_state(details, JobState::Queued, 0)
    }

    fn in_state(details: JobDetails, state: JobState, running: u32) -> Self {
        let JobDetails { id, done, team, leader, notes } = details;
        Self(PeerJobStatus { id, state, done, running, team, leader, notes })
    }

    /// Returns the state of the job.
    pub fn state(&self) -> JobState {
        self.0.state
    }

    /// Returns the status in the form that users see.
    pub fn into_status(self) -> JobStatus {
        self.0.into()
    }
}

impl JobDetails {
    /// Returns the status of a job that is presumed to run, without a proof.
    pub fn presumed_running(self) -> PeerJobStatus {
        ProvenStatus::in_state(self, JobState::Running, 0).0
    }
}

impl From<ProvenStatus> for PeerJobStatus {
    fn from(status: ProvenStatus) -> Self {
        status.0
    }
}

/// What a controller can prove about the state of an accepted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvidence {
    /// The job is in this state.
    Proven(ProvenStatus),
    /// The job has not ended, and some task of it was started. Tasks may be running that this
    /// controller does not know of.
    MayBeRunning(JobDetails),
}
