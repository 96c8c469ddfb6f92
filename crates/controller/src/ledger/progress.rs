//! Which results of a job are in the state service, and the records that hold them.
//!
//! A record holds the results of a chunk of tasks. Where values may be large, a chunk has
//! [`constants::PROGRESS_PAGE_TASKS`] tasks. Where they may not, it has a part of that many; the first part
//! keeps the key of the whole, and the others have the number of their first task in theirs. A record that
//! was written under a larger limit stays readable; it is overwritten once the other parts are stored.

use crate::records::{ProgressRecord, progress_key};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::ops::Range;

/// Characters of a progress record beside its bits, and those that base64 may add.
const ENVELOPE_BYTES: f64 = 32.0;
/// Tasks whose results take three bytes, which are four characters in base64.
const TASKS_PER_CHARACTER: f64 = 6.0;

/// A progress record.
#[derive(Debug, Clone, Default)]
struct Chunk {
    /// Its version in the store; 0 if there is none.
    stamp: u64,
    /// It waits to be written.
    queued: bool,
    /// The stored record holds results of other chunks too, which must be stored by themselves first.
    wide: bool,
}

/// What a stored record says.
#[derive(Debug, PartialEq, Eq)]
pub struct Learned {
    /// Tasks whose results it holds.
    pub done: Vec<u32>,
    /// Chunks whose results it holds although they have records of their own: those must be written.
    pub chunks_to_write: Vec<usize>,
}

/// The stored results of one job.
#[derive(Debug)]
pub struct Progress {
    tasks: u32,
    chunk_tasks: u32,
    durable: Vec<bool>,
    chunks: Vec<Chunk>,
}

/// Tasks whose results fit into one value: a power of two, so that chunks divide those of larger values.
fn tasks_per_chunk(value_kb: f64) -> u32 {
    let most = (value_kb * 1024.0 - ENVELOPE_BYTES) * TASKS_PER_CHARACTER;
    let mut tasks = constants::PROGRESS_PAGE_TASKS;
    while tasks > constants::PROGRESS_PAGE_MIN_TASKS && f64::from(tasks) > most {
        tasks /= 2;
    }
    tasks
}

impl Progress {
    /// Nothing stored yet, of a job with so many tasks, in values of at most `value_kb` KiB.
    pub fn new(tasks: u32, value_kb: f64) -> Self {
        let chunk_tasks = tasks_per_chunk(value_kb);
        let chunks = vec![Chunk::default(); tasks.div_ceil(chunk_tasks) as usize];
        Self { tasks, chunk_tasks, durable: vec![false; tasks as usize], chunks }
    }

    /// Whether a task's result is stored.
    pub fn is_durable(&self, index: u32) -> bool {
        self.durable.get(index as usize).copied().unwrap_or(false)
    }

    /// The chunk that a task's result goes to.
    pub fn chunk_of(&self, index: u32) -> usize {
        (index / self.chunk_tasks) as usize
    }

    /// The tasks of a chunk.
    pub fn range(&self, chunk: usize) -> Range<u32> {
        let from = chunk as u32 * self.chunk_tasks;
        from..(from + self.chunk_tasks).min(self.tasks)
    }

    /// A chunk is to be written; `false` if it waits already.
    pub fn queue(&mut self, chunk: usize) -> bool {
        self.chunks.get_mut(chunk).is_some_and(|c| !std::mem::replace(&mut c.queued, true))
    }

    /// A chunk waits no more: it is being written, or needs no record.
    pub fn unqueue(&mut self, chunk: usize) {
        if let Some(chunk) = self.chunks.get_mut(chunk) {
            chunk.queued = false;
        }
    }

    /// The version of a chunk's record; 0 if there is none.
    pub fn stamp(&self, chunk: usize) -> u64 {
        self.chunks.get(chunk).map_or(0, |c| c.stamp)
    }

    /// The key of a chunk's record.
    pub fn key(&self, id: &JobId, chunk: usize) -> String {
        progress_key(id, chunk as u32 * self.chunk_tasks)
    }

    /// The keys of all stored records.
    pub fn stored_keys(&self, id: &JobId) -> Vec<String> {
        let stored = |chunk: &usize| self.chunks[*chunk].stamp != 0;
        (0..self.chunks.len()).filter(stored).map(|chunk| self.key(id, chunk)).collect()
    }

    /// Whether a chunk's record must not be overwritten yet: it holds results of other chunks that are not
    /// stored by themselves.
    pub fn must_wait(&self, chunk: usize) -> bool {
        let wide = self.chunks.get(chunk).is_some_and(|c| c.wide);
        wide && self.rest_of_block(chunk).any(|other| {
            self.holds_results(other) && {
                let other = &self.chunks[other];
                other.queued || other.stamp == 0
            }
        })
    }

    /// The record whose results begin at task `from` has this version and these results, counted from there
    /// (`None`: there is no such record).
    pub fn learn(&mut self, from: u32, stamp: u64, record: Option<&ProgressRecord>) -> Learned {
        let results = record.map(ProgressRecord::set).unwrap_or_default();
        let done: Vec<u32> = results
            .into_iter()
            .map(|i| from.saturating_add(i))
            .filter(|i| *i < self.tasks)
            .collect();
        for index in &done {
            self.durable[*index as usize] = true;
        }
        let own = self.chunk_of(from);
        let aligned = from.is_multiple_of(self.chunk_tasks) && own < self.chunks.len();
        if !aligned {
            return Learned { done, chunks_to_write: Vec::new() };
        }
        let mut others: Vec<usize> =
            done.iter().map(|i| self.chunk_of(*i)).filter(|chunk| *chunk != own).collect();
        others.dedup();
        self.chunks[own].stamp = stamp;
        self.chunks[own].wide = !others.is_empty();
        Learned { done, chunks_to_write: others }
    }

    /// The chunks that one record holds where values may be large, but for the first of them.
    fn rest_of_block(&self, first: usize) -> Range<usize> {
        let chunks = (constants::PROGRESS_PAGE_TASKS / self.chunk_tasks) as usize;
        first + 1..(first + chunks).min(self.chunks.len())
    }

    fn holds_results(&self, chunk: usize) -> bool {
        self.range(chunk).any(|index| self.is_durable(index))
    }
}

#[cfg(test)]
mod tests;
