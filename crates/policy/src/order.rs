use crate::{JobView, minimum};
use hookway_constants as constants;

/// One job's turn: up to `tasks` of its tasks are to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The job.
    pub job: usize,
    /// Most tasks to place in this turn.
    pub tasks: u32,
    /// A leftover: beyond what the job needs at least.
    pub leftover: bool,
}

fn due(job: &JobView) -> f64 {
    job.due.unwrap_or(f64::INFINITY)
}

/// Whether the job is late already. Such a job's minimum is all its tasks for the rest of its life;
/// after a burst, a few of them would make every later job late as well (the design page's second
/// weak spot). So late jobs come after those that can still be in time.
fn late(job: &JobView, now: f64) -> bool {
    job.due.is_some_and(|due| now + constants::LATE_TASK_TIMES * job.task_time() > due)
}

/// The order of the design, within each rank: jobs with nothing finished or running first, oldest
/// first; then earliest deadline, each up to its minimum. What is left goes to the job with the least
/// work left, late jobs last.
pub fn turns(jobs: &[JobView], now: f64) -> Vec<Turn> {
    let open: Vec<usize> = (0..jobs.len()).filter(|i| jobs[*i].startable > 0).collect();
    let mut unseen: Vec<usize> = open.iter().copied().filter(|i| jobs[*i].unseen()).collect();
    unseen.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        b.rank.cmp(&a.rank).then(a.submitted.total_cmp(&b.submitted))
    });
    let mut seen: Vec<usize> = open.iter().copied().filter(|i| !jobs[*i].unseen()).collect();
    seen.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        late(a, now)
            .cmp(&late(b, now))
            .then(b.rank.cmp(&a.rank))
            .then(due(a).total_cmp(&due(b)))
            .then(a.submitted.total_cmp(&b.submitted))
    });
    let mut list = Vec::new();
    for job in &unseen {
        let tasks = if jobs[*job].gang { jobs[*job].startable } else { 1 };
        list.push(Turn { job: *job, tasks, leftover: false });
    }
    for job in &seen {
        let view = &jobs[*job];
        let least = if view.gang { view.unfinished } else { minimum(view, now) };
        let short = least.saturating_sub(view.running).min(view.startable);
        if short > 0 {
            list.push(Turn { job: *job, tasks: short, leftover: false });
        }
    }
    // Leftovers are spread to the job with the least work left first: of those that can be in time,
    // most are, when there is not enough for all. Ranks have had their say above.
    let mut rest: Vec<usize> = unseen.into_iter().chain(seen).filter(|i| !jobs[*i].gang).collect();
    let work = |j: &JobView| f64::from(j.startable) * j.task_time() * j.need.cpus;
    rest.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        late(a, now).cmp(&late(b, now)).then(work(a).total_cmp(&work(b)))
    });
    for job in rest {
        list.push(Turn { job, tasks: jobs[job].startable, leftover: true });
    }
    list
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::place::tests::job;

    #[test]
    fn unseen_first_then_deadlines_up_to_minimums_then_leftovers() {
        let old = JobView { submitted: 1.0, ..job(1.0, 10) };
        let new = JobView { submitted: 2.0, ..job(1.0, 10) };
        let started = |due: f64| JobView {
            finished: 2,
            unfinished: 8,
            startable: 6,
            running: 2,
            mean: Some(10.0),
            due: Some(due),
            ..job(1.0, 10)
        };
        let jobs = vec![new, started(40.0), old, started(20.0)];
        let list = turns(&jobs, 0.0);
        let needed: Vec<(usize, u32)> =
            list.iter().filter(|t| !t.leftover).map(|t| (t.job, t.tasks)).collect();
        // 10 s x 8 / 20 s = 4, two run; 10 s x 8 / 40 s = 2, two run: nothing short.
        assert_eq!(needed, [(2, 1), (0, 1), (3, 2)]);
        let left: Vec<usize> = list.iter().filter(|t| t.leftover).map(|t| t.job).collect();
        assert_eq!(left, [3, 1, 2, 0], "least work left first, equal work in the order above");
        let mut jobs = jobs;
        jobs[1].startable = 3;
        jobs[3].due = Some(-1.0);
        let left: Vec<usize> =
            turns(&jobs, 0.0).iter().filter(|t| t.leftover).map(|t| t.job).collect();
        assert_eq!(left, [1, 2, 0, 3], "less work goes first, a late job last");
    }
}
