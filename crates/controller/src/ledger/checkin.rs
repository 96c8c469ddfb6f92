use super::{Ended, Expected, Held, Job, Ledger, Machine, Phase, Slot, lease_over_ms};
use hookway_clients::Delivery;
use hookway_constants as constants;
use hookway_wire::{
    Cause, CheckIn, CheckInAnswer, Command, DirectCommands, TaskId, TaskReport, TaskState,
};

/// Most commands in one answer, so that its only line stays far below 64 KiB.
const COMMANDS_AT_MOST: usize = 400;

/// Why a machine is given back that reports, but takes no answer.
const HEARS_NOTHING: &str = "it reports, but hears nothing";

/// How a task left its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leave {
    /// Its start was never sent, or surely did not arrive.
    NotStarted,
    /// It ended there.
    Ended(Cause),
    /// The machine, or the worker's session, is gone.
    Lost,
}

impl Ledger {
    /// A worker reports. `None`: not to be answered with a 200, because the report is old, or comes
    /// from a session or machine that is surely over.
    pub fn check_in(&mut self, report: &CheckIn, now: u64) -> Option<CheckInAnswer> {
        let name = report.machine.as_str();
        if self.gone_machines.contains(name) {
            return None;
        }
        if !self.machines.contains_key(name) {
            tracing::info!(
                "machine {name}: first report ({}, {})",
                report.machine_type,
                report.zone
            );
            self.machines.insert(name.to_owned(), Machine::new(now));
        }
        self.expire_if_silent(name, now);
        let machine = self.machines.get_mut(name)?;
        let stamp = (report.session, report.tick);
        // Reports can arrive minutes late; only a newer one may change the picture. A session whose
        // lease has surely run out can't be heard from again: such a report is late, whatever its
        // number.
        if stamp <= machine.reported
            || report.session < machine.newest.0
            || report.session <= machine.dead_session
        {
            tracing::debug!("machine {name}: old report {stamp:?}, newest is {:?}", machine.newest);
            return None;
        }
        machine.reported = stamp;
        self.judge_hearing(name, report, now);
        self.expire_if_silent(name, now);
        let machine = self.machines.get_mut(name)?;
        if report.session <= machine.dead_session {
            return None;
        }
        // The worker sent this one before it answered commands that came straight to it: what it says
        // is out of date, but the worker waits for an answer.
        let overtaken = stamp < machine.newest;
        let new_session = machine.heard && report.session > machine.newest.0;
        if !machine.heard {
            tracing::info!(
                "machine {name}: up, {:.1} s old",
                (now - machine.born.min(now)) as f64 / 1e3
            );
        }
        // The lease of a session that was not known may have begun just now, whenever the machine was last
        // answered.
        if new_session || !machine.heard {
            machine.last_answer = now;
        }
        machine.heard = true;
        if machine.closing == Some(super::fleet::SILENT) && !self.deleting.contains(name) {
            machine.closing = None;
        }
        if !overtaken {
            machine.described(report, now);
        }
        // Only now: a machine that never reported holds nothing, and the next leader need not wait for
        // it.
        if !machine.rostered {
            let at_ms = self.wall_at(now);
            self.writer.roster.want(name, at_ms);
        }
        // A report can be older than this leader's term although it is the newest that it has seen,
        // and what the earlier leader started since is not in it. One that carries this term's token
        // was sent after the worker had seen it, so it names everything.
        if report.token >= self.term {
            self.unheard.remove(name);
        }
        if new_session {
            tracing::info!("machine {name}: session {}, its tasks are gone", report.session);
            self.clear_machine(name, now, Leave::Lost);
        }
        if !overtaken {
            self.take_report(name, report, now, false);
        }
        let answered_before = self.machines.get(name)?.last_answer;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_answer = now;
        }
        // As with the paper's heartbeats, room that a report shows free is filled in its answer.
        if now >= self.last_round + self.round_pause() {
            self.round(now);
        } else {
            self.fill(name, now);
        }
        let commands = self.commands_for(name, now);
        let machine = self.machines.get_mut(name)?;
        machine.soon = if commands.is_empty() { 0 } else { now + constants::REPORT_SOON_MS };
        let token = self.term + machine.bump;
        let mut expected = Expected { answered_before, answered_at: now, ..Expected::default() };
        expected.token = (token > report.token).then_some(token);
        for order in &commands {
            match order {
                Command::Run { task, attempt } => expected.runs.push((task.clone(), *attempt)),
                Command::Reap { task, attempt } => expected.reaps.push((task.clone(), *attempt)),
                Command::Kill { .. } => {}
            }
        }
        machine.expected = expected;
        Some(CheckInAnswer { token, commands })
    }

    /// Whether the worker took the last answer, as far as its next report shows it. A worker has one
    /// report under way and takes no answer to an earlier one, so an answer without effect was not
    /// heard and never will be: it renewed no lease. A machine that hears nothing for several answers
    /// gets no new work and is given back; what is on it counts until its lease is surely over.
    fn judge_hearing(&mut self, name: &str, report: &CheckIn, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let expected = std::mem::take(&mut machine.expected);
        let Some(taken) = expected.taken(report) else { return };
        if taken {
            machine.deaf = 0;
            if machine.closing == Some(HEARS_NOTHING) {
                tracing::info!("machine {name}: hears again");
                machine.closing = None;
            }
            return;
        }
        // All machines are looked at only when one was deaf to an answer. When many are, it is this
        // node's answers that are late.
        let deaf_now = self.machines.values().filter(|h| h.deaf >= constants::DEAF_ANSWERS).count();
        let few = deaf_now * 4 <= self.machines.len().max(4);
        let pause =
            (self.setup.params.workers.report_s * 1000.0 * constants::LONGEST_REPORT) as u64;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.deaf += 1;
        // Unless it was answered since: as a holder, while this leader's lease was in doubt.
        if machine.last_answer <= expected.answered_at {
            machine.last_answer = expected.answered_before;
        }
        // One answer may get lost by itself.
        if machine.deaf > 1 {
            machine.pause_until = machine.pause_until.max(now + pause);
        }
        if machine.deaf >= constants::DEAF_ANSWERS && machine.closing.is_none() && few {
            tracing::info!("machine {name}: {HEARS_NOTHING}");
            machine.closing = Some(HEARS_NOTHING);
        }
    }

    /// Starts that should not wait for their workers' next reports: machine, address and commands. The
    /// outcome comes with [`Ledger::delivered`].
    ///
    /// Such a command may arrive late, or twice, and after `reap` a second arrival would start the
    /// task again. So the machine's token rises with each: every later answer, and with it every
    /// `reap`, carries a higher one, after which the worker refuses the command.
    pub fn take_direct(&mut self, now: u64) -> Vec<(String, String, DirectCommands)> {
        let mut sends = Vec::new();
        if self.directs >= constants::DIRECT_AT_MOST {
            return sends;
        }
        let names: Vec<String> = self.planned_on.iter().cloned().collect();
        for name in names {
            if self.directs + sends.len() >= constants::DIRECT_AT_MOST {
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
                .take(constants::DIRECT_TASKS)
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
            let commands = DirectCommands { token, session: machine.newest.0, commands };
            sends.push((name, machine.addr.clone(), commands));
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
                let stamp = (report.session, report.tick);
                // Only of the session that was addressed; it renews no lease.
                if report.machine == name
                    && report.session == machine.newest.0
                    && report.session > machine.dead_session
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
                    machine.pause_until = now + constants::UNREACHED_PAUSE_MS;
                }
                tracing::debug!("machine {name}: can't be reached");
                self.unplan_all(name, now);
            }
            Delivery::Unclear => {
                machine.pause_until = now + constants::UNREACHED_PAUSE_MS;
                self.unplan_all(name, now);
            }
        }
    }

    /// Workers that have not reported since the takeover and should be asked what is on their machines: name
    /// and address. The outcome comes with [`Ledger::greeted`].
    ///
    /// A worker finds a new leader only after its report to the old one has failed, which takes it some
    /// seconds for each controller that hangs; until all have reported, most work of earlier terms waits.
    pub fn take_greetings(&mut self, now: u64) -> Vec<(String, String)> {
        let room = constants::GREETINGS_AT_MOST.saturating_sub(self.greetings);
        if room == 0 || self.unheard.is_empty() || now < self.won_at + constants::GREET_AFTER_MS {
            return Vec::new();
        }
        let mut chosen = Vec::new();
        for name in &self.unheard {
            if chosen.len() >= room {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if !machine.heard
                && !machine.greeted
                && !machine.addr.is_empty()
                && machine.closing.is_none()
            {
                machine.greeted = true;
                chosen.push((name.clone(), machine.addr.clone()));
            }
        }
        self.greetings += chosen.len();
        chosen
    }

    /// What a worker said that was asked what is on its machine. With the new term's token it names
    /// everything: whatever an earlier leader sent, the worker refuses from then on. It renewed no lease; but
    /// the worker may be in a session whose lease began just now.
    pub fn greeted(&mut self, name: &str, report: Option<CheckIn>, now: u64) {
        self.greetings = self.greetings.saturating_sub(1);
        let Some(report) = report.filter(|r| r.machine == name && r.token >= self.term) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(name) else { return };
        let stamp = (report.session, report.tick);
        let over = report.session <= machine.dead_session || machine.closing.is_some();
        if over || machine.heard || stamp <= machine.newest {
            return;
        }
        machine.heard = true;
        machine.last_answer = now;
        machine.described(&report, now);
        self.unheard.remove(name);
        self.take_report(name, &report, now, true);
    }

    /// Starts that were sent under `token` surely won't arrive any more.
    fn not_started(&mut self, name: &str, token: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        for held in machine.held.iter_mut().filter(|h| h.phase == Phase::Pushed(token)) {
            held.phase = Phase::Planned;
        }
        self.planned_on.insert(name.to_owned());
    }

    /// Brings the picture of a machine in line with a newer report.
    ///
    /// A `direct` one answered commands that came straight to the worker: an answer to a report may
    /// have been on its way to it at that moment.
    fn take_report(&mut self, name: &str, report: &CheckIn, now: u64, direct: bool) {
        self.count_running(name, false);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let before = std::mem::take(&mut machine.held);
        machine.ended.clear();
        let mut seen = vec![false; before.len()];
        let mut keep: Vec<Held> = Vec::with_capacity(before.len());
        let mut left: Vec<(Held, Leave)> = Vec::new();
        let mut fresh: Vec<(TaskId, &TaskReport)> = Vec::new();
        for reported in &report.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                tracing::error!("machine {name}: odd task id {:?}", reported.task);
                continue;
            };
            let found = before
                .iter()
                .position(|h| h.attempt == reported.attempt && h.task == reported.task)
                .filter(|i| !std::mem::replace(&mut seen[*i], true));
            let Some(found) = found else {
                fresh.push((task, reported));
                continue;
            };
            let mut held = before[found].clone();
            if reported.status == TaskState::Ended {
                let cause = reported.cause.unwrap_or(Cause::Other);
                machine.ended.push(Ended {
                    job: held.job,
                    task: reported.task.clone(),
                    index: held.index,
                    attempt: held.attempt,
                    cause,
                });
                left.push((held, Leave::Ended(cause)));
            } else {
                held.phase = Phase::On(reported.status);
                if reported.status == TaskState::Running && held.running_since.is_none() {
                    let took = now.saturating_sub(held.since) as f64 / 1000.0;
                    tracing::debug!(
                        "task {} on {name}: runs, {took:.1} s after placement",
                        held.task
                    );
                    held.running_since = Some(now);
                }
                keep.push(held);
            }
        }
        for (i, mut held) in before.into_iter().enumerate() {
            if seen[i] {
                continue;
            }
            match held.phase {
                Phase::Planned => keep.push(held),
                // Commands travel in answers only, a worker has one report under way at a time and
                // takes no answer to an earlier one: a newer report without the task proves that
                // the command did not arrive and never will.
                Phase::Sent => {
                    if !direct {
                        held.phase = Phase::Planned;
                        self.planned_on.insert(name.to_owned());
                    }
                    keep.push(held);
                }
                // Under a higher token the worker refuses the command, whenever it arrives.
                Phase::Pushed(token) => {
                    if report.token > token {
                        held.phase = Phase::Planned;
                        self.planned_on.insert(name.to_owned());
                    }
                    keep.push(held);
                }
                Phase::On(_) => left.push((held, Leave::Lost)),
            }
        }
        machine.held = keep;
        for (held, leave) in left {
            self.leave(name, &held, leave, now);
        }
        for (task, reported) in fresh {
            self.found(name, &task, reported, now);
        }
        self.touch_images(name);
        self.count_running(name, true);
    }

    /// The worker reports a task that this leader did not place there.
    fn found(&mut self, name: &str, task: &TaskId, reported: &TaskReport, now: u64) {
        let key = self.by_id.get(&task.job).copied();
        let job = key.and_then(|k| self.jobs.get_mut(&k));
        let job = job.filter(|j| task.index < j.spec.tasks);
        let key = if job.is_some() { key } else { None };
        let Some(machine) = self.machines.get_mut(name) else { return };
        if reported.status == TaskState::Ended {
            let cause = reported.cause.unwrap_or(Cause::Other);
            machine.ended.push(Ended {
                job: key,
                task: reported.task.clone(),
                index: task.index,
                attempt: reported.attempt,
                cause,
            });
            if let (Some(key), Cause::Done) = (key, cause) {
                self.complete(key, task.index, None);
            }
            return;
        }
        let mut held = Held {
            job: key,
            task: reported.task.clone(),
            index: task.index,
            attempt: reported.attempt,
            phase: Phase::On(reported.status),
            stray: true,
            kill: None,
            pushed: false,
            running_since: (reported.status == TaskState::Running).then_some(now),
            since: now,
            found: true,
        };
        if let Some(job) = job {
            let first = job.slots[task.index as usize] == Slot::Free && job.live();
            let same_gang = !job.spec.is_gang()
                || job.attempt.is_none_or(|attempt| attempt == reported.attempt);
            if first && same_gang {
                held.stray = false;
                job.slots[task.index as usize] = Slot::Held;
                job.free.remove(&task.index);
                if job.spec.is_gang() {
                    job.attempt = Some(reported.attempt);
                }
            }
            if held.stray {
                self.stops_due = true;
                job.strays.push(task.index);
                job.free.remove(&task.index);
            }
            job.held += 1;
            if let Some(zone) = self.setup.params.zone(&machine.zone) {
                job.per_zone[zone] += 1;
            }
        }
        if held.job.is_none() {
            self.strangers += 1;
        }
        tracing::debug!(
            "machine {name}: found {} attempt {}{}",
            held.task,
            held.attempt,
            if held.stray { ", which should not run" } else { "" }
        );
        machine.held.push(held);
    }

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
            if job.spec.is_gang() && leave != Leave::Ended(Cause::Done) {
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

    fn ended_with(&mut self, name: &str, key: u64, held: &Held, cause: Cause, now: u64) {
        let daemon = self.jobs.get(&key).is_some_and(|j| j.spec.is_daemon());
        if cause == Cause::Done && !daemon {
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
            job.note(format!("task {} {} (machine {name})", held.index, cause.plain()));
        }
        let Some(machine) = self.machines.get_mut(name) else { return };
        match cause {
            Cause::Error => self.blame(name, key, held.since, now),
            Cause::Done => job.replica_completed(name, held.running_since, held.since, now),
            Cause::NoRoom | Cause::Busy => {
                machine.pause_until = now + constants::NO_ROOM_PAUSE_MS;
            }
            Cause::Unknown => job.pause_until = now + constants::ERROR_PAUSE_MS,
            _ => {}
        }
    }

    /// A task has completed. A gang completes one_zone.
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
        self.machines.remove(name);
        self.writer.roster.drop(name);
        self.unheard.remove(name);
        self.blocks.forget(name);
        self.deleting.remove(name);
        self.gone_machines.insert(name.to_owned());
        tracing::info!("machine {name}: gone");
    }

    /// Whether a held task must be stopped, and with how much time to save.
    fn must_stop(&self, held: &Held, now: u64) -> Option<f64> {
        let Some(job) = held.job.and_then(|k| self.jobs.get(&k)) else { return Some(0.0) };
        // Nobody has any use for what a withdrawn job's tasks do.
        if held.stray || !job.live() || job.slots[held.index as usize] == Slot::Done {
            return Some(0.0);
        }
        if let Some(kill) = held.kill {
            let patience = (job.spec.save_s * 1000.0) as u64 + constants::STOP_PATIENCE_MS;
            let late = now.saturating_sub(kill.since) > patience;
            return Some(if late { 0.0 } else { kill.grace_s });
        }
        (job.spec.is_gang() && (job.broken || job.attempt != Some(held.attempt))).then_some(0.0)
    }

    /// The commands for a machine, in answer to its newest report.
    fn commands_for(&mut self, name: &str, now: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get(name) else { return commands };
        for e in &machine.ended {
            // The result must be durable before the worker may forget it.
            let job = e.job.and_then(|k| self.jobs.get(&k));
            let needed = e.cause == Cause::Done
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
            pushes.push((machine.addr.clone(), DirectCommands { token, session, commands }));
        }
        pushes
    }

    /// Drops all starts on a machine that were never sent.
    fn unplan_all(&mut self, name: &str, now: u64) {
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
            self.leave(name, &held, Leave::NotStarted, now);
        }
    }

    fn touch_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let cache = self
            .machine_types
            .iter()
            .find(|f| f.label == machine.machine_type)
            .map_or(0.0, |f| f.cache_gb);
        let used: Vec<(u32, f64)> = machine
            .held
            .iter()
            .filter(|h| matches!(h.phase, Phase::On(_)))
            .filter_map(|h| h.job.and_then(|k| self.jobs.get(&k)))
            .map(|j| (j.image, j.spec.image_gb))
            .collect();
        for (image, gb) in used {
            if machine.images.last().is_none_or(|(i, _)| *i != image) {
                machine.touch_image(image, gb, cache);
            }
        }
        if machine.image_set() != machine.written_images {
            self.writer.roster.hint(name);
        }
    }

    /// Adds the running tasks of a machine to their jobs' counts for display, or takes them off.
    fn count_running(&mut self, name: &str, add: bool) {
        let Some(machine) = self.machines.get(name) else { return };
        for held in &machine.held {
            let runs = matches!(held.phase, Phase::On(TaskState::Running | TaskState::Saving));
            if runs && let Some(job) = held.job.and_then(|k| self.jobs.get_mut(&k)) {
                job.running = if add { job.running + 1 } else { job.running.saturating_sub(1) };
            }
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
    fn expire_if_silent(&mut self, name: &str, now: u64) -> bool {
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
