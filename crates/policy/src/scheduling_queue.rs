use crate::{JobView, min_tasks};
use hookway_constants as constants;

/// One job's turn: up to `tasks` of its tasks are to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The job.
    pub job: usize,
    /// Most tasks to place in this turn.
    pub tasks: u32,
    /// A leftover: beyond what the job needs at least.
    pub leftover: bool,
}

fn due(job: &JobView) -> f64 {
    job.deadline.unwrap_or(f64::INFINITY)
}

/// Whether the job is late already. Such a job's minimum is all its tasks for the rest of its life;
/// after a burst, a few of them would make every later job late as well (the design page's second
/// weak spot). So late jobs come after those that can still be in time.
pub(crate) fn is_late(job: &JobView, now: f64) -> bool {
    job.deadline.is_some_and(|due| now + constants::LATENESS_TASK_TIMES * job.task_time() > due)
}

/// How many of the aims for its start a job has missed; one that has waited beyond the bound goes
/// before all others, so that no order starves it.
fn missed_starts(job: &JobView, now: f64) -> usize {
    if now > job.submitted + constants::START_DEADLINE_S {
        return 0;
    }
    job.start_by.iter().filter(|by| now > **by).count()
}

/// Whether a part of a gang waits on machines for the rest: it holds places and does no work, and gives up soon.
fn gang_awaits_rest(job: &JobView) -> bool {
    job.gang && job.startable > 0 && job.placed > 0
}

/// The order among jobs of which nothing has run: by priority, then gangs of which a part waits for the rest, then
/// those that can still start in time, then the oldest.
pub(crate) fn first_start_order(a: &JobView, b: &JobView, now: f64) -> std::cmp::Ordering {
    b.priority
        .cmp(&a.priority)
        .then(gang_awaits_rest(b).cmp(&gang_awaits_rest(a)))
        .then(missed_starts(a, now).cmp(&missed_starts(b, now)))
        .then(a.submitted.total_cmp(&b.submitted))
}

/// Tasks that should run at a time: the minimum, or what the team's estimate says until a task has
/// finished.
pub(crate) fn min_tasks_or_estimate(job: &JobView, now: f64, due: f64) -> u32 {
    let prior =
        || crate::min_tasks::min_tasks_by_deadline(job.task_time(), job.unfinished, due - now);
    job.mean_task_time.map_or_else(prior, |_| min_tasks(job, now))
}

/// Jobs that can't all be in time: when the minimums together need more than `capacity` CPUs, those
/// with the least work left are kept to, since most jobs are in time then, and the others yield like late
/// ones. Earliest deadline first would make nearly all of them late one after the other.
fn infeasible(jobs: &[JobView], now: f64, capacity: f64) -> Vec<bool> {
    let mut yields = vec![false; jobs.len()];
    let mut room = capacity;
    let mut rates: Vec<(f64, f64, usize)> = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        if job.needs_all_tasks_at_once() {
            let tasks = if job.daemon { job.unfinished } else { job.placed.max(job.startable) };
            room -= f64::from(tasks) * job.request.cpus;
            continue;
        }
        let Some(due) = job.deadline.filter(|_| !is_late(job, now)) else { continue };
        let least = min_tasks_or_estimate(job, now, due);
        let work = f64::from(job.unfinished) * job.task_time() * job.request.cpus;
        rates.push((work, f64::from(least) * job.request.cpus, i));
    }
    rates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
    for (_, rate, i) in rates {
        yields[i] = rate > room;
        if !yields[i] {
            room -= rate;
        }
    }
    yields
}

/// Nobody said when it should start or be complete: it takes what is left.
pub(crate) fn has_no_objective(job: &JobView) -> bool {
    !job.needs_all_tasks_at_once() && job.deadline.is_none() && job.start_by.is_empty()
}

/// Whether tasks of the job wait of which nothing has run or runs. A replica of a daemon that is not running
/// counts as such by itself: no other replica does its work. A gang that lacks tasks has not begun, whatever of it
/// waits for them on machines.
pub(crate) fn awaits_first_start(job: &JobView) -> bool {
    job.has_never_run() || job.needs_all_tasks_at_once()
}

/// The order of the design, within each priority: jobs with nothing finished or running first, oldest
/// first; then earliest deadline, each up to its minimum. What is left goes to the job with the least
/// work left. Jobs that are late, or can't be in time together with the others on `capacity` CPUs, come
/// last, and after them those without a deadline; but a part of the CPUs goes to those of them that have
/// waited longest.
pub fn scheduling_queue(jobs: &[JobView], now: f64, capacity: f64) -> Vec<QueueEntry> {
    let yields = infeasible(jobs, now, capacity);
    let last = |i: usize| yields[i] || is_late(&jobs[i], now);
    let (failing, open): (Vec<usize>, Vec<usize>) =
        (0..jobs.len()).filter(|i| jobs[*i].startable > 0).partition(|i| jobs[*i].crash_looping);
    let (mut free, open): (Vec<usize>, Vec<usize>) =
        open.into_iter().partition(|i| has_no_objective(&jobs[*i]));
    let mut unseen: Vec<usize> =
        open.iter().copied().filter(|i| awaits_first_start(&jobs[*i])).collect();
    unseen.sort_by(|a, b| first_start_order(&jobs[*a], &jobs[*b], now));
    let mut seen: Vec<usize> =
        open.iter().copied().filter(|i| !awaits_first_start(&jobs[*i])).collect();
    seen.sort_by(|a, b| {
        let order = last(*a).cmp(&last(*b));
        let (a, b) = (&jobs[*a], &jobs[*b]);
        order
            .then(b.priority.cmp(&a.priority))
            .then(due(a).total_cmp(&due(b)))
            .then(a.submitted.total_cmp(&b.submitted))
    });
    let mut list = Vec::new();
    for job in &unseen {
        let view = &jobs[*job];
        // What a gang needs at least is all of it, and so is a daemon's minimum.
        let tasks = if view.needs_all_tasks_at_once() { view.startable } else { 1 };
        list.push(QueueEntry { job: *job, tasks, leftover: false });
    }
    // However much comes in time, what has waited long gets on.
    let mut aged: Vec<usize> = (0..jobs.len())
        .filter(|i| {
            let job = &jobs[*i];
            let waits = has_no_objective(job) || !job.gang && !job.has_never_run() && last(*i);
            waits && !job.crash_looping && now > job.submitted + constants::AGING_S
        })
        .collect();
    aged.sort_by(|a, b| jobs[*a].submitted.total_cmp(&jobs[*b].submitted));
    let mut part = capacity * constants::AGING_CPU_SHARE;
    for job in aged {
        let view = &jobs[job];
        part -= f64::from(view.placed) * view.request.cpus;
        let tasks = (part / view.request.cpus.max(0.001)).max(0.0).min(f64::from(view.startable));
        if tasks >= 1.0 {
            part -= tasks.floor() * view.request.cpus;
            list.push(QueueEntry { job, tasks: tasks as u32, leftover: false });
        }
    }
    for job in &seen {
        let view = &jobs[*job];
        let least = if view.gang { view.unfinished } else { min_tasks(view, now) };
        let short = least.saturating_sub(view.placed).min(view.startable);
        if short > 0 {
            list.push(QueueEntry { job: *job, tasks: short, leftover: false });
        }
    }
    // Leftovers are spread to the job with the least work left first: of those that can be in time,
    // most are, when there is not enough for all. Ranks have had their say above.
    let in_parts = |i: &usize| !jobs[*i].needs_all_tasks_at_once();
    let mut rest: Vec<usize> = unseen.into_iter().chain(seen).filter(in_parts).collect();
    let work = |j: &JobView| f64::from(j.startable) * j.task_time() * j.request.cpus;
    rest.sort_by(|a, b| {
        let order = last(*a).cmp(&last(*b));
        order.then(work(&jobs[*a]).total_cmp(&work(&jobs[*b])))
    });
    for job in rest {
        list.push(QueueEntry { job, tasks: jobs[job].startable, leftover: true });
    }
    // Guests' backfill and the like: each begins in its turn, and then the oldest first.
    free.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
    });
    for job in free.iter().filter(|j| jobs[**j].has_never_run()) {
        list.push(QueueEntry { job: *job, tasks: 1, leftover: true });
    }
    for job in free {
        list.push(QueueEntry { job, tasks: jobs[job].startable, leftover: true });
    }
    // What failed wherever it was tried keeps nothing from jobs that work.
    for job in failing {
        list.push(QueueEntry { job, tasks: jobs[job].startable, leftover: false });
    }
    list
}

#[cfg(test)]
mod tests;
