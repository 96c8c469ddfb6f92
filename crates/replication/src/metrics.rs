//! Metrics of replication lag and of the durations of failovers.

use hdrhistogram::Histogram;
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use std::time::Duration;

/// Histogram of durations in ms, with two significant digits. Durations below 1 ms count as 1 ms, and those above
/// `MAX_RECORDED_DURATION` as that limit.
///
/// The memory is allocated when the first duration is recorded: most controllers never complete a failover.
#[derive(Debug, Clone, Default)]
pub struct DurationHistogram(Option<Histogram<u32>>);

impl DurationHistogram {
    /// Adds a duration to the histogram.
    pub fn record(&mut self, duration: Duration) {
        if self.0.is_none() {
            // The bounds are valid constants, so this does not fail.
            let longest_ms = whole_millis(constants::MAX_RECORDED_DURATION);
            self.0 = Histogram::new_with_bounds(1, longest_ms, 2).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(whole_millis(duration).max(1));
        }
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Returns a quantile of the durations; `quantile` is from 0 to 1. Zero if no duration was recorded.
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

/// Metrics of a follower: its replication lag, snapshots and resynchronizations.
#[derive(Debug, Clone, Default)]
pub struct FollowerMetrics {
    /// Replication lag at the last accepted response of the leader, in log entries.
    pub lag_entries: u64,
    /// Time at which the copy became incomplete; `None` while it is complete.
    incomplete_since: Option<MonotonicTime>,
    /// Durations of the past periods in which the copy was incomplete; the current one is not included.
    pub lag: DurationHistogram,
    /// Number of snapshots applied since the start of the process.
    pub snapshots: u64,
    /// Number of rejected responses after which the follower needed a new snapshot.
    pub resyncs: u64,
}

impl FollowerMetrics {
    /// Records the number of entries by which the copy is behind the leader's log at `now`.
    pub(crate) fn record_lag(&mut self, lag_entries: u64, now: MonotonicTime) {
        self.lag_entries = lag_entries;
        if lag_entries > 0 {
            self.incomplete_since.get_or_insert(now);
        } else if let Some(since) = self.incomplete_since.take() {
            self.lag.record(now.saturating_duration_since(since));
        }
    }

    /// Returns the time since the copy became incomplete; zero while it is complete.
    pub fn current_lag(&self, now: MonotonicTime) -> Duration {
        self.incomplete_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Durations of the failovers to this controller, by phase.
#[derive(Debug, Clone, Default)]
pub struct FailoverMetrics {
    /// From the previous leader's last response to the expiry of its lease, or to the election if this controller did
    /// not observe the expiry.
    pub detection: DurationHistogram,
    /// From the expiry of the previous leader's lease to the election of this controller.
    pub election: DurationHistogram,
    /// From the election until all records in the store were read.
    pub catching_up: DurationHistogram,
    /// From the end of reading the records to the first dispatch of a task start.
    pub first_dispatch: DurationHistogram,
    /// The whole failover: from the previous leader's last response to the first dispatch of a task start.
    pub total: DurationHistogram,
}

/// The times of a failover that was completed by the first dispatch of a task start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedFailover {
    /// Time of the previous leader's last response; `None` if this controller received none.
    pub leader_responded_at: Option<MonotonicTime>,
    /// Time at which this controller observed the expiry of the previous leader's lease; `None` if it did not.
    pub lease_expired_at: Option<MonotonicTime>,
    pub elected_at: MonotonicTime,
    pub records_read_at: MonotonicTime,
    pub dispatched_at: MonotonicTime,
}

impl FailoverMetrics {
    /// Records the durations of a failover whose start and end times are known.
    pub(crate) fn record(&mut self, failover: &CompletedFailover) {
        let &CompletedFailover { elected_at, records_read_at, dispatched_at, .. } = failover;
        if let Some(responded_at) = failover.leader_responded_at {
            let detected_at = failover.lease_expired_at.unwrap_or(elected_at);
            self.detection.record(detected_at.saturating_duration_since(responded_at));
            self.total.record(dispatched_at.saturating_duration_since(responded_at));
        }
        if let Some(expired_at) = failover.lease_expired_at {
            self.election.record(elected_at.saturating_duration_since(expired_at));
        }
        self.catching_up.record(records_read_at.saturating_duration_since(elected_at));
        self.first_dispatch.record(dispatched_at.saturating_duration_since(records_read_at));
    }
}
