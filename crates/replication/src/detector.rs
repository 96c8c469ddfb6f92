//! Failure detection by the measured intervals between the leader's messages.

use hookway_constants as constants;
use hookway_time::whole_millis;
use std::collections::VecDeque;

/// Suspects a leader that is silent for much longer than the usual interval between its messages. A suspicion is
/// no proof of failure: a paused or partitioned leader is silent as well. All times are in ms on the caller's
/// monotonic clock.
#[derive(Debug, Default)]
pub struct FailureDetector {
    intervals_ms: VecDeque<u64>,
    last_message_ms: Option<u64>,
}

impl FailureDetector {
    /// Records a message of the leader at `now_ms`.
    pub fn record_message(&mut self, now_ms: u64) {
        if let Some(last) = self.last_message_ms {
            if self.intervals_ms.len() >= constants::DETECTOR_WINDOW {
                self.intervals_ms.pop_front();
            }
            self.intervals_ms.push_back(now_ms.saturating_sub(last));
        }
        self.last_message_ms = Some(now_ms);
    }

    /// Discards all measurements, because the leader has changed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Time of the last message, in ms; `None` before the first.
    pub fn last_message_ms(&self) -> Option<u64> {
        self.last_message_ms
    }

    /// Longest silence without suspicion, in ms: the mean of the intervals plus several standard deviations.
    /// `None` until enough intervals have been measured.
    pub fn silence_limit_ms(&self) -> Option<u64> {
        if self.intervals_ms.len() < constants::DETECTOR_MIN_SAMPLES {
            return None;
        }
        let count = self.intervals_ms.len() as f64;
        let mean = self.intervals_ms.iter().sum::<u64>() as f64 / count;
        let squared_deviations =
            self.intervals_ms.iter().map(|interval| (*interval as f64 - mean).powi(2)).sum::<f64>();
        let deviation = (squared_deviations / count).sqrt();
        let limit = mean + constants::DETECTOR_DEVIATIONS * deviation;
        Some((limit as u64).max(whole_millis(constants::DETECTOR_MIN_SILENCE)))
    }

    /// Whether the leader is suspected at `now_ms`.
    pub fn suspects(&self, now_ms: u64) -> bool {
        let silence_ms = self.last_message_ms.map(|last| now_ms.saturating_sub(last));
        silence_ms.zip(self.silence_limit_ms()).is_some_and(|(silence, limit)| silence > limit)
    }
}
