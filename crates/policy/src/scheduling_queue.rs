//! The order in which jobs get resources.

use crate::min_tasks::min_tasks_by_deadline;
use crate::{JobView, min_tasks};
use hookway_constants as constants;

/// Lower bound of a task's CPUs where they are a divisor, so that a task without CPUs does not divide by zero.
const MIN_CPUS: f64 = 0.001;

/// An entry of the scheduling queue: up to `tasks` tasks of a job are to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The job.
    pub job: usize,
    /// Maximum number of tasks to place for this entry.
    pub tasks: u32,
    /// Beyond the job's minimum: placed on leftover capacity.
    pub leftover: bool,
}

fn deadline_or_infinity(job: &JobView) -> f64 {
    job.deadline.unwrap_or(f64::INFINITY)
}

/// Whether the job is late already. The minimum of a late job is all its unfinished tasks, so that after a burst a
/// few late jobs would take all resources and make every later job late as well. Late jobs therefore come after those
/// that can still meet their deadlines.
pub(crate) fn is_late(job: &JobView, now: f64) -> bool {
    job.deadline
        .is_some_and(|deadline| now + constants::LATENESS_TASK_TIMES * job.task_time() > deadline)
}

/// How many of its start objectives a job has missed. One that has waited for longer than `START_DEADLINE_S` counts as
/// having missed none and so precedes those that have missed some, which prevents starvation.
fn missed_starts(job: &JobView, now: f64) -> usize {
    if now > job.submitted + constants::START_DEADLINE_S {
        return 0;
    }
    job.start_by.iter().filter(|by| now > **by).count()
}

/// Whether a gang is partially placed: its placed tasks hold resources without working until the rest is placed, and
/// the workers end them after a time limit.
fn gang_awaits_rest(job: &JobView) -> bool {
    job.gang && job.startable > 0 && job.placed > 0
}

/// The order among jobs that have never run: by priority, then gangs of which a part waits for the rest, then by
/// missed start objectives, then the oldest.
pub(crate) fn first_start_order(a: &JobView, b: &JobView, now: f64) -> std::cmp::Ordering {
    b.priority
        .cmp(&a.priority)
        .then(gang_awaits_rest(b).cmp(&gang_awaits_rest(a)))
        .then(missed_starts(a, now).cmp(&missed_starts(b, now)))
        .then(a.submitted.total_cmp(&b.submitted))
}

/// The minimum task count, with the team's estimate in place of the mean until a task has finished.
pub(crate) fn min_tasks_or_estimate(job: &JobView, now: f64, deadline: f64) -> u32 {
    if job.mean_task_time.is_some() {
        return min_tasks(job, now);
    }
    min_tasks_by_deadline(job.task_time(), job.unfinished, deadline - now)
}

/// Work and CPUs that a job needs to meet its deadline.
struct DeadlineDemand {
    job: usize,
    /// CPU seconds left.
    work: f64,
    /// CPUs of its minimum.
    cpus: f64,
}

/// Marks jobs that can't all meet their deadlines: when the minimums together exceed `capacity` CPUs, those with
/// the least work left are feasible, which maximizes the number of jobs in time, and the others are deferred like late
/// ones. Earliest deadline first would make nearly all of them late one after the other.
fn infeasible(jobs: &[JobView], now: f64, capacity: f64) -> Vec<bool> {
    let mut infeasible = vec![false; jobs.len()];
    let mut free_cpus = capacity;
    let mut demands: Vec<DeadlineDemand> = Vec::new();
    for (index, job) in jobs.iter().enumerate() {
        if job.needs_all_tasks_at_once() {
            let tasks = if job.daemon { job.unfinished } else { job.placed.max(job.startable) };
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

/// Whether the job has no objective for its start or its end, that is, whether it is backfill.
pub(crate) fn has_no_objective(job: &JobView) -> bool {
    !job.needs_all_tasks_at_once() && job.deadline.is_none() && job.start_by.is_empty()
}

/// Whether the job waits for its first start. A replica of a daemon that is not running counts as such by itself,
/// since no other replica does its work; a partially placed gang has not started.
pub(crate) fn awaits_first_start(job: &JobView) -> bool {
    job.has_never_run() || job.needs_all_tasks_at_once()
}

/// Unfinished jobs with tasks to start, by their part of the queue. Entries are indexes of jobs.
struct QueueGroups {
    /// Jobs that wait for their first start.
    awaiting_first_start: Vec<usize>,
    /// Jobs that have run, and have an objective.
    started: Vec<usize>,
    /// Jobs without any objective.
    without_objective: Vec<usize>,
    /// Jobs that have failed on every machine that ran them.
    crash_looping: Vec<usize>,
}

/// The scheduling queue under construction.
struct QueueBuilder<'a> {
    jobs: &'a [JobView],
    now: f64,
    /// CPUs of the machines that take tasks.
    capacity: f64,
    /// Per job: late, or not feasible together with the others. It comes after jobs that can meet their deadlines.
    deferred: Vec<bool>,
    queue: Vec<QueueEntry>,
}

impl<'a> QueueBuilder<'a> {
    fn new(jobs: &'a [JobView], now: f64, capacity: f64) -> Self {
        let mut deferred = infeasible(jobs, now, capacity);
        for (deferred, job) in deferred.iter_mut().zip(jobs) {
            *deferred |= is_late(job, now);
        }
        Self { jobs, now, capacity, deferred, queue: Vec::new() }
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

    /// Feasible jobs first, then by priority, deadline and age.
    fn by_deadline(&self, a: usize, b: usize) -> std::cmp::Ordering {
        let feasible_first = self.deferred[a].cmp(&self.deferred[b]);
        let (a, b) = (&self.jobs[a], &self.jobs[b]);
        feasible_first
            .then(b.priority.cmp(&a.priority))
            .then(deadline_or_infinity(a).total_cmp(&deadline_or_infinity(b)))
            .then(a.submitted.total_cmp(&b.submitted))
    }

    fn push(&mut self, job: usize, tasks: u32) {
        self.queue.push(QueueEntry { job, tasks, leftover: false });
    }

    fn push_leftover_entry(&mut self, job: usize, tasks: u32) {
        self.queue.push(QueueEntry { job, tasks, leftover: true });
    }

    /// One task of each array, and all of a gang or daemon, whose minimum that is.
    fn push_first_starts(&mut self, jobs: &[usize]) {
        for &index in jobs {
            let job = &self.jobs[index];
            let tasks = if job.needs_all_tasks_at_once() { job.startable } else { 1 };
            self.push(index, tasks);
        }
    }

    /// A share of the CPUs for jobs older than `AGING_S`, oldest first, so that feasible jobs cannot starve them.
    fn push_aged(&mut self) {
        let mut aged: Vec<usize> =
            (0..self.jobs.len()).filter(|index| self.is_aged(*index)).collect();
        aged.sort_by(|a, b| self.jobs[*a].submitted.total_cmp(&self.jobs[*b].submitted));
        let mut cpus = self.capacity * constants::AGING_CPU_SHARE;
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

    fn is_aged(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let comes_after_others =
            has_no_objective(job) || !job.gang && !job.has_never_run() && self.deferred[index];
        comes_after_others && !job.crash_looping && self.now > job.submitted + constants::AGING_S
    }

    /// The tasks that started jobs lack of their minimums.
    fn push_min_tasks(&mut self, started: &[usize]) {
        for &index in started {
            let job = &self.jobs[index];
            let minimum = if job.gang { job.unfinished } else { min_tasks(job, self.now) };
            let missing = minimum.saturating_sub(job.placed).min(job.startable);
            if missing > 0 {
                self.push(index, missing);
            }
        }
    }

    /// Leftover capacity goes to the job with the least work left first: most jobs meet their deadlines that way
    /// when there is not enough for all. Priority has been considered in the earlier entries.
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
            self.push_leftover_entry(index, self.jobs[index].startable);
        }
    }

    /// Backfill: one task of each job that has never run, then all tasks, by priority and age.
    fn push_without_objective(&mut self, mut jobs: Vec<usize>) {
        jobs.sort_by(|a, b| {
            let (a, b) = (&self.jobs[*a], &self.jobs[*b]);
            b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
        });
        for &index in jobs.iter().filter(|index| self.jobs[**index].has_never_run()) {
            self.push_leftover_entry(index, 1);
        }
        for index in jobs {
            self.push_leftover_entry(index, self.jobs[index].startable);
        }
    }

    /// Crash-looping jobs come last, so that they take no resources from healthy ones.
    fn push_crash_looping(&mut self, jobs: Vec<usize>) {
        for index in jobs {
            self.push(index, self.jobs[index].startable);
        }
    }
}

/// The scheduling queue. Within each priority: jobs that have never run, oldest first; then earliest
/// deadline first, each up to its minimum. Leftover capacity goes to the job with the least work left. Jobs that
/// are late, or not feasible together with the others on `capacity` CPUs, follow, and after them those without a
/// deadline; but a share of the CPUs goes to those of them that have waited longest.
pub fn scheduling_queue(jobs: &[JobView], now: f64, capacity: f64) -> Vec<QueueEntry> {
    let mut builder = QueueBuilder::new(jobs, now, capacity);
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
