//! Readings of a wall clock.

use crate::whole_millis;
use std::ops::Add;
use std::time::Duration;

/// A reading of the wall clock: the time since the Unix epoch. The wall clocks of the controllers agree only roughly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime {
    unix_millis: u64,
}

impl WallTime {
    /// The point in time this many milliseconds after the Unix epoch.
    pub const fn from_unix_millis(unix_millis: u64) -> Self {
        Self { unix_millis }
    }

    /// The milliseconds since the Unix epoch.
    pub const fn as_unix_millis(self) -> u64 {
        self.unix_millis
    }

    /// The span since `earlier`; zero if that is later than `self`.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.unix_millis.saturating_sub(earlier.unix_millis))
    }

    /// The point in time `span` earlier; the Unix epoch if that precedes it.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self { unix_millis: self.unix_millis.saturating_sub(whole_millis(span)) }
    }
}

impl Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self { unix_millis: self.unix_millis.saturating_add(whole_millis(span)) }
    }
}
