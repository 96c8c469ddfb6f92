//! State probes: requests in which a new leader asks workers for the tasks on their machines.

use super::heartbeat_tasks::MessageKind;
use super::{ClusterState, MessageVersion};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;

/// The state probes of all machines.
#[derive(Debug)]
pub(super) struct StateProbes {
    /// Number of probes in flight.
    pub in_flight: usize,
    /// Time from which workers that have not shown this leader's fencing token are probed.
    pub start_at: MonotonicTime,
}

impl StateProbes {
    /// Creates the state of a leader that was elected at `elected_at` and has sent no probe.
    pub fn new(elected_at: MonotonicTime) -> Self {
        Self { in_flight: 0, start_at: elected_at + constants::STATE_PROBE_DELAY }
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

    /// Records that a probe is sent at `now`.
    pub fn mark_sent(&mut self, now: MonotonicTime) {
        self.in_flight = true;
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
    /// takes some seconds for each controller that hangs. It shows the new token with the heartbeat
    /// after that, which may be its next regular one. Until all workers have shown it, most tasks
    /// of earlier terms can't be started.
    pub fn take_state_probes(&mut self, now: MonotonicTime) -> Vec<StateProbeRequest> {
        let free_slots = constants::MAX_STATE_PROBES.saturating_sub(self.state_probes.in_flight);
        if now < self.state_probes.start_at {
            return Vec::new();
        }
        let mut probes = Vec::new();
        for name in &self.reconciliation.machines {
            if probes.len() >= free_slots {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.needs_state_probe(now) {
                machine.state_probe.mark_sent(now);
                let (machine, address) = (name.clone(), machine.address.clone());
                probes.push(StateProbeRequest { machine, address });
            }
        }
        self.state_probes.in_flight += probes.len();
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
        if machine.state_probe.is_in_flight() {
            if answer.is_some() {
                machine.state_probe.record_answer();
            } else {
                machine.state_probe.record_failure();
            }
            self.state_probes.decrement_in_flight();
        }
        let Some(answer) = answer else { return };
        let version = MessageVersion::of(&answer);
        let is_expired = version.incarnation <= machine.expired_incarnation;
        // The next heartbeat of a restarted worker shows the new incarnation and removes the tasks
        // of the earlier one.
        let has_restarted =
            machine.has_reported && version.incarnation != machine.newest_message.incarnation;
        let is_outdated = version <= machine.newest_message;
        if is_expired || machine.cordon_reason.is_some() || has_restarted || is_outdated {
            return;
        }
        if !machine.has_reported {
            machine.has_reported = true;
            machine.last_response_at = now;
        }
        machine.update_from(&answer, now);
        self.reconciliation.machines.remove(name);
        self.apply_reported_tasks(name, &answer, now, MessageKind::DirectAnswer);
    }
}
