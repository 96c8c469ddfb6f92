//! The queue of what the leader has to write to the store, and the transactions built from it.

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

/// Estimated length of a transaction, bytes, from which no more operations are added to it. The
/// limit for a whole transaction is 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Encoded length of a precondition or an operation without its key and value, bytes.
const OPERATION_OVERHEAD_BYTES: usize = 32;

/// What the leader has to write, and what it knows about its transactions.
#[derive(Debug)]
pub(super) struct CommitQueue {
    /// Precondition that holds as long as this controller is the leader.
    pub leader_precondition: Precondition,
    /// Jobs whose final record is to be written.
    pub finished_jobs: VecDeque<JobKey>,
    /// Progress pages to be written.
    pub progress_pages: VecDeque<JobPage>,
    pub registry: MachineRegistry,
    pub shared_watermarks: SharedStartWatermarks,
    pub watermark_marker: WatermarkMarker,
    /// Revisions of the records that only leaders write, by key. A key without a record is absent.
    pub mod_revisions: HashMap<String, u64>,
    /// Keys of registry entries in the older format, by machine. Deleted once a durable record
    /// names the machine.
    pub legacy_registry_keys: HashMap<String, String>,
    /// Keys to be deleted.
    pub keys_to_delete: VecDeque<String>,
    /// Jobs whose scheduling record is to be written as a hint for the next leader.
    pub scheduling_records: BTreeSet<JobKey>,
    /// Whether the record of the job classes is to be written.
    pub classes_changed: bool,
    /// Jobs whose start watermark record is to be written: tasks wait for a higher watermark, or
    /// the watermark is assumed.
    pub watermark_raises: BTreeSet<JobKey>,
    /// Write budget for all operations.
    pub write_bucket: TokenBucket,
    /// Write budget for hints for the next leader.
    pub hint_bucket: TokenBucket,
    /// Maximum number of operations in a transaction. Lowered when the store rejects one for its
    /// size.
    pub max_operations: usize,
    /// Individually rejected items, in the order of their retries.
    pub rejected_items: VecDeque<DelayedItem>,
    /// Whether a transaction is in flight.
    pub is_commit_in_flight: bool,
    /// No transaction is sent before this time.
    pub backoff_until: MonotonicTime,
    /// Whether a transaction showed that this controller is no longer the leader.
    pub leadership_lost: bool,
}

impl CommitQueue {
    /// Creates the empty queue of a leader that was elected at `now`.
    pub fn new(
        platform: &PlatformSettings,
        leader_precondition: Precondition,
        now: MonotonicTime,
    ) -> Self {
        let limits = &platform.store;
        let bucket = |share: f64| TokenBucket::new(limits.write_rps * share, now);
        Self {
            leader_precondition,
            finished_jobs: VecDeque::new(),
            progress_pages: VecDeque::new(),
            registry: MachineRegistry::new(limits.value_kb),
            shared_watermarks: SharedStartWatermarks::new(limits.value_kb),
            watermark_marker: WatermarkMarker::new(),
            mod_revisions: HashMap::new(),
            legacy_registry_keys: HashMap::new(),
            keys_to_delete: VecDeque::new(),
            scheduling_records: BTreeSet::new(),
            classes_changed: false,
            watermark_raises: BTreeSet::new(),
            write_bucket: bucket(constants::LEADER_WRITE_SHARE),
            hint_bucket: bucket(constants::HINT_WRITE_SHARE),
            max_operations: limits.txn_ops,
            rejected_items: VecDeque::new(),
            is_commit_in_flight: false,
            backoff_until: MonotonicTime::ZERO,
            leadership_lost: false,
        }
    }

    /// Sets the revision of a record that only leaders write; 0 means that there is no record.
    pub fn set_mod_revision(&mut self, key: &str, mod_revision: u64) {
        if mod_revision == 0 {
            self.mod_revisions.remove(key);
        } else {
            self.mod_revisions.insert(key.to_owned(), mod_revision);
        }
    }

    /// Whether, as far as this leader knows, a record exists under a key that only leaders write.
    pub fn has_record(&self, key: &str) -> bool {
        self.mod_revisions.contains_key(key)
    }

    /// Queues the deletion of a key.
    pub fn queue_deletion(&mut self, key: String) {
        self.keys_to_delete.push_back(key);
    }

    /// Queues the move of a machine's registry entry from the older format to a record.
    pub fn migrate_legacy_entry(&mut self, machine: &str, registered_at: WallTime) {
        self.legacy_registry_keys.insert(machine.to_owned(), registry_key(machine));
        self.registry.register(machine, registered_at);
    }
}

/// Whether a key belongs to a record that only leaders write, and write repeatedly.
pub(super) fn is_leader_record(key: &str) -> bool {
    key == CLASSES_KEY || key.starts_with(SCHEDULING_PREFIX) || key.starts_with(REGISTRY_PREFIX)
}

/// A progress page: a range of a job's tasks whose results share a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobPage {
    pub job: JobKey,
    pub page: usize,
}

/// A machine in a registry record, with the images that were cached on it when the record was
/// built.
#[derive(Debug, Clone)]
pub(super) struct RegistryMember {
    pub machine: String,
    pub images: Vec<u32>,
}

/// An item that a transaction writes or deletes.
#[derive(Debug, Clone)]
pub(super) enum CommitItem {
    /// The final record of a job.
    Final { job: JobKey, record: FinalRecord },
    /// The record of a progress page of a job.
    ProgressPage { job: JobKey, page: usize, record: ProgressRecord },
    /// A record of the machine registry.
    MachineRegistry { number: u64, members: Vec<RegistryMember> },
    /// The deletion of a key.
    KeyDeletion(String),
    /// A job's minimum task count, run times and start watermark.
    Scheduling { job: JobKey, record: JobSchedulingRecord },
    /// A shared start watermark record of small jobs, and the jobs that wait for it.
    SharedWatermarks { number: u64, jobs: Vec<JobKey> },
    /// The record of the job classes.
    Classes,
    /// The marker that says that the start watermarks are complete.
    WatermarkMarker,
}

/// An item that was rejected in a transaction of its own.
#[derive(Debug, Clone)]
pub(super) struct DelayedItem {
    /// When it is tried again.
    pub retry_at: MonotonicTime,
    pub item: CommitItem,
}

/// A transaction and the items that it writes.
#[derive(Debug)]
pub struct PendingCommit {
    /// The transaction as sent to the store: its first precondition holds only while this
    /// controller is the leader.
    pub transaction: Transaction,
    pub(super) items: Vec<CommitItem>,
    max_operations: usize,
    /// Estimated encoded length of the transaction, bytes.
    bytes: usize,
}

/// The outcome of a transaction, as far as the controller knows it.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// Applied at this revision.
    Applied(u64),
    /// Certainly not applied; its items are tried again later.
    NotApplied,
    /// Certainly not applied, because it is larger than the store accepts; its items are tried
    /// again in smaller transactions.
    Rejected,
    /// Some precondition failed, or the outcome is unknown. Holds the keys that were read again
    /// since.
    Indeterminate(Vec<RereadKey>),
}

/// A key that was read again after a transaction that was not confirmed as applied.
#[derive(Debug, Clone, PartialEq)]
pub struct RereadKey {
    /// The key in the store.
    pub key: String,
    /// The stored value and its revision; `None` if the key does not exist.
    pub stored: Option<KeyValue>,
}

impl PendingCommit {
    /// Creates a transaction without operations, which is applied only while this controller is the
    /// leader.
    pub(super) fn new(leader_precondition: Precondition, max_operations: usize) -> Self {
        let preconditions = vec![leader_precondition];
        let transaction = Transaction { preconditions, operations: vec![] };
        Self { transaction, items: vec![], max_operations, bytes: 0 }
    }

    /// Whether `operations` more operations may be added. However many operations the store accepts
    /// in a transaction, the length of a transaction is limited as well.
    pub(super) fn can_add(&self, operations: usize) -> bool {
        self.transaction.operations.len() + operations <= self.max_operations
            && self.bytes < MAX_TRANSACTION_BYTES
    }

    /// Adds the precondition that a key has this revision; 0 means that the key does not exist.
    pub(super) fn require(&mut self, key: String, mod_revision: u64) {
        self.bytes += key.len() + OPERATION_OVERHEAD_BYTES;
        self.transaction.preconditions.push(Precondition { key, mod_revision });
    }

    /// Adds the precondition that a key has the revision that this leader knows. A transaction
    /// without a response may be applied late, after newer ones of this leader. Without the
    /// precondition, it could restore an old start watermark or registry record, and the next
    /// leader would start a task that runs on a machine from which it has no heartbeat.
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

    /// Returns the keys that must be read again if the transaction is not confirmed as applied:
    /// those of all preconditions.
    pub fn keys(&self) -> Vec<String> {
        self.transaction.preconditions.iter().map(|p| p.key.clone()).collect()
    }
}
