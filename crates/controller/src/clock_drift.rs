//! Bounds on the expiry of a lease whose two sides measure time on their own monotonic clocks.
//!
//! The clocks drift apart by at most `CLOCK_DRIFT`. The side that a lease entitles to act assumes
//! the earliest expiry, the side that must wait for its end assumes the latest.

use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use std::time::Duration;

/// How far two clocks can drift apart within `span`, in whole milliseconds.
pub(crate) fn drift(span: Duration) -> Duration {
    Duration::from_millis((millis_f64(span) * constants::CLOCK_DRIFT).ceil() as u64)
}

/// The earliest expiry, on any clock, of a lease of this length that began at `started_at`.
pub(crate) fn earliest_expiry(started_at: MonotonicTime, length: Duration) -> MonotonicTime {
    (started_at + length).saturating_sub(drift(length))
}

/// The latest expiry, on any clock, of a lease of this length that began at `started_at`.
pub(crate) fn latest_expiry(started_at: MonotonicTime, length: Duration) -> MonotonicTime {
    started_at + length + drift(length)
}

/// The latest point in time that can be `age` before `now` on another clock.
pub(crate) fn latest_past(now: MonotonicTime, age: Duration) -> MonotonicTime {
    now.saturating_sub(age) + drift(age)
}
