//! Circuit breakers, so that users need not wait for a service that does not respond.

use hookway_constants as constants;
use tokio::time::Instant;

/// The circuit breaker of a service. It opens when a request fails, and lets one request through
/// every `CIRCUIT_BREAKER_OPEN` until one succeeds.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// When the last request failed or was let through; `None`: closed.
    opened_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Records the result of a request: opens the circuit if it `failed`, closes it otherwise.
    pub(crate) fn record(&mut self, failed: bool) {
        self.opened_at = failed.then(Instant::now);
    }

    /// Whether a request may be sent.
    pub(crate) fn allows_request(&mut self) -> bool {
        let Some(opened_at) = self.opened_at.as_mut() else { return true };
        let probes = opened_at.elapsed() >= constants::CIRCUIT_BREAKER_OPEN;
        if probes {
            *opened_at = Instant::now();
        }
        probes
    }
}
