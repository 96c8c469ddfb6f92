//! The autoscaling round: requests machines for demand that exceeds the free resources, and deletes
//! machines that are not needed or not usable.

use super::ClusterState;
use hookway_constants as constants;
use hookway_policy::plan_scaling;
use hookway_time::MonotonicTime;
use hookway_wire::ScaleOutRequest;
use std::collections::HashSet;

/// A request that the caller is to send to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Requests machines; the caller reports the outcome to [`ClusterState::scale_out_finished`].
    ScaleOut(ScaleOutRequest),
    /// Deletes the machines with these names. The caller reports the outcome to
    /// [`ClusterState::scale_in_finished`] once the cloud has confirmed the deletion, and otherwise
    /// to [`ClusterState::scale_in_failed`].
    ScaleIn(Vec<String>),
}

impl ClusterState {
    /// Runs one autoscaling round at `now`, and returns the requests to send to the cloud.
    pub fn autoscaling_round(&mut self, now: MonotonicTime) -> Vec<ScalingAction> {
        if self.machine_types.is_empty() {
            return Vec::new();
        }
        let mut snapshot = self.scheduling_snapshot(now);
        snapshot.cluster.machines.extend(self.pending_machine_views());
        let partitioned = self.partitioned_zones(now);
        let offers = self.offers(&partitioned, now);
        let plan = plan_scaling(&snapshot.cluster, &offers);
        let requests = self.request_scale_out(&plan, &offers, snapshot.cluster.machines.len());
        let mut actions: Vec<ScalingAction> =
            requests.into_iter().map(ScalingAction::ScaleOut).collect();
        let needed: HashSet<&str> = snapshot
            .machine_names
            .iter()
            .zip(&plan.needed)
            .filter(|(_, needed)| **needed)
            .map(|(name, _)| name.as_str())
            .collect();
        let mut surplus = self.machines_to_scale_in(now, &needed, &partitioned);
        surplus.truncate(constants::MAX_SCALE_IN_MACHINES);
        if !surplus.is_empty() {
            self.machines_being_deleted.extend(surplus.iter().cloned());
            actions.push(ScalingAction::ScaleIn(surplus));
        }
        actions
    }
}
