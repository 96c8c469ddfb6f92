//! Direct dispatch of starts, which should not wait for the workers' next heartbeats.

use super::heartbeat_tasks::MessageKind;
use super::{ClusterState, Machine, MessageVersion, TaskPhase};
use hookway_clients::Delivery;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::{DirectCommands, Heartbeat};
use std::collections::{BTreeSet, HashMap};

/// What is to be dispatched directly, and what is in flight.
#[derive(Debug, Default)]
pub(super) struct DirectDispatch {
    /// Machines with planned starts that were not sent to their workers yet.
    pub machines_with_planned_starts: BTreeSet<String>,
    /// Fencing token of the message with starts in flight to each machine.
    in_flight: HashMap<String, u64>,
}

/// Starts to be sent directly to a machine's worker.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectStart {
    /// Name of the machine, as it reports itself in heartbeats.
    pub machine: String,
    /// Address where its worker listens for direct commands.
    pub address: String,
    /// Run commands only. Every later message to the worker has a higher fencing token.
    pub commands: DirectCommands,
}

/// Selection of the planned starts of a machine that may be dispatched now.
struct StartSelection {
    /// Indexes in the machine's placed tasks.
    positions: Vec<usize>,
    /// Whether some task waits for its start watermark to become durable.
    waits_for_watermark: bool,
}

impl DirectDispatch {
    /// Whether a message with starts is in flight to a machine.
    pub fn is_in_flight(&self, name: &str) -> bool {
        self.in_flight.contains_key(name)
    }

    /// Removes the message to a machine under this fencing token from those in flight; `false` if
    /// it was not in flight.
    fn remove_in_flight(&mut self, name: &str, fencing_token: u64) -> bool {
        let was_in_flight = self.in_flight.get(name) == Some(&fencing_token);
        if was_in_flight {
            self.in_flight.remove(name);
        }
        was_in_flight
    }
}

impl Machine {
    /// Whether the outcome of some start dispatched under this fencing token is unknown.
    fn awaits_direct_starts(&self, fencing_token: u64) -> bool {
        let unknown_outcome = TaskPhase::DispatchedDirectly(fencing_token);
        self.placed_tasks.iter().any(|placed| placed.phase == unknown_outcome)
    }
}

impl ClusterState {
    /// Returns the starts that should not wait for their workers' next heartbeats. The caller
    /// passes the outcome of each to [`ClusterState::apply_direct_dispatch_outcome`].
    ///
    /// Such a command may arrive late, or twice. After a `reap`, a second arrival would start the
    /// task again. So the machine's fencing token is raised with each dispatch: every later
    /// response, and with it every `reap`, carries a higher token, after which the worker refuses
    /// the command.
    pub fn take_direct_starts(&mut self, now: MonotonicTime) -> Vec<DirectStart> {
        let mut dispatches = Vec::new();
        let names = self.direct_dispatch.machines_with_planned_starts.clone();
        for name in names {
            if self.direct_dispatch.in_flight.len() >= constants::MAX_DIRECT_DISPATCHES {
                break;
            }
            dispatches.extend(self.take_direct_start_for(&name, now));
        }
        dispatches
    }

    fn take_direct_start_for(&mut self, name: &str, now: MonotonicTime) -> Option<DirectStart> {
        let Some(machine) = self.machines.get(name) else {
            self.direct_dispatch.machines_with_planned_starts.remove(name);
            return None;
        };
        if self.direct_dispatch.is_in_flight(name)
            || !machine.has_durable_registration
            || now < machine.heartbeat_expected_by
        {
            return None;
        }
        self.direct_dispatch.machines_with_planned_starts.remove(name);
        if !can_dispatch_to(machine) {
            return None;
        }
        let selection = self.select_starts(machine, now);
        if selection.waits_for_watermark {
            self.direct_dispatch.machines_with_planned_starts.insert(name.to_owned());
        }
        if selection.positions.is_empty() {
            return None;
        }
        let machine = self.machines.get_mut(name)?;
        let fencing_token = self.term + machine.token_offset;
        machine.token_offset += 1;
        self.direct_dispatch.in_flight.insert(name.to_owned(), fencing_token);
        let mut commands = Vec::with_capacity(selection.positions.len());
        for position in selection.positions {
            let placed = &mut machine.placed_tasks[position];
            placed.phase = TaskPhase::DispatchedDirectly(fencing_token);
            commands.push(placed.run_command());
        }
        let incarnation = machine.newest_message.incarnation;
        let address = machine.address.clone();
        self.mark_unpublished(name);
        let commands = DirectCommands { fencing_token, incarnation, commands };
        Some(DirectStart { machine: name.to_owned(), address, commands })
    }

    /// Selects the planned starts that may be sent now, up to the maximum number in one message.
    fn select_starts(&self, machine: &Machine, now: MonotonicTime) -> StartSelection {
        let mut waits_for_watermark = false;
        let positions = machine
            .placed_tasks
            .iter()
            .enumerate()
            .filter(|(_, placed)| {
                if placed.phase != TaskPhase::Planned || self.stop_grace_s(placed, now).is_some() {
                    return false;
                }
                let is_allowed = self.watermark_allows_start(placed);
                waits_for_watermark |= !is_allowed;
                is_allowed && !self.has_orphaned_attempt(placed)
            })
            .map(|(position, _)| position)
            .take(constants::DIRECT_DISPATCH_MAX_TASKS)
            .collect();
        StartSelection { positions, waits_for_watermark }
    }

    /// Processes the outcome, known at `now`, of starts dispatched to a worker under
    /// `fencing_token`. Only the first outcome of a dispatch counts, except that a later answer of
    /// the worker still updates its tasks.
    pub fn apply_direct_dispatch_outcome(
        &mut self,
        name: &str,
        fencing_token: u64,
        delivery: Delivery,
        now: MonotonicTime,
    ) {
        let is_first = self.direct_dispatch.remove_in_flight(name, fencing_token);
        let Some(machine) = self.machines.get_mut(name) else { return };
        match delivery {
            Delivery::Executed(heartbeat) => self.apply_direct_answer(name, &heartbeat, now),
            _ if !is_first => {}
            // The worker refused this copy of the message. The next heartbeat with a higher fencing
            // token shows whether the worker executed another copy before.
            Delivery::Refused => {}
            Delivery::NotSent => {
                machine.back_off(now + constants::UNREACHABLE_BACKOFF);
                self.replan_direct_starts(name, fencing_token);
                tracing::debug!(machine = %name, "worker unreachable");
                self.cancel_planned_starts(name, now);
            }
            // A newer message of the worker has resolved these starts: the worker was reached.
            Delivery::Indeterminate if !machine.awaits_direct_starts(fencing_token) => {}
            Delivery::Indeterminate => {
                machine.back_off(now + constants::UNREACHABLE_BACKOFF);
                self.cancel_planned_starts(name, now);
            }
        }
    }

    /// Applies the answer of a worker to direct commands. The answer counts only if it is of the
    /// incarnation that was addressed, and it extends no lease.
    fn apply_direct_answer(&mut self, name: &str, heartbeat: &Heartbeat, now: MonotonicTime) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let version = MessageVersion::of(heartbeat);
        if heartbeat.machine == name
            && version.incarnation == machine.newest_message.incarnation
            && version.incarnation > machine.expired_incarnation
            && version > machine.newest_message
        {
            let requested_at = now.saturating_sub(constants::WORKER_TIMEOUT);
            machine.record_direct_answer(heartbeat, requested_at, now);
            self.reconcile_machine(heartbeat);
            self.apply_reported_tasks(name, heartbeat, now, MessageKind::DirectAnswer);
        }
    }

    /// Plans the starts dispatched under `fencing_token` again: they certainly were not and will
    /// not be delivered.
    fn replan_direct_starts(&mut self, name: &str, fencing_token: u64) {
        self.mark_unpublished(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        for placed in &mut machine.placed_tasks {
            if placed.phase == TaskPhase::DispatchedDirectly(fencing_token) {
                placed.phase = TaskPhase::Planned;
            }
        }
        self.direct_dispatch.machines_with_planned_starts.insert(name.to_owned());
    }
}

/// Whether starts may be dispatched directly to a machine.
fn can_dispatch_to(machine: &Machine) -> bool {
    machine.has_reported
        && !machine.address.is_empty()
        && !machine.is_draining()
        && machine.token_offset + 1 < constants::TOKENS_PER_TERM
}
