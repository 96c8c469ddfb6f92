//! The scheduling queue: the order in which waiting jobs get resources, and how many tasks of each.

use crate::min_tasks::min_tasks_by_deadline;
use crate::{JobView, min_tasks};
use hookway_constants as constants;

/// Minimum CPUs of a task where they are a divisor, so that a task that requests no CPUs causes no division by zero.
const MIN_CPUS: f64 = 0.001;

/// An entry of the scheduling queue: place up to `tasks` tasks of a job. A job can have several entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// Index of the job.
    pub job: usize,
    /// Maximum number of tasks to place for this entry.
    pub tasks: u32,
    /// Whether the tasks are placed as backfill: they exceed the job's minimum, or belong to a job without an
    /// objective. Such tasks get only the resources that other entries leave free. The entries of aged and
    /// crash-looping jobs in parts 2 and 6 of the queue ([`scheduling_queue()`]) do not count as backfill.
    pub is_backfill: bool,
}

fn deadline_or_infinity(job: &JobView) -> f64 {
    job.deadline.unwrap_or(f64::INFINITY)
}

/// Whether the deadline of a job has passed, or is less than `LATENESS_TASK_TIMES` task times away.
///
/// The minimum of a late job is all its unfinished tasks. If late jobs kept their position in the queue, a few of them
/// would use all resources after a burst of submissions and make every later job late as well. Late jobs therefore
/// come after those that can still meet their deadlines.
pub(crate) fn is_late(job: &JobView, now: f64) -> bool {
    job.deadline
        .is_some_and(|deadline| now + constants::LATENESS_TASK_TIMES * job.task_time() > deadline)
}

/// Returns how many of its start objectives a job has missed. Jobs with fewer missed objectives start first. To
/// prevent starvation, a job that has waited for longer than `START_OBJECTIVE_LIMIT_S` counts as having missed none.
fn missed_start_objectives(job: &JobView, now: f64) -> usize {
    if now > job.submitted + constants::START_OBJECTIVE_LIMIT_S {
        return 0;
    }
    job.start_objectives.iter().filter(|by| now > **by).count()
}

/// Whether the job is a gang of which some tasks are placed and others are not. The placed tasks hold resources
/// without doing work until the others are placed too, and the workers end them after a time limit.
fn is_partially_placed_gang(job: &JobView) -> bool {
    job.is_gang && job.startable > 0 && job.placed > 0
}

/// Compares two jobs that wait for their first start: higher priority first, then partially placed gangs, then fewer
/// missed start objectives, then the earlier submission.
pub(crate) fn first_start_order(a: &JobView, b: &JobView, now: f64) -> std::cmp::Ordering {
    b.priority
        .cmp(&a.priority)
        .then(is_partially_placed_gang(b).cmp(&is_partially_placed_gang(a)))
        .then(missed_start_objectives(a, now).cmp(&missed_start_objectives(b, now)))
        .then(a.submitted.total_cmp(&b.submitted))
}

/// Returns the minimum task count of a job with this deadline, using the team's estimate of the task time while no
/// mean is known.
pub(crate) fn min_tasks_or_estimate(job: &JobView, now: f64, deadline: f64) -> u32 {
    if job.mean_task_time.is_some() {
        return min_tasks(job, now);
    }
    min_tasks_by_deadline(job.task_time(), job.unfinished, deadline - now)
}

/// The work and the CPUs that a job needs to meet its deadline.
struct DeadlineDemand {
    job: usize,
    /// Work of the unfinished tasks, CPU seconds.
    work: f64,
    /// CPUs of the job's minimum task count.
    cpus: f64,
}

/// Returns for each job whether its deadline is infeasible together with those of the other jobs.
///
/// When the minimums of all jobs together exceed `cpu_capacity` CPUs, the jobs with the least work left are feasible,
/// which maximizes the number of jobs that meet their deadlines; the others are deferred like late jobs. With earliest
/// deadline first, nearly all of them would become late one after the other.
fn infeasible_jobs(jobs: &[JobView], now: f64, cpu_capacity: f64) -> Vec<bool> {
    let mut infeasible = vec![false; jobs.len()];
    let mut free_cpus = cpu_capacity;
    let mut demands: Vec<DeadlineDemand> = Vec::new();
    for (index, job) in jobs.iter().enumerate() {
        if job.needs_all_tasks_at_once() {
            let tasks = if job.is_daemon { job.unfinished } else { job.placed.max(job.startable) };
            free_cpus -= f64::from(tasks) * job.request.cpus;
            continue;
        }
        let Some(deadline) = job.deadline.filter(|_| !is_late(job, now)) else { continue };
        let minimum = min_tasks_or_estimate(job, now, deadline);
        let work = f64::from(job.unfinished) * job.task_time() * job.request.cpus;
        demands.push(DeadlineDemand {
            job: index,
            work,
            cpus: f64::from(minimum) * job.request.cpus,
        });
    }
    demands.sort_by(|a, b| a.work.total_cmp(&b.work).then(a.job.cmp(&b.job)));
    for demand in demands {
        infeasible[demand.job] = demand.cpus > free_cpus;
        if !infeasible[demand.job] {
            free_cpus -= demand.cpus;
        }
    }
    infeasible
}

/// Whether the job is backfill: an array without an objective for its start or its end.
pub(crate) fn has_no_objective(job: &JobView) -> bool {
    !job.needs_all_tasks_at_once() && job.deadline.is_none() && job.start_objectives.is_empty()
}

/// Whether the job counts as waiting for its first start. Daemons and gangs always do: no other replica does the work
/// of a missing one, and a partially placed gang has not started.
pub(crate) fn awaits_first_start(job: &JobView) -> bool {
    job.has_never_run() || job.needs_all_tasks_at_once()
}

/// Indexes of the jobs with tasks to start, grouped by the part of the queue that they belong to.
struct QueueGroups {
    /// Jobs that wait for their first start and have an objective, and all gangs and daemons.
    awaiting_first_start: Vec<usize>,
    /// Arrays that have an objective and have run already.
    started: Vec<usize>,
    /// Backfill: arrays without any objective.
    without_objective: Vec<usize>,
    /// Jobs that have failed wherever they were tried.
    crash_looping: Vec<usize>,
}

/// The scheduling queue under construction.
struct QueueBuilder<'a> {
    jobs: &'a [JobView],
    now: f64,
    /// CPUs of all machines that take tasks, CPUs in use included.
    cpu_capacity: f64,
    /// Per job: whether it is late, or infeasible together with the others. Deferred jobs come after those that can
    /// meet their deadlines.
    deferred: Vec<bool>,
    queue: Vec<QueueEntry>,
}

impl<'a> QueueBuilder<'a> {
    fn new(jobs: &'a [JobView], now: f64, cpu_capacity: f64) -> Self {
        let mut deferred = infeasible_jobs(jobs, now, cpu_capacity);
        for (deferred, job) in deferred.iter_mut().zip(jobs) {
            *deferred |= is_late(job, now);
        }
        Self { jobs, now, cpu_capacity, deferred, queue: Vec::new() }
    }

    fn groups(&self) -> QueueGroups {
        let startable = (0..self.jobs.len()).filter(|index| self.jobs[*index].startable > 0);
        let (crash_looping, healthy): (Vec<usize>, Vec<usize>) =
            startable.partition(|index| self.jobs[*index].crash_looping);
        let (without_objective, with_objective): (Vec<usize>, Vec<usize>) =
            healthy.into_iter().partition(|index| has_no_objective(&self.jobs[*index]));
        let (mut awaiting_first_start, mut started): (Vec<usize>, Vec<usize>) =
            with_objective.into_iter().partition(|index| awaits_first_start(&self.jobs[*index]));
        awaiting_first_start
            .sort_by(|a, b| first_start_order(&self.jobs[*a], &self.jobs[*b], self.now));
        started.sort_by(|a, b| self.by_deadline(*a, *b));
        QueueGroups { awaiting_first_start, started, without_objective, crash_looping }
    }

    /// Compares two jobs: feasible jobs first, then by priority, deadline and age.
    fn by_deadline(&self, a: usize, b: usize) -> std::cmp::Ordering {
        let feasible_first = self.deferred[a].cmp(&self.deferred[b]);
        let (a, b) = (&self.jobs[a], &self.jobs[b]);
        feasible_first
            .then(b.priority.cmp(&a.priority))
            .then(deadline_or_infinity(a).total_cmp(&deadline_or_infinity(b)))
            .then(a.submitted.total_cmp(&b.submitted))
    }

    fn push(&mut self, job: usize, tasks: u32) {
        self.queue.push(QueueEntry { job, tasks, is_backfill: false });
    }

    fn push_backfill_entry(&mut self, job: usize, tasks: u32) {
        self.queue.push(QueueEntry { job, tasks, is_backfill: true });
    }

    /// Adds the minimum of each job that waits for its first start: one task of an array, all of a gang or daemon.
    fn push_first_starts(&mut self, jobs: &[usize]) {
        for &index in jobs {
            let job = &self.jobs[index];
            let tasks = if job.needs_all_tasks_at_once() { job.startable } else { 1 };
            self.push(index, tasks);
        }
    }

    /// Adds deferred jobs and backfill older than `AGING_THRESHOLD_S`, oldest first, so that feasible jobs cannot
    /// starve them. Together they get `AGING_CPU_SHARE` of the CPUs, including what their placed tasks use already.
    fn push_aged(&mut self) {
        let mut aged: Vec<usize> =
            (0..self.jobs.len()).filter(|index| self.is_aged(*index)).collect();
        aged.sort_by(|a, b| self.jobs[*a].submitted.total_cmp(&self.jobs[*b].submitted));
        let mut cpus = self.cpu_capacity * constants::AGING_CPU_SHARE;
        for index in aged {
            let job = &self.jobs[index];
            cpus -= f64::from(job.placed) * job.request.cpus;
            let tasks =
                (cpus / job.request.cpus.max(MIN_CPUS)).max(0.0).min(f64::from(job.startable));
            if tasks >= 1.0 {
                cpus -= tasks.floor() * job.request.cpus;
                self.push(index, tasks as u32);
            }
        }
    }

    /// Whether the job is older than `AGING_THRESHOLD_S` and would otherwise come after other jobs.
    fn is_aged(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let comes_after_others =
            has_no_objective(job) || !job.is_gang && !job.has_never_run() && self.deferred[index];
        comes_after_others
            && !job.crash_looping
            && self.now > job.submitted + constants::AGING_THRESHOLD_S
    }

    /// Adds the tasks that started jobs need beyond their placed ones to reach their minimums.
    fn push_min_tasks(&mut self, started: &[usize]) {
        for &index in started {
            let job = &self.jobs[index];
            let minimum = if job.is_gang { job.unfinished } else { min_tasks(job, self.now) };
            let missing = minimum.saturating_sub(job.placed).min(job.startable);
            if missing > 0 {
                self.push(index, missing);
            }
        }
    }

    /// Adds the remaining startable tasks of arrays: feasible jobs first, then those with the least work left, so that
    /// as many jobs as possible meet their deadlines when there are not enough resources for all. Priority is not
    /// considered here, since the entries for the minimums are in the order of priority.
    fn push_leftovers(&mut self, jobs: impl Iterator<Item = usize>) {
        let work = |index: usize| {
            let job = &self.jobs[index];
            f64::from(job.startable) * job.task_time() * job.request.cpus
        };
        let mut arrays: Vec<usize> =
            jobs.filter(|index| !self.jobs[*index].needs_all_tasks_at_once()).collect();
        arrays.sort_by(|a, b| {
            let feasible_first = self.deferred[*a].cmp(&self.deferred[*b]);
            feasible_first.then(work(*a).total_cmp(&work(*b)))
        });
        for index in arrays {
            self.push_backfill_entry(index, self.jobs[index].startable);
        }
    }

    /// Adds backfill by priority and age: one task of each job that has never run, then all startable tasks.
    fn push_without_objective(&mut self, mut jobs: Vec<usize>) {
        jobs.sort_by(|a, b| {
            let (a, b) = (&self.jobs[*a], &self.jobs[*b]);
            b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
        });
        for &index in jobs.iter().filter(|index| self.jobs[**index].has_never_run()) {
            self.push_backfill_entry(index, 1);
        }
        for index in jobs {
            self.push_backfill_entry(index, self.jobs[index].startable);
        }
    }

    /// Adds crash-looping jobs, which come last so that they take no resources from healthy ones.
    fn push_crash_looping(&mut self, jobs: Vec<usize>) {
        for index in jobs {
            self.push(index, self.jobs[index].startable);
        }
    }
}

/// Returns the scheduling queue for machines with `cpu_capacity` CPUs in total. Its parts, in order:
///
/// 1. Jobs that wait for their first start, by priority, each with its minimum.
/// 2. Deferred jobs and backfill that have waited longest, up to a share of the CPUs. A job is deferred if it is late,
///    or infeasible together with the others on `cpu_capacity` CPUs.
/// 3. Started jobs, up to their minimums: deferred ones last, otherwise by priority and earliest deadline.
/// 4. The remaining tasks of the arrays of parts 1 and 3: deferred jobs last, otherwise least work left first.
/// 5. Backfill, by priority and age.
/// 6. Crash-looping jobs.
pub fn scheduling_queue(jobs: &[JobView], now: f64, cpu_capacity: f64) -> Vec<QueueEntry> {
    let mut builder = QueueBuilder::new(jobs, now, cpu_capacity);
    let groups = builder.groups();
    builder.push_first_starts(&groups.awaiting_first_start);
    builder.push_aged();
    builder.push_min_tasks(&groups.started);
    builder.push_leftovers(groups.awaiting_first_start.into_iter().chain(groups.started));
    builder.push_without_objective(groups.without_objective);
    builder.push_crash_looping(groups.crash_looping);
    builder.queue
}

#[cfg(test)]
mod tests;
