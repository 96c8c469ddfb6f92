//! Applies the cloud's machine list to the cluster state.

use super::machine::FirstListing;
use super::task_removal::TaskRemoval;
use super::{ClusterState, CordonReason, Machine};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, duration_from_seconds};
use hookway_wire::{ListedMachine, MachineState};
use std::collections::HashSet;
use std::time::Duration;

impl ClusterState {
    /// Applies a machine list that was requested at `requested_at` and received at `now`: adds and
    /// updates listed machines, and removes those that no longer exist.
    pub fn machines_listed(
        &mut self,
        list: &[ListedMachine],
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        for listed in list {
            if !self.removed_machines.contains(&listed.name) && self.add_listed_machine(listed, now)
            {
                self.update_from_list(listed, now);
            }
        }
        for name in self.machines_missing_from(list, requested_at) {
            tracing::info!(machine = %name, "machine not listed any more");
            self.remove_machine(&name, now);
        }
    }

    /// Adds a listed machine unless this leader knows it. Returns `false` if the machine failed
    /// before this leader knew it, so that there is nothing more to update; the cloud lists a
    /// failed machine until it is deleted.
    fn add_listed_machine(&mut self, listed: &ListedMachine, now: MonotonicTime) -> bool {
        let name = &listed.name;
        if self.machines.contains_key(name) {
            return true;
        }
        let mut machine = Machine::new(now);
        let failed = listed.state == MachineState::Failed;
        if failed {
            machine.cordon_reason = Some(CordonReason::Failed);
        } else {
            tracing::info!(machine = %name, age_s = listed.age_s, "machine found in list");
            machine.created_at = now.saturating_sub(duration_from_seconds(listed.age_s));
        }
        self.machines.insert(name.clone(), machine);
        !failed
    }

    /// Updates a known machine from its entry in the list.
    fn update_from_list(&mut self, listed: &ListedMachine, now: MonotonicTime) {
        let name = &listed.name;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if !machine.has_reported {
            machine.machine_type.clone_from(&listed.machine_type);
            machine.zone.clone_from(&listed.zone);
            machine.is_spot = listed.spot;
            if let Some(address) = &listed.address {
                machine.address.clone_from(address);
            }
            machine.created_at =
                machine.created_at.min(now.saturating_sub(duration_from_seconds(listed.age_s)));
        }
        machine.first_listing.get_or_insert(FirstListing { learned_at: now, age: Duration::ZERO });
        let known_as_failed = machine.cordon_reason == Some(CordonReason::Failed);
        if listed.state == MachineState::Failed && !known_as_failed {
            tracing::info!(machine = %name, "machine failed");
            machine.cordon_reason = Some(CordonReason::Failed);
            machine.expired_incarnation = u64::MAX;
            self.remove_all_tasks(name, now, TaskRemoval::Lost);
            self.reconciliation.machines.remove(name);
        }
    }

    /// Returns the machines that no longer exist, because a list requested at `requested_at` lacks
    /// them. A listed machine stays listed for as long as it exists, but a list may be older than
    /// the previous one by up to twice the lag of lists. So a machine is returned only if it was
    /// listed for longer than that before the request.
    fn machines_missing_from(
        &self,
        list: &[ListedMachine],
        requested_at: MonotonicTime,
    ) -> Vec<String> {
        let lag_ms =
            self.config.platform.cloud.list_lag_s * 1000.0 * constants::UNLISTED_LAG_FACTOR;
        let lag = Duration::from_millis(lag_ms as u64);
        let listed: HashSet<&str> = list.iter().map(|machine| machine.name.as_str()).collect();
        let must_be_listed = |machine: &Machine| {
            machine.first_listing.is_some_and(|listing| listing.precedes(requested_at, lag))
        };
        self.machines
            .iter()
            .filter(|(name, machine)| must_be_listed(machine) && !listed.contains(name.as_str()))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
