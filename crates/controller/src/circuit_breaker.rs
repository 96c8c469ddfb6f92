//! Circuit breakers: requests of users fail at once instead of waiting for a service that does not
//! respond.

use hookway_constants as constants;
use tokio::time::Instant;

/// The circuit breaker of a service. The circuit opens when a request fails. While it is open, one
/// request is allowed every `CIRCUIT_BREAKER_OPEN` as a probe; the circuit closes when a request
/// succeeds.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// When the last request failed or the last probe was allowed; `None` if the circuit is closed.
    opened_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Records the result of a request: opens the circuit if the request failed, and closes it
    /// otherwise.
    pub(crate) fn record(&mut self, failed: bool) {
        self.opened_at = failed.then(Instant::now);
    }

    /// Whether a request may be sent now. If the circuit is open and this returns `true`, the
    /// request is a probe, and no other one is allowed for `CIRCUIT_BREAKER_OPEN`.
    pub(crate) fn allows_request(&mut self) -> bool {
        let Some(opened_at) = self.opened_at.as_mut() else { return true };
        let is_probe = opened_at.elapsed() >= constants::CIRCUIT_BREAKER_OPEN;
        if is_probe {
            *opened_at = Instant::now();
        }
        is_probe
    }
}
