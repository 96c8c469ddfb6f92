//! Injects faults of controllers, zones and the store, and ends them.

use super::controllers::Version;
use super::{
    CONTROLLERS, FAULTS_END_AT, Simulation, UPGRADE_INTERVAL, UPGRADE_STARTS_AT, ZONES, ms,
};
use hookway_time::MonotonicTime;
use rand::RngExt;

impl Simulation {
    /// Runs the rolling upgrade, one controller at a time.
    pub(super) fn upgrade(&mut self) {
        for n in 0..CONTROLLERS.len() {
            let old = self.controllers[n].version == Version::Old;
            if old && self.now == UPGRADE_STARTS_AT + n as u32 * UPGRADE_INTERVAL {
                self.restart_with_version(n, Version::New);
            }
        }
    }

    /// Injects faults of zones, controllers and the store, or those of the scenario if the day has one.
    pub(super) fn inject_faults(&mut self) {
        let now = self.now;
        if self.scenario.is_some() {
            self.inject_scenario_faults();
            return self.end_faults();
        }
        if self.flapping_network.is_some() {
            self.run_flapping_network();
            return self.end_faults();
        }
        if self.slow_elections.is_some() {
            self.restart_leader_within_lease();
            return self.end_faults();
        }
        self.upgrade();
        self.run_scheduled_kill();
        if self.fails_leaders_amid_gangs {
            self.fail_leader_amid_gangs();
        }
        if self.has_one_way_partitions {
            self.partition_one_way();
        }
        if self.chance(3) {
            let zone = self.rng.random_range(0..ZONES.len());
            self.zone_partitioned_until[zone] = now + self.random_duration(2_000, 70_000);
        }
        self.inject_controller_faults();
        self.begin_scheduled_outages();
        self.end_faults();
    }

    /// Injects random faults of controllers: partitions, freezes and crashes.
    fn inject_controller_faults(&mut self) {
        let now = self.now;
        for n in 0..CONTROLLERS.len() {
            let leads = self.controllers[n].leader.is_some();
            let follower_fault_rate = if self.fails_leaders_amid_gangs { 2 } else { 8 };
            if !self.chance(if leads { self.leader_fault_rate } else { follower_fault_rate }) {
                continue;
            }
            let until = now + self.random_duration(500, 60_000);
            let controller = &mut self.controllers[n];
            match self.rng.random_range(0..7) {
                // Refused by or partitioned from the store alone, sometimes just before an outage for all.
                0 | 1 => {
                    controller.store_unreachable_until = until;
                    controller.is_refused_by_store = self.rng.random_range(0..2) == 0;
                    if self.rng.random_range(0..3) == 0 {
                        let store_outage_at = now + self.random_duration(0, 9_000);
                        self.controllers[n].store_outage_at = Some(store_outage_at);
                    }
                }
                2 => {
                    (controller.store_unreachable_until, controller.peers_unreachable_until) =
                        (until, until)
                }
                3 => controller.peers_unreachable_until = until,
                4 => controller.workers_unreachable_until = until,
                5 => controller.frozen_until = now + ms(self.rng.random_range(200..45_000)),
                // Killed, and restarted after a fraction of a second or several seconds.
                _ => self.kill_and_restart(n),
            }
        }
    }

    /// Begins the outages of the store that were scheduled with a fault of one controller.
    fn begin_scheduled_outages(&mut self) {
        let now = self.now;
        for n in 0..CONTROLLERS.len() {
            if self.controllers[n].store_outage_at.is_some_and(|at| now >= at) {
                self.controllers[n].store_outage_at = None;
                self.outage_until = now + self.random_duration(5_000, 64_000);
            }
        }
    }

    /// Ends the outage of the store and the faults of zones and controllers at `FAULTS_END_AT`.
    pub(super) fn end_faults(&mut self) {
        let now = self.now;
        if now == FAULTS_END_AT {
            self.outage_until = self.outage_until.min(now);
            self.zone_partitioned_until = [MonotonicTime::ZERO; ZONES.len()];
            self.flapping_network = None;
            for controller in &mut self.controllers {
                controller.end_faults(now);
            }
        }
    }
}
