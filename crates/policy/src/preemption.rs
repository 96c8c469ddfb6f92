//! Preemption: which tasks are stopped so that waiting jobs find resources.

mod deadlines;
mod quota;
mod search;
mod victims;

use crate::scheduling_queue::{awaits_first_start, first_start_order};
use crate::{JobView, MachineView, SchedulingSnapshot, TeamView};
use deadlines::preempt_for_deadlines;
use hookway_constants as constants;
use hookway_time::millis_f64;
use quota::preempt_for_quota;
pub(crate) use search::{ImageLocality, PricedPreemption, SearchScope, find_preemption};
pub(crate) use victims::{Displaceable, may_preempt, victims_on_machine};

/// Refers to a placed task that has to leave its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedTaskRef {
    /// Index of its machine.
    pub machine: usize,
    /// The task's `id` in its [`PlacedTaskView`](crate::PlacedTaskView).
    pub task: u64,
}

/// Tasks to stop so that one job, the beneficiary, finds resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preemption {
    /// Index of the beneficiary.
    pub job: usize,
    /// Indexes of the machines to reserve for the beneficiary until it starts; empty if it needs no reservation.
    pub machines: Vec<usize>,
    /// Tasks to stop for the beneficiary.
    pub victims: Vec<PlacedTaskRef>,
}

impl Preemption {
    fn for_job(job: usize) -> Self {
        Self { job, machines: vec![], victims: vec![] }
    }

    fn add_machine(&mut self, machine: usize) {
        if !self.machines.contains(&machine) {
            self.machines.push(machine);
        }
    }

    fn add_victim(&mut self, victim: PlacedTaskRef) {
        if !self.victims.contains(&victim) {
            self.victims.push(victim);
        }
    }
}

/// Plans the preemptions of one round. Backfill is preempted first, for arrays and daemons that would miss their
/// deadlines. Then tasks are preempted for jobs that wait for their first start and have a higher priority, or are
/// within their team's guarantee.
///
/// Jobs that wait for their first start get only their minimum: all tasks of a gang, all replicas of a daemon (or one,
/// if there are not enough resources for all), one task of an array per round.
pub fn preempt(cluster: &SchedulingSnapshot) -> Vec<Preemption> {
    let mut preemptions = preempt_for_deadlines(cluster);
    let mut taken = vec![false; cluster.machines.len()];
    for job_index in jobs_that_may_preempt(cluster) {
        let job = &cluster.jobs[job_index];
        let tasks = if job.needs_all_tasks_at_once() { job.startable } else { 1 };
        let team = cluster.teams.get(job.team);
        if team.is_some_and(|team| team.remaining_tasks(&job.request) < tasks) {
            preemptions.extend(preempt_for_quota(cluster, job_index, tasks));
            continue;
        }
        let mut found = cheapest_preemption(cluster, job_index, tasks, &taken);
        if found.is_none() && job.is_daemon {
            // There are not enough resources for all replicas: place at least one, since each is useful by itself.
            found = cheapest_preemption(cluster, job_index, 1, &taken);
        }
        if let Some(preemption) = found.filter(|found| !found.victims.is_empty()) {
            for machine in &preemption.machines {
                taken[*machine] = true;
            }
            preemptions.push(preemption);
        }
    }
    preemptions
}

/// Returns the jobs that wait for their first start and may preempt others, in the order in which they should start.
fn jobs_that_may_preempt(cluster: &SchedulingSnapshot) -> Vec<usize> {
    // Unless some team has a guarantee, only jobs above the lowest priority among the placed tasks can preempt.
    let placed = cluster.machines.iter().flat_map(|machine| &machine.placed_tasks);
    let lowest = placed.map(|task| cluster.jobs[task.job].priority).min();
    let any_guarantee = cluster.teams.iter().any(TeamView::has_guarantee);
    let outranks = |job: &JobView| lowest.is_some_and(|lowest| lowest < job.priority);
    let mut waiting: Vec<usize> = (0..cluster.jobs.len())
        .filter(|index| {
            let job = &cluster.jobs[*index];
            (any_guarantee || outranks(job)) && is_due_for_preemption(cluster, *index)
        })
        .collect();
    waiting.sort_by(|a, b| first_start_order(&cluster.jobs[*a], &cluster.jobs[*b], cluster.now));
    waiting
}

/// Whether a job has waited for its first start for at least `PREEMPTION_WAIT`, and no schedulable machine is reserved
/// for it already.
pub(crate) fn is_due_for_preemption(cluster: &SchedulingSnapshot, index: usize) -> bool {
    let job = &cluster.jobs[index];
    let not_started =
        if job.is_gang { job.startable == job.tasks } else { awaits_first_start(job) };
    let waited_s = cluster.now - job.waiting_since;
    // A machine that was cleared for the job but is no longer schedulable does not count: the job can't start there.
    let is_cleared_for =
        |machine: &MachineView| machine.reserved_for == Some(index) && machine.schedulable;
    job.startable > 0
        && !job.crash_looping
        && not_started
        && waited_s >= millis_f64(constants::PREEMPTION_WAIT) / 1000.0
        && !cluster.machines.iter().any(is_cleared_for)
}

/// Whether a preemption for a gang on machines that hold its image costs less than `fetch_cost`, the CPU seconds that
/// an image fetch on other machines would cost.
pub(crate) fn is_preemption_cheaper(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    fetch_cost: f64,
) -> bool {
    let taken = vec![false; cluster.machines.len()];
    let tasks = cluster.jobs[job_index].startable;
    let scope = SearchScope { locality: ImageLocality::Cached, ..SearchScope::preemption(&taken) };
    let found = find_preemption(cluster, job_index, tasks, scope);
    found.is_some_and(|found| !found.preemption.victims.is_empty() && found.cost < fetch_cost)
}

/// Returns the cheapest preemption for `tasks` tasks of a job; `None` if there is none.
///
/// For a gang, the cheapest preemption on machines that hold the image is compared with the cheapest on any machines.
/// The tasks of a gang start together, so the longest fetch keeps the resources of all of them idle.
fn cheapest_preemption(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
    taken: &[bool],
) -> Option<Preemption> {
    let job = &cluster.jobs[job_index];
    let scope = SearchScope::preemption(taken);
    let anywhere = find_preemption(cluster, job_index, tasks, scope);
    if !job.is_gang {
        return anywhere.map(|found| found.preemption);
    }
    let cached_only = SearchScope { locality: ImageLocality::Cached, ..scope };
    let cached = find_preemption(cluster, job_index, tasks, cached_only);
    let gang_cpus = job.request.cpus * f64::from(tasks);
    let cost_with_fetch = |found: &PricedPreemption| {
        let machines = found.preemption.machines.iter();
        let fetch_times = machines.map(|index| cluster.fetch_time(job, &cluster.machines[*index]));
        found.cost + fetch_times.fold(0.0, f64::max) * gang_cpus
    };
    let chosen = match (cached, anywhere) {
        (Some(cached), Some(anywhere)) if cached.cost > cost_with_fetch(&anywhere) => anywhere,
        (Some(cached), _) => cached,
        (None, anywhere) => anywhere?,
    };
    Some(chosen.preemption)
}

#[cfg(test)]
mod tests;
