//! State probes: how a new leader asks a worker for the tasks on its machine.

use hookway_constants as constants;

/// The state probes of one machine whose worker has not shown this leader's fencing token yet.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StateProbe {
    in_flight: bool,
    /// Consecutive probes without an answer.
    unanswered: u32,
    /// When the last probe was sent, ms.
    last_sent_at: Option<u64>,
}

impl StateProbe {
    /// Whether a probe is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether another probe may be sent at `now` (ms).
    pub fn due(&self, now: u64) -> bool {
        let retry_due = |sent_at: u64| now >= sent_at + constants::STATE_PROBE_RETRY_MS;
        !self.in_flight && self.last_sent_at.is_none_or(retry_due)
    }

    /// A probe is sent at `now` (ms).
    pub fn begin(&mut self, now: u64) {
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
