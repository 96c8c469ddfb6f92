//! Reconciliation after a failover: it ends once this leader knows every task that an earlier
//! leader may have started.

use super::{ClusterState, longest_worker_lease};
use crate::shard_lease::UNKNOWN_ZONE;
use hookway_time::{MonotonicTime, seconds_f64};
use std::collections::BTreeSet;

/// What a new leader has yet to reconcile.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    /// Registered machines whose workers have not shown a fencing token of this term, so that this
    /// leader does not know their tasks. Until reconciliation has ended, it does not extend these
    /// workers' leases. They get no new tasks, since nothing shows that commands reach them.
    pub machines: BTreeSet<String>,
    /// Keys of unreadable registry records: the machines that they name are unknown.
    pub unreadable_records: BTreeSet<String>,
    /// Whether reconciliation has ended: no earlier task is left unknown, also on `machines`.
    has_ended: bool,
}

impl ClusterState {
    /// Whether every task that an earlier leader may have started is known at `now`: the worker of
    /// each registered machine has sent this leader a message that names all of its tasks, the
    /// machine has failed or no longer exists, or the lease of its worker has certainly expired.
    /// With an unreadable registry record, reconciliation ends only when all leases of unreconciled
    /// workers have expired. Once it has ended, it does not begin again.
    pub fn is_reconciled(&self, now: MonotonicTime) -> bool {
        let all_known = self.reconciliation.machines.is_empty()
            && self.reconciliation.unreadable_records.is_empty();
        self.reconciliation.has_ended || all_known || self.unreconciled_leases_expired(now)
    }

    /// Ends reconciliation if nothing is left to reconcile at `now`. Called before shard leases are
    /// granted: from then on the extensions of their lessees count in
    /// [`Self::unreconciled_leases_expired`].
    pub(super) fn end_reconciliation_if_due(&mut self, now: MonotonicTime) {
        if self.reconciliation.has_ended || !self.is_reconciled(now) {
            return;
        }
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
        self.commit_queue.registry.treat_unreadable_as_empty();
        self.reconciliation.unreadable_records.clear();
        self.reconciliation.has_ended = true;
    }

    /// Whether the leases of all unreconciled workers have certainly expired at `now`. Until the
    /// election they may have been extended by an earlier leader, or by this controller as a lessee;
    /// this leader extends none of them.
    fn unreconciled_leases_expired(&self, now: MonotonicTime) -> bool {
        let lease = longest_worker_lease(&self.config.platform);
        let elected_at = self.clocks.elected_at();
        self.shard_lessor.worker_lease_expired(UNKNOWN_ZONE, elected_at, lease, now)
    }
}
