//! Messages between controllers and workers: heartbeats and commands.

use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    #[serde(rename = "pulling")]
    FetchingImage,
    /// The task is ready to run, and waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    WaitingForGang,
    /// The task is running.
    Running,
    /// The task is writing a checkpoint before it stops.
    #[serde(rename = "saving")]
    Checkpointing,
    /// The task has ended; [`TaskStatus::cause`] says why.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// The task was stopped by a [`Command::Kill`].
    Stopped,
    /// The task was stopped because another task of its gang was lost.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The task was stopped because not all tasks of its gang were ready in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The task or its machine failed.
    Error,
    /// The worker refused the start: the free resources of the machine do not suffice.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The worker refused the start: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The worker refused the start: it did not find the job.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// Any cause that this version of hookway does not know.
    #[serde(other)]
    Other,
}

impl ExitCause {
    /// Returns the predicate of a sentence whose subject is the task, for the notes of a job.
    pub fn description(self) -> &'static str {
        match self {
            Self::Done => "completed",
            Self::Stopped => "was stopped to make room or to clear the machine",
            Self::GangMemberLost => "ended because another task of its gang was lost",
            Self::GangIncomplete => "gave up because its gang did not come together in time",
            Self::Error => "failed with an error of its own or of its machine",
            Self::InsufficientResources => "was refused by its machine for lack of room",
            Self::AttemptConflict => "was refused because an older attempt was still there",
            Self::UnknownJob => "was refused because the machine did not find the job",
            Self::Other => "ended for a reason that the machine did not explain",
        }
    }
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskStatus {
    /// Id of the task in the form `req-000412/3` (see [`TaskId`](crate::TaskId)).
    #[serde(rename = "Piece")]
    pub task: String,
    /// Number of the attempt; no two leaders use the same number.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// What the attempt is doing.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why the attempt ended; `None` unless the state is [`TaskState::Ended`].
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint was written before the attempt ended; `None` if the worker does not say.
    #[serde(rename = "Saved", default)]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// Unique name of the machine.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Address (`host:port`) of the worker.
    #[serde(rename = "Addr")]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Name of the zone that the machine is in.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// `true` for a spot machine, `false` for an on-demand machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Incarnation of the worker, which increases each time the worker starts without tasks.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat, which increases within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has received; it refuses commands with a lower one.
    #[serde(rename = "Baton", default)]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, in seconds; `None` without an interruption notice.
    #[serde(rename = "EvictionS", default)]
    pub interruption_notice_s: Option<f64>,
    /// Status of all tasks on the machine, including ended ones that no [`Command::Reap`] has removed.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command of the leader to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts a new attempt of a task.
    #[serde(rename_all = "PascalCase")]
    Run {
        /// Id of the task in the form `req-000412/3`.
        #[serde(rename = "Piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stops an attempt of a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// Id of the task in the form `req-000412/3`.
        #[serde(rename = "Piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Time that the task is given to write a checkpoint, in seconds.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Removes an ended attempt from the worker's later heartbeats.
    #[serde(rename_all = "PascalCase")]
    Reap {
        /// Id of the task in the form `req-000412/3`.
        #[serde(rename = "Piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// Stands for a missing fencing token in a [`HeartbeatResponse`]. No leader has this token.
const NO_FENCING_TOKEN: u64 = 0;

/// The leader's response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// Fencing token of the responding leader; 0 in a response without one, which the worker drops.
    #[serde(rename = "Baton", default, skip_serializing_if = "is_missing_token")]
    pub fencing_token: u64,
    /// Commands in the order in which the worker executes them.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

impl HeartbeatResponse {
    /// Returns a response without a fencing token. The worker drops it: it executes nothing and does
    /// not extend its lease, but sends its next heartbeat to the same controller.
    pub fn without_lease_extension() -> Self {
        Self { fencing_token: NO_FENCING_TOKEN, commands: Vec::new() }
    }

    /// Whether a worker that has not seen a higher fencing token accepts the response and extends
    /// its lease.
    pub fn extends_lease(&self) -> bool {
        !is_missing_token(&self.fencing_token)
    }
}

/// Whether a response has no fencing token.
fn is_missing_token(fencing_token: &u64) -> bool {
    *fencing_token == NO_FENCING_TOKEN
}

/// Commands in direct dispatch: sent to a worker without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommands {
    /// Fencing token of the leader that sends the commands.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker that the commands are for; a worker with another incarnation refuses them.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Commands in the order in which the worker executes them.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// The response to a heartbeat from a controller that is not the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatRedirect {
    /// Name of the leader, to which the worker should send its heartbeats; `None` if it is unknown.
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[cfg(test)]
mod tests;
