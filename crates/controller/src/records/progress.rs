//! Records of the tasks of a job that are completed.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// The value of `p/<job>/<page>` and `p/<job>/<page>/<task>`: which tasks of a range are completed.
/// The key has the first task of the range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// One bit for each task, least significant bit of the first byte first, as base64 without
    /// padding.
    pub bits: String,
}

impl ProgressRecord {
    /// Encodes a range of tasks. `completed` has one entry for each task.
    pub fn new(completed: &[bool]) -> Self {
        let mut bytes = vec![0u8; completed.len().div_ceil(8)];
        for (index, _) in completed.iter().enumerate().filter(|(_, completed)| **completed) {
            bytes[index / 8] |= 1 << (index % 8);
        }
        Self { bits: STANDARD_NO_PAD.encode(bytes) }
    }

    /// Returns the completed tasks as offsets from the first task of the range; none if `bits` is
    /// not valid base64.
    pub fn completed(&self) -> Vec<u32> {
        let bytes = STANDARD_NO_PAD.decode(&self.bits).unwrap_or_default();
        (0..bytes.len() as u32 * 8)
            .filter(|index| bytes[(index / 8) as usize] & (1 << (index % 8)) != 0)
            .collect()
    }
}
