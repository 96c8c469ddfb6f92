//! The jobs of the cluster state, by key and by id.

use super::bounded_set::BoundedSet;
use super::{Job, JobKey};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{BTreeMap, HashMap};

/// The jobs that are not final, or whose tasks have not all left their machines. Every job has one
/// key, and is found by its id as long as it is here.
#[derive(Debug)]
pub(super) struct JobIndex {
    jobs: BTreeMap<JobKey, Job>,
    keys: HashMap<JobId, JobKey>,
    /// Jobs that ended in this term: a late event must not add them again.
    ended: BoundedSet<JobId>,
    /// Number of the last key that was given out.
    last_key: u64,
}

impl JobIndex {
    /// An index without jobs.
    pub fn new() -> Self {
        Self {
            jobs: BTreeMap::new(),
            keys: HashMap::new(),
            ended: BoundedSet::new(constants::BOUNDED_SET_SIZE),
            last_key: 0,
        }
    }

    /// Whether a job is here, or ended in this term.
    pub fn has_seen(&self, id: &JobId) -> bool {
        self.keys.contains_key(id) || self.ended.contains(id)
    }

    /// Adds a job under the id of its record's key.
    pub fn add(&mut self, id: JobId, job: Job) {
        self.last_key += 1;
        let key = JobKey::new(self.last_key);
        self.keys.insert(id, key);
        self.jobs.insert(key, job);
    }

    /// The end of a job is durable: it must not be added again.
    pub fn mark_ended(&mut self, id: &JobId) {
        self.ended.insert(id.clone());
    }

    /// Removes a job.
    pub fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.id);
        }
    }

    /// The key of a job.
    pub fn key(&self, id: &JobId) -> Option<JobKey> {
        self.keys.get(id).copied()
    }

    /// The job with this key.
    pub fn get(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// The job with this key.
    pub fn get_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// The job with this id.
    pub fn by_id(&self, id: &JobId) -> Option<&Job> {
        self.get(&self.key(id)?)
    }

    /// The job with this id.
    pub fn by_id_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let key = self.key(id)?;
        self.get_mut(&key)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// All jobs, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter()
    }

    /// All jobs, in the order in which they were added.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&JobKey, &mut Job)> {
        self.jobs.iter_mut()
    }

    /// All jobs, in the order in which they were added.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// All jobs, in the order in which they were added.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }
}
