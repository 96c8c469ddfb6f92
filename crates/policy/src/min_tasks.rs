//! The minimum task count of a job, and the number of its tasks that the fleet is sized for.

use crate::JobView;
use hookway_constants as constants;

/// Returns the minimum task count: how many tasks of the job should run at the same time so that it meets its
/// deadline.
///
/// This is the mean run time of the completed tasks times the number of unfinished tasks, divided by the time to the
/// deadline; if less than one mean run time is left, it is all unfinished tasks. While no mean run time is known, it is
/// the number of placed tasks. After that it is 0 for a job without a deadline. For a daemon it is always all replicas.
pub fn min_tasks(job: &JobView, now: f64) -> u32 {
    if job.is_daemon {
        return job.unfinished;
    }
    let Some(mean) = job.mean_task_time else { return job.placed };
    let Some(deadline) = job.deadline else { return 0 };
    min_tasks_by_deadline(mean, job.unfinished, deadline - now)
}

/// Returns how many tasks must run at the same time to complete `unfinished` tasks of `mean` seconds each in
/// `time_left` seconds.
pub(crate) fn min_tasks_by_deadline(mean: f64, unfinished: u32, time_left: f64) -> u32 {
    if time_left < mean || time_left <= 0.0 {
        return unfinished;
    }
    let work = mean * f64::from(unfinished);
    ((work / time_left).ceil() as u32).min(unfinished)
}

/// Returns the number of tasks that the fleet should have resources for: all unfinished tasks of a gang or a daemon,
/// otherwise those that must run at the same time to meet the deadline.
///
/// Machines added now need `provisioning_time` seconds for boot and image fetch, which are subtracted from the time
/// left. While no mean run time is known, the team's estimate stands for the task time. A job without a deadline gets
/// `ASSUMED_DEADLINE_FACTOR` task times from its submission, plus the provisioning time.
pub fn desired_tasks(job: &JobView, now: f64, provisioning_time: f64) -> u32 {
    if job.needs_all_tasks_at_once() {
        return job.unfinished;
    }
    let mean = job.task_time();
    let assumed = job.submitted + constants::ASSUMED_DEADLINE_FACTOR * mean + provisioning_time;
    let deadline = job.deadline.unwrap_or(assumed);
    // A task can't be split, so only whole task times count.
    let task_times = ((deadline - now - provisioning_time) / mean).floor();
    if task_times < 1.0 {
        return job.unfinished;
    }
    let tasks = (f64::from(job.unfinished) / task_times).ceil() as u32;
    tasks.min(job.unfinished)
}

/// Whether the minimum task count differs enough from the `stored` one for its record to be written again. If none or 0
/// is stored, any count above 0 does.
pub fn should_rewrite_min_tasks(stored: Option<u32>, current: u32) -> bool {
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
