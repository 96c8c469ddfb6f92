//! Points in time at the ends of their range, and the rounding of conversions.

use hookway_time::{MonotonicTime, WallTime, duration_from_seconds, seconds_f64, whole_millis};
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
    let duration = Duration::from_micros(1_999);
    assert_eq!(whole_millis(duration), 1);
    assert_eq!(MonotonicTime::ZERO + duration, MonotonicTime::from_millis(1));
    assert_eq!(whole_millis(Duration::MAX), u64::MAX);
}

#[test]
fn seconds_are_the_quotient_of_whole_milliseconds() {
    for millis in [0, 1, 999, 1_234, 4_103, 86_400_007] {
        let seconds = millis as f64 / 1000.0;
        assert_eq!(seconds_f64(Duration::from_millis(millis)), seconds);
        assert_eq!(MonotonicTime::from_millis(millis).as_seconds_f64(), seconds);
    }
    assert_eq!(seconds_f64(Duration::from_micros(1_999)), 0.001);
}

#[test]
fn span_of_seconds_is_cut_off_to_whole_milliseconds() {
    for seconds in [0.0, 0.001, 1.999_9, 4.35, 8.2, 1e9] {
        assert_eq!(whole_millis(duration_from_seconds(seconds)), (seconds * 1000.0) as u64);
    }
    for seconds in [-1.0, f64::NEG_INFINITY, f64::NAN] {
        assert_eq!(duration_from_seconds(seconds), Duration::ZERO);
    }
    assert_eq!(whole_millis(duration_from_seconds(f64::INFINITY)), u64::MAX);
}
