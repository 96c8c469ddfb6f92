//! Messages that go straight to workers: starts that should not wait for a report, and a new leader's question
//! what is on a machine.

use super::{Ledger, Phase};
use hookway_clients::Delivery;
use hookway_constants as constants;
use hookway_wire::{Command, DirectCommands, Heartbeat};

impl Ledger {
    /// Starts that should not wait for their workers' next reports: machine, address and commands. The
    /// outcome comes with [`Ledger::delivered`].
    ///
    /// Such a command may arrive late, or twice, and after `reap` a second arrival would start the
    /// task again. So the machine's token rises with each: every later answer, and with it every
    /// `reap`, carries a higher one, after which the worker refuses the command.
    pub fn take_direct(&mut self, now: u64) -> Vec<(String, String, DirectCommands)> {
        let mut sends = Vec::new();
        if self.directs >= constants::MAX_DIRECT_DISPATCHES {
            return sends;
        }
        let names: Vec<String> = self.planned_on.iter().cloned().collect();
        for name in names {
            if self.directs + sends.len() >= constants::MAX_DIRECT_DISPATCHES {
                break;
            }
            let Some(machine) = self.machines.get(&name) else {
                self.planned_on.remove(&name);
                continue;
            };
            if machine.direct || !machine.rostered || now < machine.soon {
                continue;
            }
            self.planned_on.remove(&name);
            let able = machine.heard
                && !machine.addr.is_empty()
                && machine.closing.is_none()
                && machine.notice.is_none()
                && machine.bump + 1 < constants::TOKENS_PER_TERM;
            if !able {
                continue;
            }
            let mut unopened = false;
            let chosen: Vec<usize> = (0..machine.held.len())
                .filter(|i| {
                    let h = &machine.held[*i];
                    let job = h.job.and_then(|k| self.jobs.get(&k));
                    h.phase == Phase::Planned
                        && self.must_stop(h, now).is_none()
                        && job.is_some_and(|j| {
                            let opened = h.index < j.opened;
                            unopened |= !opened;
                            opened && !j.strays.contains(&h.index)
                        })
                })
                .take(constants::DIRECT_DISPATCH_MAX_TASKS)
                .collect();
            if unopened {
                self.planned_on.insert(name.clone());
            }
            if chosen.is_empty() {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let token = self.term + machine.bump;
            machine.bump += 1;
            machine.direct = true;
            let mut commands = Vec::with_capacity(chosen.len());
            for i in chosen {
                let held = &mut machine.held[i];
                held.phase = Phase::Pushed(token);
                commands.push(Command::Run { task: held.task.clone(), attempt: held.attempt });
            }
            let commands =
                DirectCommands { fencing_token: token, incarnation: machine.newest.0, commands };
            let address = machine.addr.clone();
            self.touch(&name);
            sends.push((name, address, commands));
        }
        self.directs += sends.len();
        sends
    }

    /// What became of starts that were sent straight to a worker under `token`.
    pub fn delivered(&mut self, name: &str, token: u64, delivery: Delivery, now: u64) {
        self.directs = self.directs.saturating_sub(1);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.direct = false;
        match delivery {
            Delivery::Done(report) => {
                let stamp = (report.incarnation, report.sequence);
                // Only of the session that was addressed; it renews no lease.
                if report.machine == name
                    && report.incarnation == machine.newest.0
                    && report.incarnation > machine.dead_session
                    && stamp > machine.newest
                {
                    machine.newest = stamp;
                    self.take_report(name, &report, now, true);
                }
            }
            // This copy was refused. Whether another one was carried out before shows in the next report
            // with a higher token.
            Delivery::Refused => {}
            Delivery::NotSent => {
                self.not_started(name, token);
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.pause_until = now + constants::UNREACHABLE_BACKOFF_MS;
                }
                tracing::debug!("machine {name}: can't be reached");
                self.unplan_all(name, now);
            }
            Delivery::Unclear => {
                machine.pause_until = now + constants::UNREACHABLE_BACKOFF_MS;
                self.unplan_all(name, now);
            }
        }
    }

    /// Workers that have not shown this leader's token and should be asked what is on their machines: name
    /// and address. The outcome comes with [`Ledger::greeted`].
    ///
    /// A worker finds a new leader only after its report to the old one has failed, which takes it some
    /// seconds for each controller that hangs, and shows the new token with the report after that, which may be its
    /// next regular one; until all have, most work of earlier terms waits.
    pub fn take_greetings(&mut self, now: u64) -> Vec<(String, String)> {
        let room = constants::MAX_STATE_PROBES.saturating_sub(self.greetings);
        if room == 0 || self.unheard.is_empty() || now < self.greet_from {
            return Vec::new();
        }
        let mut chosen = Vec::new();
        for name in &self.unheard {
            if chosen.len() >= room {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.to_be_asked(now) {
                machine.asked.begin(now);
                chosen.push((name.clone(), machine.addr.clone()));
            }
        }
        self.greetings += chosen.len();
        chosen
    }

    /// What a worker said that was asked what is on its machine. With the new term's token it names
    /// everything: whatever an earlier leader sent, the worker refuses from then on. It renewed no lease; but
    /// the worker may be in a session whose lease began just now.
    pub fn greeted(&mut self, name: &str, report: Option<Heartbeat>, now: u64) {
        let report = report.filter(|r| r.machine == name && r.fencing_token >= self.term);
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.asked.under_way {
            machine.asked.end(report.is_some());
            self.greetings = self.greetings.saturating_sub(1);
        }
        let Some(report) = report else { return };
        let stamp = (report.incarnation, report.sequence);
        let over = report.incarnation <= machine.dead_session || machine.closing.is_some();
        // A session that began since its last report: its next report tells, and clears what the last one held.
        let other_session = machine.heard && report.incarnation != machine.newest.0;
        if over || other_session || stamp <= machine.newest {
            return;
        }
        if !machine.heard {
            machine.heard = true;
            machine.last_answer = now;
        }
        machine.described(&report, now);
        self.unheard.remove(name);
        self.take_report(name, &report, now, true);
    }

    /// Starts that were sent under `token` surely won't arrive any more.
    pub(super) fn not_started(&mut self, name: &str, token: u64) {
        self.touch(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        for held in machine.held.iter_mut().filter(|h| h.phase == Phase::Pushed(token)) {
            held.phase = Phase::Planned;
        }
        self.planned_on.insert(name.to_owned());
    }
}
