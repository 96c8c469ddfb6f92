//! State probes: requests in which a new leader asks workers for the tasks on their machines.

use super::heartbeat_tasks::MessageKind;
use super::{ClusterState, CordonReason, Machine, MessageVersion};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;
use std::collections::BTreeSet;

/// Maximum number of state probes in flight, the requested ones included. Above
/// [`constants::MAX_STATE_PROBES`], so that probes of silent machines, which may have to time out,
/// never use the slots of requested ones.
const MAX_PROBES_WITH_REQUESTED: usize = 2 * constants::MAX_STATE_PROBES;

/// The state probes of all machines.
#[derive(Debug)]
pub(super) struct StateProbes {
    /// Number of probes in flight.
    pub in_flight: usize,
    /// Time from which workers that have not shown this leader's fencing token are probed.
    pub start_at: MonotonicTime,
    /// Machines whose workers are probed at once, since they have sent a heartbeat without this
    /// leader's fencing token.
    requested: BTreeSet<String>,
    /// Machines in `requested` whose workers are probed for the status of a job alone.
    requested_for_status: BTreeSet<String>,
}

impl StateProbes {
    /// Creates the state of a leader that was elected at `elected_at` and has sent no probe.
    pub fn new(elected_at: MonotonicTime) -> Self {
        let start_at = elected_at + constants::STATE_PROBE_DELAY;
        Self {
            in_flight: 0,
            start_at,
            requested: BTreeSet::new(),
            requested_for_status: BTreeSet::new(),
        }
    }

    /// Requests a probe of a machine's worker that does not wait for the time of the next retry.
    pub fn request(&mut self, machine: &str) {
        self.requested.insert(machine.to_owned());
    }

    /// Requests a probe of a machine's worker that shows which of its tasks run, unless the last
    /// probe was sent a moment ago.
    pub fn request_for_status(&mut self, machine: &str) {
        self.requested.insert(machine.to_owned());
        self.requested_for_status.insert(machine.to_owned());
    }

    /// Records that one probe is no longer in flight.
    pub fn decrement_in_flight(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// A state probe to be sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StateProbeRequest {
    /// Name of the machine, as it is in the registry.
    pub machine: String,
    /// Address where its worker listens for direct commands.
    pub address: String,
    /// The machine's fencing token, which the probe shows to the worker.
    pub fencing_token: u64,
}

/// State of the probes of one machine, which are sent while its worker has not shown this leader's
/// fencing token.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StateProbe {
    in_flight: bool,
    /// Consecutive probes without a usable answer.
    unanswered: u32,
    /// When the last probe was sent; `None` before the first one.
    last_sent_at: Option<MonotonicTime>,
    /// Version of the worker's newest message when the last probe was sent. The worker answers with
    /// a newer one, unless its process has begun anew.
    newest_when_sent: MessageVersion,
}

impl StateProbe {
    /// Whether a probe is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether another probe may be sent at `now`: none is in flight, and the last one was long
    /// enough ago.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        let is_retry_due = |sent_at: MonotonicTime| now >= sent_at + constants::STATE_PROBE_RETRY;
        !self.in_flight && self.last_sent_at.is_none_or(is_retry_due)
    }

    /// Records that a probe is sent at `now`, when `newest` is the version of the worker's newest
    /// message.
    pub fn mark_sent(&mut self, now: MonotonicTime, newest: MessageVersion) {
        self.in_flight = true;
        self.newest_when_sent = newest;
        self.last_sent_at = Some(now);
    }

    /// Records that the worker answered the probe in flight.
    pub fn record_answer(&mut self) {
        self.in_flight = false;
        self.unanswered = 0;
    }

    /// Records that the probe in flight ended without a usable answer.
    pub fn record_failure(&mut self) {
        self.in_flight = false;
        self.unanswered += 1;
    }

    /// Whether the worker, or the network path to it, counts as lost: too many consecutive probes
    /// had no usable answer.
    pub fn is_unresponsive(&self) -> bool {
        !self.in_flight && self.unanswered >= constants::MAX_UNANSWERED_STATE_PROBES
    }
}

impl ClusterState {
    /// Returns the workers to be probed at `now`: they have not shown this leader's fencing token.
    /// The caller passes the outcome of each probe to [`ClusterState::apply_state_probe_outcome`].
    ///
    /// A worker finds a new leader only after its heartbeat to the previous one has failed, which
    /// takes some seconds for each controller that hangs. Until all workers have shown the token,
    /// most tasks of earlier terms can't be started. Workers that have sent a heartbeat without the
    /// token are probed first, and at once: their leases are not extended before they show it.
    pub fn take_state_probes(&mut self, now: MonotonicTime) -> Vec<StateProbeRequest> {
        let mut probes = self.take_requested_probes(now);
        if now < self.state_probes.start_at {
            return probes;
        }
        for name in &self.reconciliation.machines {
            if self.state_probes.in_flight >= constants::MAX_STATE_PROBES {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.state_probe.is_due(now) && !self.machines_being_deleted.contains(name) {
                let in_flight = &mut self.state_probes.in_flight;
                probes.extend(take_probe(name, machine, self.term, in_flight, now));
            }
        }
        probes
    }

    /// Returns the probes of machines that have sent a heartbeat without this term's fencing token.
    fn take_requested_probes(&mut self, now: MonotonicTime) -> Vec<StateProbeRequest> {
        let mut probes = Vec::new();
        if self.state_probes.in_flight >= MAX_PROBES_WITH_REQUESTED {
            return probes;
        }
        for name in std::mem::take(&mut self.state_probes.requested) {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            let is_for_status = self.state_probes.requested_for_status.remove(&name);
            if !self.reconciliation.machines.contains(&name) {
                let may_have_restarted = machine.new_process_by.is_some();
                let is_due = machine.state_probe.is_due(now);
                let is_wanted = may_have_restarted || is_for_status && is_due;
                if !is_wanted {
                    continue;
                }
                if !is_due {
                    self.state_probes.requested.insert(name);
                    continue;
                }
            }
            let has_free_slot = self.state_probes.in_flight < MAX_PROBES_WITH_REQUESTED;
            if has_free_slot && !machine.state_probe.is_in_flight() {
                let in_flight = &mut self.state_probes.in_flight;
                probes.extend(take_probe(&name, machine, self.term, in_flight, now));
            } else {
                self.state_probes.requested.insert(name);
            }
        }
        probes
    }

    /// Applies the answer of a probed worker, received at `now`; `None` if there was none.
    ///
    /// An answer with this term's fencing token names every task: the worker refuses whatever an
    /// earlier leader sent. The answer extends no lease, but it may be the first message of an
    /// incarnation whose lease began just now.
    pub fn apply_state_probe_outcome(
        &mut self,
        name: &str,
        answer: Option<Heartbeat>,
        now: MonotonicTime,
    ) {
        let answer = answer.filter(|a| a.machine == name && a.fencing_token >= self.term);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_first_outcome = machine.state_probe.is_in_flight();
        if is_first_outcome {
            if answer.is_some() {
                machine.state_probe.record_answer();
            } else {
                machine.state_probe.record_failure();
            }
            self.state_probes.decrement_in_flight();
        }
        let Some(answer) = answer else { return };
        let version = MessageVersion::of(&answer);
        if is_first_outcome && version <= machine.state_probe.newest_when_sent {
            return self.give_up_restarted(name, now);
        }
        machine.new_process_by = None;
        let is_expired = version.incarnation <= machine.expired_incarnation;
        // The next heartbeat of a restarted worker shows the new incarnation and removes the tasks
        // of the earlier one.
        let has_restarted =
            machine.has_reported && version.incarnation != machine.newest_message.incarnation;
        let is_outdated = version <= machine.newest_message;
        let is_leaving = self.machines_being_deleted.contains(name)
            || machine.cordon_reason == Some(CordonReason::Failed);
        if is_expired || is_leaving || has_restarted || is_outdated {
            return;
        }
        if !machine.has_reported {
            machine.has_reported = true;
            machine.last_response_at = now;
        }
        let probed_at = machine.state_probe.last_sent_at.unwrap_or(now);
        machine.record_direct_answer(&answer, probed_at, now);
        machine.update_from(&answer, now);
        self.reconciliation.machines.remove(name);
        self.apply_reported_tasks(name, &answer, now, MessageKind::DirectAnswer);
    }
}

/// Returns the probe of a machine's worker, and counts it as in flight; `None` if the worker's
/// address is unknown.
fn take_probe(
    name: &str,
    machine: &mut Machine,
    term: u64,
    in_flight: &mut usize,
    now: MonotonicTime,
) -> Option<StateProbeRequest> {
    if machine.address.is_empty() {
        return None;
    }
    machine.state_probe.mark_sent(now, machine.newest_message);
    *in_flight += 1;
    Some(StateProbeRequest {
        machine: name.to_owned(),
        address: machine.address.clone(),
        fencing_token: term + machine.token_offset,
    })
}
