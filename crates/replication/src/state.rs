//! The copy of a leader's picture that the log builds up.

use crate::entry::Entry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a placed task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Decided; no command was sent.
    Planned,
    /// The command was sent.
    Sent,
    /// The worker has it; it does not run yet.
    Accepted,
    /// It runs.
    Running,
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// The task, as the protocol writes it.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
    /// How far it has come.
    pub stage: Stage,
}

impl PlacedTask {
    fn key(&self) -> (&str, u64) {
        (&self.task, self.attempt)
    }
}

/// A machine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineState {
    /// Where its worker listens.
    pub address: String,
    /// Its worker's session.
    pub session: u64,
    /// What is on it, by task and attempt.
    tasks: Vec<PlacedTask>,
}

impl MachineState {
    /// What is on it.
    pub fn tasks(&self) -> &[PlacedTask] {
        &self.tasks
    }

    /// How far a task has come.
    pub fn stage(&self, task: &str, attempt: u64) -> Option<Stage> {
        self.place(task, attempt).ok().map(|i| self.tasks[i].stage)
    }

    fn place(&self, task: &str, attempt: u64) -> Result<usize, usize> {
        self.tasks.binary_search_by(|placed| placed.key().cmp(&(task, attempt)))
    }

    fn put(&mut self, task: PlacedTask) {
        match self.place(&task.task, task.attempt) {
            Ok(i) => self.tasks[i] = task,
            Err(i) => self.tasks.insert(i, task),
        }
    }

    fn remove(&mut self, task: &str, attempt: u64) -> bool {
        let found = self.place(task, attempt);
        if let Ok(i) = found {
            self.tasks.remove(i);
        }
        found.is_ok()
    }
}

/// What a leader knows of a job that no record holds. Times of day are in ms.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHints {
    /// Attempt that all tasks of a gang share.
    pub attempt: Option<u64>,
    /// Tries in a row that ended with an error.
    pub errors: u32,
    /// Time of day of the last of those.
    pub failed_at: u64,
    /// No start before this time of day.
    pub paused_until: u64,
    /// Machines that tasks of it failed on, the last ones.
    pub failed_on: Vec<String>,
}

/// Why an entry can't be applied: it speaks of what the copy does not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// No such machine.
    #[error("no machine {0}")]
    UnknownMachine(String),
    /// No such task on the machine.
    #[error("no attempt {attempt} of {task} on {machine}")]
    UnknownTask {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
    },
    /// No such job.
    #[error("no job {0}")]
    UnknownJob(String),
}

/// A leader's picture of machines, tasks and jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// By name.
    pub machines: BTreeMap<String, MachineState>,
    /// By id.
    pub jobs: BTreeMap<String, JobHints>,
}

impl ReplicatedState {
    /// Applies an entry. After an error the state is as it was.
    pub fn apply(&mut self, entry: Entry) -> Result<(), ApplyError> {
        match entry {
            Entry::Machine { name, address, session } => {
                let machine = self.machines.entry(name).or_default();
                machine.address = address;
                machine.session = session;
            }
            Entry::MachineGone { name } => {
                self.machines.remove(&name).ok_or(ApplyError::UnknownMachine(name))?;
            }
            Entry::Task { machine, task } => match self.machines.get_mut(&machine) {
                Some(found) => found.put(task),
                None => return Err(ApplyError::UnknownMachine(machine)),
            },
            Entry::TaskGone { machine, task, attempt } => {
                let Some(found) = self.machines.get_mut(&machine) else {
                    return Err(ApplyError::UnknownMachine(machine));
                };
                if !found.remove(&task, attempt) {
                    return Err(ApplyError::UnknownTask { machine, task, attempt });
                }
            }
            Entry::Job { id, hints } => {
                self.jobs.insert(id, hints);
            }
            Entry::JobGone { id } => {
                self.jobs.remove(&id).ok_or(ApplyError::UnknownJob(id))?;
            }
        }
        Ok(())
    }

    /// Tasks on all machines.
    pub fn task_count(&self) -> usize {
        self.machines.values().map(|machine| machine.tasks.len()).sum()
    }

    /// Names of machines and jobs that differ between two states, at most so many.
    pub fn differing(&self, other: &Self, most: usize) -> Vec<String> {
        let machines = differing_keys(&self.machines, &other.machines);
        let jobs = differing_keys(&self.jobs, &other.jobs);
        machines.chain(jobs).take(most).cloned().collect()
    }
}

/// Keys whose values differ, or that only one of the maps has.
fn differing_keys<'a, V: PartialEq>(
    one: &'a BTreeMap<String, V>,
    other: &'a BTreeMap<String, V>,
) -> impl Iterator<Item = &'a String> {
    let changed = one.iter().filter(|(key, value)| other.get(*key) != Some(*value));
    let added = other.keys().filter(|key| !one.contains_key(*key));
    changed.map(|(key, _)| key).chain(added)
}
