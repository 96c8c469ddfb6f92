//! Start watermarks that small jobs share.

use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Which small jobs may have been started. Thousands of one-task jobs can be submitted within a minute or
/// two, and a record for each would take the write budget of all others; so they share records.
///
/// A job that is named in a record that may be stored may have been started: it stays in its record until
/// it has ended.
#[derive(Debug)]
pub(super) struct SharedStartWatermarks {
    /// Maximum number of jobs of a record.
    max_jobs: usize,
    /// Jobs by record.
    records: BTreeMap<u64, BTreeSet<JobId>>,
    /// Number of the record to which jobs are added.
    current: u64,
}

impl SharedStartWatermarks {
    /// No records yet, for values of at most `value_kb` KiB.
    pub fn new(value_kb: f64) -> Self {
        let max_jobs = value_kb * 1024.0 / constants::SHARED_WATERMARK_ENTRY_BYTES as f64;
        let max_jobs = (max_jobs as usize).clamp(1, constants::SHARED_WATERMARK_MAX_JOBS);
        Self { max_jobs, records: BTreeMap::new(), current: 0 }
    }

    /// Whether a record names more jobs than one value may.
    pub fn too_large(&self, number: u64) -> bool {
        self.records.get(&number).is_some_and(|jobs| jobs.len() > self.max_jobs)
    }

    /// Takes in a record that an earlier leader wrote, or one that can't be read, with no jobs: its number is
    /// in use.
    pub fn loaded(&mut self, number: u64, jobs: BTreeSet<JobId>) {
        self.current = self.current.max(number + 1);
        self.records.insert(number, jobs);
    }

    /// Adds a job to the current record; the record's number.
    pub fn add(&mut self, id: &JobId) -> u64 {
        let full = |jobs: &BTreeSet<JobId>| jobs.len() >= self.max_jobs;
        if self.records.get(&self.current).is_some_and(full) {
            self.current += 1;
        }
        self.records.entry(self.current).or_default().insert(id.clone());
        self.current
    }

    /// The jobs of a record.
    pub fn jobs(&self, number: u64) -> Option<&BTreeSet<JobId>> {
        self.records.get(&number)
    }

    /// Removes a job that has ended. `true`: its record is gone, as it has no other job and is not current.
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
