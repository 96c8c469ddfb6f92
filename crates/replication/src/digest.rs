//! Digests of parts of a state, by which a follower finds that its copy has diverged.

use crate::state::ReplicatedState;
use hookway_constants::REPLICATION_DIGEST_RANGES as RANGES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The digest of all machines and jobs whose names fall into one range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// Which range, counted from 0.
    pub range: u32,
    /// The digest.
    pub digest: u64,
}

impl RangeDigest {
    /// Of a state. `None`: there is no such range.
    pub fn of(state: &ReplicatedState, range: u32) -> Option<Self> {
        if range >= RANGES {
            return None;
        }
        let mut hash = Xxh3::new();
        for (name, machine) in state.machines.iter().filter(|(name, _)| range_of(name) == range) {
            put_text(&mut hash, name);
            put_text(&mut hash, &machine.address);
            hash.update(&machine.session.to_le_bytes());
            for task in machine.tasks() {
                put_text(&mut hash, &task.task);
                hash.update(&task.attempt.to_le_bytes());
                hash.update(&[task.stage as u8]);
            }
        }
        for (id, hints) in state.jobs.iter().filter(|(id, _)| range_of(id) == range) {
            put_text(&mut hash, id);
            hash.update(&hints.attempt.unwrap_or_default().to_le_bytes());
            hash.update(&hints.errors.to_le_bytes());
            hash.update(&hints.failed_at.to_le_bytes());
            hash.update(&hints.paused_until.to_le_bytes());
            hints.failed_on.iter().for_each(|machine| put_text(&mut hash, machine));
        }
        Some(Self { range, digest: hash.digest() })
    }
}

/// The range that a name falls into.
fn range_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) % u64::from(RANGES)) as u32
}

/// A text with its length, so that no two sequences of texts look alike.
fn put_text(hash: &mut Xxh3, text: &str) {
    hash.update(&(text.len() as u64).to_le_bytes());
    hash.update(text.as_bytes());
}
