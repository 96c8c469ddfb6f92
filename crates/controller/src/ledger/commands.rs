//! Commands to workers: in the answers to their reports, and stops that do not wait for one.

use super::{Held, Ledger, Phase, Slot};
use hookway_constants as constants;
use hookway_wire::{Command, DirectCommands, ExitCause};

/// Most commands in one answer, so that its only line stays far below 64 KiB.
const COMMANDS_AT_MOST: usize = 400;

impl Ledger {
    /// Whether a held task must be stopped, and with how much time to save.
    pub(super) fn must_stop(&self, held: &Held, now: u64) -> Option<f64> {
        let Some(job) = held.job.and_then(|k| self.jobs.get(&k)) else { return Some(0.0) };
        // Nobody has any use for what a cancelled job's tasks do.
        if held.stray || !job.live() || job.slots[held.index as usize] == Slot::Done {
            return Some(0.0);
        }
        if let Some(kill) = held.kill {
            let patience = (job.spec.checkpoint_s * 1000.0) as u64 + constants::STOP_TIMEOUT_MS;
            let late = now.saturating_sub(kill.since) > patience;
            return Some(if late { 0.0 } else { kill.grace_s });
        }
        (job.spec.is_gang() && (job.broken || job.attempt != Some(held.attempt))).then_some(0.0)
    }

    /// The commands for a machine, in answer to its newest report.
    pub(super) fn commands_for(&mut self, name: &str, now: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get(name) else { return commands };
        for e in &machine.ended {
            // The result must be durable before the worker may forget it.
            let job = e.job.and_then(|k| self.jobs.get(&k));
            let needed = e.cause == ExitCause::Done
                && job.is_some_and(|j| {
                    j.over.is_none() && !j.spec.is_daemon() && !j.progress.is_durable(e.index)
                });
            if !needed {
                commands.push(Command::Reap { task: e.task.clone(), attempt: e.attempt });
            }
        }
        let stays = machine.closing.is_none() && machine.notice.is_none();
        let may_start = stays && machine.rostered;
        let mut held = machine.held.clone();
        let mut dropped = Vec::new();
        for h in &mut held {
            let job = h.job.and_then(|k| self.jobs.get(&k));
            let stray_elsewhere = job.is_some_and(|j| j.strays.contains(&h.index));
            let opened = job.is_some_and(|j| h.index < j.opened);
            match (h.phase, self.must_stop(h, now)) {
                (Phase::Planned, None) if stray_elsewhere || !stays => {
                    dropped.push((h.task.clone(), h.attempt));
                }
                (Phase::Planned, Some(_)) => dropped.push((h.task.clone(), h.attempt)),
                (_, Some(grace_s)) => commands.push(Command::Kill {
                    task: h.task.clone(),
                    attempt: h.attempt,
                    grace_s,
                }),
                (Phase::Planned, None)
                    if may_start && opened && commands.len() < COMMANDS_AT_MOST =>
                {
                    tracing::debug!("task {} attempt {}: start on {name}", h.task, h.attempt);
                    commands.push(Command::Run { task: h.task.clone(), attempt: h.attempt });
                    h.phase = Phase::Sent;
                }
                _ => {}
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.held = held;
        }
        for (task, attempt) in dropped {
            self.unplan(name, &task, attempt, now);
        }
        commands.truncate(COMMANDS_AT_MOST * 2);
        commands
    }

    /// Commands to stop that should not wait for the workers' reports: address and commands. Each
    /// is handed out once; if it gets lost, the answer to the next report says the same.
    pub fn take_pushes(&mut self, now: u64) -> Vec<(String, DirectCommands)> {
        let mut pushes = Vec::new();
        if !std::mem::take(&mut self.stops_due) {
            return pushes;
        }
        // A machine that has missed its report would only hold a socket until the time limit.
        let quiet = self.report_due_ms();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(machine) = self.machines.get(&name) else { continue };
            let silent = now >= machine.last_answer.max(self.resumed_at) + quiet;
            if !machine.heard || machine.addr.is_empty() || silent {
                continue;
            }
            let stops: Vec<(usize, f64)> = machine
                .held
                .iter()
                .enumerate()
                .filter(|(_, h)| !h.pushed && matches!(h.phase, Phase::On(_)))
                .filter_map(|(i, h)| self.must_stop(h, now).map(|grace_s| (i, grace_s)))
                .take(COMMANDS_AT_MOST)
                .collect();
            if stops.is_empty() {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let mut commands = Vec::with_capacity(stops.len());
            for (i, grace_s) in stops {
                let held = &mut machine.held[i];
                held.pushed = true;
                commands.push(Command::Kill {
                    task: held.task.clone(),
                    attempt: held.attempt,
                    grace_s,
                });
            }
            let session = machine.newest.0;
            let token = self.term + machine.bump;
            pushes.push((
                machine.addr.clone(),
                DirectCommands { fencing_token: token, incarnation: session, commands },
            ));
        }
        pushes
    }
}
