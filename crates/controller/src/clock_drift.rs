//! Bounds on the expiry of a lease whose two sides measure time on their own monotonic clocks.
//!
//! The clocks drift apart by at most `CLOCK_DRIFT`. The side that a lease entitles to act assumes
//! the earliest expiry, the side that must wait for its end assumes the latest. All times in ms.

use hookway_constants as constants;

/// How far two clocks can drift apart within `duration_ms`, ms.
pub(crate) fn drift_ms(duration_ms: u64) -> u64 {
    (duration_ms as f64 * constants::CLOCK_DRIFT).ceil() as u64
}

/// The earliest expiry, on any clock, of a lease of `duration_ms` that began at `started_at`.
pub(crate) fn earliest_expiry(started_at: u64, duration_ms: u64) -> u64 {
    (started_at + duration_ms).saturating_sub(drift_ms(duration_ms))
}

/// The latest expiry, on any clock, of a lease of `duration_ms` that began at `started_at`.
pub(crate) fn latest_expiry(started_at: u64, duration_ms: u64) -> u64 {
    started_at + duration_ms + drift_ms(duration_ms)
}

/// The latest moment that can be `age_ms` before `now` on another clock.
pub(crate) fn latest_past(now: u64, age_ms: u64) -> u64 {
    now.saturating_sub(age_ms) + drift_ms(age_ms)
}
