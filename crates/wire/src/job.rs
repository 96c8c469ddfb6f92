//! Jobs as users submit them, their ids, and their status.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// A job's id: `req-` followed by 6 to 18 decimal digits, for example `req-000412`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(String);

impl JobId {
    /// Parses a job id; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("req-")?;
        let is_valid =
            (6..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| Self(text.to_owned()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A task's id: `req-000412/3` is task 3 of its job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a task id; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// How the tasks of a job depend on each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// A gang: all tasks run at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the user cancels the job. The protocol page does not describe this kind,
    /// but `fleetbench real` submits it (see docs/questions.md).
    Daemon,
}

/// A job's priority, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The lowest priority.
    Low,
    /// Above [`Priority::Low`].
    Normal,
    /// Above [`Priority::Normal`].
    High,
    /// The highest priority, above [`Priority::High`].
    Production,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobSpec {
    /// Unique id of the job, chosen by the user.
    #[serde(rename = "NameId")]
    pub id: JobId,
    /// Name of the job class that the job belongs to; never empty.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Name of the team that submits the job; never empty.
    #[serde(rename = "Owner")]
    pub team: String,
    /// Whether the tasks are independent, a gang, or replicas of a daemon.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Priority, by which the scheduler orders and preempts jobs.
    #[serde(rename = "Rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "Pieces")]
    pub tasks: u32,
    /// Virtual CPUs requested for each task; above 0.
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    /// GPUs requested for each task; not negative, and 0 for tasks without GPUs.
    pub gpus: f64,
    /// Memory requested for each task, in GB; not negative.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Name of the image that a machine needs to run the tasks; never empty.
    #[serde(rename = "Bundle")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows every type.
    #[serde(default)]
    #[serde(rename = "Flavors")]
    pub machine_types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None` allows every zone.
    #[serde(default)]
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "Together")]
    pub needs_one_zone: bool,
    /// Whether at most half of the tasks (rounded up) may run in one zone.
    #[serde(rename = "Spread")]
    pub must_spread: bool,
    /// Whether tasks may run on spot machines as well as on on-demand machines.
    #[serde(rename = "Loaners")]
    pub allows_spot: bool,
    /// Run time of each task as estimated by the team, in seconds.
    #[serde(rename = "GuessS")]
    pub estimated_run_time_s: f64,
    /// Interval between two checkpoints of a task, in seconds; 0 if the tasks write no checkpoints.
    #[serde(rename = "SnapshotEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "SnapshotS")]
    pub checkpoint_write_s: f64,
    /// Deadline, in seconds after the submission; `None` for no deadline.
    #[serde(default)]
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
}

/// Why the body of a submission is not a valid job. The texts are part of the API and use the field names
/// of the protocol.
#[derive(Debug, thiserror::Error)]
pub enum JobSpecError {
    /// The body is not JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A field is missing, duplicated or of the wrong type.
    #[error("the job is invalid: {0}")]
    InvalidField(#[source] serde_json::Error),
    /// The job's id does not have the form of a [`JobId`].
    #[error("NameId must have the form req-000412")]
    InvalidId,
    /// The number of tasks is 0 or above [`MAX_TASKS`].
    #[error("Pieces must be from 1 to {max}", max = MAX_TASKS)]
    InvalidTaskCount,
    /// The CPUs requested for each task are not a finite number above 0.
    #[error("Vcpus must be a number above 0")]
    InvalidCpus,
    /// An amount is negative or not finite.
    #[error("{field} must be a number and not negative")]
    InvalidAmount {
        /// Name of the field in the protocol.
        field: &'static str,
    },
    /// The name of a class, team or image is empty.
    #[error("{field} must not be empty")]
    EmptyText {
        /// Name of the field in the protocol.
        field: &'static str,
    },
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// A [`JobSpecError`], whose text is the reason given to the user.
    pub fn parse(body: &[u8]) -> Result<Self, JobSpecError> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(JobSpecError::NotJson)?;
        if !value.is_object() {
            return Err(JobSpecError::NotAnObject);
        }
        // Parses the body again instead of converting the value, so that a duplicate field is rejected.
        let spec: Self = serde_json::from_slice(body).map_err(JobSpecError::InvalidField)?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), JobSpecError> {
        if JobId::parse(self.id.as_str()).is_none() {
            return Err(JobSpecError::InvalidId);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(JobSpecError::InvalidTaskCount);
        }
        if !(self.cpus.is_finite() && self.cpus > 0.0) {
            return Err(JobSpecError::InvalidCpus);
        }
        let amounts = [
            ("Gpus", self.gpus),
            ("RamGb", self.memory_gb),
            ("ImageGb", self.image_gb),
            ("GuessS", self.estimated_run_time_s),
            ("SnapshotEveryS", self.checkpoint_interval_s),
            ("SnapshotS", self.checkpoint_write_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(amount.is_finite() && amount >= 0.0) {
                return Err(JobSpecError::InvalidAmount { field });
            }
        }
        let texts = [("Lane", &self.class), ("Owner", &self.team), ("Bundle", &self.image)];
        for (field, text) in texts {
            if text.is_empty() {
                return Err(JobSpecError::EmptyText { field });
            }
        }
        Ok(())
    }

    /// Whether all tasks run at the same time, or none.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_daemon(&self) -> bool {
        self.kind == JobKind::Daemon
    }

    /// Whether all tasks should run at the same time, as in a gang or a daemon.
    pub fn needs_all_tasks_at_once(&self) -> bool {
        self.is_gang() || self.is_daemon()
    }

    /// Returns the maximum number of tasks that may run in one zone at the same time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.must_spread { self.tasks.div_ceil(2) } else { self.tasks }
    }

    /// Whether the tasks write checkpoints, so that they keep their progress when they are stopped.
    pub fn writes_checkpoints(&self) -> bool {
        self.checkpoint_interval_s > 0.0
    }
}

/// The state of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// The user cancelled the job.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl fmt::Display for JobState {
    /// Writes the name of the state in the protocol.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl JobState {
    /// Whether the job has ended, so that its state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// The response to a submission, a status request or a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job that was submitted, requested or cancelled.
    #[serde(rename = "NameId")]
    pub id: JobId,
    /// State of the job at the time of the response.
    #[serde(rename = "Status")]
    pub state: JobState,
    /// Number of completed tasks.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks.
    #[serde(default)]
    pub running: u32,
    /// Name of the team that submitted the job (an extension of the protocol).
    #[serde(rename = "Owner", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Name of the controller that is the leader (an extension of the protocol).
    #[serde(rename = "Commander", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Notes for the user, such as why an attempt ended; newest last (an extension of the protocol).
    #[serde(rename = "Notes", default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

#[cfg(test)]
mod tests;
