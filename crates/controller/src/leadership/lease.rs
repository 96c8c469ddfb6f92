//! The leadership lease, as the leader itself computes it.

use crate::clock_drift::earliest_expiry;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::sync::Mutex;
use std::time::Duration;

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
    /// Zero: expired.
    expires_at: MonotonicTime,
}

impl LeadershipLease {
    /// Whether this controller may act as the leader of `term` at `now`.
    ///
    /// A lease of a later term does not authorize decisions based on the state of an earlier one:
    /// another controller may have led in between.
    pub fn holds(&self, term: u64, now: MonotonicTime) -> bool {
        now < self.expires_at(term)
    }

    /// The expiry of the lease of `term`, as far as it is known now; zero if this controller does not
    /// lead that term.
    pub fn expires_at(&self, term: u64) -> MonotonicTime {
        match self.current.lock() {
            Ok(lease) if lease.term == term => lease.expires_at,
            _ => MonotonicTime::ZERO,
        }
    }

    /// Records the lease of `term`: it expires at `expires_at` or later.
    pub(super) fn set(&self, term: u64, expires_at: MonotonicTime) {
        if let Ok(mut lease) = self.current.lock() {
            *lease = TermLease { term, expires_at };
        }
    }

    /// Ends the lease of `term` for this controller.
    pub(super) fn revoke(&self, term: u64) {
        self.set(term, MonotonicTime::ZERO);
    }
}

/// The earliest expiry of a lease of length `ttl` whose request was sent at `sent_at`, less clock
/// drift and a safety margin.
pub fn lease_expiry(sent_at: MonotonicTime, ttl: Duration) -> MonotonicTime {
    earliest_expiry(sent_at, ttl).saturating_sub(constants::LEADER_MARGIN)
}

#[cfg(test)]
mod tests;
