use super::task_removal::TaskRemoval;
use super::{
    CachedImage, ClusterState, CordonReason, EndedTask, ExpectedHeartbeat, Machine, MessageVersion,
    PlacedTask, TaskAttempt, TaskPhase, TaskPlacement,
};
use hookway_constants as constants;
use hookway_wire::{
    Command, ExitCause, Heartbeat, HeartbeatResponse, TaskId, TaskState, TaskStatus,
};

impl ClusterState {
    /// A worker reports. `None`: not to be answered with a 200, because the report is old, or comes
    /// from a session or machine that is surely over.
    pub fn handle_heartbeat(&mut self, report: &Heartbeat, now: u64) -> Option<HeartbeatResponse> {
        let name = report.machine.as_str();
        if self.removed_machines.contains(name) {
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
        self.expire_lease_if_silent(name, now);
        let machine = self.machines.get_mut(name)?;
        let stamp = MessageVersion::of(report);
        // Reports can arrive minutes late; only a newer one may change the picture. A session whose
        // lease has surely run out can't be heard from again: such a report is late, whatever its
        // number.
        if stamp <= machine.newest_heartbeat
            || report.incarnation < machine.newest_message.incarnation
            || report.incarnation <= machine.expired_incarnation
        {
            tracing::debug!(
                "machine {name}: old report {stamp:?}, newest is {:?}",
                machine.newest_message
            );
            return None;
        }
        machine.newest_heartbeat = stamp;
        self.check_acknowledgement(name, report, now);
        self.expire_lease_if_silent(name, now);
        let machine = self.machines.get_mut(name)?;
        if report.incarnation <= machine.expired_incarnation {
            return None;
        }
        // The worker sent this one before it answered commands that came straight to it: what it says
        // is out of date, but the worker waits for an answer.
        let overtaken = stamp < machine.newest_message;
        let new_session =
            machine.has_reported && report.incarnation > machine.newest_message.incarnation;
        if !machine.has_reported {
            tracing::info!(
                "machine {name}: up, {:.1} s old",
                (now - machine.created_at.min(now)) as f64 / 1e3
            );
        }
        // The lease of a session that was not known may have begun just now, whenever the machine was last
        // answered.
        if new_session || !machine.has_reported {
            machine.last_response_at = now;
        }
        machine.has_reported = true;
        if machine.cordon_reason == Some(CordonReason::Silent) && !self.scaling_in.contains(name) {
            machine.cordon_reason = None;
        }
        if !overtaken {
            machine.update_from(report, now);
        }
        // Only now: a machine that never reported holds nothing, and the next leader need not wait for
        // it.
        if !machine.registered {
            let at_ms = self.wall_at(now);
            self.commit_queue.registry.register(name, at_ms);
        }
        // A report can be older than this leader's term although it is the newest that it has seen,
        // and what the earlier leader started since is not in it. One that carries this term's token
        // was sent after the worker had seen it, so it names everything.
        if report.fencing_token >= self.term {
            self.unreconciled_machines.remove(name);
        }
        if new_session {
            tracing::info!("machine {name}: session {}, its tasks are gone", report.incarnation);
            self.remove_all_tasks(name, now, TaskRemoval::Lost);
        }
        if !overtaken {
            self.apply_heartbeat(name, report, now, false);
        }
        let answered_before = self.machines.get(name)?.last_response_at;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_response_at = now;
        }
        // As with the paper's heartbeats, room that a report shows free is filled in its answer.
        if now >= self.last_round.at_ms + self.round_interval_ms() {
            self.scheduling_round(now);
        } else {
            self.fill_machine(name, now);
        }
        let commands = self.commands_for(name, now);
        self.mark_unpublished(name);
        let machine = self.machines.get_mut(name)?;
        machine.heartbeat_expected_by =
            if commands.is_empty() { 0 } else { now + constants::PROMPT_HEARTBEAT_MS };
        let token = self.term + machine.token_offset;
        let mut expected = ExpectedHeartbeat {
            responded_before: answered_before,
            responded_at: now,
            ..ExpectedHeartbeat::default()
        };
        expected.fencing_token = (token > report.fencing_token).then_some(token);
        for order in &commands {
            match order {
                Command::Run { task, attempt } => {
                    expected.starts.push(TaskAttempt { task: task.clone(), attempt: *attempt })
                }
                Command::Reap { task, attempt } => {
                    expected.reaps.push(TaskAttempt { task: task.clone(), attempt: *attempt })
                }
                Command::Kill { .. } => {}
            }
        }
        machine.expected_heartbeat = expected;
        Some(HeartbeatResponse { fencing_token: token, commands })
    }

    /// Whether the worker took the last answer, as far as its next report shows it. A worker has one
    /// report under way and takes no answer to an earlier one, so an answer without effect was not
    /// heard and never will be: it renewed no lease. A machine that hears nothing for several answers
    /// gets no new work and is given back; what is on it counts until its lease is surely over.
    fn check_acknowledgement(&mut self, name: &str, report: &Heartbeat, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let expected = std::mem::take(&mut machine.expected_heartbeat);
        let Some(taken) = expected.acknowledged(report) else { return };
        if taken {
            machine.unacknowledged_responses = 0;
            if machine.cordon_reason == Some(CordonReason::Unacknowledged) {
                tracing::info!("machine {name}: hears again");
                machine.cordon_reason = None;
            }
            return;
        }
        // All machines are looked at only when one was deaf to an answer. When many are, it is this
        // node's answers that are late.
        let deaf_now = self
            .machines
            .values()
            .filter(|h| h.unacknowledged_responses >= constants::MAX_UNACKNOWLEDGED_RESPONSES)
            .count();
        let few = deaf_now * 4 <= self.machines.len().max(4);
        let pause = (self.config.platform.workers.heartbeat_interval_s
            * 1000.0
            * constants::MAX_HEARTBEAT_INTERVAL_FACTOR) as u64;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.unacknowledged_responses += 1;
        // Unless it was answered since: as a holder, while this leader's lease was in doubt.
        if machine.last_response_at <= expected.responded_at {
            machine.last_response_at = expected.responded_before;
        }
        // One answer may get lost by itself.
        if machine.unacknowledged_responses > 1 {
            machine.backoff_until = machine.backoff_until.max(now + pause);
        }
        if machine.unacknowledged_responses >= constants::MAX_UNACKNOWLEDGED_RESPONSES
            && machine.cordon_reason.is_none()
            && few
        {
            tracing::info!("machine {name}: {}", CordonReason::Unacknowledged);
            machine.cordon_reason = Some(CordonReason::Unacknowledged);
        }
    }

    /// Brings the picture of a machine in line with a newer report.
    ///
    /// A `direct` one answered commands that came straight to the worker: an answer to a report may
    /// have been on its way to it at that moment.
    pub(super) fn apply_heartbeat(
        &mut self,
        name: &str,
        report: &Heartbeat,
        now: u64,
        direct: bool,
    ) {
        self.mark_unpublished(name);
        self.count_running(name, false);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let before = std::mem::take(&mut machine.placed_tasks);
        machine.ended_tasks.clear();
        let mut seen = vec![false; before.len()];
        let mut keep: Vec<PlacedTask> = Vec::with_capacity(before.len());
        let mut left: Vec<(PlacedTask, TaskRemoval)> = Vec::new();
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
                machine.ended_tasks.push(EndedTask {
                    job: held.job,
                    task: reported.task.clone(),
                    index: held.index,
                    attempt: held.attempt,
                    cause,
                });
                left.push((held, TaskRemoval::Ended(cause)));
            } else {
                held.phase = TaskPhase::Reported(reported.state);
                if reported.state == TaskState::Running && held.running_since.is_none() {
                    let took = now.saturating_sub(held.placed_at) as f64 / 1000.0;
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
                TaskPhase::Planned => keep.push(held),
                // Commands travel in answers only, a worker has one report under way at a time and
                // takes no answer to an earlier one: a newer report without the task proves that
                // the command did not arrive and never will.
                TaskPhase::Sent => {
                    if !direct {
                        held.phase = TaskPhase::Planned;
                        self.machines_with_planned_starts.insert(name.to_owned());
                    }
                    keep.push(held);
                }
                // Under a higher token the worker refuses the command, whenever it arrives.
                TaskPhase::SentDirectly(token) => {
                    if report.fencing_token > token {
                        held.phase = TaskPhase::Planned;
                        self.machines_with_planned_starts.insert(name.to_owned());
                    }
                    keep.push(held);
                }
                TaskPhase::Reported(_) => left.push((held, TaskRemoval::Lost)),
            }
        }
        machine.placed_tasks = keep;
        for (held, leave) in left {
            self.remove_task(name, &held, leave, now);
        }
        for (task, reported) in fresh {
            self.adopt_task(name, &task, reported, now);
        }
        self.update_images(name);
        self.count_running(name, true);
    }

    /// The worker reports a task that this leader did not place there.
    fn adopt_task(&mut self, name: &str, task: &TaskId, reported: &TaskStatus, now: u64) {
        let key = self.job_keys.get(&task.job).copied();
        let job = key.and_then(|k| self.jobs.get_mut(&k));
        let job = job.filter(|j| task.index < j.spec.tasks);
        let key = if job.is_some() { key } else { None };
        let Some(machine) = self.machines.get_mut(name) else { return };
        if reported.state == TaskState::Ended {
            let cause = reported.cause.unwrap_or(ExitCause::Other);
            machine.ended_tasks.push(EndedTask {
                job: key,
                task: reported.task.clone(),
                index: task.index,
                attempt: reported.attempt,
                cause,
            });
            if let (Some(key), ExitCause::Done) = (key, cause) {
                self.complete_task(key, task.index, None);
            }
            return;
        }
        let mut held = PlacedTask {
            job: key,
            task: reported.task.clone(),
            index: task.index,
            attempt: reported.attempt,
            phase: TaskPhase::Reported(reported.state),
            orphaned: true,
            stop: None,
            stop_dispatched: false,
            running_since: (reported.state == TaskState::Running).then_some(now),
            placed_at: now,
            adopted: true,
        };
        if let Some(job) = job {
            let first =
                job.placements[task.index as usize] == TaskPlacement::Unplaced && job.is_active();
            let same_gang = !job.spec.is_gang()
                || job.gang_attempt.is_none_or(|attempt| attempt == reported.attempt);
            if first && same_gang {
                held.orphaned = false;
                job.placements[task.index as usize] = TaskPlacement::Placed;
                job.unplaced.remove(&task.index);
                if job.spec.is_gang() {
                    job.gang_attempt = Some(reported.attempt);
                }
            }
            if held.orphaned {
                self.stops_due = true;
                job.orphaned.push(task.index);
                job.unplaced.remove(&task.index);
            }
            job.count_placed(self.config.platform.zone(&machine.zone));
        }
        if held.job.is_none() {
            self.unknown_tasks += 1;
        }
        tracing::debug!(
            "machine {name}: found {} attempt {}{}",
            held.task,
            held.attempt,
            if held.orphaned { ", which should not run" } else { "" }
        );
        machine.placed_tasks.push(held);
    }

    fn update_images(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let cache = self
            .machine_types
            .iter()
            .find(|f| f.name == machine.machine_type)
            .map_or(0.0, |f| f.cache_gb);
        let used: Vec<CachedImage> = machine
            .placed_tasks
            .iter()
            .filter(|h| matches!(h.phase, TaskPhase::Reported(_)))
            .filter_map(|h| h.job.and_then(|k| self.jobs.get(&k)))
            .map(|j| CachedImage { image: j.image, size_gb: j.spec.image_gb })
            .collect();
        for used in used {
            if machine.images.last().is_none_or(|last| last.image != used.image) {
                machine.use_image(used, cache);
            }
        }
        if machine.image_ids() != machine.stored_images {
            self.commit_queue.registry.mark_stale(name);
        }
    }

    /// Adds the running tasks of a machine to their jobs' counts for display, or takes them off.
    pub(super) fn count_running(&mut self, name: &str, add: bool) {
        let Some(machine) = self.machines.get(name) else { return };
        for held in &machine.placed_tasks {
            if held.phase.is_running()
                && let Some(job) = held.job.and_then(|k| self.jobs.get_mut(&k))
            {
                job.running = if add { job.running + 1 } else { job.running.saturating_sub(1) };
            }
        }
    }
}
