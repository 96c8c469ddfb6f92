//! A token bucket: limits the rate of operations while allowing short bursts.

use hookway_time::{MonotonicTime, seconds_f64};

/// Minimum capacity of a bucket in tokens, however low its rate: the transaction that ends a job
/// has two operations.
const MIN_CAPACITY: f64 = 2.0;

/// Tokens that are refilled at a steady rate. The capacity is the refill of one second, but at
/// least [`MIN_CAPACITY`].
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    /// When the bucket was last refilled.
    filled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates a bucket that is full at `now`.
    pub fn new(rate_per_s: f64, now: MonotonicTime) -> Self {
        Self { rate_per_s, tokens: rate_per_s.max(MIN_CAPACITY), filled_at: now }
    }

    /// Refills the bucket at `now`, and returns the number of tokens in it.
    pub fn refill(&mut self, now: MonotonicTime) -> f64 {
        let elapsed_s = seconds_f64(now.saturating_duration_since(self.filled_at));
        let filled = self.tokens + elapsed_s * self.rate_per_s;
        self.tokens = filled.min(self.rate_per_s.max(MIN_CAPACITY));
        self.filled_at = now;
        self.tokens
    }

    /// Refills the bucket at `now`, and returns whether it has a token.
    pub fn has_token(&mut self, now: MonotonicTime) -> bool {
        self.refill(now) >= 1.0
    }

    /// Removes tokens for operations that are sent.
    pub fn consume(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }
}
