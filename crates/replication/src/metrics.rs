//! Metrics of replication lag and of the durations of failovers.

use hdrhistogram::Histogram;
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use std::time::Duration;

/// Histogram of durations, with a resolution of 1 ms. Shorter durations are counted as 1 ms.
///
/// The histogram is allocated with the first duration: most controllers never complete a failover.
#[derive(Debug, Clone, Default)]
pub struct DurationHistogram(Option<Histogram<u32>>);

impl DurationHistogram {
    /// Records a duration.
    pub fn record(&mut self, duration: Duration) {
        if self.0.is_none() {
            // The bounds are constants that are valid, so this does not fail.
            let longest_ms = whole_millis(constants::MAX_RECORDED_DURATION);
            self.0 = Histogram::new_with_bounds(1, longest_ms, 2).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(whole_millis(duration).max(1));
        }
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Quantile of the durations, for `quantile` from 0 to 1; zero if there are none.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let millis = self.0.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile));
        Duration::from_millis(millis)
    }
}

impl std::fmt::Display for DurationHistogram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let median_ms = whole_millis(self.quantile(0.5));
        let longest_ms = whole_millis(self.quantile(1.0));
        write!(f, "{median_ms} ms (longest {longest_ms} ms of {})", self.count())
    }
}

/// Metrics of a follower.
#[derive(Debug, Clone, Default)]
pub struct FollowerMetrics {
    /// Replication lag at the leader's last response, in log entries.
    pub lag_entries: u64,
    /// Time at which the copy became incomplete; `None` while it is complete.
    incomplete_since: Option<MonotonicTime>,
    /// Durations of the past periods in which the copy was incomplete.
    pub lag: DurationHistogram,
    /// Number of images applied.
    pub images: u64,
    /// Number of rejected responses after which the follower needed a new image.
    pub resyncs: u64,
}

impl FollowerMetrics {
    /// Records by how many entries the copy is behind the leader's log at `now`.
    pub(crate) fn record_lag(&mut self, lag_entries: u64, now: MonotonicTime) {
        self.lag_entries = lag_entries;
        if lag_entries > 0 {
            self.incomplete_since.get_or_insert(now);
        } else if let Some(since) = self.incomplete_since.take() {
            self.lag.record(now.saturating_duration_since(since));
        }
    }

    /// Time since the copy became incomplete; zero while it is complete.
    pub fn current_lag(&self, now: MonotonicTime) -> Duration {
        self.incomplete_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
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

/// The times of a failover that has ended with its first dispatch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedFailover {
    /// Last response of the previous leader; `None` if this controller got none.
    pub leader_responded_at: Option<MonotonicTime>,
    /// Expiry of the previous leader's lease; `None` if this controller did not see it.
    pub lease_expired_at: Option<MonotonicTime>,
    pub elected_at: MonotonicTime,
    pub records_read_at: MonotonicTime,
    pub dispatched_at: MonotonicTime,
}

impl FailoverMetrics {
    /// Records the durations of a failover, as far as its times are known.
    pub(crate) fn record(&mut self, failover: &CompletedFailover) {
        let &CompletedFailover { elected_at, records_read_at, dispatched_at, .. } = failover;
        if let Some(responded_at) = failover.leader_responded_at {
            let detected_at = failover.lease_expired_at.unwrap_or(elected_at);
            self.detection.record(detected_at.saturating_duration_since(responded_at));
            self.whole.record(dispatched_at.saturating_duration_since(responded_at));
        }
        if let Some(expired_at) = failover.lease_expired_at {
            self.election.record(elected_at.saturating_duration_since(expired_at));
        }
        self.catching_up.record(records_read_at.saturating_duration_since(elected_at));
        self.first_dispatch.record(dispatched_at.saturating_duration_since(records_read_at));
    }
}
