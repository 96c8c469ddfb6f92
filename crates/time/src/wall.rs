//! Readings of a wall clock.

use crate::whole_millis;
use std::ops::Add;
use std::time::Duration;

/// A reading of the wall clock: the time since the Unix epoch. The wall clocks of the controllers are only roughly
/// synchronized.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime {
    unix_millis: u64,
}

impl WallTime {
    /// Returns the point in time this many milliseconds after the Unix epoch.
    pub const fn from_unix_millis(unix_millis: u64) -> Self {
        Self { unix_millis }
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_unix_millis(self) -> u64 {
        self.unix_millis
    }

    /// Returns the duration since `earlier`; zero if `earlier` is later than `self`.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.unix_millis.saturating_sub(earlier.unix_millis))
    }

    /// Returns the point in time that precedes this one by `duration`; the Unix epoch if that is before the epoch.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self { unix_millis: self.unix_millis.saturating_sub(whole_millis(duration)) }
    }
}

impl Add<Duration> for WallTime {
    type Output = Self;

    /// Returns the point in time that follows this one by `duration`, or the latest possible one if that is out of
    /// range.
    fn add(self, duration: Duration) -> Self {
        Self { unix_millis: self.unix_millis.saturating_add(whole_millis(duration)) }
    }
}
