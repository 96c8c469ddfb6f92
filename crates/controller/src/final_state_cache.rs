//! A cache of the final states of jobs. A final state never changes, so no entry becomes outdated.

use crate::peer_job_status::PeerJobStatus;
use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// The final states of jobs that this controller knows, up to `FINAL_STATE_CACHE_SIZE` of them. The
/// entry that was inserted first is evicted first. The API and the controller actor share the
/// cache.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    statuses: HashMap<JobId, PeerJobStatus>,
    /// The cached jobs; the first one to be evicted comes first.
    insertion_order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// Returns the final state of a job, if it is cached.
    pub fn get(&self, job: &JobId) -> Option<PeerJobStatus> {
        self.entries.lock().ok()?.statuses.get(job).cloned()
    }

    /// Whether the final state of a job is cached. A finished job may lack an entry, because it was
    /// evicted or never inserted.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.lock().is_ok_and(|entries| entries.statuses.contains_key(job))
    }

    /// Caches the state of a job if it is final; ignores any other state.
    pub fn insert_if_final(&self, status: &PeerJobStatus) {
        if !status.state.is_final() {
            return;
        }
        let Ok(mut entries) = self.entries.lock() else { return };
        let known = entries.statuses.insert(status.id.clone(), status.clone());
        if known.is_some() {
            return;
        }
        entries.insertion_order.push_back(status.id.clone());
        if entries.insertion_order.len() > constants::FINAL_STATE_CACHE_SIZE
            && let Some(oldest) = entries.insertion_order.pop_front()
        {
            entries.statuses.remove(&oldest);
        }
    }
}
