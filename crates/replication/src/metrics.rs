//! Metrics of replication lag and of the durations of failovers.

use hdrhistogram::Histogram;
use hookway_constants as constants;
use hookway_time::whole_millis;

/// Histogram of durations in ms. Durations below 1 ms are counted as 1 ms.
#[derive(Debug, Clone, Default)]
pub struct DurationHistogram(Option<Histogram<u32>>);

impl DurationHistogram {
    /// Records a duration in ms; `None` (not measured) is ignored.
    pub fn record(&mut self, ms: Option<u64>) {
        let Some(ms) = ms else { return };
        let histogram = match self.0.take() {
            Some(histogram) => Some(histogram),
            None => {
                Histogram::new_with_bounds(1, whole_millis(constants::MAX_RECORDED_DURATION), 2)
                    .ok()
            }
        };
        self.0 = histogram.map(|mut histogram| {
            histogram.saturating_record(ms.max(1));
            histogram
        });
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Quantile of the durations in ms, for `quantile` from 0 to 1; 0 if there are none.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.0.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
    }
}

impl std::fmt::Display for DurationHistogram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (median, longest) = (self.quantile(0.5), self.quantile(1.0));
        write!(f, "{median} ms (longest {longest} ms of {})", self.count())
    }
}

/// Metrics of a follower.
#[derive(Debug, Clone, Default)]
pub struct FollowerMetrics {
    /// Replication lag at the leader's last response, in log entries.
    pub lag_entries: u64,
    /// Time at which the copy became incomplete, in ms; `None` while it is complete.
    behind_since_ms: Option<u64>,
    /// Durations of the past periods in which the copy was incomplete.
    pub lag: DurationHistogram,
    /// Number of images applied.
    pub images: u64,
    /// Number of rejected responses after which the follower needed a new image.
    pub resyncs: u64,
}

impl FollowerMetrics {
    pub(crate) fn record_lag(&mut self, lag_entries: u64, now_ms: u64) {
        self.lag_entries = lag_entries;
        if lag_entries > 0 {
            self.behind_since_ms.get_or_insert(now_ms);
        } else {
            self.lag.record(self.behind_since_ms.take().map(|since| now_ms.saturating_sub(since)));
        }
    }

    /// Time since the copy became incomplete, in ms; 0 while it is complete.
    pub fn lag_ms(&self, now_ms: u64) -> u64 {
        self.behind_since_ms.map_or(0, |since| now_ms.saturating_sub(since))
    }
}

/// Durations of the failovers to this controller, by phase.
#[derive(Debug, Clone, Default)]
pub struct FailoverMetrics {
    /// From the previous leader's last message to the expiry of its lease.
    pub detection: DurationHistogram,
    /// From the expiry of the lease to the election.
    pub election: DurationHistogram,
    /// From the election until all records were read.
    pub catching_up: DurationHistogram,
    /// From then to the first dispatch.
    pub first_dispatch: DurationHistogram,
    /// The whole failover: from the previous leader's last message to the first dispatch.
    pub whole: DurationHistogram,
}
