//! The record of the elected leader.

use serde::{Deserialize, Serialize};

/// The value of `lead/now`. The key is attached to the leadership lease, so the store deletes it
/// when the lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller that leads.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// The leader's term, which is also the first fencing token of the term.
    pub term: u64,
    /// Random number that distinguishes this campaign from all others: a controller tells by it
    /// whether a record under its name is its own or that of its previous process.
    pub nonce: u64,
}
