//! Failure detection from the intervals between the leader's messages.

use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use std::collections::VecDeque;
use std::time::Duration;

/// A failure detector that suspects a leader whose silence is much longer than the usual interval between its
/// messages. A suspicion does not prove a failure: a paused or partitioned leader is silent as well.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// The latest intervals between two messages, oldest first; at most `DETECTOR_WINDOW`.
    intervals: VecDeque<Duration>,
    last_message_at: Option<MonotonicTime>,
}

impl FailureDetector {
    /// Records a message of the leader, received at `now`.
    pub fn record_message(&mut self, now: MonotonicTime) {
        if let Some(last) = self.last_message_at {
            self.record_interval(now.saturating_duration_since(last));
        }
        self.last_message_at = Some(now);
    }

    fn record_interval(&mut self, interval: Duration) {
        if self.intervals.len() >= constants::DETECTOR_WINDOW {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval);
    }

    /// Discards all recorded intervals. Called when the leader changes, because they say nothing about another leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the time of the last message; `None` before the first one.
    pub fn last_message_at(&self) -> Option<MonotonicTime> {
        self.last_message_at
    }

    /// Returns the longest silence without suspicion: the mean of the intervals plus `DETECTOR_DEVIATIONS` standard
    /// deviations, but at least `DETECTOR_MIN_SILENCE`. `None` below `DETECTOR_MIN_SAMPLES` recorded intervals.
    pub fn silence_limit(&self) -> Option<Duration> {
        if self.intervals.len() < constants::DETECTOR_MIN_SAMPLES {
            return None;
        }
        let count = self.intervals.len() as f64;
        let mean_ms = millis_f64(self.intervals.iter().sum()) / count;
        let squared_deviations: f64 =
            self.intervals.iter().map(|interval| (millis_f64(*interval) - mean_ms).powi(2)).sum();
        let deviation_ms = (squared_deviations / count).sqrt();
        let limit_ms = mean_ms + constants::DETECTOR_DEVIATIONS * deviation_ms;
        Some(Duration::from_millis(limit_ms as u64).max(constants::DETECTOR_MIN_SILENCE))
    }

    /// Whether the leader is suspected at `now`.
    pub fn suspects(&self, now: MonotonicTime) -> bool {
        let silence = self.last_message_at.map(|last| now.saturating_duration_since(last));
        silence.zip(self.silence_limit()).is_some_and(|(silence, limit)| silence > limit)
    }
}
