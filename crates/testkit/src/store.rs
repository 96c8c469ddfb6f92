//! The keys, transactions and events of the state service, in memory.

use hookway_wire::{KeyValue, Operation, Transaction, WatchEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// The keys of a state service in memory. Leases expire when the test says so.
#[derive(Debug, Default, Clone)]
pub struct MemoryStore {
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    events: Vec<RecordedEvent>,
}

/// A change of a key, for watches.
#[derive(Debug, Clone)]
struct RecordedEvent {
    revision: u64,
    event: WatchEvent,
}

impl MemoryStore {
    /// Commits a transaction, and returns the new revision.
    ///
    /// # Errors
    ///
    /// The keys whose preconditions failed; nothing is changed then.
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

    /// Sets a key without preconditions, and returns the new revision.
    pub fn put(&mut self, key: &str, value: Value) -> u64 {
        let transaction =
            Transaction { preconditions: vec![], operations: vec![Operation::put(key, value)] };
        self.commit(&transaction).unwrap_or_default()
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).cloned()
    }

    /// Reads all keys with a prefix, in their order.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        self.keys.values().filter(|pair| pair.key.starts_with(prefix)).cloned().collect()
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

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Changes of keys with a prefix after a revision, oldest first.
    pub fn events(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let is_wanted = |recorded: &&RecordedEvent| {
            let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = &recorded.event;
            recorded.revision > after && key.starts_with(prefix)
        };
        self.events.iter().filter(is_wanted).map(|recorded| recorded.event.clone()).collect()
    }
}
