//! Digests of ranges of the replicated state, by which a follower detects that its copy has diverged.

use crate::state::{ReplicatedJob, ReplicatedMachine, ReplicatedState};
use hookway_constants::REPLICATION_DIGEST_RANGES as RANGES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Digest of the machines and jobs in one range. A hash of its name or id assigns each machine and job to a range.
///
/// Old and new controllers must compute the same digests, so what is hashed, and in which order, never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDigest {
    /// Index of the range, from 0 to `REPLICATION_DIGEST_RANGES` - 1.
    pub range: u32,
    /// XXH3 digest (64 bits) of the machines and then the jobs in the range, each in the order of their names.
    pub digest: u64,
}

impl RangeDigest {
    /// Computes the digest of one range of `state`; `None` if the index is not that of a range.
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

/// Returns the index of the range that a machine name or job id belongs to.
fn range_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) % u64::from(RANGES)) as u32
}

/// Hashes the length of a text before the text, so that different sequences of texts never hash the same bytes.
fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
