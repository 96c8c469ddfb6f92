//! When heartbeats are expected, and what it means when they do not arrive.

use super::machine::FirstListing;
use super::{ClusterState, Machine, longest_worker_lease};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::time::Duration;

/// Intervals between heartbeats after which a machine without a new one gets no new task: one is
/// missing for sure, whatever the variation of the interval.
const MISSED_HEARTBEAT_INTERVALS: f64 = 2.0;
/// Intervals after which the planned starts of such a machine are cancelled, to start elsewhere. Some
/// more, since a heartbeat that is only late would have taken them.
const PLANNED_START_INTERVALS: f64 = 2.5;
/// Workers that must all be silent before that tells of this controller: a single one may be gone.
const MIN_SILENT_WORKERS: u32 = 2;

impl ClusterState {
    /// Interval between the regular heartbeats of a worker, ms.
    pub(super) fn heartbeat_interval_ms(&self) -> f64 {
        self.config.platform.workers.heartbeat_interval_s * 1000.0
    }

    /// Longest interval between two heartbeats of a worker that is well.
    pub(super) fn max_heartbeat_interval(&self) -> Duration {
        let interval_ms = self.heartbeat_interval_ms() * constants::MAX_HEARTBEAT_INTERVAL_FACTOR;
        Duration::from_millis(interval_ms as u64)
    }

    /// Time after a response by which a worker surely sends its next heartbeat.
    pub(super) fn heartbeat_timeout(&self) -> Duration {
        self.max_heartbeat_interval() + constants::PROMPT_HEARTBEAT
    }

    /// Time after a response from which the planned starts of a machine without a new heartbeat are
    /// cancelled.
    pub(super) fn planned_start_timeout(&self) -> Duration {
        let interval_s = self.config.platform.workers.heartbeat_interval_s;
        Duration::from_millis((interval_s * (PLANNED_START_INTERVALS * 1000.0)) as u64)
    }

    /// Time after a response from which a machine without a new heartbeat gets no new task.
    pub(super) fn missed_heartbeat(&self) -> Duration {
        Duration::from_millis((self.heartbeat_interval_ms() * MISSED_HEARTBEAT_INTERVALS) as u64)
    }

    /// Whether the machine's worker sends heartbeats.
    pub(super) fn reports(&self, machine: &Machine, now: MonotonicTime) -> bool {
        machine.has_reported && now < machine.last_response_at + self.missed_heartbeat()
    }

    /// Whether some worker with tasks has missed its heartbeat while its lease may still be valid.
    pub fn any_heartbeat_overdue(&self, now: MonotonicTime) -> bool {
        let timeout = self.heartbeat_timeout();
        let lease = longest_worker_lease(&self.config.platform);
        let overdue = |machine: &Machine| {
            machine.has_reported
                && !machine.placed_tasks.is_empty()
                && (timeout..lease)
                    .contains(&now.saturating_duration_since(machine.last_response_at))
        };
        self.machines.values().any(overdue)
    }

    /// Whether no worker has sent a heartbeat for several intervals although some should have: this
    /// controller may be cut off from the workers alone, while another one is not.
    pub fn all_workers_silent(&self, now: MonotonicTime) -> bool {
        let since = self.clocks.answering_since();
        let mut expected = 0u32;
        let mut latest = since;
        for (name, machine) in &self.machines {
            if machine.is_live() {
                expected += 1;
                latest = latest.max(machine.last_response_at);
            } else if self.surely_up_but_silent(name, machine) {
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

    /// Whether a machine of the registry has sent this leader no heartbeat although it was listed so
    /// long before the election that it must be up.
    fn surely_up_but_silent(&self, name: &str, machine: &Machine) -> bool {
        let elected_at = self.clocks.elected_at();
        let booted = |listing: FirstListing| listing.precedes(elected_at, constants::BOOT_CERTAIN);
        !machine.has_reported
            && machine.first_listing.is_some_and(booted)
            && self.reconciliation.machines.contains(name)
    }

    /// Silence of all workers that counts, before any heartbeat has arrived.
    fn silence_limit(&self) -> Duration {
        let intervals_ms = self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS;
        Duration::from_millis(intervals_ms as u64).max(constants::WORKER_SILENCE_MIN)
    }

    /// Silence that counts once heartbeats have arrived, with so many workers expected. Of hundreds
    /// of workers, all are silent together within seconds only if this controller is cut off. But
    /// workers that look for a new leader arrive one by one, so it does not apply before.
    fn silence_limit_after_heartbeats(&self, expected: u32) -> Duration {
        let share = (constants::WORKER_SILENCE_FLEET_SIZE / f64::from(expected.max(1))).min(1.0);
        let intervals_ms = self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS;
        Duration::from_millis((intervals_ms * share) as u64)
            .clamp(constants::WORKER_SILENCE_LARGE_FLEET, self.silence_limit())
    }
}
