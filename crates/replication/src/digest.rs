//! Digests of ranges of the state, by which a follower detects that its copy has diverged.

use crate::state::{ReplicatedJob, ReplicatedMachine, ReplicatedState};
use hookway_constants::REPLICATION_DIGEST_RANGES as RANGES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Digest of the machines and jobs in one range. Their names are distributed over the ranges by hash.
///
/// Old and new controllers must compute the same digests, so what is hashed, and in which order, never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// Index of the range, counted from 0.
    pub range: u32,
    /// XXH3 digest of the range.
    pub digest: u64,
}

impl RangeDigest {
    /// Computes the digest of one range of a state; `None` if there is no such range.
    pub fn of(state: &ReplicatedState, range: u32) -> Option<Self> {
        if range >= RANGES {
            return None;
        }
        let mut hasher = Xxh3::new();
        for (name, machine) in state.machines.iter().filter(|(name, _)| range_of(name) == range) {
            hash_machine(&mut hasher, name, machine);
        }
        for (id, job) in state.jobs.iter().filter(|(id, _)| range_of(id) == range) {
            hash_job(&mut hasher, id, job);
        }
        Some(Self { range, digest: hasher.digest() })
    }
}

fn hash_machine(hasher: &mut Xxh3, name: &str, machine: &ReplicatedMachine) {
    hash_text(hasher, name);
    hash_text(hasher, &machine.address);
    hasher.update(&machine.incarnation.to_le_bytes());
    for task in machine.tasks() {
        hash_text(hasher, &task.task);
        hasher.update(&task.attempt.to_le_bytes());
        hasher.update(&[task.stage as u8]);
    }
}

fn hash_job(hasher: &mut Xxh3, id: &str, job: &ReplicatedJob) {
    hash_text(hasher, id);
    hasher.update(&job.gang_attempt.unwrap_or_default().to_le_bytes());
    hasher.update(&job.consecutive_failures.to_le_bytes());
    hasher.update(&job.last_failure_unix_ms.to_le_bytes());
    hasher.update(&job.backoff_until_unix_ms.to_le_bytes());
    for machine in &job.failed_machines {
        hash_text(hasher, machine);
    }
}

/// Index of the range that a name belongs to.
fn range_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) % u64::from(RANGES)) as u32
}

/// Hashes a text after its length, so that different sequences of texts have different input.
fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
