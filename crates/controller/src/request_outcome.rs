//! Answers about jobs, as controllers give them to users and to one another.

use hookway_constants as constants;
use hookway_wire::{JobId, JobState, JobStatus};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// A job's state, as controllers tell it one another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The job.
    pub id: JobId,
    /// Its state.
    pub state: JobState,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
    /// The team.
    pub team: Option<String>,
    /// The controller that commands it.
    pub leader: Option<String>,
    /// Why attempts ended.
    pub notes: Vec<String>,
}

impl From<JobStatus> for JobSnapshot {
    fn from(s: JobStatus) -> Self {
        Self {
            id: s.id,
            state: s.state,
            done: s.done,
            running: s.running,
            team: s.team,
            leader: s.leader,
            notes: s.notes,
        }
    }
}

impl From<JobSnapshot> for JobStatus {
    fn from(t: JobSnapshot) -> Self {
        Self {
            id: t.id,
            state: t.state,
            done: t.done,
            running: t.running,
            team: t.team,
            leader: t.leader,
            notes: t.notes,
        }
    }
}

/// The answer to a user's request, before it becomes HTTP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// Accepted just now.
    Accepted(JobSnapshot),
    /// The job's state.
    Known(JobSnapshot),
    /// Never accepted.
    NotFound,
    /// Refused with this status.
    Rejected(u16, String),
    /// Can't be decided now.
    Unavailable(String),
}

impl RequestOutcome {
    /// Can't be decided now, for this reason.
    pub(crate) fn unavailable(why: &str) -> Self {
        Self::Unavailable(why.to_owned())
    }
}

/// Final states that this node has learnt, oldest first out. They can't change any more.
#[derive(Debug, Default)]
pub struct FinalStateCache(Mutex<(HashMap<JobId, JobSnapshot>, VecDeque<JobId>)>);

impl FinalStateCache {
    /// A final state that is remembered.
    pub fn get(&self, id: &JobId) -> Option<JobSnapshot> {
        self.0.lock().ok()?.0.get(id).cloned()
    }

    /// Whether a job is known to be over.
    pub fn contains(&self, id: &JobId) -> bool {
        self.0.lock().is_ok_and(|finals| finals.0.contains_key(id))
    }

    /// Remembers a state if it is final.
    pub fn remember(&self, told: &JobSnapshot) {
        if !told.state.is_final() {
            return;
        }
        let Ok(mut finals) = self.0.lock() else { return };
        let (states, order) = &mut *finals;
        if states.insert(told.id.clone(), told.clone()).is_none() {
            order.push_back(told.id.clone());
            if order.len() > constants::FINAL_STATE_CACHE_SIZE
                && let Some(old) = order.pop_front()
            {
                states.remove(&old);
            }
        }
    }
}
