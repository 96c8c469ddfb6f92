//! Commands to workers: in the answers to their reports, and stops that do not wait for one.

use super::{ClusterState, PlacedTask, TaskPhase, TaskPlacement};
use hookway_constants as constants;
use hookway_wire::{Command, DirectCommands, ExitCause};

/// Most commands in one answer, so that its only line stays far below 64 KiB.
const MAX_COMMANDS: usize = 400;

impl ClusterState {
    /// Whether a held task must be stopped, and with how much time to save.
    pub(super) fn stop_grace_s(&self, held: &PlacedTask, now: u64) -> Option<f64> {
        let Some(job) = held.job.and_then(|k| self.jobs.get(&k)) else { return Some(0.0) };
        // Nobody has any use for what a cancelled job's tasks do.
        if held.orphaned
            || !job.is_active()
            || job.placements[held.index as usize] == TaskPlacement::Completed
        {
            return Some(0.0);
        }
        if let Some(kill) = held.stop {
            let patience = (job.spec.checkpoint_s * 1000.0) as u64 + constants::STOP_TIMEOUT_MS;
            let late = now.saturating_sub(kill.decided_at) > patience;
            return Some(if late { 0.0 } else { kill.grace_s });
        }
        (job.spec.is_gang() && (job.broken || job.gang_attempt != Some(held.attempt)))
            .then_some(0.0)
    }

    /// The commands for a machine, in answer to its newest report.
    pub(super) fn commands_for(&mut self, name: &str, now: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get(name) else { return commands };
        for e in &machine.ended_tasks {
            // The result must be durable before the worker may forget it.
            let job = e.job.and_then(|k| self.jobs.get(&k));
            let needed = e.cause == ExitCause::Done
                && job.is_some_and(|j| {
                    !j.completion.is_final()
                        && !j.spec.is_daemon()
                        && !j.progress.is_durable(e.index)
                });
            if !needed {
                commands.push(Command::Reap { task: e.task.clone(), attempt: e.attempt });
            }
        }
        let stays = !machine.is_draining();
        let may_start = stays && machine.registered;
        let mut held = machine.placed_tasks.clone();
        let mut dropped = Vec::new();
        for h in &mut held {
            let job = h.job.and_then(|k| self.jobs.get(&k));
            let stray_elsewhere = job.is_some_and(|j| j.orphaned.contains(&h.index));
            let opened = job.is_some_and(|j| j.start_watermark.allows_start(h.index));
            match (h.phase, self.stop_grace_s(h, now)) {
                (TaskPhase::Planned, None) if stray_elsewhere || !stays => {
                    dropped.push((h.task.clone(), h.attempt));
                }
                (TaskPhase::Planned, Some(_)) => dropped.push((h.task.clone(), h.attempt)),
                (_, Some(grace_s)) => commands.push(Command::Kill {
                    task: h.task.clone(),
                    attempt: h.attempt,
                    grace_s,
                }),
                (TaskPhase::Planned, None)
                    if may_start && opened && commands.len() < MAX_COMMANDS =>
                {
                    tracing::debug!("task {} attempt {}: start on {name}", h.task, h.attempt);
                    commands.push(Command::Run { task: h.task.clone(), attempt: h.attempt });
                    h.phase = TaskPhase::Sent;
                }
                _ => {}
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.placed_tasks = held;
        }
        for (task, attempt) in dropped {
            self.cancel_planned_start(name, &task, attempt, now);
        }
        commands.truncate(MAX_COMMANDS * 2);
        commands
    }

    /// Commands to stop that should not wait for the workers' reports: address and commands. Each
    /// is handed out once; if it gets lost, the answer to the next report says the same.
    pub fn take_direct_stops(&mut self, now: u64) -> Vec<(String, DirectCommands)> {
        let mut pushes = Vec::new();
        if !std::mem::take(&mut self.stops_due) {
            return pushes;
        }
        // A machine that has missed its report would only hold a socket until the time limit.
        let quiet = self.heartbeat_timeout_ms();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(machine) = self.machines.get(&name) else { continue };
            let silent = now >= machine.last_response_at.max(self.resumed_at) + quiet;
            if !machine.has_reported || machine.address.is_empty() || silent {
                continue;
            }
            let stops: Vec<(usize, f64)> = machine
                .placed_tasks
                .iter()
                .enumerate()
                .filter(|(_, h)| !h.stop_dispatched && matches!(h.phase, TaskPhase::Reported(_)))
                .filter_map(|(i, h)| self.stop_grace_s(h, now).map(|grace_s| (i, grace_s)))
                .take(MAX_COMMANDS)
                .collect();
            if stops.is_empty() {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let mut commands = Vec::with_capacity(stops.len());
            for (i, grace_s) in stops {
                let held = &mut machine.placed_tasks[i];
                held.stop_dispatched = true;
                commands.push(Command::Kill {
                    task: held.task.clone(),
                    attempt: held.attempt,
                    grace_s,
                });
            }
            let session = machine.newest_message.incarnation;
            let token = self.term + machine.token_offset;
            pushes.push((
                machine.address.clone(),
                DirectCommands { fencing_token: token, incarnation: session, commands },
            ));
        }
        pushes
    }
}
