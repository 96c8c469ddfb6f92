//! A cache of final job states, which never change.

use crate::job_snapshot::JobSnapshot;
use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// The final states that this controller has learned, up to `FINAL_STATE_CACHE_SIZE`. The oldest
/// entry is evicted first. Shared by the API and the controller actor.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    snapshots: HashMap<JobId, JobSnapshot>,
    /// The jobs in the order of their insertion.
    insertion_order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// The final state of a job, if it is cached.
    pub fn get(&self, job: &JobId) -> Option<JobSnapshot> {
        self.entries.lock().ok()?.snapshots.get(job).cloned()
    }

    /// Whether a job is known to be finished.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.lock().is_ok_and(|entries| entries.snapshots.contains_key(job))
    }

    /// Caches the state of a job if it is final.
    pub fn remember(&self, snapshot: &JobSnapshot) {
        if !snapshot.state.is_final() {
            return;
        }
        let Ok(mut entries) = self.entries.lock() else { return };
        let known = entries.snapshots.insert(snapshot.id.clone(), snapshot.clone());
        if known.is_some() {
            return;
        }
        entries.insertion_order.push_back(snapshot.id.clone());
        if entries.insertion_order.len() > constants::FINAL_STATE_CACHE_SIZE
            && let Some(oldest) = entries.insertion_order.pop_front()
        {
            entries.snapshots.remove(&oldest);
        }
    }
}
