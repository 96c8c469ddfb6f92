//! A limit on requests in progress that adjusts itself to measured times.

use hookway_constants as constants;
use std::sync::Mutex;
use std::time::Duration;

/// Additive increase while answers are quick, multiplicative decrease when they are not.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    max_limit: f64,
    state: Mutex<(usize, f64)>,
}

/// A request in progress; ends when dropped.
#[derive(Debug)]
pub struct Permit<'a>(&'a ConcurrencyLimiter);

impl ConcurrencyLimiter {
    /// A limit that never exceeds `most`.
    pub fn new(most: usize) -> Self {
        let most = most.max(constants::MIN_CONCURRENCY) as f64;
        Self { max_limit: most, state: Mutex::new((0, most)) }
    }

    /// Lets a request in, or not.
    pub fn try_acquire(&self) -> Option<Permit<'_>> {
        let mut state = self.state.lock().ok()?;
        if state.0 as f64 >= state.1 {
            return None;
        }
        state.0 += 1;
        Some(Permit(self))
    }

    /// A request took this long.
    pub fn record_latency(&self, took: Duration) {
        let Ok(mut state) = self.state.lock() else { return };
        let slow = took > Duration::from_millis(constants::CONCURRENCY_LATENCY_TARGET_MS);
        let next = if slow { state.1 * 0.95 } else { state.1 + 1.0 / state.1.max(1.0) };
        state.1 = next.clamp(constants::MIN_CONCURRENCY as f64, self.max_limit);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.state.lock() {
            state.0 = state.0.saturating_sub(1);
        }
    }
}

#[cfg(test)]
mod tests;
