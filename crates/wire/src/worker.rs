use serde::{Deserialize, Serialize};

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    Pulling,
    /// Gang task, waits for the others.
    Waiting,
    /// Running.
    Running,
    /// Saving before it stops.
    Saving,
    /// Over; see the cause.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of the gang is gone.
    Peers,
    /// The gang was not complete in time.
    Incomplete,
    /// Failed.
    Error,
    /// Start refused: no room.
    NoRoom,
    /// Start refused: the task is there with another attempt.
    Busy,
    /// Start refused: no such job.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

impl Cause {
    /// The cause in plain words, for users.
    pub fn plain(self) -> &'static str {
        match self {
            Self::Done => "completed",
            Self::Stopped => "was stopped to make room or to clear the machine",
            Self::Peers => "ended because another task of its gang was lost",
            Self::Incomplete => "gave up because its gang did not come together in time",
            Self::Error => "failed with an error of its own or of its machine",
            Self::NoRoom => "was refused by its machine for lack of room",
            Self::Busy => "was refused because an older attempt was still there",
            Self::Unknown => "was refused because the machine did not find the job",
            Self::Other => "ended for a reason that the machine did not explain",
        }
    }
}

/// One task in a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskReport {
    /// The task, as `req-000412/3`.
    #[serde(rename = "Piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// Its state.
    pub status: TaskState,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CheckIn {
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
    /// Session.
    #[serde(rename = "Tenure")]
    pub session: u64,
    /// Sequence number.
    pub tick: u64,
    /// Highest token seen.
    #[serde(default)]
    #[serde(rename = "Baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    #[serde(rename = "EvictionS")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskReport>,
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
        /// Time it has to save, s.
        #[serde(rename = "WindDownS")]
        grace_s: f64,
    },
    /// Remove an ended task from the reports.
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

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CheckInAnswer {
    /// The token.
    #[serde(rename = "Baton")]
    pub token: u64,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommands {
    /// The token.
    #[serde(rename = "Baton")]
    pub token: u64,
    /// The session that they are for.
    #[serde(rename = "Tenure")]
    pub session: u64,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// The answer of a node that is not the one to report to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReportElsewhere {
    /// The node to report to, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Foreman")]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests;
