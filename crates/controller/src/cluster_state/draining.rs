//! Moves tasks to other machines: drains machines, and restarts stuck tasks elsewhere.

use super::{ClusterState, CordonReason, Job, Machine, PlacedTask};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use std::time::Duration;

/// Refers to a task on a machine.
struct TaskPosition {
    machine: String,
    /// Index into the machine's placed tasks.
    position: usize,
}

impl ClusterState {
    /// Drains cordoned machines and those with an interruption notice. Tasks that can write a
    /// checkpoint, replicas of daemons, tasks without any progress, and tasks outside gangs that
    /// can't finish before the cloud reclaims the machine are stopped and start elsewhere. Other
    /// tasks run on, because they may finish first.
    pub(super) fn drain_machines(&mut self, now: MonotonicTime) {
        let mut to_stop = Vec::new();
        for (name, machine) in self.machines.iter().filter(|(_, m)| m.is_draining()) {
            for (position, placed) in machine.placed_tasks.iter().enumerate() {
                if placed.stop_order.is_none() && self.moves_when_drained(machine, placed, now) {
                    to_stop.push(TaskPosition { machine: name.clone(), position });
                }
            }
        }
        for task in to_stop {
            self.stop_task(&task.machine, task.position, now);
        }
    }

    /// Whether a task on a draining machine is to be stopped so that it starts elsewhere.
    fn moves_when_drained(
        &self,
        machine: &Machine,
        placed: &PlacedTask,
        now: MonotonicTime,
    ) -> bool {
        let Some(job) = placed.job.and_then(|key| self.jobs.get(&key)) else { return false };
        // A task that can't finish before the interruption is better restarted elsewhere at once.
        let ran = placed
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let remaining = machine.interruption_at.map(|at| at.saturating_duration_since(now));
        let cannot_finish = !job.spec.is_gang()
            && job.run_times.reliable_mean_ms().zip(remaining).is_some_and(
                |(mean_ms, remaining)| mean_ms - millis_f64(ran) > millis_f64(remaining),
            );
        // A replica of a daemon does not finish by itself.
        placed.phase.is_known_without_progress()
            || job.spec.writes_checkpoints()
            || job.spec.is_daemon()
            || cannot_finish
    }

    /// Stops stuck tasks, so that they start elsewhere: those that have run many times longer than
    /// the mean of their job. Most likely their machine is the cause, so it is cordoned as slow.
    pub(super) fn restart_stuck_tasks(&mut self, now: MonotonicTime) {
        for task in self.stuck_tasks(now) {
            let Some(machine) = self.machines.get_mut(&task.machine) else { continue };
            let placed = &machine.placed_tasks[task.position];
            tracing::info!(machine = %task.machine, task = %placed.task, "task stuck");
            let (key, index) = (placed.job, placed.index);
            machine.cordon(CordonReason::Slow);
            if let Some(job) = key.and_then(|key| self.jobs.get_mut(&key)) {
                job.restarted_tasks.insert(index);
                job.add_note(format!(
                    "task {index} ran far longer than others on {}, tried elsewhere",
                    task.machine
                ));
            }
            self.stop_task(&task.machine, task.position, now);
        }
    }

    fn stuck_tasks(&self, now: MonotonicTime) -> Vec<TaskPosition> {
        let mut stuck = Vec::new();
        for (name, machine) in &self.machines {
            for (position, placed) in machine.placed_tasks.iter().enumerate() {
                if self.is_stuck(placed, now) {
                    stuck.push(TaskPosition { machine: name.clone(), position });
                }
            }
        }
        stuck
    }

    fn is_stuck(&self, placed: &PlacedTask, now: MonotonicTime) -> bool {
        let (Some(since), None) = (placed.running_since, placed.stop_order) else { return false };
        let independent = |job: &&Job| !job.spec.is_gang() && !job.spec.is_daemon();
        let job = placed.job.and_then(|key| self.jobs.get(&key)).filter(independent);
        let Some(job) = job else { return false };
        // A task is restarted only once: one that runs long on any machine must be able to finish.
        if job.restarted_tasks.contains(&placed.index) {
            return false;
        }
        let ran_ms = millis_f64(now.saturating_duration_since(since));
        let mean_ms = job.run_times.reliable_mean_ms();
        mean_ms.is_some_and(|mean_ms| ran_ms > mean_ms * constants::STUCK_TASK_RATIO)
    }
}
