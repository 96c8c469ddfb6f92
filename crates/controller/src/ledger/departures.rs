//! How tasks leave their machines: they end, are lost, or were never started.

use super::{Held, Job, Ledger, Phase, Slot, lease_over_ms};
use hookway_constants as constants;
use hookway_wire::ExitCause;

/// How a task left its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leave {
    /// Its start was never sent, or surely did not arrive.
    NotStarted,
    /// It ended there.
    Ended(ExitCause),
    /// The machine, or the worker's session, is gone.
    Lost,
}

impl Ledger {
    /// A task has left its place on a machine.
    pub(super) fn leave(&mut self, name: &str, held: &Held, leave: Leave, now: u64) {
        let zone = self.machines.get(name).map(|h| h.zone.clone()).unwrap_or_default();
        let Some(key) = held.job else {
            self.strangers = self.strangers.saturating_sub(1);
            return;
        };
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.held = job.held.saturating_sub(1);
        if let Some(zone) = self.setup.params.zone(&zone) {
            job.per_zone[zone] = job.per_zone[zone].saturating_sub(1);
        }
        let index = held.index;
        if held.stray {
            if let Some(i) = job.strays.iter().position(|s| *s == index) {
                job.strays.swap_remove(i);
            }
        } else if job.slots[index as usize] == Slot::Held {
            job.slots[index as usize] = Slot::Free;
            if job.spec.is_gang() && leave != Leave::Ended(ExitCause::Done) {
                job.broken = true;
                self.stops_due = true;
            }
        }
        // Free only when no machine has it in any attempt: a stray counts as much as the real one.
        let elsewhere = job.strays.contains(&index);
        if job.live() && job.slots[index as usize] == Slot::Free && !elsewhere {
            job.free.insert(index);
        }
        match leave {
            Leave::NotStarted => {}
            Leave::Ended(cause) => {
                tracing::debug!("task {} attempt {} on {name}: {cause:?}", held.task, held.attempt);
                self.ended_with(name, key, held, cause, now);
            }
            Leave::Lost => {
                tracing::info!("task {} attempt {} on {name}: lost", held.task, held.attempt);
                job.note(format!("task {index} was lost with its machine {name}"));
            }
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            if job.held == 0 {
                job.attempt = None;
                job.broken = false;
            }
            job.waiting_since = now;
        }
        self.drop_if_gone(key);
    }

    pub(super) fn ended_with(
        &mut self,
        name: &str,
        key: u64,
        held: &Held,
        cause: ExitCause,
        now: u64,
    ) {
        let daemon = self.jobs.get(&key).is_some_and(|j| j.spec.is_daemon());
        if cause == ExitCause::Done && !daemon {
            // After a silence nobody knows when it ended, and of one that an earlier leader started,
            // when it began: such times would make the mean too short.
            let heard = self.machines.get(name).map_or(0, |h| h.last_answer);
            let report_ms = self.setup.params.workers.report_s * 1000.0;
            let silence = now.saturating_sub(heard) as f64 > 2.0 * report_ms;
            let known = !silence && !held.found;
            let took = held.running_since.filter(|_| known).map(|s| now.saturating_sub(s));
            let mean = self.jobs.get(&key).and_then(Job::solid_mean);
            self.complete(key, held.index, took);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.failed.clear();
                if let (Some(took), Some(mean)) = (took, mean) {
                    let slow = took as f64 > mean * constants::SLOW_TASK_RATIO;
                    machine.slow = if slow { machine.slow + 1 } else { 0 };
                    if machine.slow >= constants::SLOW_TASKS && machine.closing.is_none() {
                        tracing::info!("machine {name}: slow, to be returned");
                        machine.closing = Some("slow");
                    }
                }
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !held.stray && job.over.is_none() {
            job.note(format!("task {} {} (machine {name})", held.index, cause.description()));
        }
        let Some(machine) = self.machines.get_mut(name) else { return };
        match cause {
            ExitCause::Error => self.blame(name, key, held.since, now),
            ExitCause::Done => job.replica_completed(name, held.running_since, held.since, now),
            ExitCause::InsufficientResources | ExitCause::AttemptConflict => {
                machine.pause_until = now + constants::REJECTED_START_BACKOFF_MS;
            }
            ExitCause::UnknownJob => job.pause_until = now + constants::FAILURE_BACKOFF_MS,
            _ => {}
        }
    }

    /// A task has completed. A gang completes together.
    pub(super) fn complete(&mut self, key: u64, index: u32, took_ms: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.over.is_some() || job.spec.is_daemon() {
            return;
        }
        job.errors = 0;
        let all = job.spec.is_gang();
        self.stops_due |= all || !job.strays.is_empty();
        let indexes = if all { 0..job.spec.tasks } else { index..index + 1 };
        for i in indexes {
            if job.slots[i as usize] == Slot::Done {
                continue;
            }
            job.slots[i as usize] = Slot::Done;
            job.free.remove(&i);
            job.done += 1;
            if i == index
                && let Some(took) = took_ms
            {
                job.sum_ms += took;
                job.timed += 1;
            }
            let chunk = job.progress.chunk_of(i);
            if job.progress.queue(chunk) {
                self.writer.chunks.push_back((key, chunk));
            }
        }
        self.finish_if_done(key);
    }

    /// Everything that was on a machine is gone.
    pub(super) fn clear_machine(&mut self, name: &str, now: u64, why: Leave) {
        self.touch(name);
        self.count_running(name, false);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.ended.clear();
        let held = std::mem::take(&mut machine.held);
        for h in held {
            let leave = if h.phase == Phase::Planned { Leave::NotStarted } else { why };
            self.leave(name, &h, leave, now);
        }
    }

    /// A machine is proven gone.
    pub(super) fn machine_gone(&mut self, name: &str, now: u64) {
        self.clear_machine(name, now, Leave::Lost);
        let removed = self.machines.remove(name);
        if removed.is_some_and(|machine| machine.asked.under_way) {
            self.greetings = self.greetings.saturating_sub(1);
        }
        self.writer.roster.drop(name);
        self.unheard.remove(name);
        self.blocks.forget(name);
        self.deleting.remove(name);
        self.gone_machines.insert(name.to_owned());
        tracing::info!("machine {name}: gone");
    }

    /// Drops all starts on a machine that were never sent.
    pub(super) fn unplan_all(&mut self, name: &str, now: u64) {
        let Some(machine) = self.machines.get(name) else { return };
        let planned: Vec<(String, u64)> = machine
            .held
            .iter()
            .filter(|h| h.phase == Phase::Planned)
            .map(|h| (h.task.clone(), h.attempt))
            .collect();
        for (task, attempt) in planned {
            self.unplan(name, &task, attempt, now);
        }
    }

    /// Drops a start that was never sent.
    pub(super) fn unplan(&mut self, name: &str, task: &str, attempt: u64, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let found = machine
            .held
            .iter()
            .position(|h| h.phase == Phase::Planned && h.attempt == attempt && h.task == task);
        if let Some(i) = found {
            let held = machine.held.remove(i);
            self.touch(name);
            self.leave(name, &held, Leave::NotStarted, now);
        }
    }

    /// Time passes: what is on machines whose lease has surely run out is gone, and starts that
    /// wait for a silent machine are dropped.
    pub fn pass_time(&mut self, now: u64) {
        self.write_proven(now);
        if self.unheard_over(now) {
            self.writer.roster.forget_unreadable();
        }
        let quiet = (self.setup.params.workers.report_s * 2500.0) as u64;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            if self.expire_if_silent(&name, now) {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            if machine.kept.is_some_and(|(_, until)| now >= until) {
                machine.kept = None;
            }
            if now >= machine.last_answer + quiet {
                self.unplan_all(&name, now);
            }
        }
    }

    /// Whether the lease of a machine's worker has surely run out; then its tasks are gone, and
    /// with them its session.
    pub(super) fn expire_if_silent(&mut self, name: &str, now: u64) -> bool {
        let lease = lease_over_ms(&self.setup.params);
        let Some(machine) = self.machines.get_mut(name) else { return false };
        if !self.holders.lease_over(&machine.zone, machine.last_answer, lease, now) {
            return false;
        }
        if machine.heard && machine.dead_session < machine.newest.0 {
            tracing::info!("machine {name}: silent, its lease is over");
            machine.dead_session = machine.newest.0;
            self.clear_machine(name, now, Leave::Lost);
        }
        self.unheard.remove(name);
        true
    }
}
