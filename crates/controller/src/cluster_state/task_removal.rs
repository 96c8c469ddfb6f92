//! Removal of tasks from their machines: they ended, were lost, or were never started.

use super::{ClusterState, Job, PlacedTask, TaskAttempt, TaskPhase, TaskPlacement};
use hookway_time::MonotonicTime;
use hookway_wire::ExitCause;

/// Why a placed task is removed from its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskRemoval {
    /// The start was never sent, or certainly did not arrive.
    NotStarted,
    /// The worker reported the end of the task, with this cause.
    Ended(ExitCause),
    /// The machine has failed or no longer exists, its worker has restarted, the worker's lease has
    /// certainly expired, or the worker no longer reports the task.
    Lost,
}

impl ClusterState {
    /// Updates the job of a placed task that was removed from its machine.
    pub(super) fn remove_task(
        &mut self,
        name: &str,
        placed: &PlacedTask,
        removal: TaskRemoval,
        now: MonotonicTime,
    ) {
        let Some(key) = placed.job else {
            self.unknown_job_tasks = self.unknown_job_tasks.saturating_sub(1);
            return;
        };
        let machine = self.machines.get(name);
        let zone = machine.and_then(|machine| self.config.platform.zone(&machine.zone));
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.count_removed(zone);
        self.has_pending_stops |= job.release_attempt(placed, removal);
        match removal {
            TaskRemoval::NotStarted => {}
            TaskRemoval::Ended(cause) => {
                tracing::debug!(
                    machine = %name, task = %placed.task, attempt = placed.attempt, ?cause,
                    "task ended"
                );
                self.process_task_end(name, key, placed, cause, now);
            }
            TaskRemoval::Lost => {
                tracing::info!(
                    machine = %name, task = %placed.task, attempt = placed.attempt, "task lost"
                );
                job.add_note(format!("task {} was lost with its machine {name}", placed.index));
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            if job.placed_attempts == 0 {
                job.gang.attempt = None;
                job.gang.broken = false;
            }
            job.waiting_since = now;
        }
        self.remove_if_finished(key);
    }

    /// Removes all tasks from a machine on which they no longer exist. Starts that were never sent
    /// count as not started.
    pub(super) fn remove_all_tasks(
        &mut self,
        name: &str,
        now: MonotonicTime,
        removal: TaskRemoval,
    ) {
        self.mark_unpublished(name);
        self.uncount_running(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.ended_tasks.clear();
        for placed in std::mem::take(&mut machine.placed_tasks) {
            let planned = placed.phase == TaskPhase::Planned;
            let removal = if planned { TaskRemoval::NotStarted } else { removal };
            self.remove_task(name, &placed, removal, now);
        }
    }

    /// Removes a machine that is proven to no longer exist, with its tasks and its registry entry.
    pub(super) fn remove_machine(&mut self, name: &str, now: MonotonicTime) {
        self.remove_all_tasks(name, now, TaskRemoval::Lost);
        let removed = self.machines.remove(name);
        if removed.is_some_and(|machine| machine.state_probe.is_in_flight()) {
            self.state_probes.decrement_in_flight();
        }
        self.commit_queue.registry.remove(name);
        self.reconciliation.machines.remove(name);
        self.machines_being_deleted.remove(name);
        self.removed_machines.insert(name.to_owned());
        tracing::info!(machine = %name, "machine removed");
    }

    /// Cancels all starts on a machine that were never sent.
    pub(super) fn cancel_planned_starts(&mut self, name: &str, now: MonotonicTime) {
        let Some(machine) = self.machines.get(name) else { return };
        let planned: Vec<TaskAttempt> = machine
            .placed_tasks
            .iter()
            .filter(|placed| placed.phase == TaskPhase::Planned)
            .map(PlacedTask::task_attempt)
            .collect();
        for start in planned {
            self.cancel_planned_start(name, &start, now);
        }
    }

    /// Cancels a start that was never sent.
    pub(super) fn cancel_planned_start(
        &mut self,
        name: &str,
        start: &TaskAttempt,
        now: MonotonicTime,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let position = machine.placed_tasks.iter().position(|placed| {
            placed.phase == TaskPhase::Planned
                && placed.attempt == start.attempt
                && placed.task == start.task
        });
        if let Some(position) = position {
            let placed = machine.placed_tasks.remove(position);
            self.mark_unpublished(name);
            self.remove_task(name, &placed, TaskRemoval::NotStarted, now);
        }
    }
}

impl Job {
    /// Releases an attempt that was removed from its machine: the task becomes unplaced again,
    /// unless another attempt of it is on some machine. Returns whether the job's gang has lost a
    /// task, so that the other tasks must be stopped.
    fn release_attempt(&mut self, placed: &PlacedTask, removal: TaskRemoval) -> bool {
        let index = placed.index;
        let mut breaks_gang = false;
        if placed.orphaned {
            if let Some(position) =
                self.orphaned_attempts.iter().position(|orphan| *orphan == index)
            {
                self.orphaned_attempts.swap_remove(position);
            }
        } else if self.placements[index as usize] == TaskPlacement::Placed {
            self.placements[index as usize] = TaskPlacement::Unplaced;
            breaks_gang = self.spec.is_gang() && removal != TaskRemoval::Ended(ExitCause::Done);
            self.gang.broken |= breaks_gang;
        }
        // An orphaned attempt on another machine blocks the task as much as the expected one does.
        if self.is_active()
            && self.placements[index as usize] == TaskPlacement::Unplaced
            && !self.orphaned_attempts.contains(&index)
        {
            self.placeable.insert(index);
        }
        breaks_gang
    }
}
