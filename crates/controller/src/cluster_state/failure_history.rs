//! The failures of a job's tasks.

use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::VecDeque;

/// The failures of a job's tasks since one of them last succeeded.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    /// Consecutive tries that ended with an error.
    pub consecutive: u32,
    /// When the last of those ended.
    pub last_at: MonotonicTime,
    /// The machines that tasks failed on last, oldest first.
    pub machines: VecDeque<String>,
}

impl FailureHistory {
    /// Adds a machine that a task failed on; the oldest one is dropped when there are too many.
    pub fn add_machine(&mut self, name: &str) {
        if self.machines.iter().any(|machine| machine == name) {
            return;
        }
        if self.machines.len() >= constants::MAX_FAILED_MACHINES {
            self.machines.pop_front();
        }
        self.machines.push_back(name.to_owned());
    }

    /// Forgets the failures and their machines.
    pub fn clear(&mut self) {
        self.consecutive = 0;
        self.machines.clear();
    }
}
