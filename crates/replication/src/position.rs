//! Places in the log.

use serde::{Deserialize, Serialize};

/// A place in the log of one leader: its term, and how many of its entries lie before and at the place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The leader's term.
    pub term: u64,
    /// Number of the last entry; 0 before the first.
    pub index: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
