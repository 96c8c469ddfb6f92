//! Messages of the store: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value, revision and lease: the answer to a read of the key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// Unique name of the pair, for example `lead/now`.
    pub key: String,
    /// Any JSON value; its format depends on the prefix of the key.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of the store at which the key was last modified.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
    /// Id of the lease that the key is attached to; `None` without a lease. The key is deleted when the lease
    /// expires or is released.
    #[serde(rename = "Permit", default)]
    pub lease_id: Option<u64>,
}

/// A key with its value and revision in a range read, which does not show the leases of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedKeyValue {
    /// Unique name of the pair, for example `lead/now`.
    pub key: String,
    /// Any JSON value; its format depends on the prefix of the key.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of the store at which the key was last modified.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
}

/// A page of a range read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyPage {
    /// The key-value pairs of this page, sorted by key.
    pub pairs: Vec<ListedKeyValue>,
    /// Whether there is a next page.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store at the time of the read.
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A precondition of a transaction (compare-and-swap).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Precondition {
    /// The key whose revision is checked.
    pub key: String,
    /// Required revision of the key's last modification; 0 if the key must not exist.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
}

/// A write operation of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Sets the value of a key.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key that is created or overwritten.
        #[serde(rename = "Put")]
        key: String,
        /// The value after the operation.
        #[serde(rename = "V")]
        value: Value,
        /// Id of the lease to attach the key to; `None` for a key without a lease.
        #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The key that is deleted.
        #[serde(rename = "Delete")]
        key: String,
    },
}

impl Operation {
    /// Creates a put operation without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put { key: key.into(), value, lease_id: None }
    }

    /// Creates a delete operation.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }

    /// Returns the key that the operation sets or deletes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// A transaction: all operations are applied atomically if all preconditions hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Transaction {
    /// Preconditions; if any of them fails, no operation is applied.
    #[serde(rename = "Guards")]
    pub preconditions: Vec<Precondition>,
    /// The write operations; all of them are applied, or none.
    #[serde(rename = "Apply", default)]
    pub operations: Vec<Operation>,
}

/// The response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// Keys whose preconditions failed; empty if the transaction was applied.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store after the transaction.
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrantRequest {
    /// Time to live of the lease in ms, counted from the grant or the last extension.
    pub ttl_ms: u64,
}

/// The response to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrant {
    /// Id of the granted lease, by which it is extended and released.
    #[serde(rename = "Permit")]
    pub lease_id: u64,
}

/// A change of a key that a watch returns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The value of a key was set.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key that was created or overwritten.
        #[serde(rename = "Put")]
        key: String,
        /// The value after the change.
        #[serde(rename = "V")]
        value: Value,
        /// Revision of the store after the write.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
    /// A key was deleted.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The deleted key.
        #[serde(rename = "Delete")]
        key: String,
        /// Revision of the store after the deletion.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
}

/// The response to a watch request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchResponse {
    /// Revision of the store at the time of the read.
    #[serde(rename = "Epoch")]
    pub revision: u64,
    /// Changes since the requested revision, in any order; empty if there were none.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}
