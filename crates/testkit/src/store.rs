use hookway_wire::{KeyValue, Operation, Transaction, WatchEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// The state service's keys and transactions, in memory. Leases are ended by hand.
#[derive(Debug, Default, Clone)]
pub struct MemoryStore {
    keys: BTreeMap<String, KeyValue>,
    revision: u64,
    events: Vec<(u64, WatchEvent)>,
}

impl MemoryStore {
    /// Applies a transaction: the new revision, or the conditions that failed.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Vec<String>> {
        let failed: Vec<String> = transaction
            .preconditions
            .iter()
            .filter(|g| self.keys.get(&g.key).map_or(0, |kv| kv.mod_revision) != g.mod_revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        if transaction.operations.is_empty() {
            return Ok(self.revision);
        }
        self.revision += 1;
        for change in &transaction.operations {
            match change {
                Operation::Put { key: put, value: v, lease_id } => {
                    let kv = KeyValue {
                        key: put.clone(),
                        value: v.clone(),
                        mod_revision: self.revision,
                        lease_id: *lease_id,
                    };
                    self.keys.insert(put.clone(), kv);
                    let event = WatchEvent::Put {
                        key: put.clone(),
                        value: v.clone(),
                        mod_revision: self.revision,
                    };
                    self.events.push((self.revision, event));
                }
                Operation::Delete { key: delete } => self.remove(delete.clone()),
            }
        }
        Ok(self.revision)
    }

    /// Sets a key without conditions; its version.
    pub fn put(&mut self, key: &str, v: Value) -> u64 {
        let transaction =
            Transaction { preconditions: vec![], operations: vec![Operation::put(key, v)] };
        self.commit(&transaction).unwrap_or_default()
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).cloned()
    }

    /// Reads all keys with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        self.keys.values().filter(|kv| kv.key.starts_with(prefix)).cloned().collect()
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            let event = WatchEvent::Delete { key, mod_revision: self.revision };
            self.events.push((self.revision, event));
        }
    }

    /// A lease ends: its keys go.
    pub fn end_lease(&mut self, lease_id: u64) {
        self.revision += 1;
        let keys: Vec<String> = self
            .keys
            .values()
            .filter(|kv| kv.lease_id == Some(lease_id))
            .map(|kv| kv.key.clone())
            .collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Changes of keys with a prefix after a revision.
    pub fn events(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let key = |e: &WatchEvent| match e {
            WatchEvent::Put { key: put, .. } => put.clone(),
            WatchEvent::Delete { key: delete, .. } => delete.clone(),
        };
        let wanted =
            |(revision, e): &&(u64, WatchEvent)| *revision > after && key(e).starts_with(prefix);
        self.events.iter().filter(wanted).map(|(_, e)| e.clone()).collect()
    }
}
