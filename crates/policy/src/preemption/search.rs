//! The cheapest set of machines to clear for a job.

use super::victims::{MachineVictims, victims_on_machine};
use super::{Preemption, Victim};
use crate::{ClusterSnapshot, JobView};

/// Which machines a search considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ImageLocality {
    /// All machines.
    Any,
    /// Machines that hold the job's image.
    Cached,
}

/// A preemption with its cost.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PricedPreemption {
    /// Lost work and waiting time, CPU seconds.
    pub cost: f64,
    pub preemption: Preemption,
}

/// The cheapest preemption that frees resources for `tasks` tasks of a job, on machines that are not `taken` for
/// another one. A job that must be in one zone gets the cheapest zone.
pub(super) fn find_preemption(
    cluster: &ClusterSnapshot,
    job_index: usize,
    tasks: u32,
    taken: &[bool],
    locality: ImageLocality,
) -> Option<PricedPreemption> {
    let job = &cluster.jobs[job_index];
    let zones: Vec<Option<usize>> =
        if job.one_zone { (0..job.placed_per_zone.len()).map(Some).collect() } else { vec![None] };
    let mut cheapest: Option<PricedPreemption> = None;
    for zone in zones {
        let search = Search::new(cluster, job_index, tasks, taken, locality, zone);
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
    taken: &'a [bool],
    locality: ImageLocality,
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
        taken: &'a [bool],
        locality: ImageLocality,
        zone: Option<usize>,
    ) -> Self {
        let job = &cluster.jobs[job_index];
        Self {
            cluster,
            job,
            job_index,
            taken,
            locality,
            zone,
            planned: vec![0; cluster.machines.len()],
            tasks_per_zone: job.placed_per_zone.clone(),
            tasks_left: tasks,
            cost: 0.0,
            preemption: Preemption::for_job(job_index),
        }
    }

    fn run(mut self) -> Option<PricedPreemption> {
        // One pass clears machines for one task each; only replicas of a daemon may need further ones on the same
        // machine.
        let passes = if self.job.daemon { self.tasks_left } else { 1 };
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
        let found = PricedPreemption { cost: self.cost, preemption: self.preemption };
        (self.tasks_left == 0).then_some(found)
    }

    /// Machines that could take one task more than planned, cheapest first.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = (0..self.cluster.machines.len())
            .filter(|index| self.is_candidate(*index))
            .filter_map(|index| {
                let machine = &self.cluster.machines[index];
                let tasks = self.planned[index] + 1;
                let victims = victims_on_machine(self.cluster, self.job_index, machine, tasks)?;
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
        !self.taken[index]
            && machine.schedulable
            && !machine.booting
            && machine.eligible_for(self.job_index, self.job)
            && self.zone.is_none_or(|zone| zone == machine.zone)
            && machine.total.fits(&self.job.request.times(self.planned[index] + 1))
            && (self.locality == ImageLocality::Any || has_image())
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
