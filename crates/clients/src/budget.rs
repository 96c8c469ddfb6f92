use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// A token bucket: so many units a second, with one second's worth of burst at most.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    state: Mutex<(f64, Instant)>,
}

impl Budget {
    /// A full bucket.
    pub fn new(rate: f64) -> Self {
        let rate = rate.max(0.1);
        Self { rate, state: Mutex::new((rate.max(1.0), Instant::now())) }
    }

    /// Takes `units` now (the bucket may go below zero) and says how long to wait before acting.
    pub fn take(&self, units: f64) -> Duration {
        let Ok(mut state) = self.state.lock() else { return Duration::ZERO };
        let now = Instant::now();
        let filled = state.0 + (now - state.1).as_secs_f64() * self.rate;
        state.0 = filled.min(self.rate.max(1.0)) - units;
        state.1 = now;
        if state.0 >= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(-state.0 / self.rate) }
    }

    /// Waits until `units` may be spent, if that is within `patience`; `false` if it is not.
    pub async fn spend_within(&self, units: f64, patience: Duration) -> bool {
        let wait = self.take(units);
        if wait > patience {
            if let Ok(mut state) = self.state.lock() {
                state.0 += units;
            }
            return false;
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    /// Waits until `units` may be spent.
    pub async fn spend(&self, units: f64) {
        let wait = self.take(units);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}
