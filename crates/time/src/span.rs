//! Conversions of spans to milliseconds.

use std::time::Duration;

/// The whole milliseconds of a span; `u64::MAX` if there are more.
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A span in milliseconds, for estimates in floating point.
pub fn millis_f64(span: Duration) -> f64 {
    whole_millis(span) as f64
}

/// The span of this many seconds, cut off to whole milliseconds; zero if it is negative or no number.
pub fn span_of_seconds(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// A span in seconds, for estimates in floating point and for the log.
///
/// It is the quotient of the whole milliseconds, which [`Duration::as_secs_f64`] may miss by a rounding
/// error.
pub fn seconds_f64(span: Duration) -> f64 {
    millis_f64(span) / 1000.0
}
