//! The record of the leader.

use serde::{Deserialize, Serialize};

/// The value of `lead/now`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// Its term, which is its first fencing token too.
    pub term: u64,
    /// Distinguishes this campaign from all others.
    pub nonce: u64,
}
