//! The run times of a job's tasks.

use hookway_constants as constants;
use hookway_time::millis_f64;
use std::time::Duration;

/// The known run times of completed tasks.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    /// Their sum.
    pub sum: Duration,
    /// Their number.
    pub count: u32,
}

impl RunTimes {
    /// Adds the run time of a task.
    pub fn add(&mut self, run_time: Duration) {
        self.sum += run_time;
        self.count += 1;
    }

    /// Their mean, ms.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then(|| millis_f64(self.sum) / f64::from(self.count))
    }

    /// Their mean, ms, once there are enough to judge a machine by it.
    pub fn reliable_mean_ms(&self) -> Option<f64> {
        self.mean_ms().filter(|_| self.count >= constants::RELIABLE_MEAN_TASKS)
    }
}
