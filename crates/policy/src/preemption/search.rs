//! The cheapest set of machines to clear for a job.

use super::victims::{Displaceable, MachineVictims, victims_on_machine};
use super::{Preemption, Victim};
use crate::{ClusterSnapshot, JobView};

/// Which machines a search considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ImageLocality {
    /// All machines.
    Any,
    /// Machines that hold the job's image.
    Cached,
}

/// What a search considers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SearchScope<'a> {
    /// Per machine: it is taken for another job.
    pub taken: &'a [bool],
    /// Which machines.
    pub locality: ImageLocality,
    /// Which tasks may have to leave them.
    pub displaceable: Displaceable<'a>,
}

impl<'a> SearchScope<'a> {
    /// Preemption on all machines that are not taken.
    pub fn preemption(taken: &'a [bool]) -> Self {
        Self { taken, locality: ImageLocality::Any, displaceable: Displaceable::Preemptible }
    }
}

/// A preemption with its cost.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PricedPreemption {
    /// Lost work and waiting time, CPU seconds.
    pub cost: f64,
    pub preemption: Preemption,
    /// The machine of each task, by index.
    pub task_machines: Vec<usize>,
}

/// The cheapest preemption that frees resources for `tasks` tasks of a job, within a scope. A job that must be in one
/// zone gets the cheapest zone.
pub(crate) fn find_preemption(
    cluster: &ClusterSnapshot,
    job_index: usize,
    tasks: u32,
    scope: SearchScope<'_>,
) -> Option<PricedPreemption> {
    let job = &cluster.jobs[job_index];
    let zones: Vec<Option<usize>> =
        if job.one_zone { (0..job.placed_per_zone.len()).map(Some).collect() } else { vec![None] };
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

/// A machine that could be cleared for one task more than planned there.
struct Candidate {
    machine: usize,
    victims: MachineVictims,
}

/// A search in one zone, or in all zones together.
struct Search<'a> {
    cluster: &'a ClusterSnapshot,
    job: &'a JobView,
    job_index: usize,
    scope: SearchScope<'a>,
    zone: Option<usize>,
    /// Tasks planned per machine.
    planned: Vec<u32>,
    /// Tasks placed or planned per zone.
    tasks_per_zone: Vec<u32>,
    tasks_left: u32,
    cost: f64,
    preemption: Preemption,
}

impl<'a> Search<'a> {
    fn new(
        cluster: &'a ClusterSnapshot,
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

    fn run(mut self) -> Option<PricedPreemption> {
        // One pass clears machines for one task each; replicas of a daemon may need further ones on the same
        // machine, and so may a gang for which replicas move, since it has nothing else.
        let moves_replicas =
            matches!(self.scope.displaceable, Displaceable::PreemptibleOrMovable(_));
        let passes = if self.job.daemon || moves_replicas { self.tasks_left } else { 1 };
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

    /// Machines that could take one task more than planned, cheapest first.
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

    fn is_candidate(&self, index: usize) -> bool {
        let machine = &self.cluster.machines[index];
        let has_image = || self.cluster.fetch_time(self.job, machine) <= 0.0;
        !self.scope.taken[index]
            && machine.schedulable
            && !machine.booting
            && machine.eligible_for(self.job_index, self.job)
            && self.job.may_use_zone(machine.zone)
            && self.zone.is_none_or(|zone| zone == machine.zone)
            && machine.total.fits(&self.job.request.times(self.planned[index] + 1))
            && (self.scope.locality == ImageLocality::Any || has_image())
    }

    fn choose(&mut self, candidate: Candidate) {
        let Candidate { machine: index, victims } = candidate;
        let machine = &self.cluster.machines[index];
        let in_zone = self.tasks_per_zone.get(machine.zone).copied().unwrap_or(0);
        if in_zone >= self.job.max_tasks_per_zone {
            return;
        }
        self.cost += victims.cost;
        // Whatever else fits on the machine once it is cleared goes there too.
        let free = machine.free.capacity_for(&self.job.request).saturating_sub(self.planned[index]);
        let tasks = free.max(1).min(self.tasks_left);
        self.tasks_left -= tasks;
        self.planned[index] += tasks;
        if let Some(in_zone) = self.tasks_per_zone.get_mut(machine.zone) {
            *in_zone += tasks;
        }
        self.preemption.add_machine(index);
        for task in victims.tasks {
            self.preemption.add_victim(Victim { machine: index, task });
        }
    }
}
