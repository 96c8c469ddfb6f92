//! The monotonic clock and the wall clock of this process.

use crate::cluster_state::Timestamp;
use hookway_time::{MonotonicTime, WallTime, whole_millis};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the clocks of this process. Its monotonic time begins when it is created; copies share
/// that beginning.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started_at: Instant::now() }
    }
}

impl Clock {
    /// Reads the monotonic clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(whole_millis(self.started_at.elapsed()))
    }

    /// Converts a reading of this clock into an [`Instant`]; returns the present if `at` has
    /// passed.
    pub fn instant_at(&self, at: MonotonicTime) -> Instant {
        Instant::now() + at.saturating_duration_since(self.now())
    }

    /// Reads the monotonic clock and the wall clock, one right after the other.
    pub fn timestamp(&self) -> Timestamp {
        Timestamp { monotonic: self.now(), wall: wall_clock() }
    }
}

/// Reads the wall clock. Returns the Unix epoch if the clock is set to an earlier time.
pub fn wall_clock() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_unix_millis(whole_millis(since_epoch))
}
