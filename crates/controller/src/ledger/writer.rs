//! What the leader has to write, in the order in which it goes, and transactions with what they stand for.

use super::marks::SharedMarks;
use super::roster::Roster;
use crate::config::Params;
use crate::records::{
    CLASSES, FinalRecord, MINIMUMS, MinimumRecord, ProgressRecord, ROSTER, roster_key,
};
use hookway_constants as constants;
use hookway_wire::{KeyValue, Operation, Precondition, Transaction};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Bytes of values that one transaction may hold; the limit is 64 KiB in all.
const TRANSACTION_BYTES: usize = 48 * 1024;

/// What a guard or a change takes beside its key and value, bytes.
const CHANGE_BYTES: usize = 32;

/// Units that come back at a rate and may be saved up for a second.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: f64,
    pub units: f64,
    at: u64,
}

impl Bucket {
    pub fn new(rate: f64, now: u64) -> Self {
        Self { rate, units: rate.max(2.0), at: now }
    }

    pub fn fill(&mut self, now: u64) -> f64 {
        let filled = self.units + now.saturating_sub(self.at) as f64 / 1000.0 * self.rate;
        self.units = filled.min(self.rate.max(2.0));
        self.at = now;
        self.units
    }
}

/// What the leader has to write, and what it knows of its writes.
#[derive(Debug)]
pub(super) struct Writer {
    pub lead: Precondition,
    pub finals: VecDeque<u64>,
    pub chunks: VecDeque<(u64, usize)>,
    pub roster: Roster,
    pub marks: SharedMarks,
    /// Versions of the leader's own records in the store, by key.
    pub stamps: HashMap<String, u64>,
    /// Entries of the older format, by machine: dropped once a record holds the machine.
    pub old_entries: HashMap<String, String>,
    pub trash: VecDeque<String>,
    pub minimums: BTreeSet<u64>,
    /// What is known of the classes has changed.
    pub classes: bool,
    /// Jobs of which tasks wait for the store to let them be started.
    pub opens: BTreeSet<u64>,
    pub bucket: Bucket,
    pub minimum_bucket: Bucket,
    /// Changes that a transaction may have, lowered when the state service rejects one.
    pub most_changes: usize,
    /// What was rejected by itself, with the time from which it is tried again, ms.
    pub rejected: VecDeque<(u64, Item)>,
    pub busy: bool,
    pub pause_until: u64,
    pub deposed: bool,
}

impl Writer {
    pub fn new(params: &Params, lead: Precondition, now: u64) -> Self {
        let rate = params.state.write_rps;
        Self {
            lead,
            finals: VecDeque::new(),
            chunks: VecDeque::new(),
            roster: Roster::new(params.state.value_kb),
            marks: SharedMarks::new(params.state.value_kb),
            stamps: HashMap::new(),
            old_entries: HashMap::new(),
            trash: VecDeque::new(),
            minimums: BTreeSet::new(),
            classes: false,
            opens: BTreeSet::new(),
            bucket: Bucket::new(rate * constants::LEADER_WRITE_SHARE, now),
            minimum_bucket: Bucket::new(rate * constants::MIN_TASKS_WRITE_SHARE, now),
            most_changes: params.state.txn_ops,
            rejected: VecDeque::new(),
            busy: false,
            pause_until: 0,
            deposed: false,
        }
    }

    /// The version of one of the leader's own records, as it was read; 0 if there is none.
    pub fn stamp(&mut self, key: &str, stamp: u64) {
        if stamp == 0 {
            self.stamps.remove(key);
        } else {
            self.stamps.insert(key.to_owned(), stamp);
        }
    }

    pub fn trash(&mut self, key: String) {
        self.trash.push_back(key);
    }

    /// A machine of the older format's roster: it moves to a record.
    pub fn old_entry(&mut self, machine: &str, at_ms: u64) {
        self.old_entries.insert(machine.to_owned(), roster_key(machine));
        self.roster.want(machine, at_ms);
    }
}

/// Whether a key is of a record that only leaders write and that they write again and again.
pub(super) fn is_own(key: &str) -> bool {
    key == CLASSES || key.starts_with(MINIMUMS) || key.starts_with(ROSTER)
}

#[derive(Debug, Clone)]
pub(super) enum Item {
    Final(u64, FinalRecord),
    Chunk(u64, usize, ProgressRecord),
    Roster(u64, Vec<(String, Vec<u32>)>),
    Trash(String),
    Minimum(u64, MinimumRecord),
    /// A record of small jobs that may be started, and those that wait for it.
    Marks(u64, Vec<u64>),
    Classes,
}

/// A transaction with what it stands for.
#[derive(Debug)]
pub struct Commit {
    /// The transaction.
    pub transaction: Transaction,
    pub(super) items: Vec<Item>,
    pub(super) most: usize,
    pub(super) bytes: usize,
}

/// What became of it.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// Applied at this revision.
    Applied(u64),
    /// Surely not carried out; to be tried again later.
    NotDone,
    /// Surely not carried out, as it is larger than the state service takes; to be tried in smaller parts.
    Rejected,
    /// Some condition failed, or nothing is known. These keys were read again since.
    Unsure(Vec<Learned>),
}

/// A key that was read again.
pub type Learned = (String, Option<KeyValue>);

impl Commit {
    /// Whether `changes` more may be added. Sizes count, not numbers alone: however many changes the
    /// store takes at a time, a transaction has a length that it may not exceed.
    pub(super) fn open(&self, changes: usize) -> bool {
        self.transaction.operations.len() + changes <= self.most && self.bytes < TRANSACTION_BYTES
    }

    pub(super) fn guard(&mut self, key: String, stamp: u64) {
        self.bytes += key.len() + CHANGE_BYTES;
        self.transaction.preconditions.push(Precondition { key, mod_revision: stamp });
    }

    /// A transaction without an answer may be carried out late, after newer ones of this leader. So each
    /// overwrites just the version that it knows: else an old mark or roster would come back, and the next
    /// leader would start what runs on a machine that it does not hear.
    pub(super) fn over(&mut self, stamps: &HashMap<String, u64>, key: &str) {
        self.guard(key.to_owned(), stamps.get(key).copied().unwrap_or(0));
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
