//! Placement at a heartbeat: fills a machine with tasks that the last scheduling round found no
//! free resources for.

use super::ClusterState;
use super::scheduling_round::UnplacedDemand;
use super::snapshot::FreeResources;
use crate::settings::Team;
use hookway_policy::{JobView, Resources};
use hookway_time::MonotonicTime;

/// A machine that may take tasks, and its free resources.
struct FillTarget<'a> {
    name: &'a str,
    /// Index of the machine's type.
    machine_type: usize,
    /// Index of the machine's zone.
    zone: usize,
    spot: bool,
    free: Resources,
    images: Vec<u32>,
}

impl ClusterState {
    /// Fills the free resources of a machine that has just sent a heartbeat, in the order of the
    /// last round's queue. Backfill whose image the machine has cached precedes other backfill.
    pub(super) fn fill_machine(&mut self, name: &str, now: MonotonicTime) {
        if self.last_round.unplaced.is_empty() {
            return;
        }
        let Some(mut target) = self.fill_target(name, now) else { return };
        let mut unplaced = std::mem::take(&mut self.last_round.unplaced);
        for skip_uncached_backfill in [true, false] {
            for demand in &mut unplaced {
                if skip_uncached_backfill
                    && demand.is_backfill
                    && !self.has_cached_image(&target, demand)
                {
                    continue;
                }
                let Some(job) = self.jobs.get(&demand.job) else { continue };
                let request = job.request;
                let tasks = self.tasks_to_fill(&target, demand, now);
                if tasks == 0 {
                    continue;
                }
                demand.tasks -= tasks;
                target.free.subtract(&request.times(tasks));
                self.place_tasks(demand.job, &vec![name.to_owned(); tasks as usize], now);
            }
        }
        unplaced.retain(|demand| demand.tasks > 0);
        self.last_round.unplaced = unplaced;
    }

    /// Returns the machine with its free resources; `None` if it may not take tasks at `now`, or if
    /// its free resources are unknown.
    fn fill_target<'a>(&self, name: &'a str, now: MonotonicTime) -> Option<FillTarget<'a>> {
        let machine = self.machines.get(name)?;
        if self.last_round.reserved_machines.contains(name)
            || machine.is_draining()
            || machine.reservation.is_some()
            || !machine.has_durable_registration
            || now < machine.backoff_until
            || self.reconciliation.machines.contains(name)
            || !machine.is_admitted(now)
        {
            return None;
        }
        let machine_type =
            self.machine_types.iter().position(|t| t.name == machine.machine_type)?;
        let zone = self.config.platform.zone(&machine.zone)?;
        let capacity = Resources::of_machine_type(&self.machine_types[machine_type]);
        let FreeResources { free, has_unknown_tasks } =
            self.free_resources(name, machine, capacity);
        (!has_unknown_tasks).then(|| FillTarget {
            name,
            machine_type,
            zone,
            spot: machine.is_spot,
            free,
            images: machine.images.iter().map(|cached| cached.image).collect(),
        })
    }

    fn has_cached_image(&self, target: &FillTarget<'_>, demand: &UnplacedDemand) -> bool {
        self.jobs.get(&demand.job).is_some_and(|job| target.images.contains(&job.image))
    }

    /// Returns how many tasks of a demand may be placed on the machine at `now`.
    fn tasks_to_fill(
        &self,
        target: &FillTarget<'_>,
        demand: &UnplacedDemand,
        now: MonotonicTime,
    ) -> u32 {
        let Some(job) = self.jobs.get(&demand.job) else { return 0 };
        if demand.tasks == 0
            || job.excludes_machine(target.name, self.machines.len())
            || !target.free.can_hold(&job.request)
        {
            return 0;
        }
        let startable = self.startable_task_count(job, now);
        if startable == 0 {
            return 0;
        }
        let view = self.job_view(job, startable);
        if !view.allows(target.machine_type, target.zone, target.spot)
            || !view.may_use_zone(target.zone)
        {
            return 0;
        }
        let in_zone = view.placed_per_zone.get(target.zone).copied().unwrap_or(0);
        demand
            .tasks
            .min(view.startable)
            .min(target.free.max_tasks(&view.request))
            .min(view.max_tasks_per_zone.saturating_sub(in_zone))
            .min(self.tasks_within_quota(&view))
    }

    /// Returns how many more tasks of a job its team's limit allows, not counting the part that is
    /// reserved for waiting gangs.
    fn tasks_within_quota(&self, job: &JobView) -> u32 {
        let has_limit = self.config.platform.teams.get(job.team).is_some_and(Team::has_limit);
        let team = has_limit.then(|| self.team_views().into_iter().nth(job.team)).flatten();
        let Some(mut team) = team else { return u32::MAX };
        let reservations = self.last_round.quota_reservations.iter();
        for reserved in reservations.filter(|reserved| reserved.team == job.team) {
            team.used.add(&reserved.resources);
        }
        team.remaining_tasks(&job.request)
    }
}
