//! The search for the cheapest set of machines to clear for a job.

use super::victims::{Displaceable, MachineVictims, victims_on_machine};
use super::{PlacedTaskRef, Preemption};
use crate::{JobView, SchedulingSnapshot};

/// Which machines a search considers, by the images that they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ImageLocality {
    /// All machines, with or without the job's image.
    Any,
    /// Only machines that hold the job's image.
    Cached,
}

/// Which machines and tasks a search considers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SearchScope<'a> {
    /// Per machine: whether a plan for another job uses it already, which excludes it.
    pub taken: &'a [bool],
    /// Which of the machines that are not taken are considered.
    pub locality: ImageLocality,
    /// Which tasks may have to leave these machines.
    pub displaceable: Displaceable<'a>,
}

impl<'a> SearchScope<'a> {
    /// Returns the scope of a preemption on all machines that are not taken.
    pub fn preemption(taken: &'a [bool]) -> Self {
        Self { taken, locality: ImageLocality::Any, displaceable: Displaceable::Preemptible }
    }
}

/// A preemption with its cost and the machines that it frees.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PricedPreemption {
    /// Lost work and waiting time, CPU seconds.
    pub cost: f64,
    pub preemption: Preemption,
    /// Index of the machine planned for each task of the beneficiary.
    pub task_machines: Vec<usize>,
}

/// Returns the cheapest preemption that frees resources for `tasks` tasks of a job within a scope, `None` if there is
/// none. For a job that must be in one zone, all machines are in the zone with the lowest cost.
pub(crate) fn find_preemption(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
    scope: SearchScope<'_>,
) -> Option<PricedPreemption> {
    let job = &cluster.jobs[job_index];
    let zones: Vec<Option<usize>> = if job.needs_one_zone {
        (0..job.placed_per_zone.len()).map(Some).collect()
    } else {
        vec![None]
    };
    let mut cheapest: Option<PricedPreemption> = None;
    for zone in zones {
        let search = Search::new(cluster, job_index, tasks, scope, zone);
        let Some(found) = search.run() else { continue };
        if cheapest.as_ref().is_none_or(|best| found.cost < best.cost) {
            cheapest = Some(found);
        }
    }
    cheapest
}

/// A machine that could be cleared for one more task than is planned on it.
struct Candidate {
    machine: usize,
    victims: MachineVictims,
}

/// A search in one zone, or in all zones together.
struct Search<'a> {
    cluster: &'a SchedulingSnapshot,
    job: &'a JobView,
    job_index: usize,
    scope: SearchScope<'a>,
    zone: Option<usize>,
    /// Per machine: number of tasks planned on it.
    planned: Vec<u32>,
    /// Per zone: number of the job's tasks that are placed or planned there.
    tasks_per_zone: Vec<u32>,
    /// Number of tasks without a planned machine.
    tasks_left: u32,
    /// Cost of the preemption so far, CPU seconds.
    cost: f64,
    preemption: Preemption,
}

impl<'a> Search<'a> {
    fn new(
        cluster: &'a SchedulingSnapshot,
        job_index: usize,
        tasks: u32,
        scope: SearchScope<'a>,
        zone: Option<usize>,
    ) -> Self {
        let job = &cluster.jobs[job_index];
        Self {
            cluster,
            job,
            job_index,
            scope,
            zone,
            planned: vec![0; cluster.machines.len()],
            tasks_per_zone: job.placed_per_zone.clone(),
            tasks_left: tasks,
            cost: 0.0,
            preemption: Preemption::for_job(job_index),
        }
    }

    /// Plans machines for all tasks, cheapest first; `None` if there are not enough.
    fn run(mut self) -> Option<PricedPreemption> {
        // A pass clears a machine for one task at most. Further passes clear the same machines for further tasks:
        // replicas of a daemon may share a machine, and so may the tasks of a gang for which replicas move, since
        // there is no other way to get resources for it.
        let moves_replicas =
            matches!(self.scope.displaceable, Displaceable::PreemptibleOrMovable(_));
        let passes = if self.job.is_daemon || moves_replicas { self.tasks_left } else { 1 };
        for _ in 0..passes {
            let tasks_before = self.tasks_left;
            for candidate in self.candidates() {
                if self.tasks_left == 0 {
                    break;
                }
                self.choose(candidate);
            }
            if self.tasks_left == 0 || self.tasks_left == tasks_before {
                break;
            }
        }
        if self.tasks_left > 0 {
            return None;
        }
        let planned = self.planned.iter().enumerate();
        let task_machines = planned
            .flat_map(|(index, tasks)| std::iter::repeat_n(index, *tasks as usize))
            .collect();
        Some(PricedPreemption { cost: self.cost, preemption: self.preemption, task_machines })
    }

    /// Returns the machines that could take one more task than planned, cheapest first.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = (0..self.cluster.machines.len())
            .filter(|index| self.is_candidate(*index))
            .filter_map(|index| {
                let tasks = self.planned[index] + 1;
                let displaceable = self.scope.displaceable;
                let victims =
                    victims_on_machine(self.cluster, self.job_index, index, tasks, displaceable)?;
                Some(Candidate { machine: index, victims })
            })
            .collect();
        candidates.sort_by(|a, b| {
            a.victims.cost.total_cmp(&b.victims.cost).then(a.machine.cmp(&b.machine))
        });
        candidates
    }

    /// Whether the job may use the machine, and the machine is large enough for one more task than planned.
    fn is_candidate(&self, index: usize) -> bool {
        let machine = &self.cluster.machines[index];
        let has_image = || self.cluster.fetch_time(self.job, machine) <= 0.0;
        !self.scope.taken[index]
            && machine.schedulable
            && !machine.booting
            && machine.eligible_for(self.job_index, self.job)
            && self.job.may_use_zone(machine.zone)
            && self.zone.is_none_or(|zone| zone == machine.zone)
            && machine.capacity.can_hold(&self.job.request.times(self.planned[index] + 1))
            && (self.scope.locality == ImageLocality::Any || has_image())
    }

    /// Adds a candidate to the preemption, unless its zone has the maximum number of tasks already.
    fn choose(&mut self, candidate: Candidate) {
        let Candidate { machine: index, victims } = candidate;
        let machine = &self.cluster.machines[index];
        let in_zone = self.tasks_per_zone.get(machine.zone).copied().unwrap_or(0);
        if in_zone >= self.job.max_tasks_per_zone {
            return;
        }
        self.cost += victims.cost;
        // If tasks fit in what is free already, plan as many as fit; otherwise clear the machine for one task.
        let free = machine.free.max_tasks(&self.job.request).saturating_sub(self.planned[index]);
        let tasks = free.max(1).min(self.tasks_left);
        self.tasks_left -= tasks;
        self.planned[index] += tasks;
        if let Some(in_zone) = self.tasks_per_zone.get_mut(machine.zone) {
            *in_zone += tasks;
        }
        self.preemption.add_machine(index);
        for task in victims.tasks {
            self.preemption.add_victim(PlacedTaskRef { machine: index, task });
        }
    }
}
