//! Attempts of tasks on machines: placed ones, and ended ones that the worker still reports.

use super::JobKey;
use hookway_time::MonotonicTime;
use hookway_wire::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

/// How far the start of a placed task has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// The start is decided but was not sent to the worker, so it can be cancelled without a
    /// command.
    Planned,
    /// The command was sent in the response to the worker's last heartbeat. The next heartbeat
    /// shows whether it arrived.
    Sent,
    /// The command was dispatched directly to the worker with this fencing token, and its outcome
    /// is unknown. It may still arrive until the worker has seen a higher token.
    DispatchedDirectly(u64),
    /// The worker has reported the task in this state.
    Reported(TaskState),
}

impl TaskPhase {
    /// Whether the task counts as running in the status that users see.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Reported(TaskState::Running | TaskState::Checkpointing))
    }

    /// Whether the task is known to have made no progress yet: it is planned, fetches its image or
    /// waits for its gang. A start that was sent but is not reported does not count.
    pub fn is_known_without_progress(self) -> bool {
        matches!(
            self,
            Self::Planned | Self::Reported(TaskState::FetchingImage | TaskState::WaitingForGang)
        )
    }
}

/// A decision to stop a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StopOrder {
    /// Time that the task is given to write a checkpoint, s.
    pub grace_s: f64,
    /// When the stop was decided.
    pub decided_at: MonotonicTime,
}

/// An attempt of a task that occupies resources of a machine.
#[derive(Debug, Clone)]
pub(super) struct PlacedTask {
    /// Key of the task's job; `None` if the cluster state does not have the job, most likely
    /// because it has ended.
    pub job: Option<JobKey>,
    /// Task id in the form of the protocol: `<job id>/<index>`.
    pub task: String,
    /// Index of the task within its job, from 0.
    pub index: u32,
    /// Attempt number, unique across terms; the tasks of a gang share one.
    pub attempt: u64,
    /// How far the start has progressed.
    pub phase: TaskPhase,
    /// The attempt should not be on this machine, and is stopped.
    pub orphaned: bool,
    /// The decision to stop the attempt; `None` while it may run on.
    pub stop_order: Option<StopOrder>,
    /// A command to stop the attempt was handed out for direct dispatch.
    pub stop_dispatched: bool,
    /// When this leader first saw the attempt running; `None` before that.
    pub running_since: Option<MonotonicTime>,
    /// When this leader placed or adopted the attempt.
    pub placed_at: MonotonicTime,
    /// Adopted from a heartbeat, or from the response to a state probe or to direct commands, instead
    /// of placed by this leader: when it started is unknown.
    pub adopted: bool,
}

impl PlacedTask {
    /// Returns the identity of the attempt in commands.
    pub fn task_attempt(&self) -> TaskAttempt {
        TaskAttempt { task: self.task.clone(), attempt: self.attempt }
    }

    /// Returns the command that starts the attempt.
    pub fn run_command(&self) -> Command {
        Command::Run { task: self.task.clone(), attempt: self.attempt }
    }

    /// Returns the command that stops the attempt, with `grace_s` seconds to write a checkpoint.
    pub fn kill_command(&self, grace_s: f64) -> Command {
        Command::Kill { task: self.task.clone(), attempt: self.attempt, grace_s }
    }
}

/// An ended task that the worker still reports.
#[derive(Debug, Clone)]
pub(super) struct EndedTask {
    /// Key of the task's job; `None` if the cluster state does not have the job.
    pub job: Option<JobKey>,
    /// Task id in the form of the protocol: `<job id>/<index>`.
    pub task: String,
    /// Index of the task within its job, from 0.
    pub index: u32,
    /// Attempt number, unique across terms; the tasks of a gang share one.
    pub attempt: u64,
    /// Why the attempt ended; [`ExitCause::Other`] if the worker gave no cause.
    pub cause: ExitCause,
}

impl EndedTask {
    /// Creates the entry from the status that the worker reports.
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

/// Identity of an attempt in commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskAttempt {
    /// Task id in the form of the protocol: `<job id>/<index>`.
    pub task: String,
    /// Attempt number, unique across terms; the tasks of a gang share one.
    pub attempt: u64,
}

/// What a worker's next heartbeat shows if the worker has applied a response.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpectedHeartbeat {
    /// Fencing token of the response; `None` unless it was higher than the token in the heartbeat.
    pub fencing_token: Option<u64>,
    /// Attempts that the response started: the heartbeat reports them, in any state.
    pub starts: Vec<TaskAttempt>,
    /// Attempts that the response reaped: the heartbeat does not report them.
    pub reaps: Vec<TaskAttempt>,
    /// When the response was sent.
    pub responded_at: MonotonicTime,
    /// When the worker may last have been answered before this response. This becomes the time of
    /// the last response again if this response turns out not to have been applied.
    pub previous_response_at: MonotonicTime,
}

impl ExpectedHeartbeat {
    /// Whether the heartbeat shows that the response was applied; `None` if no heartbeat would show
    /// that, because the response has neither a higher token, starts nor reaps.
    pub fn shows_response_applied(&self, heartbeat: &Heartbeat) -> Option<bool> {
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
