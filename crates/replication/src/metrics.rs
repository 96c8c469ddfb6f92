//! Measurements: how far a follower lags, and how long takeovers take.

use hdrhistogram::Histogram;
use hookway_constants as constants;

/// A distribution of times, ms.
#[derive(Debug, Clone, Default)]
pub struct Durations(Option<Histogram<u32>>);

impl Durations {
    /// Adds a time; `None` was not measured.
    pub fn record(&mut self, ms: Option<u64>) {
        let Some(ms) = ms else { return };
        let histogram = match self.0.take() {
            Some(histogram) => Some(histogram),
            None => Histogram::new_with_bounds(1, constants::MAX_RECORDED_DURATION_MS, 2).ok(),
        };
        self.0 = histogram.map(|mut h| {
            h.saturating_record(ms.max(1));
            h
        });
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// The time that this share of all does not exceed, ms; 0 without any.
    pub fn quantile(&self, share: f64) -> u64 {
        self.0.as_ref().map_or(0, |h| h.value_at_quantile(share))
    }
}

impl std::fmt::Display for Durations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (half, most) = (self.quantile(0.5), self.quantile(1.0));
        write!(f, "{half} ms (longest {most} ms of {})", self.count())
    }
}

/// How a follower keeps up.
#[derive(Debug, Clone, Default)]
pub struct FollowMetrics {
    /// Entries that it lacked at the leader's last answer.
    pub lag_entries: u64,
    /// Since when it lacks any, ms.
    behind_since: Option<u64>,
    /// How long it lacked some until it had all.
    pub lag: Durations,
    /// Images that it took.
    pub images: u64,
    /// Answers that it refused, and went back to an image for.
    pub resyncs: u64,
}

impl FollowMetrics {
    pub(crate) fn heard(&mut self, lag_entries: u64, now: u64) {
        self.lag_entries = lag_entries;
        if lag_entries > 0 {
            self.behind_since.get_or_insert(now);
        } else {
            self.lag.record(self.behind_since.take().map(|since| now.saturating_sub(since)));
        }
    }

    /// For how long it has lacked entries, ms.
    pub fn lag_ms(&self, now: u64) -> u64 {
        self.behind_since.map_or(0, |since| now.saturating_sub(since))
    }
}

/// How long takeovers took, by phase.
#[derive(Debug, Clone, Default)]
pub struct TakeoverMetrics {
    /// From the last sign of the active controller to the end of its lease.
    pub detection: Durations,
    /// From there to the election.
    pub election: Durations,
    /// From there until all records were read.
    pub catching_up: Durations,
    /// From there to the first decision.
    pub first_decision: Durations,
    /// From the last sign to the first decision.
    pub whole: Durations,
}
