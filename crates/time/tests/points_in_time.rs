//! Points in time at their limits.

use hookway_time::{MonotonicTime, WallTime, whole_millis};
use std::time::Duration;

#[test]
fn points_in_time_saturate_at_both_ends() {
    let second = Duration::from_secs(1);
    let at = MonotonicTime::from_millis(400);
    assert_eq!(at.saturating_sub(second), MonotonicTime::ZERO);
    assert_eq!(MonotonicTime::MAX + second, MonotonicTime::MAX);
    assert_eq!(at.saturating_duration_since(at + second), Duration::ZERO);
    assert_eq!((at + second) - at, second);
    let epoch = WallTime::default();
    assert_eq!(epoch.saturating_sub(second), epoch);
    assert_eq!(epoch.saturating_duration_since(epoch + second), Duration::ZERO);
}

#[test]
fn fractions_of_a_millisecond_are_dropped() {
    let span = Duration::from_micros(1_999);
    assert_eq!(whole_millis(span), 1);
    assert_eq!(MonotonicTime::ZERO + span, MonotonicTime::from_millis(1));
    assert_eq!(whole_millis(Duration::MAX), u64::MAX);
}
