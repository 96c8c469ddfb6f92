//! The leadership lease, with its expiry as the leader itself computes it.

use crate::clock_drift::earliest_expiry;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::sync::Mutex;
use std::time::Duration;

/// The term that this controller leads, and a lower bound on the expiry of its lease.
///
/// The election actor updates it. The controller actor checks it before it decides, and background
/// tasks check it right before each effect that neither a fencing token nor a precondition guards.
/// A response to a heartbeat must be sent before the expiry.
#[derive(Debug, Default)]
pub struct LeadershipLease {
    current: Mutex<TermLease>,
}

#[derive(Debug, Default)]
struct TermLease {
    term: u64,
    /// A lower bound; zero if the lease counts as expired.
    expires_at: MonotonicTime,
}

impl LeadershipLease {
    /// Whether this controller may act as the leader of `term` at `now`.
    ///
    /// A lease of a later term does not authorize decisions that are based on the cluster state of
    /// an earlier term: another controller may have led in between.
    pub fn holds(&self, term: u64, now: MonotonicTime) -> bool {
        now < self.expires_at(term)
    }

    /// Returns the expiry of the lease of `term` according to the extensions so far; zero if this
    /// controller does not lead that term.
    pub fn expires_at(&self, term: u64) -> MonotonicTime {
        match self.current.lock() {
            Ok(lease) if lease.term == term => lease.expires_at,
            _ => MonotonicTime::ZERO,
        }
    }

    /// Records that the lease of `term` does not expire before `expires_at`.
    pub(super) fn set(&self, term: u64, expires_at: MonotonicTime) {
        if let Ok(mut lease) = self.current.lock() {
            *lease = TermLease { term, expires_at };
        }
    }

    /// Records that this controller may no longer act as the leader of `term`.
    pub(super) fn revoke(&self, term: u64) {
        self.set(term, MonotonicTime::ZERO);
    }
}

/// Returns the expiry that the leader assumes for a lease of length `ttl` that was granted or
/// extended by a request sent at `sent_at`: the earliest possible one, clock drift included, less a
/// safety margin.
pub fn lease_expiry(sent_at: MonotonicTime, ttl: Duration) -> MonotonicTime {
    earliest_expiry(sent_at, ttl).saturating_sub(constants::LEADER_LEASE_MARGIN)
}

#[cfg(test)]
mod tests;
