//! Readings of a monotonic clock.

use crate::whole_millis;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A reading of the monotonic clock of one process: the time since that clock was created.
///
/// Readings of different processes can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime {
    millis: u64,
}

impl MonotonicTime {
    /// The creation of the clock, which precedes or equals every reading.
    pub const ZERO: Self = Self { millis: 0 };
    /// A point in time that is never reached.
    pub const MAX: Self = Self { millis: u64::MAX };

    /// The point in time this many milliseconds after the creation of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// The milliseconds since the creation of the clock.
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// The seconds since the creation of the clock, for estimates in floating point.
    pub const fn as_seconds_f64(self) -> f64 {
        self.millis as f64 / 1000.0
    }

    /// The span since `earlier`; zero if that is later than `self`.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.millis.saturating_sub(earlier.millis))
    }

    /// The point in time `span` earlier; [`ZERO`](Self::ZERO) if that precedes the creation of the clock.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self { millis: self.millis.saturating_sub(whole_millis(span)) }
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    /// The point in time `span` later; [`MAX`](Self::MAX) if there is none.
    fn add(self, span: Duration) -> Self {
        Self { millis: self.millis.saturating_add(whole_millis(span)) }
    }
}

impl AddAssign<Duration> for MonotonicTime {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub for MonotonicTime {
    type Output = Duration;

    /// The span between two readings.
    ///
    /// # Panics
    ///
    /// In builds with overflow checks, if `earlier` is later than `self`; see
    /// [`saturating_duration_since`](Self::saturating_duration_since).
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.millis - earlier.millis)
    }
}
