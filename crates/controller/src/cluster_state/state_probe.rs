//! State probes: how a new leader asks a worker for the tasks on its machine.

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
    /// Workers without a heartbeat are probed from then on.
    pub start_at: MonotonicTime,
}

impl StateProbes {
    /// No probes yet, of a leader that was elected at `elected_at`.
    pub fn new(elected_at: MonotonicTime) -> Self {
        Self { in_flight: 0, start_at: elected_at + constants::STATE_PROBE_DELAY }
    }

    /// A probe has ended.
    pub fn end_one(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// A state probe to be sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StateProbeRequest {
    /// The machine.
    pub machine: String,
    /// The address of its worker.
    pub address: String,
}

/// The state probes of one machine whose worker has not shown this leader's fencing token yet.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StateProbe {
    in_flight: bool,
    /// Consecutive probes without an answer.
    unanswered: u32,
    /// When the last probe was sent.
    last_sent_at: Option<MonotonicTime>,
}

impl StateProbe {
    /// Whether a probe is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether another probe may be sent at `now`.
    pub fn due(&self, now: MonotonicTime) -> bool {
        let retry_due = |sent_at: MonotonicTime| now >= sent_at + constants::STATE_PROBE_RETRY;
        !self.in_flight && self.last_sent_at.is_none_or(retry_due)
    }

    /// A probe is sent at `now`.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.in_flight = true;
        self.last_sent_at = Some(now);
    }

    /// The worker answered the probe in flight.
    pub fn answered(&mut self) {
        self.in_flight = false;
        self.unanswered = 0;
    }

    /// The probe in flight ended without a usable answer.
    pub fn failed(&mut self) {
        self.in_flight = false;
        self.unanswered += 1;
    }

    /// Whether the worker, or the network path to it, counts as gone: too many consecutive probes
    /// had no answer.
    pub fn is_unresponsive(&self) -> bool {
        !self.in_flight && self.unanswered >= constants::MAX_UNANSWERED_STATE_PROBES
    }
}

impl ClusterState {
    /// Workers that have not shown this leader's fencing token and should be probed. The outcome goes to
    /// [`ClusterState::state_probed`].
    ///
    /// A worker finds a new leader only after its heartbeat to the old one has failed, which takes it
    /// some seconds for each controller that hangs, and shows the new token with the heartbeat after
    /// that, which may be its next regular one; until all workers have, most work of earlier terms
    /// waits.
    pub fn take_state_probes(&mut self, now: MonotonicTime) -> Vec<StateProbeRequest> {
        let room = constants::MAX_STATE_PROBES.saturating_sub(self.state_probes.in_flight);
        if now < self.state_probes.start_at {
            return Vec::new();
        }
        let mut probes = Vec::new();
        for name in &self.reconciliation.machines {
            if probes.len() >= room {
                break;
            }
            let Some(machine) = self.machines.get_mut(name) else { continue };
            if machine.needs_state_probe(now) {
                machine.state_probe.begin(now);
                let (machine, address) = (name.clone(), machine.address.clone());
                probes.push(StateProbeRequest { machine, address });
            }
        }
        self.state_probes.in_flight += probes.len();
        probes
    }

    /// Takes in the answer of a probed worker, received at `now`; `None` if there was none.
    ///
    /// With this term's fencing token it names every task: the worker refuses whatever an earlier
    /// leader sent. It extends no lease; but the worker may be in an incarnation whose lease began
    /// just now.
    pub fn state_probed(&mut self, name: &str, answer: Option<Heartbeat>, now: MonotonicTime) {
        let answer = answer.filter(|a| a.machine == name && a.fencing_token >= self.term);
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.state_probe.is_in_flight() {
            if answer.is_some() {
                machine.state_probe.answered();
            } else {
                machine.state_probe.failed();
            }
            self.state_probes.end_one();
        }
        let Some(answer) = answer else { return };
        let version = MessageVersion::of(&answer);
        let gone = version.incarnation <= machine.expired_incarnation;
        // A worker that has restarted tells so with its next heartbeat, which removes the tasks of its
        // earlier incarnation.
        let restarted =
            machine.has_reported && version.incarnation != machine.newest_message.incarnation;
        let outdated = version <= machine.newest_message;
        if gone || machine.cordon_reason.is_some() || restarted || outdated {
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
