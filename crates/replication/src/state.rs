//! The replicated part of the leader's cluster state, and how entries change it.

use crate::entry::Entry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Progress of an attempt of a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The task is placed; its start command has not been sent.
    Planned,
    /// The start command was sent.
    Sent,
    /// The worker has accepted the task, which is not yet running.
    Accepted,
    /// The worker reports the task as running.
    Running,
}

/// A task placed on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// Id of the task in the form `req-000412/3`.
    pub task: String,
    /// Number of the attempt; no two leaders use the same number. All tasks of a gang share one.
    pub attempt: u64,
    /// How far the attempt has progressed.
    pub stage: Stage,
}

impl PlacedTask {
    /// Returns the sort key of the tasks of a machine.
    fn key(&self) -> (&str, u64) {
        (&self.task, self.attempt)
    }
}

/// A machine with the tasks on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedMachine {
    /// Address (`host:port`) of the machine's worker.
    pub address: String,
    /// Incarnation of the machine's worker.
    pub incarnation: u64,
    /// Sorted by task and attempt.
    tasks: Vec<PlacedTask>,
}

impl ReplicatedMachine {
    /// Returns the tasks on the machine, sorted by task and attempt.
    pub fn tasks(&self) -> &[PlacedTask] {
        &self.tasks
    }

    /// Returns the stage of a task; `None` if this attempt is not on the machine.
    pub fn stage(&self, task: &str, attempt: u64) -> Option<Stage> {
        self.search(task, attempt).ok().map(|index| self.tasks[index].stage)
    }

    /// Returns the index of a task, or as an error the index at which it would be inserted.
    fn search(&self, task: &str, attempt: u64) -> Result<usize, usize> {
        self.tasks.binary_search_by(|placed| placed.key().cmp(&(task, attempt)))
    }

    /// Adds a task, or replaces the stage of an attempt that is already on the machine.
    fn put(&mut self, task: PlacedTask) {
        match self.search(&task.task, task.attempt) {
            Ok(index) => self.tasks[index] = task,
            Err(index) => self.tasks.insert(index, task),
        }
    }

    /// Removes a task. Returns `false` if this attempt is not on the machine.
    fn remove(&mut self, task: &str, attempt: u64) -> bool {
        let found = self.search(task, attempt);
        if let Ok(index) = found {
            self.tasks.remove(index);
        }
        found.is_ok()
    }
}

/// The part of a job's state that the leader keeps in memory only, not in the store.
///
/// The fields and their order are a wire format, which never changes. Times are Unix time by the leader's wall
/// clock, since the monotonic clocks of two controllers can't be compared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedJob {
    /// Attempt number that all tasks of a gang share; `None` if no attempt has been assigned or the job is no gang.
    pub gang_attempt: Option<u64>,
    /// Number of consecutive attempts that ended with an error; 0 after a success.
    pub consecutive_failures: u32,
    /// Unix time of the last of these errors, in ms.
    pub last_failure_unix_ms: u64,
    /// Unix time until which no task of the job is started, in ms.
    pub backoff_until_unix_ms: u64,
    /// Names of the machines on which tasks of the job failed recently, oldest first.
    pub failed_machines: Vec<String>,
}

/// Why an entry cannot be applied: it changes or removes something that the copy does not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The copy has no machine of this name.
    #[error("no machine {0}")]
    UnknownMachine(String),
    /// The copy does not have this attempt on the machine.
    #[error("no attempt {attempt} of {task} on {machine}")]
    UnknownTask {
        /// Name of the machine, which the copy has.
        machine: String,
        /// Id of the task in the form `req-000412/3`.
        task: String,
        /// Number of the missing attempt.
        attempt: u64,
    },
    /// The copy has no job with this id.
    #[error("no job {0}")]
    UnknownJob(String),
}

/// The replicated part of a leader's cluster state: machines, their tasks, and jobs.
///
/// The fields and their order are a wire format, which never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Published machines by name, including those without tasks.
    pub machines: BTreeMap<String, ReplicatedMachine>,
    /// Published states of jobs by job id.
    pub jobs: BTreeMap<String, ReplicatedJob>,
}

impl ReplicatedState {
    /// Applies an entry to this state.
    ///
    /// # Errors
    ///
    /// An [`ApplyError`] if the entry refers to a machine, task or job that the state does not have; the state is then
    /// unchanged.
    pub fn apply(&mut self, entry: Entry) -> Result<(), ApplyError> {
        match entry {
            Entry::Machine { name, address, incarnation } => {
                let machine = self.machines.entry(name).or_default();
                machine.address = address;
                machine.incarnation = incarnation;
            }
            Entry::MachineRemoved { name } => {
                self.machines.remove(&name).ok_or(ApplyError::UnknownMachine(name))?;
            }
            Entry::Task { machine, task } => self.machine_mut(&machine)?.put(task),
            Entry::TaskRemoved { machine, task, attempt } => {
                if !self.machine_mut(&machine)?.remove(&task, attempt) {
                    return Err(ApplyError::UnknownTask { machine, task, attempt });
                }
            }
            Entry::Job { id, job } => {
                self.jobs.insert(id, job);
            }
            Entry::JobRemoved { id } => {
                self.jobs.remove(&id).ok_or(ApplyError::UnknownJob(id))?;
            }
        }
        Ok(())
    }

    fn machine_mut(&mut self, name: &str) -> Result<&mut ReplicatedMachine, ApplyError> {
        self.machines.get_mut(name).ok_or_else(|| ApplyError::UnknownMachine(name.to_owned()))
    }

    /// Returns the number of tasks on all machines.
    pub fn task_count(&self) -> usize {
        self.machines.values().map(|machine| machine.tasks.len()).sum()
    }

    /// Returns the names of machines and ids of jobs that differ between two states, at most `limit` of them and the
    /// machines first.
    pub fn differing(&self, other: &Self, limit: usize) -> Vec<String> {
        let machines = differing_keys(&self.machines, &other.machines);
        let jobs = differing_keys(&self.jobs, &other.jobs);
        machines.chain(jobs).take(limit).cloned().collect()
    }
}

/// Returns the keys whose values differ, or that are in only one of the maps.
fn differing_keys<'a, V: PartialEq>(
    left: &'a BTreeMap<String, V>,
    right: &'a BTreeMap<String, V>,
) -> impl Iterator<Item = &'a String> {
    let changed = left.iter().filter(|(key, value)| right.get(*key) != Some(*value));
    let only_right = right.keys().filter(|key| !left.contains_key(*key));
    changed.map(|(key, _)| key).chain(only_right)
}
