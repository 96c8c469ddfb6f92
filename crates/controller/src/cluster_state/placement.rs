//! Places tasks on machines, stops them, and preempts them for other jobs.

use super::{ClusterState, JobKey, PlacedTask, StopOrder, TaskPhase, TaskPlacement};
use hookway_constants as constants;
use hookway_time::MonotonicTime;

impl ClusterState {
    /// Places one unplaced task of a job on each of `machines`, until the job has none left that
    /// may be started. A machine that is named several times gets several tasks.
    pub(super) fn place_tasks(&mut self, key: JobKey, machines: &[String], now: MonotonicTime) {
        let is_reconciled = self.is_reconciled(now);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let gang = job.spec.is_gang();
        let reason = job.start_reason(is_reconciled);
        let first = job.first_startable_index(reason);
        job.log_first_start(reason);
        for name in machines {
            let Some(index) = job.placeable.range(first..).next().copied() else { break };
            job.placeable.remove(&index);
            if !job.start_watermark.covers(index) {
                job.start_watermark.set_target(job.watermark_for(index));
                self.commit_queue.watermark_raises.insert(key);
            }
            let Some(machine) = self.machines.get_mut(name) else {
                job.placeable.insert(index);
                continue;
            };
            // Attempt numbers are unique: their upper bits are the term, which no two leaders
            // share.
            let attempt = job.gang.attempt.filter(|_| gang).unwrap_or_else(|| {
                self.attempt_counter += 1;
                (self.term << constants::ATTEMPT_COUNTER_BITS) + self.attempt_counter
            });
            if gang {
                job.gang.attempt = Some(attempt);
            }
            job.placements[index as usize] = TaskPlacement::Placed;
            job.count_placed(self.config.platform.zone(&machine.zone));
            self.direct_dispatch.machines_with_planned_starts.insert(name.clone());
            self.unpublished_machines.insert(name.clone());
            machine.idle_since = None;
            machine.reservation = machine.reservation.filter(|r| r.job != key);
            machine.placed_tasks.push(PlacedTask {
                job: Some(key),
                task: format!("{}/{index}", job.id),
                index,
                attempt,
                phase: TaskPhase::Planned,
                orphaned: false,
                stop_order: None,
                stop_dispatched: false,
                running_since: None,
                placed_at: now,
                adopted: false,
            });
        }
    }

    /// Decides to stop the task at `position` in a machine's placed tasks, and its whole gang with
    /// it. Tasks that write checkpoints get time for one. An earlier decision to stop a task stays.
    pub(super) fn stop_task(&mut self, name: &str, position: usize, now: MonotonicTime) {
        let machine = self.machines.get(name);
        let Some(placed) = machine.and_then(|m| m.placed_tasks.get(position)) else { return };
        let Some(key) = placed.job else { return };
        let (task, attempt) = (placed.task.clone(), placed.attempt);
        let Some(job) = self.jobs.get(&key) else { return };
        let grace_s = if job.spec.writes_checkpoints() {
            job.spec.checkpoint_write_s + constants::CHECKPOINT_MARGIN_S
        } else {
            0.0
        };
        let order = StopOrder { grace_s, decided_at: now };
        let gang = job.spec.is_gang();
        self.has_pending_stops = true;
        let placed_tasks = self.machines.values_mut().flat_map(|m| &mut m.placed_tasks);
        for placed in placed_tasks {
            let same_attempt = placed.job == Some(key) && placed.attempt == attempt;
            if same_attempt && (gang || placed.task == task) {
                placed.stop_order.get_or_insert(order);
            }
        }
    }

    /// Stops the task at `position` in a machine's placed tasks so that job `beneficiary` can start
    /// in its place, and adds a note for the user of the preempted job.
    pub(super) fn preempt_task(
        &mut self,
        name: &str,
        position: usize,
        beneficiary: JobKey,
        now: MonotonicTime,
    ) {
        let machine = self.machines.get(name);
        let Some(placed) = machine.and_then(|m| m.placed_tasks.get(position)) else { return };
        let Some(beneficiary) = self.jobs.get(&beneficiary).map(|job| job.id.clone()) else {
            return;
        };
        let (victim, index) = (placed.job, placed.index);
        if let Some(job) = victim.and_then(|key| self.jobs.get_mut(&key)) {
            tracing::info!(job = %job.id, index, %beneficiary, "task preempted");
            job.add_note(format!("task {index} makes room for {beneficiary}"));
        }
        self.stop_task(name, position, now);
    }
}
