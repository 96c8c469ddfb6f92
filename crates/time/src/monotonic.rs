//! Readings of a monotonic clock.

use crate::whole_millis;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A reading of the monotonic clock of one process: the time since that clock was created.
///
/// Readings of different processes are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime {
    millis: u64,
}

impl MonotonicTime {
    /// The creation of the clock; no reading precedes it.
    pub const ZERO: Self = Self { millis: 0 };
    /// The latest point in time, which is never reached.
    pub const MAX: Self = Self { millis: u64::MAX };

    /// Returns the point in time this many milliseconds after the creation of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns the milliseconds since the creation of the clock.
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// Returns the seconds since the creation of the clock, for calculations in floating point.
    pub const fn as_seconds_f64(self) -> f64 {
        self.millis as f64 / 1000.0
    }

    /// Returns the duration since `earlier`; zero if `earlier` is later than `self`.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.millis.saturating_sub(earlier.millis))
    }

    /// Returns the point in time that precedes this one by `duration`; [`ZERO`](Self::ZERO) if that is before the
    /// creation of the clock.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self { millis: self.millis.saturating_sub(whole_millis(duration)) }
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    /// Returns the point in time that follows this one by `duration`; [`MAX`](Self::MAX) if that is out of range.
    fn add(self, duration: Duration) -> Self {
        Self { millis: self.millis.saturating_add(whole_millis(duration)) }
    }
}

impl AddAssign<Duration> for MonotonicTime {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub for MonotonicTime {
    type Output = Duration;

    /// Returns the duration between two readings.
    ///
    /// # Panics
    ///
    /// In builds with overflow checks, if `earlier` is later than `self`; see
    /// [`saturating_duration_since`](Self::saturating_duration_since).
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.millis - earlier.millis)
    }
}
