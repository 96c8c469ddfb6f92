//! Fault scenarios: days with one combination of concurrent faults, at a time that depends on the seed.

use super::{CONTROLLERS, Simulation, ms, zone_index};
use hookway_time::MonotonicTime;
use rand::RngExt;
use std::time::Duration;

/// Length of the store's outage: longer than the cancellation limit plus one worker lease.
const OUTAGE_LENGTH: Duration = Duration::from_millis(64_000);
/// Length of the other faults of a scenario: they outlast the outage.
const PARTITION_LENGTH: Duration = Duration::from_millis(100_000);

/// A combination of concurrent faults. In each one, the store becomes unavailable to all controllers a few seconds after
/// the first faults, for longer than the cancellation limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScenario {
    /// The store refuses the leader alone, and another controller confirms cancellations. During the store's outage,
    /// workers send heartbeats to the previous leader.
    LeaderRefused,
    /// As `LeaderRefused`, and the previous leader can't reach the other controllers either, so it is not told of the
    /// cancellations.
    LeaderIsolated,
    /// The leader's zone is partitioned; controllers of the other zone can't reach its workers.
    LeaderZonePartitioned,
    /// The leader that confirms cancellations can't reach some machines, but their shard lessee can. The leader's
    /// messages to the lessee about the cancellations are lost, and later the lessee can't reach the leader either.
    OnlyLesseeReachable,
}

/// The scenario of a day and its times.
pub(super) struct ScheduledScenario {
    pub kind: FaultScenario,
    /// Earliest start, and the actual one once the scenario has started.
    pub starts_at: MonotonicTime,
    /// The leader at the start of the scenario.
    pub leader: usize,
    /// Start of the store's outage; zero until the scenario has started.
    pub outage_starts_at: MonotonicTime,
}

impl Simulation {
    /// Injects the faults of the scenario at their times.
    pub(super) fn inject_scenario_faults(&mut self) {
        let now = self.now;
        let Some(scenario) = &self.scenario else { return };
        if now < scenario.starts_at {
            return;
        }
        let kind = scenario.kind;
        if scenario.outage_starts_at == MonotonicTime::ZERO {
            let Some(leader) = self.leadership.as_ref().map(|lease| lease.controller) else {
                return;
            };
            let outage_starts_at = match kind {
                FaultScenario::OnlyLesseeReachable => now + self.random_duration(3_000, 7_000),
                _ => now + self.random_duration(5_000, 9_000),
            };
            self.scenario =
                Some(ScheduledScenario { kind, starts_at: now, leader, outage_starts_at });
            let controller = &mut self.controllers[leader];
            match kind {
                FaultScenario::LeaderRefused | FaultScenario::LeaderIsolated => {
                    controller.store_unreachable_until = now + PARTITION_LENGTH;
                    controller.is_refused_by_store = true;
                    if kind == FaultScenario::LeaderIsolated {
                        controller.peers_unreachable_until = now + PARTITION_LENGTH;
                    }
                }
                FaultScenario::LeaderZonePartitioned => {
                    self.zone_partitioned_until[zone_index(CONTROLLERS[leader].1)] =
                        now + PARTITION_LENGTH;
                }
                FaultScenario::OnlyLesseeReachable => {
                    let in_other_zone = |zone: &str| zone != CONTROLLERS[leader].1;
                    let distant =
                        self.machines.iter_mut().filter(|m| in_other_zone(m.worker.zone()));
                    distant
                        .for_each(|m| m.partitioned_from = Some((leader, now + PARTITION_LENGTH)));
                }
            }
        } else if now >= scenario.outage_starts_at && now < scenario.outage_starts_at + ms(100) {
            self.outage_until = now + OUTAGE_LENGTH;
            if kind == FaultScenario::OnlyLesseeReachable {
                // From now on only the shard lease permits the lessee to extend worker leases.
                let leader = scenario.leader;
                self.controllers[leader].peers_unreachable_until = now + PARTITION_LENGTH;
            }
        }
    }

    /// Cancels every job between the start of the scenario and the store's outage: in `OnlyLesseeReachable` at the
    /// leader, in the other scenarios at a random controller once that leader has lost its leadership.
    pub(super) fn cancel_in_scenario(&mut self) {
        let now = self.now;
        let Some(scenario) = self.scenario.as_ref().filter(|scenario| {
            scenario.outage_starts_at > MonotonicTime::ZERO && now < scenario.outage_starts_at
        }) else {
            return;
        };
        let (kind, leader) = (scenario.kind, scenario.leader);
        let ready = match kind {
            FaultScenario::OnlyLesseeReachable => now < scenario.starts_at + ms(2_000),
            _ => self.leadership.as_ref().is_none_or(|lease| lease.controller != leader),
        };
        if !ready {
            return;
        }
        let n = match kind {
            FaultScenario::OnlyLesseeReachable => leader,
            _ => self.rng.random_range(0..CONTROLLERS.len()),
        };
        let ids: Vec<_> = self.jobs.iter().map(|spec| spec.id.clone()).collect();
        for id in ids {
            self.cancel_at(n, &id);
        }
    }
}
