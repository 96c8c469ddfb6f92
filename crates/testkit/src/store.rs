//! The store in memory: its keys, transactions, leases and events.

use hookway_wire::{KeyValue, ListedKeyValue, Operation, Transaction, WatchEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of the latest changes that a watch can still return (given by the protocol).
const RETAINED_CHANGES: u64 = 10_000;

/// A store in memory, with revisions, preconditions and events. Leases expire only by [`MemoryStore::expire_lease`].
#[derive(Debug, Default, Clone)]
pub struct MemoryStore {
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    events: Vec<RecordedEvent>,
}

/// A change of a key, with the revision at which it occurred.
#[derive(Debug, Clone)]
struct RecordedEvent {
    revision: u64,
    event: WatchEvent,
}

impl MemoryStore {
    /// Commits a transaction. Returns the revision after it, which is unchanged if there are no operations.
    ///
    /// # Errors
    ///
    /// The keys whose preconditions failed. No operation is applied then.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Vec<String>> {
        let current_revision =
            |key: &String| self.keys.get(key).map_or(0, |pair| pair.mod_revision);
        let failed: Vec<String> = transaction
            .preconditions
            .iter()
            .filter(|precondition| current_revision(&precondition.key) != precondition.mod_revision)
            .map(|precondition| precondition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        if transaction.operations.is_empty() {
            return Ok(self.revision);
        }
        self.revision += 1;
        for operation in &transaction.operations {
            match operation {
                Operation::Put { key, value, lease_id } => self.set(key, value, *lease_id),
                Operation::Delete { key } => self.delete(key.clone()),
            }
        }
        Ok(self.revision)
    }

    /// Sets a key without preconditions. Returns the new revision.
    pub fn put(&mut self, key: &str, value: Value) -> u64 {
        let transaction =
            Transaction { preconditions: vec![], operations: vec![Operation::put(key, value)] };
        self.commit(&transaction).unwrap_or_default()
    }

    /// Returns the value of a key with its revision and lease, in one answer; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).cloned()
    }

    /// Returns all keys with this prefix, in order of the keys. As the protocol has it, a list does not show the leases
    /// of the keys.
    pub fn list(&self, prefix: &str) -> Vec<ListedKeyValue> {
        let listed = |pair: &KeyValue| ListedKeyValue {
            key: pair.key.clone(),
            value: pair.value.clone(),
            mod_revision: pair.mod_revision,
        };
        self.keys.values().filter(|pair| pair.key.starts_with(prefix)).map(listed).collect()
    }

    /// Sets a key at the current revision.
    fn set(&mut self, key: &str, value: &Value, lease_id: Option<u64>) {
        let mod_revision = self.revision;
        let (key, value) = (key.to_owned(), value.clone());
        let pair = KeyValue { key: key.clone(), value: value.clone(), mod_revision, lease_id };
        self.keys.insert(key.clone(), pair);
        let event = WatchEvent::Put { key, value, mod_revision };
        self.events.push(RecordedEvent { revision: mod_revision, event });
    }

    /// Deletes a key at the current revision, if it exists.
    fn delete(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            let event = WatchEvent::Delete { key, mod_revision: self.revision };
            self.events.push(RecordedEvent { revision: self.revision, event });
        }
    }

    /// Deletes all keys that are attached to a lease, at a new revision.
    pub fn expire_lease(&mut self, lease_id: u64) {
        self.revision += 1;
        let attached = self.keys.values().filter(|pair| pair.lease_id == Some(lease_id));
        let keys: Vec<String> = attached.map(|pair| pair.key.clone()).collect();
        for key in keys {
            self.delete(key);
        }
    }

    /// Returns the current revision, 0 at first. Every change of keys raises it by 1.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether changes right after this revision have been discarded, so that a watch can't return them.
    pub fn is_compacted(&self, after: u64) -> bool {
        after + RETAINED_CHANGES < self.revision
    }

    /// Returns the changes of keys with this prefix after this revision, newest first: the protocol promises no order.
    pub fn events(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let is_wanted = |recorded: &&RecordedEvent| {
            let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = &recorded.event;
            recorded.revision > after && key.starts_with(prefix)
        };
        self.events.iter().rev().filter(is_wanted).map(|recorded| recorded.event.clone()).collect()
    }
}
