//! Bounds on the expiry of a lease when its two sides measure time on different monotonic clocks.
//!
//! The clocks drift apart by at most `CLOCK_DRIFT`. The side that the lease entitles to act assumes
//! the earliest possible expiry; the side that must wait for the end of the lease assumes the
//! latest.

use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use std::time::Duration;

/// Returns how far two clocks can drift apart within `span`, rounded up to whole milliseconds.
pub(crate) fn drift(span: Duration) -> Duration {
    Duration::from_millis((millis_f64(span) * constants::CLOCK_DRIFT).ceil() as u64)
}

/// Returns the earliest expiry, by any clock, of a lease of `length` that began at `started_at`.
pub(crate) fn earliest_expiry(started_at: MonotonicTime, length: Duration) -> MonotonicTime {
    (started_at + length).saturating_sub(drift(length))
}

/// Returns the latest expiry, by any clock, of a lease of `length` that began at `started_at`.
pub(crate) fn latest_expiry(started_at: MonotonicTime, length: Duration) -> MonotonicTime {
    started_at + length + drift(length)
}

/// Returns the latest possible time, on this clock, of an event that happened `age` before `now`
/// according to another clock.
pub(crate) fn latest_event_time(now: MonotonicTime, age: Duration) -> MonotonicTime {
    now.saturating_sub(age) + drift(age)
}
