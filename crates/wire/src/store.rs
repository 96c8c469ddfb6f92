use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision at which the key was last modified.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
    /// The lease that the key is attached to; the key is deleted when it expires.
    #[serde(rename = "Permit", default)]
    pub lease_id: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyPage {
    /// The keys.
    pub pairs: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store.
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A precondition of a transaction (compare-and-swap).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision at which it must have been last modified; 0 if it must not exist.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Sets a key.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: String,
        /// Its value.
        #[serde(rename = "V")]
        value: Value,
        /// The lease to attach it to.
        #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The key.
        #[serde(rename = "Delete")]
        key: String,
    },
}

impl Operation {
    /// A put without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put { key: key.into(), value, lease_id: None }
    }

    /// A removal.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }

    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Transaction {
    /// All must hold, or nothing is written.
    #[serde(rename = "Guards")]
    pub preconditions: Vec<Precondition>,
    /// The writes.
    #[serde(rename = "Apply", default)]
    pub operations: Vec<Operation>,
}

/// The response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// Keys whose preconditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision.
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrantRequest {
    /// Its length, ms.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrant {
    /// Its id.
    #[serde(rename = "Permit")]
    pub lease_id: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: String,
        /// Its value.
        #[serde(rename = "V")]
        value: Value,
        /// Revision of the write.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
    /// A key was removed.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The key.
        #[serde(rename = "Delete")]
        key: String,
        /// Revision of the removal.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
}

/// The response of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchResponse {
    /// Revision of the store.
    #[serde(rename = "Epoch")]
    pub revision: u64,
    /// What changed.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}
