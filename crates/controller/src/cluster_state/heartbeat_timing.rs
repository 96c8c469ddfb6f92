//! Time limits for heartbeats, and detection of overdue ones.

use super::machine::FirstListing;
use super::{ClusterState, Machine, longest_worker_lease};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::time::Duration;

/// Heartbeat intervals since the last response after which a machine without a new heartbeat gets
/// no new task. One heartbeat is then certainly missing, whatever the variation of the interval.
const MISSED_HEARTBEAT_INTERVALS: f64 = 2.0;
/// Heartbeat intervals after which the planned starts of such a machine are cancelled, so that the
/// tasks start elsewhere. Longer than [`MISSED_HEARTBEAT_INTERVALS`], since the response to a
/// heartbeat that is merely late can still carry the starts.
const PLANNED_START_TIMEOUT_INTERVALS: f64 = 2.5;
/// Minimum number of expected workers whose common silence indicates a fault of this controller: a
/// single worker may have been lost.
const MIN_SILENT_WORKERS: u32 = 2;

impl ClusterState {
    /// Returns the nominal interval between the regular heartbeats of a worker, ms.
    pub(super) fn heartbeat_interval_ms(&self) -> f64 {
        self.config.platform.workers.heartbeat_interval_s * 1000.0
    }

    /// Returns the longest interval between two heartbeats of a healthy worker.
    pub(super) fn max_heartbeat_interval(&self) -> Duration {
        let interval_ms = self.heartbeat_interval_ms() * constants::MAX_HEARTBEAT_INTERVAL_FACTOR;
        Duration::from_millis(interval_ms as u64)
    }

    /// Returns the time after a response within which a healthy worker certainly sends its next
    /// heartbeat.
    pub(super) fn heartbeat_timeout(&self) -> Duration {
        self.max_heartbeat_interval() + constants::MAX_PROMPT_HEARTBEAT_DELAY
    }

    /// Returns the time after a response from which the planned starts of a machine without a new
    /// heartbeat are cancelled.
    pub(super) fn planned_start_timeout(&self) -> Duration {
        let interval_s = self.config.platform.workers.heartbeat_interval_s;
        Duration::from_millis((interval_s * (PLANNED_START_TIMEOUT_INTERVALS * 1000.0)) as u64)
    }

    /// Returns the time after a response from which a machine without a new heartbeat gets no new
    /// task.
    pub(super) fn missed_heartbeat_timeout(&self) -> Duration {
        Duration::from_millis((self.heartbeat_interval_ms() * MISSED_HEARTBEAT_INTERVALS) as u64)
    }

    /// Whether the machine's worker has sent a heartbeat and has not missed one at `now`.
    pub(super) fn is_sending_heartbeats(&self, machine: &Machine, now: MonotonicTime) -> bool {
        machine.has_reported && now < machine.last_response_at + self.missed_heartbeat_timeout()
    }

    /// Whether the heartbeat of some worker with tasks is overdue while its lease may still be
    /// valid.
    pub fn has_overdue_heartbeat(&self, now: MonotonicTime) -> bool {
        let timeout = self.heartbeat_timeout();
        let lease = longest_worker_lease(&self.config.platform);
        let is_overdue = |machine: &Machine| {
            machine.has_reported
                && !machine.placed_tasks.is_empty()
                && (timeout..lease)
                    .contains(&now.saturating_duration_since(machine.last_response_at))
        };
        self.machines.values().any(is_overdue)
    }

    /// Whether no worker has sent a heartbeat for several intervals although at least
    /// `MIN_SILENT_WORKERS` should have: this controller may be partitioned from the workers but
    /// not from the store, while another controller can still reach them.
    pub fn is_isolated_from_workers(&self, now: MonotonicTime) -> bool {
        let since = self.clocks.answering_since();
        let mut expected = 0u32;
        let mut latest = since;
        for (name, machine) in &self.machines {
            if machine.is_live() {
                expected += 1;
                latest = latest.max(machine.last_response_at);
            } else if self.is_booted_but_silent(name, machine) {
                expected += 1;
            }
        }
        let silence = if latest > since {
            self.silence_limit_after_heartbeats(expected)
        } else {
            self.silence_limit()
        };
        expected >= MIN_SILENT_WORKERS && now >= latest + silence
    }

    /// Whether an unreconciled machine of the registry has sent this leader no heartbeat although
    /// it was in the machine list so long before the election that it must have booted.
    fn is_booted_but_silent(&self, name: &str, machine: &Machine) -> bool {
        let elected_at = self.clocks.elected_at();
        let is_booted =
            |listing: FirstListing| listing.precedes(elected_at, constants::MAX_ASSUMED_BOOT_TIME);
        !machine.has_reported
            && machine.first_listing.is_some_and(is_booted)
            && self.reconciliation.machines.contains(name)
    }

    /// Returns how long all workers must be silent to indicate a fault of this controller, if it
    /// has received no heartbeat since it became able to answer workers.
    fn silence_limit(&self) -> Duration {
        let intervals_ms = self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS;
        Duration::from_millis(intervals_ms as u64).max(constants::WORKER_SILENCE_MIN)
    }

    /// Returns how long all `expected` workers must be silent to indicate a fault of this
    /// controller, once heartbeats have arrived. Hundreds of workers become silent together within
    /// seconds only if this controller is partitioned from them. Before the first heartbeat this
    /// shorter limit does not apply, because workers that look for a new leader find it one by one.
    fn silence_limit_after_heartbeats(&self, expected: u32) -> Duration {
        let share = (constants::WORKER_SILENCE_FLEET_SIZE / f64::from(expected.max(1))).min(1.0);
        let intervals_ms = self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS;
        Duration::from_millis((intervals_ms * share) as u64)
            .clamp(constants::WORKER_SILENCE_LARGE_FLEET, self.silence_limit())
    }
}
