//! The conditions under which a relocation starts a moved replica or places its beneficiary.

use super::ReplicaMove;
use crate::cluster_state::{ClusterState, JobKey, Machine};
use hookway_policy::Resources;
use hookway_time::MonotonicTime;

impl ClusterState {
    /// Whether a stopped replica still waits to be started and its target can be used for it.
    pub(super) fn may_start_replica(&self, moving: &ReplicaMove, now: MonotonicTime) -> bool {
        let waits = self.jobs.get(&moving.job).is_some_and(|job| {
            job.placeable.contains(&moving.index) && self.startable_task_count(job, now) > 0
        });
        let target = self.machines.get(&moving.to);
        waits
            && target.is_some_and(|target| {
                !target.is_draining() && self.is_sending_heartbeats(target, now)
            })
            && self.zones_allow(moving.job, std::slice::from_ref(&moving.to))
    }

    /// Whether the zone constraints of a job allow one more task on each of these machines.
    pub(super) fn zones_allow(&self, key: JobKey, machines: &[String]) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let mut view = self.job_view(job, 0);
        machines.iter().all(|name| {
            let zone = self.machines.get(name).and_then(|m| self.config.platform.zone(&m.zone));
            let Some(zone) = zone.filter(|zone| view.may_use_zone(*zone)) else { return false };
            if let Some(placed) = view.placed_per_zone.get_mut(zone) {
                *placed += 1;
            }
            true
        })
    }

    /// Whether the limit of a job's team allows `tasks` more tasks.
    pub(super) fn limit_allows(&self, key: JobKey, tasks: usize) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let teams = self.team_views();
        teams.get(job.team).is_none_or(|team| team.remaining_tasks(&job.request) as usize >= tasks)
    }

    /// Whether the placed tasks of a machine leave free all the resources that relocations hold on
    /// it.
    pub(super) fn has_held_resources(&self, name: &str) -> bool {
        let Some(machine) = self.machines.get(name) else { return false };
        let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
        machine_type.is_some_and(|machine_type| {
            let capacity = Resources::of_machine_type(machine_type);
            let left = self.free_resources(name, machine, capacity);
            !left.has_unknown_tasks && left.free.can_hold(&Resources::default())
        })
    }

    /// Whether a machine may take tasks at `now` and has all the resources that relocations hold on
    /// it.
    pub(super) fn can_start_on(&self, name: &str, now: MonotonicTime) -> bool {
        let takes_tasks = |machine: &Machine| {
            !machine.is_draining()
                && machine.has_durable_registration
                && now >= machine.backoff_until
                && machine.is_admitted(now)
                && self.is_sending_heartbeats(machine, now)
        };
        self.machines.get(name).is_some_and(takes_tasks) && self.has_held_resources(name)
    }
}
