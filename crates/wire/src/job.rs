use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// A job's id in the form `req-000412`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(String);

impl JobId {
    /// Reads an id; `None` if it has the wrong form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("req-")?;
        let fits = (6..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        fits.then(|| Self(text.to_owned()))
    }

    /// The id as text.
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
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads a task id.
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

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// A gang: all tasks at the same time or none.
    #[serde(rename = "group")]
    Gang,
    /// Independent tasks that run until their user cancels the job. The protocol page does not
    /// describe this kind, but `fleetbench real` submits it (see docs/questions.md).
    Daemon,
}

/// A job's priority, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Gives way to everything.
    Low,
    /// The usual.
    Normal,
    /// Ahead of the usual.
    High,
    /// Ahead of everything.
    Production,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobSpec {
    /// Unique id, chosen by the user.
    #[serde(rename = "NameId")]
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "Lane")]
    pub class: String,
    /// The team.
    #[serde(rename = "Owner")]
    pub team: String,
    /// Array or gang.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "Rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "Pieces")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "Vcpus")]
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// The image that a machine needs.
    #[serde(rename = "Bundle")]
    pub image: String,
    /// The image's size, GB.
    pub image_gb: f64,
    /// Allowed machine types; `None` for any.
    #[serde(default)]
    #[serde(rename = "Flavors")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default)]
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    /// All tasks in the same zone.
    #[serde(rename = "Together")]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// The team's estimate of a task's run time, s.
    #[serde(rename = "GuessS")]
    pub estimate_s: f64,
    /// Checkpoint interval, s; 0 if the task never writes one.
    #[serde(rename = "SnapshotEveryS")]
    pub checkpoint_every_s: f64,
    /// Time to write a checkpoint when stopped, s.
    #[serde(rename = "SnapshotS")]
    pub checkpoint_s: f64,
    /// Deadline from submission, s.
    #[serde(default)]
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Reads and checks a submission. The error says what is wrong, in plain words.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(|e| format!("the body is not JSON: {e}"))?;
        if !value.is_object() {
            return Err("the body is not a JSON object".into());
        }
        // Read the text again rather than the value: a field given twice is refused that way.
        let spec: Self =
            serde_json::from_slice(body).map_err(|e| format!("the job is invalid: {e}"))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if JobId::parse(self.id.as_str()).is_none() {
            return Err("NameId must have the form req-000412".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("Pieces must be from 1 to {MAX_TASKS}"));
        }
        if !(self.cpus.is_finite() && self.cpus > 0.0) {
            return Err("Vcpus must be a number above 0".into());
        }
        let amounts = [
            ("Gpus", self.gpus),
            ("RamGb", self.memory_gb),
            ("ImageGb", self.image_gb),
            ("GuessS", self.estimate_s),
            ("SnapshotEveryS", self.checkpoint_every_s),
            ("SnapshotS", self.checkpoint_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !(amount.is_finite() && amount >= 0.0) {
                return Err(format!("{name} must be a number and not negative"));
            }
        }
        for (name, text) in [("Lane", &self.class), ("Owner", &self.team), ("Bundle", &self.image)]
        {
            if text.is_empty() {
                return Err(format!("{name} must not be empty"));
            }
        }
        Ok(())
    }

    /// Whether this is a gang.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Whether the tasks are meant to run until the job is cancelled.
    pub fn is_daemon(&self) -> bool {
        self.kind == JobKind::Daemon
    }

    /// Whether all tasks are wanted at the same time: of a gang, and of a daemon.
    pub fn needs_all_tasks_at_once(&self) -> bool {
        self.is_gang() || self.is_daemon()
    }

    /// Most tasks that one zone may hold at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }

    /// Whether tasks write checkpoints, and so keep progress when they are stopped.
    pub fn checkpoints(&self) -> bool {
        self.checkpoint_every_s > 0.0
    }
}

/// What a user hears of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl fmt::Display for JobState {
    /// As the protocol spells it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Done => "done",
            Self::Cancelled => "withdrawn",
        })
    }
}

impl JobState {
    /// Whether the state can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// The answer to a submission, a status request and a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "NameId")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "Status")]
    pub state: JobState,
    /// Completed tasks.
    #[serde(default)]
    pub done: u32,
    /// Running tasks.
    #[serde(default)]
    pub running: u32,
    /// The team (an addition of hookway).
    #[serde(rename = "Owner", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// The controller that leads (an addition of hookway).
    #[serde(rename = "Commander", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Why attempts ended, in plain words, newest last (an addition of hookway).
    #[serde(rename = "Notes", default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

#[cfg(test)]
mod tests;
