//! Records of the machine registry.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The value of `r/record-<n>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryRecord {
    /// The machines, by name.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<String, MachineRegistryEntry>,
    /// The images that the entries refer to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<ImageRecord>,
}

/// An image in a record; stored as an array of its name and its size.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64)", into = "(String, f64)")]
pub struct ImageRecord {
    /// Its name.
    pub name: String,
    /// Its size, GB.
    pub size_gb: f64,
}

impl From<(String, f64)> for ImageRecord {
    fn from((name, size_gb): (String, f64)) -> Self {
        Self { name, size_gb }
    }
}

impl From<ImageRecord> for (String, f64) {
    fn from(image: ImageRecord) -> Self {
        (image.name, image.size_gb)
    }
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
    /// The images in the machine's cache; least recently used first.
    pub images: Vec<ImageRecord>,
}
