//! The clocks of this process.

use crate::cluster_state::Timestamp;
use hookway_time::{MonotonicTime, WallTime, whole_millis};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The monotonic clock of this process, together with the wall clock.
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

    /// The instant at which this clock reads `at`; the present if that is past.
    pub fn instant_at(&self, at: MonotonicTime) -> Instant {
        Instant::now() + at.saturating_duration_since(self.now())
    }

    /// Reads both clocks.
    pub fn timestamp(&self) -> Timestamp {
        Timestamp { monotonic: self.now(), wall: wall_clock() }
    }
}

/// Reads the wall clock; the Unix epoch if it is set before that.
pub fn wall_clock() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_unix_millis(whole_millis(since_epoch))
}
