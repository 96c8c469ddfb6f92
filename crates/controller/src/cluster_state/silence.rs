//! Which machines and zones are silent: lost machines, and partitioned zones.

use super::{ClusterState, Machine};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Machines of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneCount {
    all: usize,
    missing: usize,
}

impl ZoneCount {
    fn add(&mut self, missing: bool) {
        self.all += 1;
        self.missing += usize::from(missing);
    }

    /// Whether so few are missing that they are most likely lost. When many machines of a zone are
    /// missing together a network is cut, and they may come back.
    fn few_missing(self) -> bool {
        self.missing < self.all
            && (self.missing == 1
                || self.missing as f64 <= self.all as f64 * constants::LOST_MACHINES_MAX_SHARE)
    }

    /// Whether so many are missing that the zone is most likely partitioned.
    fn is_partitioned(self) -> bool {
        self.missing > 1 && self.missing as f64 > self.all as f64 * constants::PARTITION_SHARE
    }
}

impl ClusterState {
    /// Counts the machines that `counts` selects, and those of them that are missing, by zone.
    fn count_by_zone(
        &self,
        counts: impl Fn(&Machine) -> bool,
        missing: impl Fn(&str, &Machine) -> bool,
    ) -> HashMap<&str, ZoneCount> {
        let mut zones: HashMap<&str, ZoneCount> = HashMap::new();
        for (name, machine) in self.machines.iter().filter(|(_, machine)| counts(machine)) {
            zones.entry(&machine.zone).or_default().add(missing(name, machine));
        }
        zones
    }

    /// Time since the last response to a machine's worker, as far as this leader could answer.
    fn silence(&self, machine: &Machine, now: MonotonicTime) -> Duration {
        now.saturating_duration_since(machine.last_response_at.max(self.clocks.resumed_at))
    }

    /// Zones that can't be reached at this moment. Nothing is added there, and their machines are kept
    /// for a while: those that are gone are missing from the machine list.
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
            |machine| machine.registered && !machine.zone.is_empty(),
            |_, machine| is_silent(machine),
        );
        let partitioned = zones.iter().filter(|(_, count)| count.is_partitioned());
        partitioned.map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Machines with tasks that have been silent for `patience` while most others of their zone
    /// have not. A deletion proves their tasks gone, which the machine list and their leases do only
    /// much later.
    pub(super) fn silent_machines(
        &self,
        now: MonotonicTime,
        patience: Duration,
    ) -> HashSet<String> {
        // In a partition machines fall silent one by one, each when its next heartbeat is due.
        let timeout = self.heartbeat_timeout();
        let zones = self
            .count_by_zone(Machine::is_live, |_, machine| self.silence(machine, now) >= timeout);
        let lost = |machine: &Machine| {
            machine.is_live()
                && self.silence(machine, now) >= patience
                && !machine.placed_tasks.is_empty()
        };
        self.lost_machines(&zones, |_, machine| lost(machine))
    }

    /// Machines of the registry without a heartbeat since the failover that `gone` selects, in zones
    /// of which most other machines have sent one.
    pub(super) fn unreconciled_lost_machines(
        &self,
        gone: impl Fn(&Machine) -> bool,
    ) -> HashSet<String> {
        let unreconciled = |name: &str| self.reconciliation.machines.contains(name);
        let zones = self.count_by_zone(
            |machine| machine.has_reported || !machine.zone.is_empty(),
            |name, _| unreconciled(name),
        );
        self.lost_machines(&zones, |name, machine| unreconciled(name) && gone(machine))
    }

    /// The machines that `lost` selects in zones of which few are missing.
    fn lost_machines(
        &self,
        zones: &HashMap<&str, ZoneCount>,
        lost: impl Fn(&str, &Machine) -> bool,
    ) -> HashSet<String> {
        let few_missing = |zone: &str| zones.get(zone).is_some_and(|count| count.few_missing());
        self.machines
            .iter()
            .filter(|(name, machine)| lost(name, machine) && few_missing(&machine.zone))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
