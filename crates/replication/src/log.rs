//! The leader's log: the newest entries, bounded.

use crate::entry::Entry;
use crate::position::Position;
use std::collections::VecDeque;

/// The newest entries of one term. Older ones are dropped, whoever still lacks them: a follower that is too slow
/// gets an image, and never slows the leader.
#[derive(Debug)]
pub struct ReplicationLog {
    term: u64,
    /// Number of the last entry.
    last: u64,
    entries: VecDeque<Entry>,
    most: usize,
}

impl ReplicationLog {
    /// An empty log that keeps `most` entries.
    pub fn new(term: u64, most: usize) -> Self {
        Self { term, last: 0, entries: VecDeque::new(), most }
    }

    /// Where the log ends.
    pub fn end(&self) -> Position {
        Position { term: self.term, index: self.last }
    }

    /// Adds an entry.
    pub fn append(&mut self, entry: Entry) {
        self.last += 1;
        self.entries.push_back(entry);
        if self.entries.len() > self.most {
            self.entries.pop_front();
        }
    }

    /// Number of the last entry that was dropped.
    fn dropped(&self) -> u64 {
        self.last - self.entries.len() as u64
    }

    /// Whether whoever has applied everything up to `after` can go on from there.
    pub fn reaches(&self, after: Position) -> bool {
        after.term == self.term && (self.dropped()..=self.last).contains(&after.index)
    }

    /// The entries after a position; `None` if the log does not reach so far back, or never was there.
    pub fn after(&self, after: Position) -> Option<impl Iterator<Item = &Entry>> {
        let skip = self.reaches(after).then(|| (after.index - self.dropped()) as usize)?;
        Some(self.entries.iter().skip(skip))
    }
}
