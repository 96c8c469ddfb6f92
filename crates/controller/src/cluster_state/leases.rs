//! Lengths of shard leases, which other controllers hold, and of worker leases.

use super::{ClusterState, ControllerConfig, Job};
use crate::settings::PlatformSettings;
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use hookway_wire::JobState;
use std::time::Duration;

/// Returns the maximum length of a shard lease: as configured, but so short that the shard lease
/// and a worker lease after it end within the time for a cancellation.
pub fn max_shard_lease(config: &ControllerConfig) -> Duration {
    let workers = &config.platform.workers;
    let limit_ms =
        (workers.cancel_s - workers.lease_s) * 1000.0 - millis_f64(constants::CANCEL_MARGIN);
    config.operator.shard_lease_length.min(Duration::from_millis(limit_ms.max(0.0) as u64))
}

/// Whether the lease of a worker that no controller answers any more ends within the time for a
/// cancellation.
pub fn leases_expire_within_cancellation(platform: &PlatformSettings) -> bool {
    let lease = longest_worker_lease(platform) + constants::CANCEL_MARGIN;
    millis_f64(lease) <= platform.workers.cancel_s * 1000.0
}

/// Returns the length of a worker's lease with clock drift and margin. This long after the last
/// moment at which the leader or a lessee could have answered the worker, the worker has killed its
/// tasks.
pub fn longest_worker_lease(platform: &PlatformSettings) -> Duration {
    let drifted_ms = platform.workers.lease_s * 1000.0 * (1.0 + constants::CLOCK_DRIFT);
    Duration::from_millis(drifted_ms.ceil() as u64) + constants::WORKER_LEASE_MARGIN
}

impl ClusterState {
    /// Responds at `now` to the renewal of another controller's shard lease; `None` if that
    /// controller is unknown.
    pub fn renew_shard_lease(
        &mut self,
        renewal: &ShardLeaseRenewal,
        now: MonotonicTime,
    ) -> Option<ShardLease> {
        self.end_reconciliation_if_due(now);
        let lease = self.shard_lease_length(now);
        self.shard_lessor.respond_to_renewal(self.term, renewal, lease, now)
    }

    /// Returns the length of a shard lease that is granted at `now`.
    ///
    /// Tasks of a cancelled job must have ended within the time for a cancellation, even where no
    /// controller can reach their worker to stop them and a lessee extends the worker's lease. So
    /// while such a task may be on any machine, a shard lease ends no later than one of maximum
    /// length that was granted when the user requested the cancellation, before any controller was
    /// told of it. A worker's lease that was extended up to that end then ends in time as well. No
    /// shard lease is granted before reconciliation has ended, or while any machine may have a task
    /// of an unknown job, or of a job whose cancellation another controller decided.
    pub fn shard_lease_length(&self, now: MonotonicTime) -> Duration {
        if self.unknown_job_tasks > 0 || !self.is_reconciled(now) {
            return Duration::ZERO;
        }
        let max = max_shard_lease(&self.config);
        let is_stopping = |job: &&Job| {
            job.completion.end_state() == Some(JobState::Cancelled) && job.placed_attempts > 0
        };
        let remaining = |job: &Job| {
            let requested_at = job.completion.cancel_requested_at();
            requested_at
                .map_or(Duration::ZERO, |at| max.saturating_sub(now.saturating_duration_since(at)))
        };
        self.jobs.values().filter(is_stopping).map(remaining).min().unwrap_or(max)
    }

    /// Returns the zones of this leader's own shard, which it leases to no other controller.
    pub fn own_shard(&self) -> Vec<String> {
        self.shard_lessor.own_shard()
    }

    /// Records that this controller answered a worker as a lessee at `now`, while its leadership
    /// was uncertain: the answer may have extended the worker's lease. This concerns no unreconciled
    /// worker, since a leader leases its own shard to itself only once reconciliation has ended.
    pub fn record_worker_lease_extension(&mut self, name: &str, now: MonotonicTime) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_response_at = machine.last_response_at.max(now);
        }
    }
}
