//! The clocks of this process.

use crate::cluster_state::Timestamp;
use hookway_time::{MonotonicTime, WallTime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
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
    /// Reads the monotonic clock: milliseconds since this clock was created.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The moment at which this clock reads `at`, ms; the present if that is past.
    pub fn instant_at(&self, at: u64) -> Instant {
        Instant::now() + Duration::from_millis(at.saturating_sub(self.now()))
    }

    /// Reads both clocks.
    pub fn timestamp(&self) -> Timestamp {
        Timestamp {
            monotonic: MonotonicTime::from_millis(self.now()),
            wall: WallTime::from_unix_millis(wall_clock_ms()),
        }
    }
}

/// Reads the wall clock: milliseconds since the Unix epoch, 0 if it is set before the epoch.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Waits for `duration_ms`.
pub(crate) async fn pause(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}
