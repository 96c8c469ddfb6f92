//! Mean run time of a job's tasks.

use hookway_constants as constants;
use hookway_time::millis_f64;
use std::time::Duration;

/// Sum and count of the known run times of a job's completed tasks.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    /// Sum of the known run times.
    pub sum: Duration,
    /// Number of completed tasks with a known run time.
    pub count: u32,
}

impl RunTimes {
    /// Adds the run time of a completed task.
    pub fn add(&mut self, run_time: Duration) {
        self.sum += run_time;
        self.count += 1;
    }

    /// Returns the mean run time, ms; `None` while no run time is known.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then(|| millis_f64(self.sum) / f64::from(self.count))
    }

    /// Returns the mean run time, ms; `None` while fewer than [`constants::RELIABLE_MEAN_TASKS`]
    /// run times are known, too few to detect slow machines and stuck tasks reliably.
    pub fn reliable_mean_ms(&self) -> Option<f64> {
        self.mean_ms().filter(|_| self.count >= constants::RELIABLE_MEAN_TASKS)
    }
}
