//! Task adoption: tasks that a worker reports although this leader did not place them on its
//! machine.

use super::{ClusterState, EndedTask, Job, JobKey, PlacedTask, TaskPhase, TaskPlacement};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::{ExitCause, TaskId, TaskState, TaskStatus};

impl ClusterState {
    /// Adopts a reported task that this leader did not place on the machine.
    pub(super) fn adopt_task(
        &mut self,
        name: &str,
        task: &TaskId,
        reported: &TaskStatus,
        now: MonotonicTime,
    ) {
        let key = self.job_with_task(task);
        if reported.state == TaskState::Ended {
            self.adopt_ended_task(name, key, task.index, reported);
        } else {
            self.adopt_placed_task(name, key, task.index, reported, now);
        }
    }

    /// Returns the job of a task, if it is in the cluster state and has a task of that index.
    fn job_with_task(&self, task: &TaskId) -> Option<JobKey> {
        let key = self.jobs.key(&task.job)?;
        self.jobs.get(&key).filter(|job| task.index < job.spec.tasks).map(|_| key)
    }

    fn adopt_ended_task(
        &mut self,
        name: &str,
        key: Option<JobKey>,
        index: u32,
        reported: &TaskStatus,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let ended = EndedTask::new(key, index, reported);
        let cause = ended.cause;
        machine.ended_tasks.push(ended);
        if let (Some(key), ExitCause::Done) = (key, cause) {
            self.complete_task(key, index, None);
        }
    }

    fn adopt_placed_task(
        &mut self,
        name: &str,
        key: Option<JobKey>,
        index: u32,
        reported: &TaskStatus,
        now: MonotonicTime,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_from_earlier_term = reported.attempt >> constants::ATTEMPT_COUNTER_BITS < self.term;
        let mut orphaned = true;
        if let Some(job) = key.and_then(|key| self.jobs.get_mut(&key)) {
            if is_from_earlier_term && index >= job.start_watermark.never_started_from() {
                let attempt = reported.attempt;
                tracing::error!(
                    job = %job.id, machine = %name, index, attempt,
                    "task above the start watermark of earlier leaders is on a machine"
                );
            }
            orphaned = !job.adopt_attempt(index, reported.attempt);
            self.has_pending_stops |= orphaned;
            job.count_placed(self.config.platform.zone(&machine.zone));
        } else {
            self.unknown_job_tasks += 1;
        }
        tracing::debug!(
            machine = %name, task = %reported.task, attempt = reported.attempt, orphaned,
            "task adopted"
        );
        machine.placed_tasks.push(PlacedTask {
            job: key,
            task: reported.task.clone(),
            index,
            attempt: reported.attempt,
            phase: TaskPhase::Reported(reported.state),
            orphaned,
            stop_order: None,
            stop_dispatched: false,
            running_since: (reported.state == TaskState::Running).then_some(now),
            placed_at: now,
            adopted: true,
        });
    }
}

impl Job {
    /// Adopts an attempt found on a machine as the expected one of its task. `false`: the attempt
    /// is orphaned, because the task is placed elsewhere or completed, the job is not active, or
    /// its gang has another attempt.
    fn adopt_attempt(&mut self, index: u32, attempt: u64) -> bool {
        let is_wanted =
            self.placements[index as usize] == TaskPlacement::Unplaced && self.is_active();
        let is_gang = self.spec.is_gang();
        let is_gang_attempt =
            !is_gang || self.gang.attempt.is_none_or(|expected| expected == attempt);
        let adopted = is_wanted && is_gang_attempt;
        if adopted {
            self.placements[index as usize] = TaskPlacement::Placed;
            if is_gang {
                self.gang.attempt = Some(attempt);
            }
        } else {
            self.orphaned_attempts.push(index);
        }
        self.placeable.remove(&index);
        adopted
    }
}
