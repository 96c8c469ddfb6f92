//! Reconciliation after a failover: when every task that an earlier leader may have started is known.

use super::{ClusterState, worker_lease_expiry_ms};
use hookway_time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

/// The machines that a new leader has yet to reconcile.
#[derive(Debug)]
pub(super) struct Reconciliation {
    /// Machines of the registry whose tasks are not known yet, and keys of registry records that can't
    /// be read.
    pub machines: BTreeSet<String>,
    /// When their workers may last have been answered by another controller, ms.
    pub last_answered_at: u64,
    /// The end of the reconciliation is in the log.
    logged: bool,
}

impl Reconciliation {
    /// No machine is known yet; workers may have been answered until `elected_at` (ms).
    pub fn new(elected_at: u64) -> Self {
        Self { machines: BTreeSet::new(), last_answered_at: elected_at, logged: false }
    }
}

impl ClusterState {
    /// Whether every task that an earlier leader may have started is known at `now` (ms): each machine
    /// of the registry has sent a heartbeat, is gone, or the lease of its worker has surely expired.
    pub fn reconciled(&self, now: u64) -> bool {
        self.reconciliation.machines.is_empty() || self.unreconciled_leases_expired(now)
    }

    /// Logs the end of the reconciliation, once.
    pub(super) fn log_reconciliation(&mut self, now: u64) {
        if self.reconciliation.logged || !self.reconciled(now) {
            return;
        }
        self.reconciliation.logged = true;
        let after_s = now.saturating_sub(self.clocks.elected_at()) as f64 / 1000.0;
        tracing::info!(term = self.term, after_s, "reconciled with earlier terms");
    }

    /// Whether the leases of all workers without a heartbeat to this leader have surely expired.
    pub(super) fn unreconciled_leases_expired(&self, now: u64) -> bool {
        let lease_ms = worker_lease_expiry_ms(&self.config.platform);
        let last_answered_at = self.reconciliation.last_answered_at;
        // Their zones are not known, so those of all lessees count.
        self.shard_lessor.worker_lease_expired(
            "",
            MonotonicTime::from_millis(last_answered_at),
            Duration::from_millis(lease_ms),
            MonotonicTime::from_millis(now),
        )
    }
}
