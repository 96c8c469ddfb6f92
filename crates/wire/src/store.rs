use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub v: Value,
    /// Revision of the last change.
    pub stamp: u64,
    /// The lease that the key hangs on.
    #[serde(default)]
    #[serde(rename = "Permit")]
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

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Guard {
    /// The key.
    pub key: String,
    /// Its version; 0 if it must not exist.
    pub stamp: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key.
        put: String,
        /// Its value.
        v: Value,
        /// The lease to hang it on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "Permit")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The key.
        delete: String,
    },
}

impl Change {
    /// A put without a lease.
    pub fn put(key: impl Into<String>, v: Value) -> Self {
        Self::Put { put: key.into(), v, lease_id: None }
    }

    /// A removal.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { delete: key.into() }
    }

    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { put, .. } => put,
            Self::Delete { delete } => delete,
        }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Transaction {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    #[serde(default)]
    pub apply: Vec<Change>,
}

/// Revision of the store, as several answers carry it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitAnswer {
    /// Conditions that failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision.
    #[serde(rename = "Epoch")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GrantRequest {
    /// Its length, ms.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Grant {
    /// Its number.
    #[serde(rename = "Permit")]
    pub lease_id: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was set.
    #[serde(rename_all = "PascalCase")]
    Put {
        /// The key.
        put: String,
        /// Its value.
        v: Value,
        /// Revision.
        stamp: u64,
    },
    /// A key was removed.
    #[serde(rename_all = "PascalCase")]
    Delete {
        /// The key.
        delete: String,
        /// Revision.
        stamp: u64,
    },
}

/// The answer of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchAnswer {
    /// Revision of the store.
    #[serde(rename = "Epoch")]
    pub revision: u64,
    /// What changed.
    #[serde(default)]
    pub events: Vec<Event>,
}
