use crate::JobView;
use hookway_constants as constants;

/// The least number of tasks that should run at a time so that the job meets its deadline.
///
/// The paper's equation 10 with one phase (B = 0): n = A / C, where A is the mean time of the
/// finished tasks times the unfinished tasks and C the time to the deadline. With less than one mean
/// task time left, all unfinished tasks. Until a task has finished, the running count.
pub fn min_tasks(job: &JobView, now: f64) -> u32 {
    if job.daemon {
        return job.unfinished;
    }
    let Some(mean) = job.mean_task_time else { return job.placed };
    let Some(due) = job.deadline else { return 0 };
    min_tasks_by_deadline(mean, job.unfinished, due - now)
}

pub(crate) fn min_tasks_by_deadline(mean: f64, unfinished: u32, left: f64) -> u32 {
    if left < mean || left <= 0.0 {
        return unfinished;
    }
    let work = mean * f64::from(unfinished);
    ((work / left).ceil() as u32).min(unfinished)
}

/// Tasks that the fleet should have room for: the minimum with the team's estimate as a prior, and
/// with `lead` seconds taken off the time left (boot and image). A gang wants all its tasks.
pub fn desired_tasks(job: &JobView, now: f64, lead: f64) -> u32 {
    if job.needs_all_tasks_at_once() {
        return job.unfinished;
    }
    let mean = job.task_time();
    let due =
        job.deadline.unwrap_or(job.submitted + constants::DEFAULT_DEADLINE_FACTOR * mean + lead);
    // A task can't be split: what must be done in the time left goes in whole task times.
    let rounds = ((due - now - lead) / mean).floor();
    if rounds < 1.0 {
        return job.unfinished;
    }
    let all = (f64::from(job.unfinished) / rounds).ceil() as u32;
    all.min(job.unfinished)
}

/// Whether a minimum has changed enough for its record to be written again.
pub fn min_tasks_need_rewrite(written: Option<u32>, current: u32) -> bool {
    match written {
        None => current > 0,
        Some(0) => current > 0,
        Some(old) => {
            let change = (f64::from(current) - f64::from(old)).abs() / f64::from(old);
            change >= constants::MIN_TASKS_REWRITE_CHANGE
        }
    }
}

#[cfg(test)]
mod tests;
