//! When heartbeats are expected, and what it means when they do not arrive.

use super::{ClusterState, Machine, worker_lease_expiry_ms};
use hookway_constants as constants;
use hookway_time::whole_millis;

impl ClusterState {
    /// Interval between the regular heartbeats of a worker, ms.
    pub(super) fn heartbeat_interval_ms(&self) -> f64 {
        self.config.platform.workers.heartbeat_interval_s * 1000.0
    }

    /// Longest interval between two heartbeats of a worker that is well, ms.
    pub(super) fn max_heartbeat_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_ms() * constants::MAX_HEARTBEAT_INTERVAL_FACTOR) as u64
    }

    /// Time after a response by which a worker surely sends its next heartbeat, ms.
    pub(super) fn heartbeat_timeout_ms(&self) -> u64 {
        self.max_heartbeat_interval_ms() + whole_millis(constants::PROMPT_HEARTBEAT)
    }

    /// Whether some worker with tasks has missed its heartbeat while its lease may still be valid.
    pub fn any_heartbeat_overdue(&self, now: u64) -> bool {
        let timeout = self.heartbeat_timeout_ms();
        let lease = worker_lease_expiry_ms(&self.config.platform);
        let overdue = |machine: &Machine| {
            machine.has_reported
                && !machine.placed_tasks.is_empty()
                && (timeout..lease).contains(&now.saturating_sub(machine.last_response_at))
        };
        self.machines.values().any(overdue)
    }

    /// Whether no worker has sent a heartbeat for several intervals although some should have: this
    /// controller may be cut off from the workers alone, while another one is not.
    pub fn all_workers_silent(&self, now: u64) -> bool {
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
        let silence_ms = if latest > since {
            self.silence_limit_after_heartbeats_ms(expected)
        } else {
            self.silence_limit_ms()
        };
        expected >= 2 && now >= latest + silence_ms
    }

    /// Whether a machine of the registry has sent this leader no heartbeat although it was listed so
    /// long before the election that it must be up.
    fn surely_up_but_silent(&self, name: &str, machine: &Machine) -> bool {
        let booted = |listed_at: i64| {
            listed_at + (whole_millis(constants::BOOT_CERTAIN) as i64)
                < self.clocks.elected_at() as i64
        };
        !machine.has_reported
            && machine.first_listed_at.is_some_and(booted)
            && self.reconciliation.machines.contains(name)
    }

    /// Silence of all workers that counts, before any heartbeat has arrived, ms.
    fn silence_limit_ms(&self) -> u64 {
        ((self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS) as u64)
            .max(whole_millis(constants::WORKER_SILENCE_MIN))
    }

    /// Silence that counts once heartbeats have arrived, with so many workers expected, ms. Of hundreds
    /// of workers, all are silent together within seconds only if this controller is cut off. But
    /// workers that look for a new leader arrive one by one, so it does not apply before.
    fn silence_limit_after_heartbeats_ms(&self, expected: u32) -> u64 {
        let share = (constants::WORKER_SILENCE_FLEET_SIZE / f64::from(expected.max(1))).min(1.0);
        let intervals_ms = self.heartbeat_interval_ms() * constants::WORKER_SILENCE_INTERVALS;
        ((intervals_ms * share) as u64)
            .clamp(whole_millis(constants::WORKER_SILENCE_LARGE_FLEET), self.silence_limit_ms())
    }
}
