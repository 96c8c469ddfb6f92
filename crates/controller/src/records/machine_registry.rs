//! Records of the machine registry.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The value of `r/record-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryRecord {
    /// The machines, by name.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<String, MachineRegistryEntry>,
    /// Name and size in GB of the images that the entries refer to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
}

/// A machine in `r/record-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryEntry {
    /// When it was registered (wall clock, ms).
    #[serde(rename = "at_ms")]
    pub registered_at_ms: u64,
    /// The images in its cache, as indices into the record's list; least recently used first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
}

/// The value of `i/<machine>`, written by version 0.1.0.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Name and size in GB of the images in the machine's cache; least recently used first.
    pub images: Vec<(String, f64)>,
}
