//! Start watermark records that small jobs share.

use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The records that name the small jobs that may have been started. Thousands of one-task jobs can
/// be submitted within a minute or two. One record for each would use up the write budget of all
/// other records, so many jobs share a record.
///
/// A job may have been started once a record that names it may be in the store. So it stays in that
/// record until it has ended.
#[derive(Debug)]
pub(super) struct SharedStartWatermarks {
    /// Maximum number of jobs in a record.
    max_jobs: usize,
    /// Jobs by record number.
    records: BTreeMap<u64, BTreeSet<JobId>>,
    /// Number of the record to which jobs are added.
    current: u64,
}

impl SharedStartWatermarks {
    /// Creates an empty set of records, for values of at most `value_kb` KiB.
    pub fn new(value_kb: f64) -> Self {
        let max_jobs = value_kb * 1024.0 / constants::SHARED_WATERMARK_ENTRY_BYTES as f64;
        let max_jobs = (max_jobs as usize).clamp(1, constants::SHARED_WATERMARK_MAX_JOBS);
        Self { max_jobs, records: BTreeMap::new(), current: 0 }
    }

    /// Whether a record names more jobs than fit the value limit.
    pub fn is_too_large(&self, number: u64) -> bool {
        self.records.get(&number).is_some_and(|jobs| jobs.len() > self.max_jobs)
    }

    /// Adds a record that an earlier leader wrote. An unreadable one is added without jobs, so that
    /// its number is not used again.
    pub fn add_loaded(&mut self, number: u64, jobs: BTreeSet<JobId>) {
        self.current = self.current.max(number + 1);
        self.records.insert(number, jobs);
    }

    /// Adds a job to the current record, or to a new one if that is full. Returns the record's
    /// number.
    pub fn add(&mut self, id: &JobId) -> u64 {
        let full = |jobs: &BTreeSet<JobId>| jobs.len() >= self.max_jobs;
        if self.records.get(&self.current).is_some_and(full) {
            self.current += 1;
        }
        self.records.entry(self.current).or_default().insert(id.clone());
        self.current
    }

    /// Returns the jobs of a record; `None` if there is no record with this number.
    pub fn jobs(&self, number: u64) -> Option<&BTreeSet<JobId>> {
        self.records.get(&number)
    }

    /// Removes a job that has ended. Returns whether its record was removed as well, because it
    /// names no other job and is not the current one.
    pub fn remove(&mut self, number: u64, id: &JobId) -> bool {
        let Some(jobs) = self.records.get_mut(&number) else { return false };
        jobs.remove(id);
        let unused = jobs.is_empty() && number != self.current;
        if unused {
            self.records.remove(&number);
        }
        unused
    }
}

#[cfg(test)]
mod tests;
