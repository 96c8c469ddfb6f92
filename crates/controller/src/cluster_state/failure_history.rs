//! Consecutive failures of a job, and the machines where its tasks failed.

use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::VecDeque;

/// Failures of one job's tasks.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    /// Number of consecutive tries that failed. A completed task resets the count but not the
    /// machines.
    pub consecutive: u32,
    /// When the last counted try failed.
    pub last_at: MonotonicTime,
    /// Machines where tasks failed, in the order in which they were added; at most
    /// [`constants::MAX_FAILED_MACHINES`].
    pub machines: VecDeque<String>,
}

impl FailureHistory {
    /// Adds a machine where a task failed, unless it is listed already. Beyond the maximum the
    /// oldest one is dropped.
    pub fn add_machine(&mut self, name: &str) {
        if self.machines.iter().any(|machine| machine == name) {
            return;
        }
        if self.machines.len() >= constants::MAX_FAILED_MACHINES {
            self.machines.pop_front();
        }
        self.machines.push_back(name.to_owned());
    }

    /// Resets the count and removes all machines.
    pub fn clear(&mut self) {
        self.consecutive = 0;
        self.machines.clear();
    }
}
