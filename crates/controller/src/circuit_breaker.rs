//! Who has not answered, so that users need not wait for it again and again.

use hookway_constants as constants;
use std::time::Duration;
use tokio::time::Instant;

/// Whether somebody has been silent since it was asked last. Each question to it would take its whole time limit,
/// so only one in a while is asked.
#[derive(Debug, Default)]
pub struct CircuitBreaker(Option<Instant>);

impl CircuitBreaker {
    /// It did not answer, or it did.
    pub fn record(&mut self, silent: bool) {
        self.0 = silent.then(Instant::now);
    }

    /// Whether a user should wait for its answer; `true` once in a while although it is silent.
    pub fn allows_request(&mut self) -> bool {
        let Some(since) = self.0.as_mut() else { return true };
        let again = since.elapsed() >= Duration::from_millis(constants::CIRCUIT_BREAKER_OPEN_MS);
        if again {
            *since = Instant::now();
        }
        again
    }
}
