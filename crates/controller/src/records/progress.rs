//! Records of completed tasks.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// The value of `p/<job>/<page>`: which of a range of tasks are completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// One bit per task, lowest first, as base64.
    pub bits: String,
}

impl ProgressRecord {
    /// Encodes whether each task of the range is completed.
    pub fn new(completed: &[bool]) -> Self {
        let mut bytes = vec![0u8; completed.len().div_ceil(8)];
        for (index, _) in completed.iter().enumerate().filter(|(_, completed)| **completed) {
            bytes[index / 8] |= 1 << (index % 8);
        }
        Self { bits: STANDARD_NO_PAD.encode(bytes) }
    }

    /// The completed tasks, counted from the first one of the range; none if the record is invalid.
    pub fn completed(&self) -> Vec<u32> {
        let bytes = STANDARD_NO_PAD.decode(&self.bits).unwrap_or_default();
        (0..bytes.len() as u32 * 8)
            .filter(|index| bytes[(index / 8) as usize] & (1 << (index % 8)) != 0)
            .collect()
    }
}
