//! Tracks which results of a job are durable, and the progress records that store them.
//!
//! A record stores the results of one page of tasks. If the store allows large values, a page has
//! [`constants::PROGRESS_PAGE_TASKS`] tasks (a full page). Otherwise a full page is divided into
//! smaller pages: the first of them keeps the key of the full page, and the keys of the others also
//! contain the index of their first task. A record that was written under a larger limit stays
//! readable; it is overwritten only once the results of the other smaller pages have records of
//! their own.

use crate::records::{ProgressRecord, progress_key};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::ops::Range;

/// Bytes of a progress record that encode no results: the JSON around the bits, and base64 padding.
const ENVELOPE_BYTES: f64 = 32.0;
/// Results that one base64 character encodes: 24 of them take three bytes, which are four
/// characters.
const TASKS_PER_CHARACTER: f64 = 6.0;

/// State of the progress record of one page.
#[derive(Debug, Clone, Default)]
struct Page {
    /// Modification revision of the record in the store; 0 if there is no record.
    mod_revision: u64,
    /// The page is queued to be written.
    queued: bool,
    /// The stored record also has results of other pages, which need records of their own before it
    /// is overwritten.
    spans_other_pages: bool,
}

/// Results that a stored record contains.
#[derive(Debug, PartialEq, Eq)]
pub struct StoredResults {
    /// Indexes of the completed tasks in the record.
    pub done: Vec<u32>,
    /// Other pages of which the record has results: their own records must be written.
    pub pages_to_write: Vec<usize>,
}

/// The durable results of one job, and the state of its progress records.
#[derive(Debug)]
pub struct Progress {
    tasks: u32,
    /// Number of tasks per page.
    page_tasks: u32,
    /// Whether the result of each task is durable, by task index.
    durable: Vec<bool>,
    pages: Vec<Page>,
}

/// Returns the number of tasks per page whose results fit into one value. It is a full page divided
/// by a power of two, so that page boundaries under a larger limit remain page boundaries.
fn tasks_per_page(max_value_kb: f64) -> u32 {
    let max_tasks = (max_value_kb * 1024.0 - ENVELOPE_BYTES) * TASKS_PER_CHARACTER;
    let mut tasks = constants::PROGRESS_PAGE_TASKS;
    while tasks > constants::PROGRESS_PAGE_MIN_TASKS && f64::from(tasks) > max_tasks {
        tasks /= 2;
    }
    tasks
}

impl Progress {
    /// Creates the state of a job with `tasks` tasks and no stored results, in a store whose values
    /// have at most `max_value_kb` KiB.
    pub fn new(tasks: u32, max_value_kb: f64) -> Self {
        let page_tasks = tasks_per_page(max_value_kb);
        let pages = vec![Page::default(); tasks.div_ceil(page_tasks) as usize];
        Self { tasks, page_tasks, durable: vec![false; tasks as usize], pages }
    }

    /// Whether the store has the result of the task with this index.
    pub fn is_durable(&self, index: u32) -> bool {
        self.durable.get(index as usize).copied().unwrap_or(false)
    }

    /// Returns the index of the page that a task belongs to.
    pub fn page_of(&self, index: u32) -> usize {
        (index / self.page_tasks) as usize
    }

    /// Returns the task indexes of a page.
    pub fn range(&self, page: usize) -> Range<u32> {
        let from = page as u32 * self.page_tasks;
        from..(from + self.page_tasks).min(self.tasks)
    }

    /// Marks a page as queued to be written. Returns `false` if it was queued already or there is
    /// no such page.
    pub fn queue(&mut self, page: usize) -> bool {
        self.pages.get_mut(page).is_some_and(|page| !std::mem::replace(&mut page.queued, true))
    }

    /// Marks a page as not queued: its record is being written or is not needed.
    pub fn unqueue(&mut self, page: usize) {
        if let Some(page) = self.pages.get_mut(page) {
            page.queued = false;
        }
    }

    /// Returns the modification revision of a page's record; 0 if the store has none.
    pub fn mod_revision(&self, page: usize) -> u64 {
        self.pages.get(page).map_or(0, |page| page.mod_revision)
    }

    /// Returns the store key of a page's record.
    pub fn key(&self, id: &JobId, page: usize) -> String {
        progress_key(id, page as u32 * self.page_tasks)
    }

    /// Returns the store keys of all stored records of the job.
    pub fn stored_keys(&self, id: &JobId) -> Vec<String> {
        let stored = |page: &usize| self.pages[*page].mod_revision != 0;
        (0..self.pages.len()).filter(stored).map(|page| self.key(id, page)).collect()
    }

    /// Whether a page's record must not be overwritten yet, because it has results of other pages
    /// that are not stored in records of their own.
    pub fn must_not_overwrite_yet(&self, page: usize) -> bool {
        let spans_other_pages = self.pages.get(page).is_some_and(|page| page.spans_other_pages);
        spans_other_pages
            && self.rest_of_full_page(page).any(|other| {
                self.has_results(other) && {
                    let other = &self.pages[other];
                    other.queued || other.mod_revision == 0
                }
            })
    }

    /// Applies a stored record whose results begin at task `from`, and returns its results.
    /// `record` is `None` if it can't be parsed, or if the store has no such record; in the latter
    /// case `mod_revision` is 0.
    pub fn apply_record(
        &mut self,
        from: u32,
        mod_revision: u64,
        record: Option<&ProgressRecord>,
    ) -> StoredResults {
        let results = record.map(ProgressRecord::completed).unwrap_or_default();
        let done: Vec<u32> = results
            .into_iter()
            .map(|i| from.saturating_add(i))
            .filter(|i| *i < self.tasks)
            .collect();
        for index in &done {
            self.durable[*index as usize] = true;
        }
        let own = self.page_of(from);
        let aligned = from.is_multiple_of(self.page_tasks) && own < self.pages.len();
        if !aligned {
            return StoredResults { done, pages_to_write: Vec::new() };
        }
        let mut others: Vec<usize> =
            done.iter().map(|i| self.page_of(*i)).filter(|page| *page != own).collect();
        others.dedup();
        self.pages[own].mod_revision = mod_revision;
        self.pages[own].spans_other_pages = !others.is_empty();
        StoredResults { done, pages_to_write: others }
    }

    /// Returns the pages after `first` that a record of a full page beginning there also covers.
    fn rest_of_full_page(&self, first: usize) -> Range<usize> {
        let pages = (constants::PROGRESS_PAGE_TASKS / self.page_tasks) as usize;
        first + 1..(first + pages).min(self.pages.len())
    }

    fn has_results(&self, page: usize) -> bool {
        self.range(page).any(|index| self.is_durable(index))
    }
}

#[cfg(test)]
mod tests;
