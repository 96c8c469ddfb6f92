//! Positions in the replication log.

use serde::{Deserialize, Serialize};

/// A position in the replication log of one leader term, displayed as `term/index`. Ordered by term, then by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that writes the log.
    pub term: u64,
    /// Index of the entry at this position, counted from 1; 0 before the first entry.
    pub index: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
