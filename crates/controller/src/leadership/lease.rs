//! The leadership lease, as the leader itself computes it.

use crate::clock_drift::earliest_expiry;
use hookway_constants as constants;
use hookway_time::whole_millis;
use std::sync::Mutex;

/// The term that this controller leads, and a lower bound on the expiry of its lease.
///
/// The election actor updates it; whoever acts as the leader checks it right before each effect.
#[derive(Debug, Default)]
pub struct LeadershipLease {
    current: Mutex<TermLease>,
}

/// The lease of one term.
#[derive(Debug, Default)]
struct TermLease {
    term: u64,
    /// Monotonic clock, ms; 0: expired.
    expires_at: u64,
}

impl LeadershipLease {
    /// Whether this controller may act as the leader of `term` at `now` (monotonic clock, ms).
    ///
    /// A lease of a later term does not authorize decisions based on the state of an earlier one:
    /// another controller may have led in between.
    pub fn holds(&self, term: u64, now: u64) -> bool {
        now < self.expires_at(term)
    }

    /// The expiry of the lease of `term` (monotonic clock, ms), as far as it is known now; 0 if
    /// this controller does not lead that term.
    pub fn expires_at(&self, term: u64) -> u64 {
        self.current.lock().map_or(0, |lease| if lease.term == term { lease.expires_at } else { 0 })
    }

    /// Records the lease of `term`: it expires at `expires_at` (monotonic clock, ms) or later.
    pub(super) fn set(&self, term: u64, expires_at: u64) {
        if let Ok(mut lease) = self.current.lock() {
            *lease = TermLease { term, expires_at };
        }
    }

    /// Ends the lease of `term` for this controller.
    pub(super) fn revoke(&self, term: u64) {
        self.set(term, 0);
    }
}

/// The earliest expiry (ms) of a lease of length `ttl_ms` whose request was sent at `sent_at`
/// (ms), less clock drift and a safety margin.
pub fn lease_expiry(sent_at: u64, ttl_ms: u64) -> u64 {
    earliest_expiry(sent_at, ttl_ms).saturating_sub(whole_millis(constants::LEADER_MARGIN))
}

#[cfg(test)]
mod tests;
