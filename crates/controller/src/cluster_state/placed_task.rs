//! Tasks on machines: those placed there and those that ended there.

use super::JobKey;
use hookway_time::MonotonicTime;
use hookway_wire::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

/// How far the start of a placed task has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Decided, but not sent to the worker: it can be cancelled freely.
    Planned,
    /// The command was sent in the response to the worker's last heartbeat. The next heartbeat shows
    /// whether it arrived.
    Sent,
    /// The command was dispatched directly to the worker under this fencing token, and its outcome is
    /// not known. It may arrive until the worker has seen a higher token.
    SentDirectly(u64),
    /// The worker has reported the task.
    Reported(TaskState),
}

impl TaskPhase {
    /// Whether the task counts as running for the user.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Reported(TaskState::Running | TaskState::Checkpointing))
    }

    /// Whether the task has made no progress yet: planned, fetching its image or waiting for its gang.
    pub fn is_before_run(self) -> bool {
        matches!(
            self,
            Self::Planned | Self::Reported(TaskState::FetchingImage | TaskState::WaitingForGang)
        )
    }
}

/// A decision to stop a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StopOrder {
    /// Time for a checkpoint, s.
    pub grace_s: f64,
    /// When the stop was decided.
    pub decided_at: MonotonicTime,
}

/// A task that takes resources of a machine.
#[derive(Debug, Clone)]
pub(super) struct PlacedTask {
    /// The job; `None` if the cluster state has no such job (most likely it has ended).
    pub job: Option<JobKey>,
    /// The task id, as the protocol writes it.
    pub task: String,
    /// The task's index within the job.
    pub index: u32,
    /// The attempt number.
    pub attempt: u64,
    /// How far its start has progressed.
    pub phase: TaskPhase,
    /// The task should not be on this machine: it is stopped when seen.
    pub orphaned: bool,
    /// The decision to stop it, if any.
    pub stop: Option<StopOrder>,
    /// A direct command to stop it was handed out.
    pub stop_dispatched: bool,
    /// When it was first seen running.
    pub running_since: Option<MonotonicTime>,
    /// When it was placed.
    pub placed_at: MonotonicTime,
    /// Found in a heartbeat, not placed by this leader: its start time is not known.
    pub adopted: bool,
}

impl PlacedTask {
    /// The attempt, as commands name it.
    pub fn task_attempt(&self) -> TaskAttempt {
        TaskAttempt { task: self.task.clone(), attempt: self.attempt }
    }

    /// The command to start it.
    pub fn run_command(&self) -> Command {
        Command::Run { task: self.task.clone(), attempt: self.attempt }
    }

    /// The command to stop it, with so much time for a checkpoint.
    pub fn kill_command(&self, grace_s: f64) -> Command {
        Command::Kill { task: self.task.clone(), attempt: self.attempt, grace_s }
    }
}

/// An ended task that the worker still reports.
#[derive(Debug, Clone)]
pub(super) struct EndedTask {
    /// The job, if the cluster state has it.
    pub job: Option<JobKey>,
    /// The task id, as the protocol writes it.
    pub task: String,
    /// The task's index within the job.
    pub index: u32,
    /// The attempt number.
    pub attempt: u64,
    /// Why it ended.
    pub cause: ExitCause,
}

impl EndedTask {
    /// An ended task as its worker reports it.
    pub fn new(job: Option<JobKey>, index: u32, reported: &TaskStatus) -> Self {
        Self {
            job,
            task: reported.task.clone(),
            index,
            attempt: reported.attempt,
            cause: reported.cause.unwrap_or(ExitCause::Other),
        }
    }
}

/// One attempt of a task, as commands name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskAttempt {
    /// The task id, as the protocol writes it.
    pub task: String,
    /// The attempt number.
    pub attempt: u64,
}

/// What the worker's next heartbeat shows if the worker has applied a response.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpectedHeartbeat {
    /// The response's fencing token, if it was higher than the one of the heartbeat.
    pub fencing_token: Option<u64>,
    /// Started attempts: reported in any state.
    pub starts: Vec<TaskAttempt>,
    /// Reaped attempts: not reported any more.
    pub reaps: Vec<TaskAttempt>,
    /// When the response was given.
    pub responded_at: MonotonicTime,
    /// When the response before that one was given.
    pub responded_before: MonotonicTime,
}

impl ExpectedHeartbeat {
    /// Whether the heartbeat shows that the response was applied; `None` if the response had nothing
    /// that a heartbeat would show.
    pub fn acknowledged(&self, heartbeat: &Heartbeat) -> Option<bool> {
        if self.fencing_token.is_none() && self.starts.is_empty() && self.reaps.is_empty() {
            return None;
        }
        let is_reported = |expected: &TaskAttempt| {
            let mut reported = heartbeat.tasks.iter();
            reported.any(|t| t.attempt == expected.attempt && t.task == expected.task)
        };
        let shown = self.fencing_token.is_none_or(|token| heartbeat.fencing_token >= token)
            && self.starts.iter().all(is_reported)
            && !self.reaps.iter().any(is_reported);
        Some(shown)
    }
}
