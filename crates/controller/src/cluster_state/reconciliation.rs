//! Reconciliation after a failover: when every task that an earlier leader may have started is known.

use super::{ClusterState, longest_worker_lease};
use crate::shard_lease::UNKNOWN_ZONE;
use hookway_time::{MonotonicTime, seconds_f64};
use std::collections::BTreeSet;

/// The machines that a new leader has yet to reconcile.
#[derive(Debug)]
pub(super) struct Reconciliation {
    /// Machines of the registry whose tasks are not known yet.
    pub machines: BTreeSet<String>,
    /// Keys of registry records that can't be read: which machines they name is not known.
    pub unreadable_records: BTreeSet<String>,
    /// When their workers may last have been answered by another controller.
    pub last_answered_at: MonotonicTime,
    /// The end of the reconciliation is in the log.
    logged: bool,
}

impl Reconciliation {
    /// No machine is known yet; workers may have been answered until `elected_at`.
    pub fn new(elected_at: MonotonicTime) -> Self {
        Self {
            machines: BTreeSet::new(),
            unreadable_records: BTreeSet::new(),
            last_answered_at: elected_at,
            logged: false,
        }
    }
}

impl ClusterState {
    /// Whether every task that an earlier leader may have started is known at `now`: each machine
    /// of the registry has sent a heartbeat, is gone, or the lease of its worker has surely expired.
    pub fn reconciled(&self, now: MonotonicTime) -> bool {
        let all_known = self.reconciliation.machines.is_empty()
            && self.reconciliation.unreadable_records.is_empty();
        all_known || self.unreconciled_leases_expired(now)
    }

    /// Logs the end of the reconciliation, once.
    pub(super) fn log_reconciliation(&mut self, now: MonotonicTime) {
        if self.reconciliation.logged || !self.reconciled(now) {
            return;
        }
        self.reconciliation.logged = true;
        let after_s = seconds_f64(now.saturating_duration_since(self.clocks.elected_at()));
        tracing::info!(term = self.term, after_s, "reconciled with earlier terms");
    }

    /// Whether the leases of all workers without a heartbeat to this leader have surely expired.
    pub(super) fn unreconciled_leases_expired(&self, now: MonotonicTime) -> bool {
        let lease = longest_worker_lease(&self.config.platform);
        let last_answered_at = self.reconciliation.last_answered_at;
        self.shard_lessor.worker_lease_expired(UNKNOWN_ZONE, last_answered_at, lease, now)
    }
}
