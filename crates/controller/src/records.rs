//! What the controllers keep in the state service.
//!
//! | key | what |
//! | --- | --- |
//! | `lead/now` | who leads; hangs on the leader's lease |
//! | `lead/term` | the highest token so far; only grows |
//! | `lead/marked` | the value of `lead/term` that the last leader that keeps marks wrote |
//! | `j/<job>` | an accepted job that is not over |
//! | `f/<job>` | the final state of a job; written once, never changed |
//! | `p/<job>/<chunk>` | which tasks of a job are done, as bits |
//! | `p/<job>/<chunk>/<task>` | the same from that task on, where a value can't hold a whole chunk |
//! | `m/<job>` | the job's minimum and mean task time (hints for the next leader), and how far its tasks may have been started |
//! | `m/shared-<n>` | small jobs (gangs, and arrays of a few tasks) that may have been started |
//! | `r/record-<n>` | machines that may have tasks, and the images they hold (a hint) |
//! | `c/classes` | what classes of jobs need (a hint for the next leader) |
//!
//! Version 0.1.0 had `r/<machine>` and `i/<machine>` instead; both are read, and replaced by records of
//! many machines.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_wire::{JobId, JobSpec, JobState, JobStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What classes of jobs need.
pub const CLASSES_KEY: &str = "c/lanes";
/// Prefix of the image records of version 0.1.0.
pub const LEGACY_IMAGES_PREFIX: &str = "i/";
/// Who leads.
pub const LEADER_KEY: &str = "lead/now";
/// The highest term.
pub const LEADER_TERM_KEY: &str = "lead/term";
/// The term of the last leader that recorded how far tasks of jobs may have been started.
/// Versions that did not share marks between small jobs have `lead/marks`: whichever kind of leader follows the
/// other finds that the last term left no marks that it knows, and counts all jobs as started.
pub const LEADER_WATERMARKS_KEY: &str = "lead/marked";
/// Prefix of these.
pub const LEADER_PREFIX: &str = "lead/";
/// Prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "j/";
/// Prefix of final states.
pub const FINAL_STATES_PREFIX: &str = "f/";
/// Prefix of progress records.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of minimums.
pub const SCHEDULING_PREFIX: &str = "m/";
/// Prefix of the roster.
pub const REGISTRY_PREFIX: &str = "r/";

/// Value of `lead/now`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// Its term, which is the token too.
    pub term: u64,
    /// Tells this try for leadership from every other one.
    pub nonce: u64,
}

/// Value of `j/<job>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub spec: JobSpec,
    /// Time of day when it was accepted, ms.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Its record of the minimum says how far its tasks may have been started. Missing in jobs that
    /// version 0.1.0 accepted.
    #[serde(rename = "marked", default)]
    pub has_start_watermark: bool,
}

/// Value of `f/<job>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub state: JobState,
    /// Completed tasks.
    pub done: u32,
    /// The team.
    #[serde(rename = "owner")]
    pub team: String,
    /// Why attempts ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl FinalRecord {
    /// The user's view.
    pub fn status(&self, id: &JobId) -> JobStatus {
        JobStatus {
            id: id.clone(),
            state: self.state,
            done: self.done,
            running: 0,
            team: Some(self.team.clone()),
            leader: None,
            notes: self.notes.clone(),
        }
    }
}

/// What `r/record-<n>` says of a machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryEntry {
    /// Time of day when it became known, ms.
    #[serde(rename = "at_ms")]
    pub registered_at_ms: u64,
    /// Images that it holds, as places in the record's list; least recently used first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
}

/// Value of `r/record-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryRecord {
    /// By machine.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<String, MachineRegistryEntry>,
    /// Name and size in GB of the images that entries name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
}

/// What `c/classes` says of a class of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The largest task.
    #[serde(rename = "need")]
    pub request: Resources,
    /// The largest image, GB.
    pub image_gb: f64,
    /// Whether its jobs may use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its jobs are gangs.
    pub gangs: bool,
}

/// Value of `i/<machine>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Name and size in GB, least recently used first.
    pub images: Vec<(String, f64)>,
}

/// Value of `m/<job>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSchedulingRecord {
    /// The minimum.
    #[serde(rename = "least")]
    pub min_tasks: u32,
    /// Tasks whose run time is known.
    #[serde(rename = "timed")]
    pub run_time_count: u32,
    /// Sum of those, ms.
    #[serde(rename = "sum_ms")]
    pub run_time_sum_ms: u64,
    /// Tasks from this number on were never started, by any leader.
    #[serde(rename = "opened", default)]
    pub start_watermark: u32,
}

/// Value of `m/shared-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedStartWatermarksRecord {
    /// Jobs that may have been started.
    pub jobs: BTreeSet<JobId>,
}

/// Value of `p/<job>/<chunk>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// One bit a task, lowest first, as base64.
    pub bits: String,
}

impl ProgressRecord {
    /// From bits.
    pub fn new(bits: &[bool]) -> Self {
        let mut bytes = vec![0u8; bits.len().div_ceil(8)];
        for (i, _) in bits.iter().enumerate().filter(|(_, b)| **b) {
            bytes[i / 8] |= 1 << (i % 8);
        }
        Self { bits: STANDARD_NO_PAD.encode(bytes) }
    }

    /// The tasks, counted from the chunk's first, whose bit is set.
    pub fn completed(&self) -> Vec<u32> {
        let bytes = STANDARD_NO_PAD.decode(&self.bits).unwrap_or_default();
        (0..bytes.len() as u32 * 8)
            .filter(|i| bytes[(i / 8) as usize] & (1 << (i % 8)) != 0)
            .collect()
    }
}

/// Whether a record is no larger than a value may be.
pub fn fits_value_limit(record: &impl Serialize, value_kb: f64) -> bool {
    let length = serde_json::to_string(record).map_or(usize::MAX, |text| text.len());
    length as f64 <= value_kb * 1024.0
}

/// `j/<job>`.
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// `f/<job>`.
pub fn final_state_key(id: &JobId) -> String {
    format!("{FINAL_STATES_PREFIX}{id}")
}

/// The key of the progress record whose first task is `from`.
pub fn progress_key(id: &JobId, from: u32) -> String {
    let chunk = from / constants::PROGRESS_PAGE_TASKS;
    if from.is_multiple_of(constants::PROGRESS_PAGE_TASKS) {
        format!("{PROGRESS_PREFIX}{id}/{chunk}")
    } else {
        format!("{PROGRESS_PREFIX}{id}/{chunk}/{from}")
    }
}

/// The job and the first task of such a key.
pub fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let parts: Vec<&str> = key.strip_prefix(PROGRESS_PREFIX)?.split('/').collect();
    let (id, from) = match parts.as_slice() {
        [id, chunk] => {
            (id, chunk.parse::<u32>().ok()?.checked_mul(constants::PROGRESS_PAGE_TASKS)?)
        }
        [id, _, from] => (id, from.parse().ok()?),
        _ => return None,
    };
    Some((JobId::parse(id)?, from))
}

/// `m/<job>`.
pub fn scheduling_key(id: &JobId) -> String {
    format!("{SCHEDULING_PREFIX}{id}")
}

/// `m/shared-<n>`.
pub fn shared_watermarks_key(number: u64) -> String {
    format!("{SCHEDULING_PREFIX}shared-{number}")
}

/// The number of such a key.
pub fn parse_shared_watermarks_key(key: &str) -> Option<u64> {
    key.strip_prefix(SCHEDULING_PREFIX)?.strip_prefix("shared-")?.parse().ok()
}

/// `r/<name>`.
pub fn registry_key(machine: &str) -> String {
    format!("{REGISTRY_PREFIX}{machine}")
}

#[cfg(test)]
mod tests;
