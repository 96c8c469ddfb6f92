//! Which results of a job are durable, and the records that have them.
//!
//! A record has the results of a page of tasks. Where values may be large, a page has
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
struct Page {
    /// Revision of its record; 0 if there is none.
    mod_revision: u64,
    /// It is queued to be written.
    queued: bool,
    /// The stored record has results of other pages too, which must be stored in their own records first.
    spans_other_pages: bool,
}

/// The content of a stored record.
#[derive(Debug, PartialEq, Eq)]
pub struct StoredResults {
    /// Tasks whose results it has.
    pub done: Vec<u32>,
    /// Pages whose results it has although they have records of their own: those must be written.
    pub pages_to_write: Vec<usize>,
}

/// The stored results of one job.
#[derive(Debug)]
pub struct Progress {
    tasks: u32,
    /// Tasks of a page.
    page_tasks: u32,
    /// Whether the result of each task is durable.
    durable: Vec<bool>,
    pages: Vec<Page>,
}

/// Tasks whose results fit into one value: a power of two, so that pages divide those of larger values.
fn tasks_per_page(value_kb: f64) -> u32 {
    let max_tasks = (value_kb * 1024.0 - ENVELOPE_BYTES) * TASKS_PER_CHARACTER;
    let mut tasks = constants::PROGRESS_PAGE_TASKS;
    while tasks > constants::PROGRESS_PAGE_MIN_TASKS && f64::from(tasks) > max_tasks {
        tasks /= 2;
    }
    tasks
}

impl Progress {
    /// Nothing stored yet, of a job with so many tasks, in values of at most `value_kb` KiB.
    pub fn new(tasks: u32, value_kb: f64) -> Self {
        let page_tasks = tasks_per_page(value_kb);
        let pages = vec![Page::default(); tasks.div_ceil(page_tasks) as usize];
        Self { tasks, page_tasks, durable: vec![false; tasks as usize], pages }
    }

    /// Whether a task's result is stored.
    pub fn is_durable(&self, index: u32) -> bool {
        self.durable.get(index as usize).copied().unwrap_or(false)
    }

    /// The page that a task's result goes to.
    pub fn page_of(&self, index: u32) -> usize {
        (index / self.page_tasks) as usize
    }

    /// The tasks of a page.
    pub fn range(&self, page: usize) -> Range<u32> {
        let from = page as u32 * self.page_tasks;
        from..(from + self.page_tasks).min(self.tasks)
    }

    /// Queues a page to be written; `false` if it is queued already.
    pub fn queue(&mut self, page: usize) -> bool {
        self.pages.get_mut(page).is_some_and(|c| !std::mem::replace(&mut c.queued, true))
    }

    /// A page is not queued any more: it is being written, or needs no record.
    pub fn unqueue(&mut self, page: usize) {
        if let Some(page) = self.pages.get_mut(page) {
            page.queued = false;
        }
    }

    /// The revision of a page's record; 0 if there is none.
    pub fn mod_revision(&self, page: usize) -> u64 {
        self.pages.get(page).map_or(0, |c| c.mod_revision)
    }

    /// The key of a page's record.
    pub fn key(&self, id: &JobId, page: usize) -> String {
        progress_key(id, page as u32 * self.page_tasks)
    }

    /// The keys of all stored records.
    pub fn stored_keys(&self, id: &JobId) -> Vec<String> {
        let stored = |page: &usize| self.pages[*page].mod_revision != 0;
        (0..self.pages.len()).filter(stored).map(|page| self.key(id, page)).collect()
    }

    /// Whether a page's record must not be overwritten yet: it has results of other pages that are not stored
    /// in records of their own.
    pub fn must_wait(&self, page: usize) -> bool {
        let spans_other_pages = self.pages.get(page).is_some_and(|c| c.spans_other_pages);
        spans_other_pages
            && self.rest_of_full_page(page).any(|other| {
                self.has_results(other) && {
                    let other = &self.pages[other];
                    other.queued || other.mod_revision == 0
                }
            })
    }

    /// Takes in the stored record whose results begin at task `from`, with its revision (`None`: there is no
    /// such record).
    pub fn learn(
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

    /// The pages that one record has where values may be large, but for the first of them.
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
