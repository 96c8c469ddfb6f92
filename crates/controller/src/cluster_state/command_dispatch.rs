//! Commands to workers: those in responses to heartbeats, and stops that are dispatched directly.

use super::{ClusterState, Machine, PlacedTask, TaskPhase};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, duration_from_seconds};
use hookway_wire::{Command, DirectCommands, ExitCause};

/// Number of commands from which no more starts or direct stops are added to a message. Keeps the
/// message, which is a single line, far below 64 KiB.
const MAX_COMMANDS: usize = 400;
/// Maximum number of commands in a response. Reaps and stops may exceed [`MAX_COMMANDS`].
const MAX_COMMANDS_WITH_STOPS: usize = 2 * MAX_COMMANDS;

/// Stops to be sent directly to a worker, without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectStop {
    /// Address where the worker listens for direct commands.
    pub address: String,
    /// Kill commands only, under the machine's current fencing token and for its worker's
    /// incarnation.
    pub commands: DirectCommands,
}

/// The stop of a placed task.
struct SelectedStop {
    /// Index in the machine's placed tasks.
    position: usize,
    grace_s: f64,
}

impl ClusterState {
    /// Returns the time for a checkpoint, s, if a placed task must be stopped; `None` if it may run
    /// on.
    pub(super) fn stop_grace_s(&self, placed: &PlacedTask, now: MonotonicTime) -> Option<f64> {
        let job = placed.job.and_then(|key| self.jobs.get(&key));
        let Some(job) = job else { return Some(0.0) };
        // A checkpoint of such a task would never be used.
        if placed.orphaned || !job.is_active() || job.is_completed(placed.index) {
            return Some(0.0);
        }
        if let Some(order) = placed.stop_order {
            let stop_timeout =
                duration_from_seconds(job.spec.checkpoint_write_s) + constants::STOP_TIMEOUT;
            let is_overdue = now.saturating_duration_since(order.decided_at) > stop_timeout;
            return Some(if is_overdue { 0.0 } else { order.grace_s });
        }
        let is_in_broken_gang =
            job.spec.is_gang() && (job.gang.broken || job.gang.attempt != Some(placed.attempt));
        is_in_broken_gang.then_some(0.0)
    }

    /// Whether the durable start watermark of the job allows a placed task to be started.
    pub(super) fn watermark_allows_start(&self, placed: &PlacedTask) -> bool {
        let job = placed.job.and_then(|key| self.jobs.get(&key));
        job.is_some_and(|job| job.start_watermark.allows_start(placed.index))
    }

    /// Whether an orphaned attempt of the same task is on some machine.
    pub(super) fn has_orphaned_attempt(&self, placed: &PlacedTask) -> bool {
        let job = placed.job.and_then(|key| self.jobs.get(&key));
        job.is_some_and(|job| job.orphaned_attempts.contains(&placed.index))
    }

    /// Returns the commands for the response to a machine's newest heartbeat, received at `now`,
    /// and marks the starts among them as sent. Cancels planned starts of tasks that must be
    /// stopped, that have an orphaned attempt on some machine, or whose machine is draining.
    pub(super) fn commands_for(&mut self, name: &str, now: MonotonicTime) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else { return Vec::new() };
        let mut commands = self.reap_commands(machine);
        let is_draining = machine.is_draining();
        let can_start = !is_draining && machine.has_durable_registration;
        let mut placed_tasks = machine.placed_tasks.clone();
        let mut cancelled = Vec::new();
        for placed in &mut placed_tasks {
            match (placed.phase, self.stop_grace_s(placed, now)) {
                (TaskPhase::Planned, Some(_)) => cancelled.push(placed.task_attempt()),
                (TaskPhase::Planned, None) if is_draining || self.has_orphaned_attempt(placed) => {
                    cancelled.push(placed.task_attempt());
                }
                (_, Some(grace_s)) => commands.push(placed.kill_command(grace_s)),
                (TaskPhase::Planned, None)
                    if can_start
                        && commands.len() < MAX_COMMANDS
                        && self.watermark_allows_start(placed) =>
                {
                    let (task, attempt) = (&placed.task, placed.attempt);
                    tracing::debug!(machine = %name, %task, attempt, "task start sent");
                    commands.push(placed.run_command());
                    placed.phase = TaskPhase::Sent;
                }
                _ => {}
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.placed_tasks = placed_tasks;
        }
        for start in cancelled {
            self.cancel_planned_start(name, &start, now);
        }
        commands.truncate(MAX_COMMANDS_WITH_STOPS);
        commands
    }

    /// Returns the commands to reap ended tasks, except those whose result must become durable
    /// first.
    fn reap_commands(&self, machine: &Machine) -> Vec<Command> {
        let mut commands = Vec::new();
        for ended in &machine.ended_tasks {
            let job = ended.job.and_then(|key| self.jobs.get(&key));
            let result_needed = ended.cause == ExitCause::Done
                && job.is_some_and(|job| {
                    !job.completion.is_final()
                        && !job.spec.is_daemon()
                        && !job.progress.is_durable(ended.index)
                });
            if !result_needed {
                let (task, attempt) = (ended.task.clone(), ended.attempt);
                commands.push(Command::Reap { task, attempt });
            }
        }
        commands
    }

    /// Returns the stops that should not wait for the workers' heartbeats. Each stop is returned
    /// once; if it is lost, the response to the next heartbeat has the same command.
    pub fn take_direct_stops(&mut self, now: MonotonicTime) -> Vec<DirectStop> {
        if !std::mem::take(&mut self.has_pending_stops) {
            return Vec::new();
        }
        let names: Vec<String> = self.machines.keys().cloned().collect();
        names.into_iter().filter_map(|name| self.take_direct_stop_for(&name, now)).collect()
    }

    fn take_direct_stop_for(&mut self, name: &str, now: MonotonicTime) -> Option<DirectStop> {
        let timeout = self.heartbeat_timeout();
        let machine = self.machines.get(name)?;
        // A connection to a machine whose heartbeat is overdue would most likely hang until it
        // times out.
        let answered_at = machine.last_response_at.max(self.clocks.resumed_at);
        let is_silent = now >= answered_at + timeout;
        if !machine.has_reported || machine.address.is_empty() || is_silent {
            return None;
        }
        let is_undispatched =
            |p: &PlacedTask| !p.stop_dispatched && matches!(p.phase, TaskPhase::Reported(_));
        let stops: Vec<SelectedStop> = machine
            .placed_tasks
            .iter()
            .enumerate()
            .filter(|(_, placed)| is_undispatched(placed))
            .filter_map(|(position, placed)| {
                let grace_s = self.stop_grace_s(placed, now)?;
                Some(SelectedStop { position, grace_s })
            })
            .take(MAX_COMMANDS)
            .collect();
        if stops.is_empty() {
            return None;
        }
        let machine = self.machines.get_mut(name)?;
        let mut commands = Vec::with_capacity(stops.len());
        for SelectedStop { position, grace_s } in stops {
            let placed = &mut machine.placed_tasks[position];
            placed.stop_dispatched = true;
            commands.push(placed.kill_command(grace_s));
        }
        let commands = DirectCommands {
            fencing_token: self.term + machine.token_offset,
            incarnation: machine.newest_message.incarnation,
            commands,
        };
        Some(DirectStop { address: machine.address.clone(), commands })
    }
}
