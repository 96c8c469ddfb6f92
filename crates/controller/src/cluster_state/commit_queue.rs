//! What the leader has to write, in the order in which it goes, and transactions with what they stand for.

use super::JobKey;
use super::machine_registry::MachineRegistry;
use super::shared_watermarks::SharedStartWatermarks;
use crate::records::{
    CLASSES_KEY, FinalRecord, JobSchedulingRecord, ProgressRecord, REGISTRY_PREFIX,
    SCHEDULING_PREFIX, registry_key,
};
use crate::settings::PlatformSettings;
use hookway_constants as constants;
use hookway_wire::{KeyValue, Operation, Precondition, Transaction};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Bytes of values that one transaction may hold; the limit is 64 KiB in all.
const TRANSACTION_BYTES: usize = 48 * 1024;

/// What a guard or a change takes beside its key and value, bytes.
const CHANGE_BYTES: usize = 32;

/// Units that come back at a rate and may be saved up for a second.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate: f64,
    pub tokens: f64,
    at: u64,
}

impl TokenBucket {
    pub fn new(rate: f64, now: u64) -> Self {
        Self { rate, tokens: rate.max(2.0), at: now }
    }

    pub fn fill(&mut self, now: u64) -> f64 {
        let filled = self.tokens + now.saturating_sub(self.at) as f64 / 1000.0 * self.rate;
        self.tokens = filled.min(self.rate.max(2.0));
        self.at = now;
        self.tokens
    }
}

/// What the leader has to write, and what it knows of its writes.
#[derive(Debug)]
pub(super) struct CommitQueue {
    pub leader_precondition: Precondition,
    pub finished_jobs: VecDeque<JobKey>,
    pub progress_pages: VecDeque<(JobKey, usize)>,
    pub registry: MachineRegistry,
    pub shared_watermarks: SharedStartWatermarks,
    /// Versions of the leader's own records in the store, by key.
    pub mod_revisions: HashMap<String, u64>,
    /// Entries of the older format, by machine: dropped once a record holds the machine.
    pub legacy_registry_keys: HashMap<String, String>,
    pub stale_keys: VecDeque<String>,
    pub scheduling_records: BTreeSet<JobKey>,
    /// What is known of the classes has changed.
    pub classes_changed: bool,
    /// Jobs of which tasks wait for the store to let them be started.
    pub watermark_raises: BTreeSet<JobKey>,
    pub bucket: TokenBucket,
    pub minimum_bucket: TokenBucket,
    /// Changes that a transaction may have, lowered when the state service rejects one.
    pub max_operations: usize,
    /// What was rejected by itself, with the time from which it is tried again, ms.
    pub rejected: VecDeque<(u64, CommitItem)>,
    pub commit_in_flight: bool,
    pub backoff_until: u64,
    pub leadership_lost: bool,
}

impl CommitQueue {
    pub fn new(params: &PlatformSettings, lead: Precondition, now: u64) -> Self {
        let rate = params.state.write_rps;
        Self {
            leader_precondition: lead,
            finished_jobs: VecDeque::new(),
            progress_pages: VecDeque::new(),
            registry: MachineRegistry::new(params.state.value_kb),
            shared_watermarks: SharedStartWatermarks::new(params.state.value_kb),
            mod_revisions: HashMap::new(),
            legacy_registry_keys: HashMap::new(),
            stale_keys: VecDeque::new(),
            scheduling_records: BTreeSet::new(),
            classes_changed: false,
            watermark_raises: BTreeSet::new(),
            bucket: TokenBucket::new(rate * constants::LEADER_WRITE_SHARE, now),
            minimum_bucket: TokenBucket::new(rate * constants::MIN_TASKS_WRITE_SHARE, now),
            max_operations: params.state.txn_ops,
            rejected: VecDeque::new(),
            commit_in_flight: false,
            backoff_until: 0,
            leadership_lost: false,
        }
    }

    /// The version of one of the leader's own records, as it was read; 0 if there is none.
    pub fn set_mod_revision(&mut self, key: &str, stamp: u64) {
        if stamp == 0 {
            self.mod_revisions.remove(key);
        } else {
            self.mod_revisions.insert(key.to_owned(), stamp);
        }
    }

    pub fn delete_stale(&mut self, key: String) {
        self.stale_keys.push_back(key);
    }

    /// A machine of the older format's roster: it moves to a record.
    pub fn migrate_legacy_entry(&mut self, machine: &str, at_ms: u64) {
        self.legacy_registry_keys.insert(machine.to_owned(), registry_key(machine));
        self.registry.register(machine, at_ms);
    }
}

/// Whether a key is of a record that only leaders write and that they write again and again.
pub(super) fn is_leader_record(key: &str) -> bool {
    key == CLASSES_KEY || key.starts_with(SCHEDULING_PREFIX) || key.starts_with(REGISTRY_PREFIX)
}

#[derive(Debug, Clone)]
pub(super) enum CommitItem {
    Final(JobKey, FinalRecord),
    ProgressPage(JobKey, usize, ProgressRecord),
    MachineRegistry(u64, Vec<(String, Vec<u32>)>),
    StaleKey(String),
    Scheduling(JobKey, JobSchedulingRecord),
    /// A record of small jobs that may be started, and those that wait for it.
    SharedWatermarks(u64, Vec<JobKey>),
    Classes,
}

/// A transaction with what it stands for.
#[derive(Debug)]
pub struct PendingCommit {
    /// The transaction.
    pub transaction: Transaction,
    pub(super) items: Vec<CommitItem>,
    pub(super) max_operations: usize,
    pub(super) bytes: usize,
}

/// What became of it.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// Applied at this revision.
    Applied(u64),
    /// Surely not carried out; to be tried again later.
    NotApplied,
    /// Surely not carried out, as it is larger than the state service takes; to be tried in smaller parts.
    Rejected,
    /// Some condition failed, or nothing is known. These keys were read again since.
    Indeterminate(Vec<RereadKey>),
}

/// A key that was read again.
pub type RereadKey = (String, Option<KeyValue>);

impl PendingCommit {
    /// Whether `changes` more may be added. Sizes count, not numbers alone: however many changes the
    /// store takes at a time, a transaction has a length that it may not exceed.
    pub(super) fn has_room_for(&self, changes: usize) -> bool {
        self.transaction.operations.len() + changes <= self.max_operations
            && self.bytes < TRANSACTION_BYTES
    }

    pub(super) fn require(&mut self, key: String, stamp: u64) {
        self.bytes += key.len() + CHANGE_BYTES;
        self.transaction.preconditions.push(Precondition { key, mod_revision: stamp });
    }

    /// A transaction without an answer may be carried out late, after newer ones of this leader. So each
    /// overwrites just the version that it knows: else an old mark or roster would come back, and the next
    /// leader would start what runs on a machine that it does not hear.
    pub(super) fn require_known_revision(&mut self, stamps: &HashMap<String, u64>, key: &str) {
        self.require(key.to_owned(), stamps.get(key).copied().unwrap_or(0));
    }

    pub(super) fn put(&mut self, key: String, value: serde_json::Value) {
        self.bytes += key.len() + CHANGE_BYTES + value.to_string().len();
        self.transaction.operations.push(Operation::put(key, value));
    }

    pub(super) fn delete(&mut self, key: String) {
        self.bytes += key.len() + CHANGE_BYTES;
        self.transaction.operations.push(Operation::delete(key));
    }

    /// The keys that must be read again when the outcome is not plain success.
    pub fn keys(&self) -> Vec<String> {
        self.transaction.preconditions.iter().map(|g| g.key.clone()).collect()
    }
}
