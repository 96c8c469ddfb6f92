//! Detection of lost machines and partitioned zones, from machines that send no heartbeats.

use super::{ClusterState, Machine};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Numbers of machines in a zone: all that were counted, and those of them that are missing.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneCount {
    all: usize,
    missing: usize,
}

impl ZoneCount {
    fn add(&mut self, is_missing: bool) {
        self.all += 1;
        self.missing += usize::from(is_missing);
    }

    /// Whether so few machines are missing that they are most likely lost. If many machines of a
    /// zone are missing together, the network is most likely partitioned, and they may come back.
    fn has_few_missing(self) -> bool {
        self.missing < self.all
            && (self.missing == 1
                || self.missing as f64 <= self.all as f64 * constants::LOST_MACHINES_MAX_SHARE)
    }

    /// Whether so many machines are missing that the zone is most likely partitioned.
    fn is_partitioned(self) -> bool {
        self.missing > 1 && self.missing as f64 > self.all as f64 * constants::PARTITION_SHARE
    }
}

impl ClusterState {
    /// Counts by zone the machines that `is_counted` selects, and those of them that `is_missing`
    /// selects.
    fn count_by_zone(
        &self,
        is_counted: impl Fn(&Machine) -> bool,
        is_missing: impl Fn(&str, &Machine) -> bool,
    ) -> HashMap<&str, ZoneCount> {
        let mut zones: HashMap<&str, ZoneCount> = HashMap::new();
        for (name, machine) in self.machines.iter().filter(|(_, machine)| is_counted(machine)) {
            zones.entry(&machine.zone).or_default().add(is_missing(name, machine));
        }
        zones
    }

    /// Returns the time since the last response to a machine's worker. Time in which this leader
    /// could not answer does not count.
    fn silence(&self, machine: &Machine, now: MonotonicTime) -> Duration {
        now.saturating_duration_since(machine.last_response_at.max(self.clocks.resumed_at))
    }

    /// Returns the zones that are partitioned at `now`. No machines are added there, and the
    /// machines there are kept for a while, since the machine list shows which of them still exist.
    pub(super) fn partitioned_zones(&self, now: MonotonicTime) -> HashSet<String> {
        let timeout = self.heartbeat_timeout();
        let is_silent = |machine: &Machine| {
            let since = if machine.has_reported {
                machine.last_response_at
            } else {
                self.clocks.elected_at()
            };
            now >= since.max(self.clocks.resumed_at) + timeout
        };
        let zones = self.count_by_zone(
            |machine| machine.has_durable_registration && !machine.zone.is_empty(),
            |_, machine| is_silent(machine),
        );
        let partitioned = zones.iter().filter(|(_, count)| count.is_partitioned());
        partitioned.map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Returns the machines with tasks that have been silent for `min_silence` while most other
    /// machines of their zone have not. Deleting such a machine proves that its tasks have ended;
    /// the machine list and the expiry of its worker's lease prove that only much later.
    pub(super) fn silent_machines(
        &self,
        now: MonotonicTime,
        min_silence: Duration,
    ) -> HashSet<String> {
        // In a partition, machines become silent one by one, each when its next heartbeat is due.
        // So a machine counts as missing as soon as its heartbeat is overdue.
        let timeout = self.heartbeat_timeout();
        let zones = self
            .count_by_zone(Machine::is_live, |_, machine| self.silence(machine, now) >= timeout);
        let is_lost = |machine: &Machine| {
            machine.is_live()
                && self.silence(machine, now) >= min_silence
                && !machine.placed_tasks.is_empty()
        };
        self.lost_machines(&zones, |_, machine| is_lost(machine))
    }

    /// Returns the unreconciled machines of the registry that `is_lost` selects, in zones with few
    /// unreconciled machines.
    pub(super) fn unreconciled_lost_machines(
        &self,
        is_lost: impl Fn(&Machine) -> bool,
    ) -> HashSet<String> {
        let is_unreconciled = |name: &str| self.reconciliation.machines.contains(name);
        let zones = self.count_by_zone(
            |machine| machine.has_reported || !machine.zone.is_empty(),
            |name, _| is_unreconciled(name),
        );
        self.lost_machines(&zones, |name, machine| is_unreconciled(name) && is_lost(machine))
    }

    /// Returns the machines that `is_lost` selects, in zones with few missing machines.
    fn lost_machines(
        &self,
        zones: &HashMap<&str, ZoneCount>,
        is_lost: impl Fn(&str, &Machine) -> bool,
    ) -> HashSet<String> {
        let has_few_missing =
            |zone: &str| zones.get(zone).is_some_and(|count| count.has_few_missing());
        self.machines
            .iter()
            .filter(|(name, machine)| is_lost(name, machine) && has_few_missing(&machine.zone))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
