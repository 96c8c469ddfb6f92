//! The jobs of the cluster state, by key and by id.

use super::bounded_set::BoundedSet;
use super::{Job, JobKey};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{BTreeMap, HashMap};

/// The jobs whose end is not durable yet, or that still have tasks on machines. Each has one key
/// and one id.
#[derive(Debug)]
pub(super) struct JobIndex {
    jobs: BTreeMap<JobKey, Job>,
    keys: HashMap<JobId, JobKey>,
    /// Jobs whose end became durable in this term: a late event must not add them again.
    ended: BoundedSet<JobId>,
    /// Number of the last key that was assigned.
    last_key: u64,
}

impl JobIndex {
    /// Creates an index without jobs.
    pub fn new() -> Self {
        Self {
            jobs: BTreeMap::new(),
            keys: HashMap::new(),
            ended: BoundedSet::new(constants::MAX_REMEMBERED_NAMES),
            last_key: 0,
        }
    }

    /// Whether the index contains a job with this id, or one ended in this term.
    pub fn has_seen(&self, id: &JobId) -> bool {
        self.keys.contains_key(id) || self.ended.contains(id)
    }

    /// Adds a job and assigns its key. `id` is the id in the store key of the job's record.
    pub fn add(&mut self, id: JobId, job: Job) {
        self.last_key += 1;
        let key = JobKey::new(self.last_key);
        self.keys.insert(id, key);
        self.jobs.insert(key, job);
    }

    /// Records that the end of a job is durable, so that it is not added again.
    pub fn mark_ended(&mut self, id: &JobId) {
        self.ended.insert(id.clone());
    }

    /// Removes a job; its key is not assigned again.
    pub fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.id);
        }
    }

    /// Returns the key of the job with this id; `None` if the index does not contain it.
    pub fn key(&self, id: &JobId) -> Option<JobKey> {
        self.keys.get(id).copied()
    }

    /// Returns the job with this key; `None` if it was removed.
    pub fn get(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns the job with this key for modification; `None` if it was removed.
    pub fn get_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// Returns the job with this id; `None` if the index does not contain it.
    pub fn by_id(&self, id: &JobId) -> Option<&Job> {
        self.get(&self.key(id)?)
    }

    /// Returns the job with this id for modification; `None` if the index does not contain it.
    pub fn by_id_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let key = self.key(id)?;
        self.get_mut(&key)
    }

    /// Returns the number of jobs, including ended ones that still have tasks on machines.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the index contains no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Iterates over all jobs with their keys, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Iterates over all jobs with their keys for modification, in the order in which they were
    /// added.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&JobKey, &mut Job)> {
        self.jobs.iter_mut()
    }

    /// Iterates over all jobs, in the order in which they were added.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Iterates over all jobs for modification, in the order in which they were added.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }
}
