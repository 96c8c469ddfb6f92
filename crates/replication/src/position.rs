//! Positions in the replication log.

use serde::{Deserialize, Serialize};

/// A position in the log of one leader term. Displayed as `term/index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that wrote the log.
    pub term: u64,
    /// Index of the last entry up to this position, counted from 1; 0 before the first entry.
    pub index: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
