//! Messages that go straight to workers: starts that should not wait for a report, and a new leader's question
//! what is on a machine.

use super::heartbeat_tasks::MessageKind;
use super::{ClusterState, MessageVersion, TaskPhase};
use hookway_clients::Delivery;
use hookway_constants as constants;
use hookway_wire::{Command, DirectCommands, Heartbeat};

impl ClusterState {
    /// Starts that should not wait for their workers' next reports: machine, address and commands. The
    /// outcome comes with [`ClusterState::direct_start_sent`].
    ///
    /// Such a command may arrive late, or twice, and after `reap` a second arrival would start the
    /// task again. So the machine's token rises with each: every later answer, and with it every
    /// `reap`, carries a higher one, after which the worker refuses the command.
    pub fn take_direct_starts(&mut self, now: u64) -> Vec<(String, String, DirectCommands)> {
        let mut sends = Vec::new();
        if self.direct_dispatches_in_flight >= constants::MAX_DIRECT_DISPATCHES {
            return sends;
        }
        let names: Vec<String> = self.machines_with_planned_starts.iter().cloned().collect();
        for name in names {
            if self.direct_dispatches_in_flight + sends.len() >= constants::MAX_DIRECT_DISPATCHES {
                break;
            }
            let Some(machine) = self.machines.get(&name) else {
                self.machines_with_planned_starts.remove(&name);
                continue;
            };
            if machine.direct_dispatch_in_flight
                || !machine.registered
                || now < machine.heartbeat_expected_by
            {
                continue;
            }
            self.machines_with_planned_starts.remove(&name);
            let able = machine.has_reported
                && !machine.address.is_empty()
                && !machine.is_draining()
                && machine.token_offset + 1 < constants::TOKENS_PER_TERM;
            if !able {
                continue;
            }
            let mut unopened = false;
            let chosen: Vec<usize> = (0..machine.placed_tasks.len())
                .filter(|i| {
                    let h = &machine.placed_tasks[*i];
                    let job = h.job.and_then(|k| self.jobs.get(&k));
                    h.phase == TaskPhase::Planned
                        && self.stop_grace_s(h, now).is_none()
                        && job.is_some_and(|j| {
                            let opened = j.start_watermark.allows_start(h.index);
                            unopened |= !opened;
                            opened && !j.orphaned.contains(&h.index)
                        })
                })
                .take(constants::DIRECT_DISPATCH_MAX_TASKS)
                .collect();
            if unopened {
                self.machines_with_planned_starts.insert(name.clone());
            }
            if chosen.is_empty() {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let token = self.term + machine.token_offset;
            machine.token_offset += 1;
            machine.direct_dispatch_in_flight = true;
            let mut commands = Vec::with_capacity(chosen.len());
            for i in chosen {
                let held = &mut machine.placed_tasks[i];
                held.phase = TaskPhase::SentDirectly(token);
                commands.push(Command::Run { task: held.task.clone(), attempt: held.attempt });
            }
            let commands = DirectCommands {
                fencing_token: token,
                incarnation: machine.newest_message.incarnation,
                commands,
            };
            let address = machine.address.clone();
            self.mark_unpublished(&name);
            sends.push((name, address, commands));
        }
        self.direct_dispatches_in_flight += sends.len();
        sends
    }

    /// What became of starts that were sent straight to a worker under `token`.
    pub fn direct_start_sent(&mut self, name: &str, token: u64, delivery: Delivery, now: u64) {
        self.direct_dispatches_in_flight = self.direct_dispatches_in_flight.saturating_sub(1);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.direct_dispatch_in_flight = false;
        match delivery {
            Delivery::Executed(report) => {
                let stamp = MessageVersion::of(&report);
                // Only of the session that was addressed; it renews no lease.
                if report.machine == name
                    && report.incarnation == machine.newest_message.incarnation
                    && report.incarnation > machine.expired_incarnation
                    && stamp > machine.newest_message
                {
                    machine.newest_message = stamp;
                    self.apply_heartbeat(name, &report, now, MessageKind::DirectAnswer);
                }
            }
            // This copy was refused. Whether another one was carried out before shows in the next report
            // with a higher token.
            Delivery::Refused => {}
            Delivery::NotSent => {
                self.direct_start_not_sent(name, token);
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.backoff_until = now + constants::UNREACHABLE_BACKOFF_MS;
                }
                tracing::debug!("machine {name}: can't be reached");
                self.cancel_planned_starts(name, now);
            }
            Delivery::Indeterminate => {
                machine.backoff_until = now + constants::UNREACHABLE_BACKOFF_MS;
                self.cancel_planned_starts(name, now);
            }
        }
    }

    /// Workers that have not shown this leader's token and should be asked what is on their machines: name
    /// and address. The outcome comes with [`ClusterState::state_probed`].
    ///
    /// A worker finds a new leader only after its report to the old one has failed, which takes it some
    /// seconds for each controller that hangs, and shows the new token with the report after that, which may be its
    /// next regular one; until all have, most work of earlier terms waits.
    pub fn take_state_probes(&mut self, now: u64) -> Vec<(String, String)> {
        let room = constants::MAX_STATE_PROBES.saturating_sub(self.state_probes_in_flight);
        if room == 0 || self.unreconciled_machines.is_empty() || now < self.state_probes_from {
            return Vec::new();
        }
        let mut chosen = Vec::new();
        for name in &self.unreconciled_machines {
            if chosen.len() >= room {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.needs_state_probe(now) {
                machine.state_probe.begin(now);
                chosen.push((name.clone(), machine.address.clone()));
            }
        }
        self.state_probes_in_flight += chosen.len();
        chosen
    }

    /// What a worker said that was asked what is on its machine. With the new term's token it names
    /// everything: whatever an earlier leader sent, the worker refuses from then on. It renewed no lease; but
    /// the worker may be in a session whose lease began just now.
    pub fn state_probed(&mut self, name: &str, report: Option<Heartbeat>, now: u64) {
        let report = report.filter(|r| r.machine == name && r.fencing_token >= self.term);
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.state_probe.is_in_flight() {
            if report.is_some() {
                machine.state_probe.answered();
            } else {
                machine.state_probe.failed();
            }
            self.state_probes_in_flight = self.state_probes_in_flight.saturating_sub(1);
        }
        let Some(report) = report else { return };
        let stamp = MessageVersion::of(&report);
        let over =
            report.incarnation <= machine.expired_incarnation || machine.cordon_reason.is_some();
        // A session that began since its last report: its next report tells, and clears what the last one held.
        let other_session =
            machine.has_reported && report.incarnation != machine.newest_message.incarnation;
        if over || other_session || stamp <= machine.newest_message {
            return;
        }
        if !machine.has_reported {
            machine.has_reported = true;
            machine.last_response_at = now;
        }
        machine.update_from(&report, now);
        self.unreconciled_machines.remove(name);
        self.apply_heartbeat(name, &report, now, MessageKind::DirectAnswer);
    }

    /// Starts that were sent under `token` surely won't arrive any more.
    pub(super) fn direct_start_not_sent(&mut self, name: &str, token: u64) {
        self.mark_unpublished(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        for held in
            machine.placed_tasks.iter_mut().filter(|h| h.phase == TaskPhase::SentDirectly(token))
        {
            held.phase = TaskPhase::Planned;
        }
        self.machines_with_planned_starts.insert(name.to_owned());
    }
}
