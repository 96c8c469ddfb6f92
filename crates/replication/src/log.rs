//! The leader's replication log: a bounded buffer of the newest entries.

use crate::entry::Entry;
use crate::position::Position;
use std::collections::VecDeque;

/// The newest entries of one term. The log drops older entries even if a follower still needs them: a slow
/// follower receives a snapshot instead, so that it never delays the leader.
#[derive(Debug)]
pub struct ReplicationLog {
    term: u64,
    /// Index of the last entry; 0 before the first.
    last_index: u64,
    entries: VecDeque<Entry>,
    max_entries: usize,
}

impl ReplicationLog {
    /// Creates an empty log of `term` that keeps the newest `max_entries` entries.
    pub fn new(term: u64, max_entries: usize) -> Self {
        Self { term, last_index: 0, entries: VecDeque::new(), max_entries }
    }

    /// Returns the position of the last entry; its index is 0 before the first entry.
    pub fn end(&self) -> Position {
        Position { term: self.term, index: self.last_index }
    }

    /// Appends an entry, and drops the oldest one if the log is full.
    pub fn append(&mut self, entry: Entry) {
        self.last_index += 1;
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
    }

    /// Returns the index of the last dropped entry; 0 if none was dropped.
    fn last_dropped_index(&self) -> u64 {
        self.last_index - self.entries.len() as u64
    }

    /// Whether the log still has all entries after a position of the same term.
    pub fn covers(&self, after: Position) -> bool {
        after.term == self.term
            && (self.last_dropped_index()..=self.last_index).contains(&after.index)
    }

    /// Returns the entries after a position; `None` if the log does not have all of them.
    pub fn after(&self, after: Position) -> Option<impl Iterator<Item = &Entry>> {
        if !self.covers(after) {
            return None;
        }
        let known_entries = after.index - self.last_dropped_index();
        Some(self.entries.iter().skip(known_entries as usize))
    }
}
