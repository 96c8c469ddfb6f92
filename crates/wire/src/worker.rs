use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    FetchingImage,
    /// A task of a gang that waits for the others.
    #[serde(rename = "waiting")]
    WaitingForGang,
    /// Running.
    Running,
    /// Writing a checkpoint before it stops.
    #[serde(rename = "saving")]
    Checkpointing,
    /// Ended; see the cause.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of the gang was lost.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// Failed.
    Error,
    /// Start refused: the machine lacks the resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// Start refused: no such job.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

impl ExitCause {
    /// The cause in plain words, for users.
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
    /// The task, as `req-000412/3`.
    #[serde(rename = "Piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why it ended; set once the state is [`TaskState::Ended`].
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint of its progress was written.
    #[serde(rename = "Saved", default)]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat, with the status of everything on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "Host")]
    pub machine: String,
    /// Where its worker listens.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Incarnation of the worker: rises each time it starts with no tasks.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "Baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it has given an interruption notice.
    #[serde(rename = "EvictionS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    #[serde(rename_all = "PascalCase")]
    Run {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
        /// Time it has to write a checkpoint, s.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Forget an ended task: it is left out of later heartbeats.
    #[serde(rename_all = "PascalCase")]
    Reap {
        /// The task.
        #[serde(rename = "Piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "Try")]
        attempt: u64,
    },
}

/// The leader's response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// The fencing token of the leader that answers.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker, without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommands {
    /// The fencing token of the leader that answers.
    #[serde(rename = "Baton")]
    pub fencing_token: u64,
    /// The incarnation of the worker that they are for; any other refuses them.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// The response of a controller that does not lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatRedirect {
    /// The leader, if it is known.
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[cfg(test)]
mod tests;
