//! Processing of a worker's heartbeat, and the response to it.

use super::heartbeat_tasks::MessageKind;
use super::task_removal::TaskRemoval;
use super::{ClusterState, CordonReason, ExpectedHeartbeat, Machine, MessageVersion, TaskAttempt};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, seconds_f64};
use hookway_wire::{Command, Heartbeat, HeartbeatResponse};

/// How an accepted heartbeat compares with the earlier messages of its machine.
struct Arrival {
    /// Whether the worker sent the heartbeat before it answered direct commands or a state probe:
    /// the tasks in the heartbeat are outdated, but the worker waits for a response.
    is_outdated: bool,
    /// Whether the worker has restarted: the tasks of its earlier incarnation have ended.
    is_new_incarnation: bool,
}

impl ClusterState {
    /// Processes a heartbeat received at `now` and returns the response. `None`: the heartbeat must
    /// not be answered with status 200, because it is old, the lease of its incarnation has
    /// certainly expired, or its machine has been removed.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
    ) -> Option<HeartbeatResponse> {
        let name = heartbeat.machine.as_str();
        if self.removed_machines.contains(name) {
            return None;
        }
        self.add_if_unknown(heartbeat, now);
        self.mark_unreconciled_if_unreadable(name, now);
        self.expire_lease_if_silent(name, now);
        if self.is_of_new_process(heartbeat) {
            self.give_up_restarted(name, now);
            return None;
        }
        if self.accept_version(heartbeat).is_none() {
            self.check_for_new_process(heartbeat, now);
            return None;
        }
        self.check_acknowledgement(name, heartbeat, now);
        // Checked again: a response that did not arrive extended no lease, so the lease may have
        // expired earlier than the first check assumed.
        self.expire_lease_if_silent(name, now);
        let arrival = self.record_arrival(heartbeat, now)?;
        self.register_if_new(name, now);
        self.reconcile_machine(heartbeat);
        if arrival.is_new_incarnation {
            tracing::info!(
                machine = %name, incarnation = heartbeat.incarnation,
                "worker restarted, tasks lost"
            );
            self.remove_all_tasks(name, now, TaskRemoval::Lost);
        }
        if !arrival.is_outdated {
            self.apply_reported_tasks(name, heartbeat, now, MessageKind::Heartbeat);
        }
        let machine = self.machines.get_mut(name)?;
        let previous_response_at = std::mem::replace(&mut machine.last_response_at, now);
        self.place_at_heartbeat(name, now);
        if self.may_extend_worker_lease(name, now) {
            self.respond(heartbeat, previous_response_at, now)
        } else {
            self.respond_without_lease_extension(heartbeat)
        }
    }

    /// Adds the machine if it is not in the cluster state yet.
    fn add_if_unknown(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        if self.machines.contains_key(&heartbeat.machine) {
            return;
        }
        tracing::info!(
            machine = %heartbeat.machine, machine_type = %heartbeat.machine_type,
            zone = %heartbeat.zone, "first heartbeat"
        );
        self.machines.insert(heartbeat.machine.clone(), Machine::new(now));
    }

    /// Marks a machine that has not reported before as not reconciled if an unreadable registry
    /// record may name it: then an earlier leader may have started tasks on it.
    fn mark_unreconciled_if_unreadable(&mut self, name: &str, now: MonotonicTime) {
        let is_first_report = self.machines.get(name).is_some_and(|machine| !machine.has_reported);
        let may_be_registered = !self.reconciliation.unreadable_records.is_empty();
        if is_first_report && may_be_registered && !self.is_reconciled(now) {
            self.reconciliation.machines.insert(name.to_owned());
        }
    }

    /// Records the version of a heartbeat. `None`: the heartbeat is rejected as old, because it is
    /// not newer than the newest heartbeat of its machine, or is of an earlier or expired
    /// incarnation.
    ///
    /// Heartbeats can arrive minutes late, and only a newer one may change the cluster state. An
    /// incarnation whose lease has certainly expired sends no more heartbeats: one that arrives is
    /// late, whatever its sequence number.
    fn accept_version(&mut self, heartbeat: &Heartbeat) -> Option<()> {
        let version = MessageVersion::of(heartbeat);
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        if version <= machine.newest_heartbeat
            || version.incarnation < machine.newest_message.incarnation
            || version.incarnation <= machine.expired_incarnation
        {
            tracing::debug!(
                machine = %heartbeat.machine, ?version, newest = ?machine.newest_message,
                "old heartbeat ignored"
            );
            return None;
        }
        machine.newest_heartbeat = version;
        Some(())
    }

    /// Records that the machine is up. Unless the heartbeat is outdated, also records the
    /// properties that it reports. `None`: the lease of the incarnation has certainly expired.
    fn record_arrival(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) -> Option<Arrival> {
        let name = &heartbeat.machine;
        let version = MessageVersion::of(heartbeat);
        let max_gap = self.heartbeat_timeout();
        let machine = self.machines.get_mut(name)?;
        if version.incarnation <= machine.expired_incarnation {
            return None;
        }
        let is_outdated = version < machine.newest_message;
        let is_new_incarnation =
            machine.has_reported && version.incarnation > machine.newest_message.incarnation;
        if !machine.has_reported {
            let age_s = seconds_f64(now.saturating_duration_since(machine.created_at));
            tracing::info!(machine = %name, age_s, "machine up");
        }
        // The lease of an incarnation that was unknown until now may have begun just now, no matter
        // when an earlier incarnation was last answered.
        if is_new_incarnation || !machine.has_reported {
            machine.last_response_at = now;
        }
        machine.has_reported = true;
        if machine.cordon_reason == Some(CordonReason::Silent)
            && !self.machines_being_deleted.contains(name)
        {
            machine.cordon_reason = None;
        }
        if !is_outdated {
            machine.record_heartbeat(heartbeat, now, max_gap);
            machine.update_from(heartbeat, now);
        }
        Some(Arrival { is_outdated, is_new_incarnation })
    }

    /// Adds the machine to the registry, unless its entry is durable. This is not done before its
    /// first heartbeat: until then the machine has no tasks, and the next leader need not wait for
    /// it.
    fn register_if_new(&mut self, name: &str, now: MonotonicTime) {
        if self.machines.get(name).is_some_and(|machine| !machine.has_durable_registration) {
            let registered_at = self.clocks.wall_at(now);
            self.commit_queue.registry.register(name, registered_at);
        }
    }

    /// Marks the machine as reconciled if the heartbeat, or the answer to direct commands, has a
    /// fencing token of this term: the worker had seen the token when it sent the message, so the
    /// message names every task. One with an older token may lack tasks that an earlier leader
    /// started afterwards, although it is the newest that this leader has seen.
    pub(super) fn reconcile_machine(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.fencing_token >= self.term {
            self.reconciliation.machines.remove(&heartbeat.machine);
        }
    }

    /// Places tasks on the resources that the heartbeat shows as free, so that the response
    /// contains the starts: in a scheduling round if one is due, otherwise on this machine alone.
    fn place_at_heartbeat(&mut self, name: &str, now: MonotonicTime) {
        if now >= self.last_round.at + self.round_interval() {
            self.scheduling_round(now);
        } else {
            self.fill_machine(name, now);
        }
    }

    /// Whether a response may extend the lease of the machine's worker.
    ///
    /// Until the worker has shown a fencing token of this term, it may execute a delayed start of an
    /// earlier leader, even right before the response arrives. This leader would not know the task,
    /// and so could neither count it nor stop it. Everything that follows from the expiry of such
    /// workers' leases counts from the election, so this leader must not extend them.
    fn may_extend_worker_lease(&self, name: &str, now: MonotonicTime) -> bool {
        !self.reconciliation.machines.contains(name) || self.is_reconciled(now)
    }

    /// Returns a response that the worker drops, and requests a state probe, which shows the worker
    /// this term's fencing token. The next heartbeat then has that token, and is answered in full.
    fn respond_without_lease_extension(
        &mut self,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        tracing::debug!(
            machine = %heartbeat.machine, incarnation = heartbeat.incarnation,
            reported_token = heartbeat.fencing_token, term = self.term,
            "heartbeat without the fencing token of this term: worker lease not extended"
        );
        machine.expected_heartbeat = ExpectedHeartbeat::default();
        machine.heartbeat_expected_by = MonotonicTime::ZERO;
        self.state_probes.request(&heartbeat.machine);
        Some(HeartbeatResponse::without_lease_extension())
    }

    /// Returns the response, and records what the next heartbeat shows if the worker applies it.
    fn respond(
        &mut self,
        heartbeat: &Heartbeat,
        previous_response_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<HeartbeatResponse> {
        let name = heartbeat.machine.as_str();
        let commands = self.commands_for(name, now);
        self.mark_unpublished(name);
        let machine = self.machines.get_mut(name)?;
        machine.heartbeat_expected_by = if commands.is_empty() {
            MonotonicTime::ZERO
        } else {
            now + constants::MAX_PROMPT_HEARTBEAT_DELAY
        };
        let fencing_token = self.term + machine.token_offset;
        let mut expected = ExpectedHeartbeat {
            fencing_token: (fencing_token > heartbeat.fencing_token).then_some(fencing_token),
            previous_response_at,
            responded_at: now,
            ..ExpectedHeartbeat::default()
        };
        for command in &commands {
            match command {
                Command::Run { task, attempt } => {
                    expected.starts.push(TaskAttempt { task: task.clone(), attempt: *attempt });
                }
                Command::Reap { task, attempt } => {
                    expected.reaps.push(TaskAttempt { task: task.clone(), attempt: *attempt });
                }
                Command::Kill { .. } => {}
            }
        }
        machine.expected_heartbeat = expected;
        Some(HeartbeatResponse { fencing_token, commands })
    }
}
