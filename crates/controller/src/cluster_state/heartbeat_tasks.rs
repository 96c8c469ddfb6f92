//! Update of a machine's tasks from a newer message of its worker.

use super::task_removal::TaskRemoval;
use super::{CachedImage, ClusterState, EndedTask, PlacedTask, TaskPhase};
use hookway_time::{MonotonicTime, seconds_f64};
use hookway_wire::{ExitCause, Heartbeat, TaskId, TaskState, TaskStatus};

/// Why a worker sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A heartbeat, which the worker sends on its own; it has at most one in flight at a time.
    Heartbeat,
    /// The answer to direct commands or to a state probe. When the worker sent it, the response to
    /// a heartbeat may still have been on its way to the worker.
    DirectAnswer,
}

/// A placed task that is no longer on its machine, and the reason for its removal.
struct RemovedTask {
    task: PlacedTask,
    removal: TaskRemoval,
}

/// A task that a message reports, with its parsed id.
struct ReportedTask<'a> {
    task: TaskId,
    reported: &'a TaskStatus,
}

/// The changes to a machine's tasks that follow from a message of its worker.
#[derive(Default)]
struct TaskChanges<'a> {
    /// Tasks that stay placed: first the reported ones, in the order of the message.
    kept: Vec<PlacedTask>,
    ended: Vec<EndedTask>,
    removed: Vec<RemovedTask>,
    /// Reported tasks that this leader did not place on the machine.
    to_adopt: Vec<ReportedTask<'a>>,
    /// Whether some start certainly had no effect and never will, so that it is planned again.
    has_replanned_starts: bool,
}

impl ClusterState {
    /// Updates the tasks of a machine from a message that is newer than all earlier ones.
    pub(super) fn apply_reported_tasks(
        &mut self,
        name: &str,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        kind: MessageKind,
    ) {
        self.mark_unpublished(name);
        self.uncount_running(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let before = std::mem::take(&mut machine.placed_tasks);
        let changes = task_changes(name, before, heartbeat, now, kind);
        machine.placed_tasks = changes.kept;
        machine.ended_tasks = changes.ended;
        if changes.has_replanned_starts {
            self.direct_dispatch.machines_with_planned_starts.insert(name.to_owned());
        }
        for removed in changes.removed {
            self.remove_task(name, &removed.task, removed.removal, now);
        }
        for found in changes.to_adopt {
            self.adopt_task(name, &found.task, found.reported, now);
        }
        self.update_images(name);
        self.count_running(name);
    }

    /// Records the images of reported tasks as the most recently used ones in the machine's cache.
    fn update_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
        let used_images: Vec<CachedImage> = machine
            .placed_tasks
            .iter()
            .filter(|placed| matches!(placed.phase, TaskPhase::Reported(_)))
            .filter_map(|placed| placed.job.and_then(|key| self.jobs.get(&key)))
            .map(|job| CachedImage { image: job.image, size_gb: job.spec.image_gb })
            .collect();
        for used in used_images {
            if machine.images.last().is_none_or(|last| last.image != used.image) {
                machine.mark_image_used(used, cache_gb);
            }
        }
        if machine.image_ids() != machine.stored_images {
            self.commit_queue.registry.mark_stale(name);
        }
    }

    /// Adds the running tasks of a machine to the counts of their jobs.
    fn count_running(&mut self, name: &str) {
        self.update_running_counts(name, |running| running + 1);
    }

    /// Undoes [`ClusterState::count_running`], before the tasks of the machine change.
    pub(super) fn uncount_running(&mut self, name: &str) {
        self.update_running_counts(name, |running| running.saturating_sub(1));
    }

    fn update_running_counts(&mut self, name: &str, update: impl Fn(u32) -> u32) {
        let Some(machine) = self.machines.get(name) else { return };
        for placed in machine.placed_tasks.iter().filter(|placed| placed.phase.is_running()) {
            if let Some(job) = placed.job.and_then(|key| self.jobs.get_mut(&key)) {
                job.running = update(job.running);
            }
        }
    }
}

/// Compares the tasks placed on a machine with those that a newer message reports.
fn task_changes<'a>(
    name: &str,
    before: Vec<PlacedTask>,
    heartbeat: &'a Heartbeat,
    now: MonotonicTime,
    kind: MessageKind,
) -> TaskChanges<'a> {
    let mut changes = TaskChanges::default();
    let mut is_reported = vec![false; before.len()];
    for reported in &heartbeat.tasks {
        let Some(task) = TaskId::parse(&reported.task) else {
            tracing::error!(machine = %name, task = ?reported.task, "invalid task id reported");
            continue;
        };
        let position = before
            .iter()
            .position(|p| p.attempt == reported.attempt && p.task == reported.task)
            .filter(|i| !std::mem::replace(&mut is_reported[*i], true));
        match position {
            Some(i) => apply_reported(name, before[i].clone(), reported, now, &mut changes),
            None => changes.to_adopt.push(ReportedTask { task, reported }),
        }
    }
    for (placed, is_reported) in before.into_iter().zip(is_reported) {
        if !is_reported {
            apply_unreported(placed, heartbeat, kind, &mut changes);
        }
    }
    changes
}

/// Applies the reported state of a placed task that the message names.
fn apply_reported(
    name: &str,
    mut placed: PlacedTask,
    reported: &TaskStatus,
    now: MonotonicTime,
    changes: &mut TaskChanges<'_>,
) {
    if reported.state == TaskState::Ended {
        let cause = reported.cause.unwrap_or(ExitCause::Other);
        changes.ended.push(EndedTask::new(placed.job, placed.index, reported));
        changes.removed.push(RemovedTask { task: placed, removal: TaskRemoval::Ended(cause) });
        return;
    }
    placed.phase = TaskPhase::Reported(reported.state);
    if reported.state == TaskState::Running && placed.running_since.is_none() {
        let after_s = seconds_f64(now.saturating_duration_since(placed.placed_at));
        tracing::debug!(machine = %name, task = %placed.task, after_s, "task running");
        placed.running_since = Some(now);
    }
    changes.kept.push(placed);
}

/// Determines whether a placed task that the message does not name is lost, was certainly not
/// started, or may still be started.
fn apply_unreported(
    mut placed: PlacedTask,
    heartbeat: &Heartbeat,
    kind: MessageKind,
    changes: &mut TaskChanges<'_>,
) {
    let start_failed = match placed.phase {
        TaskPhase::Reported(_) => {
            changes.removed.push(RemovedTask { task: placed, removal: TaskRemoval::Lost });
            return;
        }
        TaskPhase::Planned => false,
        // The command was in the response to a heartbeat. The worker has one heartbeat in flight at
        // a time and ignores the response to an earlier one, so a newer heartbeat without the task
        // proves that the command did not arrive and never will.
        TaskPhase::Sent => kind == MessageKind::Heartbeat,
        // A worker that has seen a higher token refuses the command, whenever it arrives.
        TaskPhase::DispatchedDirectly(token) => heartbeat.fencing_token > token,
    };
    if start_failed {
        placed.phase = TaskPhase::Planned;
        changes.has_replanned_starts = true;
    }
    changes.kept.push(placed);
}
