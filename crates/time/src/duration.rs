//! Conversions between durations, milliseconds and seconds.

use std::time::Duration;

/// Returns the whole milliseconds of a duration; `u64::MAX` if the number is larger.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the whole milliseconds of a duration, for calculations in floating point.
pub fn millis_f64(duration: Duration) -> f64 {
    whole_millis(duration) as f64
}

/// Returns the duration of this many seconds, truncated to whole milliseconds; zero if `seconds` is negative or NaN.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// Returns a duration in seconds, for calculations in floating point and for the log.
///
/// The result is the number of whole milliseconds divided by 1000. [`Duration::as_secs_f64`] differs from it: it keeps
/// fractions of a millisecond, and may round differently.
pub fn seconds_f64(duration: Duration) -> f64 {
    millis_f64(duration) / 1000.0
}
