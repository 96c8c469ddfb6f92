use super::departures::Leave;
use super::{Ended, Expected, Held, Ledger, Machine, Phase, Slot};
use hookway_constants as constants;
use hookway_wire::{
    Command, ExitCause, Heartbeat, HeartbeatResponse, TaskId, TaskState, TaskStatus,
};

/// Why a machine is given back that reports, but takes no answer.
const HEARS_NOTHING: &str = "it reports, but hears nothing";

impl Ledger {
    /// A worker reports. `None`: not to be answered with a 200, because the report is old, or comes
    /// from a session or machine that is surely over.
    pub fn check_in(&mut self, report: &Heartbeat, now: u64) -> Option<HeartbeatResponse> {
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
        let stamp = (report.incarnation, report.sequence);
        // Reports can arrive minutes late; only a newer one may change the picture. A session whose
        // lease has surely run out can't be heard from again: such a report is late, whatever its
        // number.
        if stamp <= machine.reported
            || report.incarnation < machine.newest.0
            || report.incarnation <= machine.dead_session
        {
            tracing::debug!("machine {name}: old report {stamp:?}, newest is {:?}", machine.newest);
            return None;
        }
        machine.reported = stamp;
        self.judge_hearing(name, report, now);
        self.expire_if_silent(name, now);
        let machine = self.machines.get_mut(name)?;
        if report.incarnation <= machine.dead_session {
            return None;
        }
        // The worker sent this one before it answered commands that came straight to it: what it says
        // is out of date, but the worker waits for an answer.
        let overtaken = stamp < machine.newest;
        let new_session = machine.heard && report.incarnation > machine.newest.0;
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
        if report.fencing_token >= self.term {
            self.unheard.remove(name);
        }
        if new_session {
            tracing::info!("machine {name}: session {}, its tasks are gone", report.incarnation);
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
        self.touch(name);
        let machine = self.machines.get_mut(name)?;
        machine.soon = if commands.is_empty() { 0 } else { now + constants::PROMPT_HEARTBEAT_MS };
        let token = self.term + machine.bump;
        let mut expected = Expected { answered_before, answered_at: now, ..Expected::default() };
        expected.token = (token > report.fencing_token).then_some(token);
        for order in &commands {
            match order {
                Command::Run { task, attempt } => expected.runs.push((task.clone(), *attempt)),
                Command::Reap { task, attempt } => expected.reaps.push((task.clone(), *attempt)),
                Command::Kill { .. } => {}
            }
        }
        machine.expected = expected;
        Some(HeartbeatResponse { fencing_token: token, commands })
    }

    /// Whether the worker took the last answer, as far as its next report shows it. A worker has one
    /// report under way and takes no answer to an earlier one, so an answer without effect was not
    /// heard and never will be: it renewed no lease. A machine that hears nothing for several answers
    /// gets no new work and is given back; what is on it counts until its lease is surely over.
    fn judge_hearing(&mut self, name: &str, report: &Heartbeat, now: u64) {
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
        let deaf_now = self
            .machines
            .values()
            .filter(|h| h.deaf >= constants::MAX_UNACKNOWLEDGED_RESPONSES)
            .count();
        let few = deaf_now * 4 <= self.machines.len().max(4);
        let pause = (self.setup.params.workers.report_s
            * 1000.0
            * constants::MAX_HEARTBEAT_INTERVAL_FACTOR) as u64;
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
        if machine.deaf >= constants::MAX_UNACKNOWLEDGED_RESPONSES
            && machine.closing.is_none()
            && few
        {
            tracing::info!("machine {name}: {HEARS_NOTHING}");
            machine.closing = Some(HEARS_NOTHING);
        }
    }

    /// Brings the picture of a machine in line with a newer report.
    ///
    /// A `direct` one answered commands that came straight to the worker: an answer to a report may
    /// have been on its way to it at that moment.
    pub(super) fn take_report(&mut self, name: &str, report: &Heartbeat, now: u64, direct: bool) {
        self.touch(name);
        self.count_running(name, false);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let before = std::mem::take(&mut machine.held);
        machine.ended.clear();
        let mut seen = vec![false; before.len()];
        let mut keep: Vec<Held> = Vec::with_capacity(before.len());
        let mut left: Vec<(Held, Leave)> = Vec::new();
        let mut fresh: Vec<(TaskId, &TaskStatus)> = Vec::new();
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
            if reported.state == TaskState::Ended {
                let cause = reported.cause.unwrap_or(ExitCause::Other);
                machine.ended.push(Ended {
                    job: held.job,
                    task: reported.task.clone(),
                    index: held.index,
                    attempt: held.attempt,
                    cause,
                });
                left.push((held, Leave::Ended(cause)));
            } else {
                held.phase = Phase::On(reported.state);
                if reported.state == TaskState::Running && held.running_since.is_none() {
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
                    if report.fencing_token > token {
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
    fn found(&mut self, name: &str, task: &TaskId, reported: &TaskStatus, now: u64) {
        let key = self.by_id.get(&task.job).copied();
        let job = key.and_then(|k| self.jobs.get_mut(&k));
        let job = job.filter(|j| task.index < j.spec.tasks);
        let key = if job.is_some() { key } else { None };
        let Some(machine) = self.machines.get_mut(name) else { return };
        if reported.state == TaskState::Ended {
            let cause = reported.cause.unwrap_or(ExitCause::Other);
            machine.ended.push(Ended {
                job: key,
                task: reported.task.clone(),
                index: task.index,
                attempt: reported.attempt,
                cause,
            });
            if let (Some(key), ExitCause::Done) = (key, cause) {
                self.complete(key, task.index, None);
            }
            return;
        }
        let mut held = Held {
            job: key,
            task: reported.task.clone(),
            index: task.index,
            attempt: reported.attempt,
            phase: Phase::On(reported.state),
            stray: true,
            kill: None,
            pushed: false,
            running_since: (reported.state == TaskState::Running).then_some(now),
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

    fn touch_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let cache = self
            .machine_types
            .iter()
            .find(|f| f.name == machine.machine_type)
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
    pub(super) fn count_running(&mut self, name: &str, add: bool) {
        let Some(machine) = self.machines.get(name) else { return };
        for held in &machine.held {
            let runs =
                matches!(held.phase, Phase::On(TaskState::Running | TaskState::Checkpointing));
            if runs && let Some(job) = held.job.and_then(|k| self.jobs.get_mut(&k)) {
                job.running = if add { job.running + 1 } else { job.running.saturating_sub(1) };
            }
        }
    }
}
