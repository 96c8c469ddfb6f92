//! What the leader has to write to the state service, and its transactions.

use super::JobKey;
use super::machine_registry::MachineRegistry;
use super::shared_watermarks::SharedStartWatermarks;
use super::token_bucket::TokenBucket;
use super::watermark_marker::WatermarkMarker;
use crate::records::{
    CLASSES_KEY, FinalRecord, JobSchedulingRecord, ProgressRecord, REGISTRY_PREFIX,
    SCHEDULING_PREFIX, registry_key,
};
use crate::settings::PlatformSettings;
use hookway_constants as constants;
use hookway_time::{MonotonicTime, WallTime};
use hookway_wire::{KeyValue, Operation, Precondition, Transaction};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Bytes of keys and values that one transaction may hold; the limit is 64 KiB in all.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// What a precondition or an operation takes beside its key and value, bytes.
const OPERATION_OVERHEAD_BYTES: usize = 32;

/// What the leader has to write, and what it knows of its transactions.
#[derive(Debug)]
pub(super) struct CommitQueue {
    /// Holds as long as this controller leads.
    pub leader_precondition: Precondition,
    /// Jobs whose final record is to be written.
    pub finished_jobs: VecDeque<JobKey>,
    /// Progress pages to be written.
    pub progress_pages: VecDeque<JobPage>,
    pub registry: MachineRegistry,
    pub shared_watermarks: SharedStartWatermarks,
    pub watermark_marker: WatermarkMarker,
    /// Revisions of the records that only leaders write, by key; 0, or none, if there is no record.
    pub mod_revisions: HashMap<String, u64>,
    /// Registry entries of the older format, by machine: deleted once a record has the machine.
    pub legacy_registry_keys: HashMap<String, String>,
    /// Keys to be deleted.
    pub stale_keys: VecDeque<String>,
    /// Jobs whose scheduling record, a hint for the next leader, is to be written.
    pub scheduling_records: BTreeSet<JobKey>,
    /// The record of the job classes is to be written.
    pub classes_changed: bool,
    /// Jobs with tasks that wait for a higher start watermark.
    pub watermark_raises: BTreeSet<JobKey>,
    /// Budget of all operations.
    pub bucket: TokenBucket,
    /// Budget of hints for the next leader.
    pub hint_bucket: TokenBucket,
    /// Maximum number of operations of a transaction, lowered when the state service rejects one.
    pub max_operations: usize,
    /// Items that were rejected by themselves, in the order of their retries.
    pub rejected: VecDeque<DelayedItem>,
    /// A transaction is in flight.
    pub commit_in_flight: bool,
    /// No transaction is sent before this time.
    pub backoff_until: MonotonicTime,
    /// A transaction showed that this controller does not lead any more.
    pub leadership_lost: bool,
}

impl CommitQueue {
    /// An empty queue of a leader that was elected at `now`.
    pub fn new(
        platform: &PlatformSettings,
        leader_precondition: Precondition,
        now: MonotonicTime,
    ) -> Self {
        let state = &platform.state;
        let bucket = |share: f64| TokenBucket::new(state.write_rps * share, now);
        Self {
            leader_precondition,
            finished_jobs: VecDeque::new(),
            progress_pages: VecDeque::new(),
            registry: MachineRegistry::new(state.value_kb),
            shared_watermarks: SharedStartWatermarks::new(state.value_kb),
            watermark_marker: WatermarkMarker::new(),
            mod_revisions: HashMap::new(),
            legacy_registry_keys: HashMap::new(),
            stale_keys: VecDeque::new(),
            scheduling_records: BTreeSet::new(),
            classes_changed: false,
            watermark_raises: BTreeSet::new(),
            bucket: bucket(constants::LEADER_WRITE_SHARE),
            hint_bucket: bucket(constants::HINT_WRITE_SHARE),
            max_operations: state.txn_ops,
            rejected: VecDeque::new(),
            commit_in_flight: false,
            backoff_until: MonotonicTime::ZERO,
            leadership_lost: false,
        }
    }

    /// Sets the revision of a record that only leaders write; 0 if there is no record.
    pub fn set_mod_revision(&mut self, key: &str, mod_revision: u64) {
        if mod_revision == 0 {
            self.mod_revisions.remove(key);
        } else {
            self.mod_revisions.insert(key.to_owned(), mod_revision);
        }
    }

    /// Whether there is a record under a key that only leaders write, as far as this leader knows.
    pub fn has_record(&self, key: &str) -> bool {
        self.mod_revisions.contains_key(key)
    }

    /// Queues the deletion of a key.
    pub fn delete_stale(&mut self, key: String) {
        self.stale_keys.push_back(key);
    }

    /// Moves a registry entry of the older format, of a machine registered at that time, to a record.
    pub fn migrate_legacy_entry(&mut self, machine: &str, registered_at: WallTime) {
        self.legacy_registry_keys.insert(machine.to_owned(), registry_key(machine));
        self.registry.register(machine, registered_at);
    }
}

/// Whether a key is of a record that only leaders write, again and again.
pub(super) fn is_leader_record(key: &str) -> bool {
    key == CLASSES_KEY || key.starts_with(SCHEDULING_PREFIX) || key.starts_with(REGISTRY_PREFIX)
}

/// A page of a job's results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobPage {
    pub job: JobKey,
    pub page: usize,
}

/// A machine of a registry record, with the images written for it.
#[derive(Debug, Clone)]
pub(super) struct RegistryMember {
    pub machine: String,
    pub images: Vec<u32>,
}

/// Something written by a transaction.
#[derive(Debug, Clone)]
pub(super) enum CommitItem {
    /// The final record of a job.
    Final { job: JobKey, record: FinalRecord },
    /// A page of a job's results.
    ProgressPage { job: JobKey, page: usize, record: ProgressRecord },
    /// A record of the machine registry.
    MachineRegistry { number: u64, members: Vec<RegistryMember> },
    /// The deletion of a key.
    StaleKey(String),
    /// A job's minimum task count, run times and start watermark.
    Scheduling { job: JobKey, record: JobSchedulingRecord },
    /// A record of small jobs that may be started, and those that wait for it.
    SharedWatermarks { number: u64, jobs: Vec<JobKey> },
    /// The record of the job classes.
    Classes,
    /// The marker of complete start watermarks.
    WatermarkMarker,
}

/// An item that was rejected by itself.
#[derive(Debug, Clone)]
pub(super) struct DelayedItem {
    /// When it is tried again.
    pub retry_at: MonotonicTime,
    pub item: CommitItem,
}

/// A transaction, with what it writes.
#[derive(Debug)]
pub struct PendingCommit {
    /// The transaction.
    pub transaction: Transaction,
    pub(super) items: Vec<CommitItem>,
    max_operations: usize,
    /// Estimated length, bytes.
    bytes: usize,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// Applied at this revision.
    Applied(u64),
    /// Surely not applied; to be tried again later.
    NotApplied,
    /// Surely not applied, as it is larger than the state service takes; to be tried in smaller parts.
    Rejected,
    /// Some precondition failed, or the outcome is not known. These keys were read again since.
    Indeterminate(Vec<RereadKey>),
}

/// A key that was read again.
#[derive(Debug, Clone, PartialEq)]
pub struct RereadKey {
    /// The key.
    pub key: String,
    /// What is stored under it, if anything.
    pub stored: Option<KeyValue>,
}

impl PendingCommit {
    /// A transaction without operations, applied only as long as this controller leads.
    pub(super) fn new(leader_precondition: Precondition, max_operations: usize) -> Self {
        let preconditions = vec![leader_precondition];
        let transaction = Transaction { preconditions, operations: vec![] };
        Self { transaction, items: vec![], max_operations, bytes: 0 }
    }

    /// Whether so many more operations may be added. Their length counts as well as their number: however
    /// many operations the state service takes at a time, a transaction has a maximum length.
    pub(super) fn has_room_for(&self, operations: usize) -> bool {
        self.transaction.operations.len() + operations <= self.max_operations
            && self.bytes < MAX_TRANSACTION_BYTES
    }

    /// Adds the precondition that a key has this revision; 0: that there is no such key.
    pub(super) fn require(&mut self, key: String, mod_revision: u64) {
        self.bytes += key.len() + OPERATION_OVERHEAD_BYTES;
        self.transaction.preconditions.push(Precondition { key, mod_revision });
    }

    /// Adds the precondition that a key has the revision that this leader knows. A transaction without
    /// an answer may be applied late, after newer ones of this leader. Without the precondition an old
    /// start watermark or registry record would come back, and the next leader would start a task that
    /// runs on a machine from which it has no heartbeat.
    pub(super) fn require_known_revision(&mut self, known: &HashMap<String, u64>, key: &str) {
        self.require(key.to_owned(), known.get(key).copied().unwrap_or(0));
    }

    /// Adds an operation that writes a value.
    pub(super) fn put(&mut self, key: String, value: serde_json::Value) {
        self.bytes += key.len() + OPERATION_OVERHEAD_BYTES + value.to_string().len();
        self.transaction.operations.push(Operation::put(key, value));
    }

    /// Adds an operation that deletes a key.
    pub(super) fn delete(&mut self, key: String) {
        self.bytes += key.len() + OPERATION_OVERHEAD_BYTES;
        self.transaction.operations.push(Operation::delete(key));
    }

    /// The keys that must be read again when the outcome is not plain success.
    pub fn keys(&self) -> Vec<String> {
        self.transaction.preconditions.iter().map(|p| p.key.clone()).collect()
    }
}
