//! How tasks leave their machines: they end, are lost, or were never started.

use super::{
    ClusterState, CordonReason, Job, JobKey, PlacedTask, TaskPhase, TaskPlacement,
    worker_lease_expiry_ms,
};
use hookway_constants as constants;
use hookway_wire::ExitCause;

/// How a task left its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskRemoval {
    /// Its start was never sent, or surely did not arrive.
    NotStarted,
    /// It ended there.
    Ended(ExitCause),
    /// The machine, or the worker's session, is gone.
    Lost,
}

impl ClusterState {
    /// A task has left its place on a machine.
    pub(super) fn remove_task(
        &mut self,
        name: &str,
        held: &PlacedTask,
        leave: TaskRemoval,
        now: u64,
    ) {
        let zone = self.machines.get(name).map(|h| h.zone.clone()).unwrap_or_default();
        let Some(key) = held.job else {
            self.unknown_tasks = self.unknown_tasks.saturating_sub(1);
            return;
        };
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.count_removed(self.config.platform.zone(&zone));
        let index = held.index;
        if held.orphaned {
            if let Some(i) = job.orphaned.iter().position(|s| *s == index) {
                job.orphaned.swap_remove(i);
            }
        } else if job.placements[index as usize] == TaskPlacement::Placed {
            job.placements[index as usize] = TaskPlacement::Unplaced;
            if job.spec.is_gang() && leave != TaskRemoval::Ended(ExitCause::Done) {
                job.broken = true;
                self.stops_due = true;
            }
        }
        // Free only when no machine has it in any attempt: a stray counts as much as the real one.
        let elsewhere = job.orphaned.contains(&index);
        if job.is_active()
            && job.placements[index as usize] == TaskPlacement::Unplaced
            && !elsewhere
        {
            job.unplaced.insert(index);
        }
        match leave {
            TaskRemoval::NotStarted => {}
            TaskRemoval::Ended(cause) => {
                tracing::debug!("task {} attempt {} on {name}: {cause:?}", held.task, held.attempt);
                self.task_ended(name, key, held, cause, now);
            }
            TaskRemoval::Lost => {
                tracing::info!("task {} attempt {} on {name}: lost", held.task, held.attempt);
                job.add_note(format!("task {index} was lost with its machine {name}"));
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            if job.placed == 0 {
                job.gang_attempt = None;
                job.broken = false;
            }
            job.waiting_since = now;
        }
        self.forget_if_removed(key);
    }

    pub(super) fn task_ended(
        &mut self,
        name: &str,
        key: JobKey,
        held: &PlacedTask,
        cause: ExitCause,
        now: u64,
    ) {
        let daemon = self.jobs.get(&key).is_some_and(|j| j.spec.is_daemon());
        if cause == ExitCause::Done && !daemon {
            // After a silence nobody knows when it ended, and of one that an earlier leader started,
            // when it began: such times would make the mean too short.
            let heard = self.machines.get(name).map_or(0, |h| h.last_response_at);
            let report_ms = self.heartbeat_interval_ms();
            let silence = now.saturating_sub(heard) as f64 > 2.0 * report_ms;
            let known = !silence && !held.adopted;
            let took = held.running_since.filter(|_| known).map(|s| now.saturating_sub(s));
            let mean = self.jobs.get(&key).and_then(Job::reliable_mean_run_time_ms);
            self.complete_task(key, held.index, took);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.failed_jobs.clear();
                if let (Some(took), Some(mean)) = (took, mean) {
                    let slow = took as f64 > mean * constants::SLOW_TASK_RATIO;
                    machine.consecutive_slow_tasks =
                        if slow { machine.consecutive_slow_tasks + 1 } else { 0 };
                    if machine.consecutive_slow_tasks >= constants::SLOW_TASKS
                        && machine.cordon_reason.is_none()
                    {
                        tracing::info!("machine {name}: slow, to be returned");
                        machine.cordon_reason = Some(CordonReason::Slow);
                    }
                }
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !held.orphaned && !job.completion.is_final() {
            job.add_note(format!("task {} {} (machine {name})", held.index, cause.description()));
        }
        let Some(machine) = self.machines.get_mut(name) else { return };
        match cause {
            ExitCause::Error => self.attribute_failure(name, key, held.placed_at, now),
            ExitCause::Done => job.replica_completed(name, held.running_since, held.placed_at, now),
            ExitCause::InsufficientResources | ExitCause::AttemptConflict => {
                machine.backoff_until = now + constants::REJECTED_START_BACKOFF_MS;
            }
            ExitCause::UnknownJob => job.backoff_until = now + constants::FAILURE_BACKOFF_MS,
            _ => {}
        }
    }

    /// A task has completed. A gang completes together.
    pub(super) fn complete_task(&mut self, key: JobKey, index: u32, took_ms: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.completion.is_final() || job.spec.is_daemon() {
            return;
        }
        job.consecutive_failures = 0;
        let all = job.spec.is_gang();
        self.stops_due |= all || !job.orphaned.is_empty();
        let indexes = if all { 0..job.spec.tasks } else { index..index + 1 };
        for i in indexes {
            if !job.mark_completed(i) {
                continue;
            }
            if i == index
                && let Some(took) = took_ms
            {
                job.run_time_sum_ms += took;
                job.run_time_count += 1;
            }
            let chunk = job.progress.page_of(i);
            if job.progress.queue(chunk) {
                self.commit_queue.progress_pages.push_back((key, chunk));
            }
        }
        self.finish_if_complete(key);
    }

    /// Everything that was on a machine is gone.
    pub(super) fn remove_all_tasks(&mut self, name: &str, now: u64, why: TaskRemoval) {
        self.mark_unpublished(name);
        self.uncount_running(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.ended_tasks.clear();
        let held = std::mem::take(&mut machine.placed_tasks);
        for h in held {
            let leave = if h.phase == TaskPhase::Planned { TaskRemoval::NotStarted } else { why };
            self.remove_task(name, &h, leave, now);
        }
    }

    /// A machine is proven gone.
    pub(super) fn remove_machine(&mut self, name: &str, now: u64) {
        self.remove_all_tasks(name, now, TaskRemoval::Lost);
        let removed = self.machines.remove(name);
        if removed.is_some_and(|machine| machine.state_probe.is_in_flight()) {
            self.state_probes_in_flight = self.state_probes_in_flight.saturating_sub(1);
        }
        self.commit_queue.registry.remove(name);
        self.unreconciled_machines.remove(name);
        self.scaling_in.remove(name);
        self.removed_machines.insert(name.to_owned());
        tracing::info!("machine {name}: gone");
    }

    /// Drops all starts on a machine that were never sent.
    pub(super) fn cancel_planned_starts(&mut self, name: &str, now: u64) {
        let Some(machine) = self.machines.get(name) else { return };
        let planned: Vec<(String, u64)> = machine
            .placed_tasks
            .iter()
            .filter(|h| h.phase == TaskPhase::Planned)
            .map(|h| (h.task.clone(), h.attempt))
            .collect();
        for (task, attempt) in planned {
            self.cancel_planned_start(name, &task, attempt, now);
        }
    }

    /// Drops a start that was never sent.
    pub(super) fn cancel_planned_start(&mut self, name: &str, task: &str, attempt: u64, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let found = machine
            .placed_tasks
            .iter()
            .position(|h| h.phase == TaskPhase::Planned && h.attempt == attempt && h.task == task);
        if let Some(i) = found {
            let held = machine.placed_tasks.remove(i);
            self.mark_unpublished(name);
            self.remove_task(name, &held, TaskRemoval::NotStarted, now);
        }
    }

    /// Time passes: what is on machines whose lease has surely run out is gone, and starts that
    /// wait for a silent machine are dropped.
    pub fn expire_leases(&mut self, now: u64) {
        self.queue_proven_cancellations(now);
        if self.unreconciled_leases_expired(now) {
            self.commit_queue.registry.forget_unreadable();
        }
        let quiet = (self.config.platform.workers.heartbeat_interval_s * 2500.0) as u64;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            if self.expire_lease_if_silent(&name, now) {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            if machine.reserved_for_gang.is_some_and(|r| now >= r.until_ms) {
                machine.reserved_for_gang = None;
            }
            if now >= machine.last_response_at + quiet {
                self.cancel_planned_starts(&name, now);
            }
        }
    }

    /// Whether the lease of a machine's worker has surely run out; then its tasks are gone, and
    /// with them its session.
    pub(super) fn expire_lease_if_silent(&mut self, name: &str, now: u64) -> bool {
        let lease = worker_lease_expiry_ms(&self.config.platform);
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if !self.shard_lessor.worker_lease_expired(
            &machine.zone,
            machine.last_response_at,
            lease,
            now,
        ) {
            return false;
        }
        if machine.is_live() {
            tracing::info!("machine {name}: silent, its lease is over");
            machine.expired_incarnation = machine.newest_message.incarnation;
            self.remove_all_tasks(name, now, TaskRemoval::Lost);
        }
        self.unreconciled_machines.remove(name);
        true
    }
}
