//! A budget of operations that is refilled at a steady rate.

/// Tokens that are refilled at a rate and saved up for a second, but at least two.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    /// When it was last refilled, ms.
    filled_at: u64,
}

impl TokenBucket {
    /// A full bucket at `now` (ms).
    pub fn new(rate_per_s: f64, now: u64) -> Self {
        Self { rate_per_s, tokens: rate_per_s.max(2.0), filled_at: now }
    }

    /// Refills the bucket at `now` (ms); the number of tokens.
    pub fn fill(&mut self, now: u64) -> f64 {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        let filled = self.tokens + elapsed_s * self.rate_per_s;
        self.tokens = filled.min(self.rate_per_s.max(2.0));
        self.filled_at = now;
        self.tokens
    }

    /// Refills the bucket at `now` (ms); whether it has a token.
    pub fn has_token(&mut self, now: u64) -> bool {
        self.fill(now) >= 1.0
    }

    /// Takes tokens.
    pub fn take(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }
}
