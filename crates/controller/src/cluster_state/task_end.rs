//! Ends of tasks: completions, failures, and what they show about the machine.

use super::commit_queue::JobPage;
use super::{ClusterState, CordonReason, JobKey, PlacedTask};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use hookway_wire::ExitCause;
use std::time::Duration;

/// Heartbeat intervals of silence after which the end of a reported task is not known accurately
/// enough for its run time.
const KNOWN_END_INTERVALS: f64 = 2.0;

impl ClusterState {
    /// Processes the end of a placed task on a machine.
    pub(super) fn process_task_end(
        &mut self,
        name: &str,
        key: JobKey,
        placed: &PlacedTask,
        cause: ExitCause,
        now: MonotonicTime,
    ) {
        let is_daemon = self.jobs.get(&key).is_some_and(|job| job.spec.is_daemon());
        if cause == ExitCause::Done && !is_daemon {
            self.complete_done_task(name, key, placed, now);
        } else {
            self.record_failed_attempt(name, key, placed, cause, now);
        }
    }

    /// Completes a task that is not a replica of a daemon, and checks whether the machine is slow.
    fn complete_done_task(
        &mut self,
        name: &str,
        key: JobKey,
        placed: &PlacedTask,
        now: MonotonicTime,
    ) {
        let run_time = self.known_run_time(name, placed, now);
        let mean_ms = self.jobs.get(&key).and_then(|job| job.run_times.reliable_mean_ms());
        self.complete_task(key, placed.index, run_time);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.failed_jobs.clear();
        let (Some(run_time), Some(mean_ms)) = (run_time, mean_ms) else { return };
        let is_slow = millis_f64(run_time) > mean_ms * constants::SLOW_TASK_RATIO;
        machine.consecutive_slow_tasks =
            if is_slow { machine.consecutive_slow_tasks + 1 } else { 0 };
        if machine.consecutive_slow_tasks >= constants::MAX_CONSECUTIVE_SLOW_TASKS
            && machine.cordon(CordonReason::Slow)
        {
            tracing::info!(machine = %name, reason = %CordonReason::Slow, "machine cordoned");
        }
    }

    /// Returns the run time of a task that ended, if it is known. After a silence it is unknown
    /// when the task ended, and the start of an adopted task is unknown: the measured time would be
    /// too long or too short for the mean.
    fn known_run_time(
        &self,
        name: &str,
        placed: &PlacedTask,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let answered_at =
            self.machines.get(name).map_or(MonotonicTime::ZERO, |m| m.last_response_at);
        let silence = now.saturating_duration_since(answered_at);
        let is_after_silence =
            millis_f64(silence) > KNOWN_END_INTERVALS * self.heartbeat_interval_ms();
        let is_known = !is_after_silence && !placed.adopted;
        placed.running_since.filter(|_| is_known).map(|since| now.saturating_duration_since(since))
    }

    /// Processes the end of an attempt that did not complete its task.
    fn record_failed_attempt(
        &mut self,
        name: &str,
        key: JobKey,
        placed: &PlacedTask,
        cause: ExitCause,
        now: MonotonicTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !placed.orphaned && !job.completion.is_final() {
            job.add_note(format!("task {} {} (machine {name})", placed.index, cause.description()));
        }
        let Some(machine) = self.machines.get_mut(name) else { return };
        match cause {
            ExitCause::Error => self.attribute_failure(name, key, placed.placed_at, now),
            ExitCause::Done => {
                job.record_replica_exit(name, placed.running_since, placed.placed_at, now);
            }
            ExitCause::InsufficientResources | ExitCause::AttemptConflict => {
                machine.back_off(now + constants::REJECTED_START_BACKOFF);
            }
            ExitCause::UnknownJob => job.backoff_until = now + constants::FAILURE_BACKOFF,
            _ => {}
        }
    }

    /// Marks a task as completed; for a gang, marks all tasks. `run_time` is the task's run time,
    /// if known.
    pub(super) fn complete_task(&mut self, key: JobKey, index: u32, run_time: Option<Duration>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.completion.is_final() || job.spec.is_daemon() {
            return;
        }
        job.failures.consecutive = 0;
        let is_gang = job.spec.is_gang();
        self.has_pending_stops |= is_gang || !job.orphaned_attempts.is_empty();
        let completed = if is_gang { 0..job.spec.tasks } else { index..index + 1 };
        for i in completed {
            if !job.mark_completed(i) {
                continue;
            }
            if i == index
                && let Some(run_time) = run_time
            {
                job.run_times.add(run_time);
            }
            let page = job.progress.page_of(i);
            if job.progress.queue(page) {
                self.commit_queue.progress_pages.push_back(JobPage { job: key, page });
            }
        }
        self.finish_if_complete(key);
    }
}
