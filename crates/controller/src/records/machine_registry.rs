//! Records of the machine registry, which lists the machines that may have tasks.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The value of `r/record-<n>`: one part of the machine registry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryRecord {
    /// The machines of this part, by name.
    #[serde(rename = "hosts")]
    pub machines: BTreeMap<String, MachineRegistryEntry>,
    /// The images that the entries refer to by their index in this list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<ImageRecord>,
}

/// A container image in a record; stored as an array of name and size.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64)", into = "(String, f64)")]
pub struct ImageRecord {
    /// The name of the image.
    pub name: String,
    /// The size of the image, GB.
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

/// A machine in a [`MachineRegistryRecord`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRegistryEntry {
    /// When the machine was registered, in ms of Unix time by the leader's wall clock.
    #[serde(rename = "at_ms")]
    pub registered_at_ms: u64,
    /// The images in the machine's cache, as indices into [`MachineRegistryRecord::images`]; least
    /// recently used first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
}

/// The value of `i/<machine>`, which only version 0.1.0 writes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LegacyImagesRecord {
    /// The images in the machine's cache; least recently used first.
    pub images: Vec<ImageRecord>,
}
