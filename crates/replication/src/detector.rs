//! Failure detection by measured times between signs of life.

use hookway_constants as constants;
use std::collections::VecDeque;

/// Judges a silence by how long the pauses before it were. Its word is a reason to look, never a proof: a leader
/// that stands still, or whose network is cut, is silent as well.
#[derive(Debug, Default)]
pub struct FailureDetector {
    pauses: VecDeque<u64>,
    last: Option<u64>,
}

impl FailureDetector {
    /// A sign of life at `now`, ms.
    pub fn heard(&mut self, now: u64) {
        if let Some(last) = self.last {
            if self.pauses.len() >= constants::DETECTOR_WINDOW {
                self.pauses.pop_front();
            }
            self.pauses.push_back(now.saturating_sub(last));
        }
        self.last = Some(now);
    }

    /// Another leader, or none: what was measured says nothing of the next one.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// When the last sign came, ms.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How long a silence may be before it is unusual, ms: the mean of the pauses and several deviations.
    /// `None` until enough were measured.
    pub fn patience(&self) -> Option<u64> {
        if self.pauses.len() < constants::DETECTOR_MIN_SAMPLES {
            return None;
        }
        let count = self.pauses.len() as f64;
        let mean = self.pauses.iter().sum::<u64>() as f64 / count;
        let squares = self.pauses.iter().map(|p| (*p as f64 - mean).powi(2)).sum::<f64>();
        let deviation = (squares / count).sqrt();
        let usual = mean + constants::DETECTOR_DEVIATIONS * deviation;
        Some((usual as u64).max(constants::DETECTOR_MIN_SILENCE_MS))
    }

    /// Whether the silence at `now` is unusual.
    pub fn suspects(&self, now: u64) -> bool {
        let silence = self.last.map(|last| now.saturating_sub(last));
        silence.zip(self.patience()).is_some_and(|(silence, patience)| silence > patience)
    }
}
