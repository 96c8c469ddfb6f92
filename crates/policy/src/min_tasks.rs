//! The minimum task count of a job, and how many tasks the fleet is sized for.

use crate::JobView;
use hookway_constants as constants;

/// The minimum number of tasks that should run at a time so that the job meets its deadline.
///
/// The mean time of the finished tasks times the unfinished tasks, divided by the time to the deadline. With less than
/// one mean task time left, all unfinished tasks. Until a task has finished, the number of placed tasks.
pub fn min_tasks(job: &JobView, now: f64) -> u32 {
    if job.daemon {
        return job.unfinished;
    }
    let Some(mean) = job.mean_task_time else { return job.placed };
    let Some(deadline) = job.deadline else { return 0 };
    min_tasks_by_deadline(mean, job.unfinished, deadline - now)
}

/// The number of tasks that must run at a time to finish `unfinished` tasks of `mean` seconds in `time_left` seconds.
pub(crate) fn min_tasks_by_deadline(mean: f64, unfinished: u32, time_left: f64) -> u32 {
    if time_left < mean || time_left <= 0.0 {
        return unfinished;
    }
    let work = mean * f64::from(unfinished);
    ((work / time_left).ceil() as u32).min(unfinished)
}

/// Tasks that the fleet should have resources for: the minimum, with the team's estimate until a task has finished,
/// and with `provisioning_time` seconds taken off the time left (boot and image fetch). A gang needs all its tasks.
pub fn desired_tasks(job: &JobView, now: f64, provisioning_time: f64) -> u32 {
    if job.needs_all_tasks_at_once() {
        return job.unfinished;
    }
    let mean = job.task_time();
    let assumed = job.submitted + constants::DEFAULT_DEADLINE_FACTOR * mean + provisioning_time;
    let deadline = job.deadline.unwrap_or(assumed);
    // A task can't be split: the time left holds whole task times only.
    let task_times = ((deadline - now - provisioning_time) / mean).floor();
    if task_times < 1.0 {
        return job.unfinished;
    }
    let tasks = (f64::from(job.unfinished) / task_times).ceil() as u32;
    tasks.min(job.unfinished)
}

/// Whether the minimum task count has changed enough since it was stored for its record to be written again.
pub fn min_tasks_need_rewrite(stored: Option<u32>, current: u32) -> bool {
    match stored {
        None | Some(0) => current > 0,
        Some(stored) => {
            let change = (f64::from(current) - f64::from(stored)).abs() / f64::from(stored);
            change >= constants::MIN_TASKS_REWRITE_CHANGE
        }
    }
}

#[cfg(test)]
mod tests;
