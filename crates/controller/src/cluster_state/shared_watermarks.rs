use hookway_constants as constants;
use hookway_wire::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Marks of small jobs: which of them may have been started. Thousands of one-task jobs can come within a
/// minute or two, and a record for each would take the write budget of all others; so they share records.
///
/// Being named in a record that the store may hold is what counts: a job stays in its record until it is over.
#[derive(Debug)]
pub(super) struct SharedStartWatermarks {
    /// Jobs that a record may name.
    max_jobs: usize,
    records: BTreeMap<u64, BTreeSet<JobId>>,
    /// The record that is being filled.
    current: u64,
}

impl SharedStartWatermarks {
    /// No marks yet, in values of at most `value_kb` KiB.
    pub fn new(value_kb: f64) -> Self {
        let fit = value_kb * 1024.0 / constants::SHARED_WATERMARK_ENTRY_BYTES as f64;
        let most = (fit as usize).clamp(1, constants::SHARED_WATERMARK_MAX_JOBS);
        Self { max_jobs: most, records: BTreeMap::new(), current: 0 }
    }

    /// Whether a record names more jobs than one value may.
    pub fn too_large(&self, number: u64) -> bool {
        self.records.get(&number).is_some_and(|jobs| jobs.len() > self.max_jobs)
    }

    /// A record that an earlier leader wrote, or one that can't be read: its number is taken.
    pub fn loaded(&mut self, number: u64, jobs: BTreeSet<JobId>) {
        self.current = self.current.max(number + 1);
        self.records.insert(number, jobs);
    }

    /// Puts a job into the record that is being filled; the record's number.
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

    /// A job is over. `true`: its record names no other and is not being filled any more.
    pub fn remove(&mut self, number: u64, id: &JobId) -> bool {
        let Some(jobs) = self.records.get_mut(&number) else { return false };
        jobs.remove(id);
        let gone = jobs.is_empty() && number != self.current;
        if gone {
            self.records.remove(&number);
        }
        gone
    }
}

#[cfg(test)]
mod tests;
