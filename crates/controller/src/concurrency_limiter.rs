//! An adaptive limit on the number of requests in progress.

use hookway_constants as constants;
use std::sync::Mutex;
use std::time::Duration;

/// The limit is multiplied by this factor after each slow response.
const DECREASE_FACTOR: f64 = 0.95;
/// Growth of the limit, in requests, over a number of fast responses equal to the limit.
const ADDITIVE_INCREASE: f64 = 1.0;

/// Limits the number of requests in progress by their latency: additive increase after fast
/// responses, multiplicative decrease after slow ones, between `MIN_CONCURRENCY` and a maximum.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    max_limit: f64,
    state: Mutex<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    in_progress: usize,
    limit: f64,
}

/// The permission for one request. The request counts as in progress until the permit is dropped.
#[derive(Debug)]
pub struct Permit<'a>(&'a ConcurrencyLimiter);

impl ConcurrencyLimiter {
    /// Creates a limiter whose limit starts at its maximum, `max_requests` or `MIN_CONCURRENCY` if
    /// that is higher.
    pub fn new(max_requests: usize) -> Self {
        let max_limit = max_requests.max(constants::MIN_CONCURRENCY) as f64;
        Self { max_limit, state: Mutex::new(LimiterState { in_progress: 0, limit: max_limit }) }
    }

    /// Admits a request; returns `None` if the limit is reached.
    pub fn try_acquire(&self) -> Option<Permit<'_>> {
        let mut state = self.state.lock().ok()?;
        if state.in_progress as f64 >= state.limit {
            return None;
        }
        state.in_progress += 1;
        Some(Permit(self))
    }

    /// Adapts the limit to the latency of a completed request, whose response counts as slow if the
    /// latency exceeds `CONCURRENCY_LATENCY_TARGET`.
    pub fn record_latency(&self, latency: Duration) {
        let Ok(mut state) = self.state.lock() else { return };
        let adapted = if latency > constants::CONCURRENCY_LATENCY_TARGET {
            state.limit * DECREASE_FACTOR
        } else {
            state.limit + ADDITIVE_INCREASE / state.limit.max(1.0)
        };
        state.limit = adapted.clamp(constants::MIN_CONCURRENCY as f64, self.max_limit);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.state.lock() {
            state.in_progress = state.in_progress.saturating_sub(1);
        }
    }
}

#[cfg(test)]
mod tests;
