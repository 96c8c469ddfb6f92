//! Reconciliation after a failover: it ends once this leader knows every task that an earlier
//! leader may have started.

use super::{ClusterState, longest_worker_lease};
use crate::shard_lease::UNKNOWN_ZONE;
use hookway_time::{MonotonicTime, seconds_f64};
use std::collections::BTreeSet;

/// What a new leader has yet to reconcile.
#[derive(Debug)]
pub(super) struct Reconciliation {
    /// Registered machines whose tasks this leader does not know yet.
    pub machines: BTreeSet<String>,
    /// Keys of unreadable registry records: the machines that they name are unknown.
    pub unreadable_records: BTreeSet<String>,
    /// Latest time at which an earlier leader, or this controller as a lessee, may have answered a
    /// worker that has sent this leader no heartbeat, and so extended its lease. Answers of other
    /// controllers as lessees are not included: the shard lessor tracks them.
    pub last_answered_at: MonotonicTime,
    /// Whether the end of reconciliation has been logged.
    is_end_logged: bool,
}

impl Reconciliation {
    /// Creates an empty reconciliation of a leader that was elected at `elected_at`: until then
    /// workers may have been answered by an earlier leader.
    pub fn new(elected_at: MonotonicTime) -> Self {
        Self {
            machines: BTreeSet::new(),
            unreadable_records: BTreeSet::new(),
            last_answered_at: elected_at,
            is_end_logged: false,
        }
    }
}

impl ClusterState {
    /// Whether every task that an earlier leader may have started is known at `now`: the worker of
    /// each registered machine has sent this leader a message that names all of its tasks, the
    /// machine has failed or no longer exists, or the lease of its worker has certainly expired.
    /// With an unreadable registry record, reconciliation ends only when all leases of unreconciled
    /// workers have expired.
    pub fn is_reconciled(&self, now: MonotonicTime) -> bool {
        let all_known = self.reconciliation.machines.is_empty()
            && self.reconciliation.unreadable_records.is_empty();
        all_known || self.unreconciled_leases_expired(now)
    }

    /// Logs the end of reconciliation, once.
    pub(super) fn log_reconciliation_end(&mut self, now: MonotonicTime) {
        if self.reconciliation.is_end_logged || !self.is_reconciled(now) {
            return;
        }
        self.reconciliation.is_end_logged = true;
        let after_s = seconds_f64(now.saturating_duration_since(self.clocks.elected_at()));
        let unreconciled = self.reconciliation.machines.len();
        let unreadable = self.reconciliation.unreadable_records.len();
        tracing::info!(
            term = self.term,
            after_s,
            unreconciled,
            unreadable,
            "reconciled with earlier terms"
        );
    }

    /// Whether the leases of all workers without a heartbeat to this leader have certainly expired
    /// at `now`.
    pub(super) fn unreconciled_leases_expired(&self, now: MonotonicTime) -> bool {
        let lease = longest_worker_lease(&self.config.platform);
        let last_answered_at = self.reconciliation.last_answered_at;
        self.shard_lessor.worker_lease_expired(UNKNOWN_ZONE, last_answered_at, lease, now)
    }
}
