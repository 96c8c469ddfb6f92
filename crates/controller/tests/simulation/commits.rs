//! Transactions of a leader on their way to the store: delayed, refused or without a response.

use super::controllers::Version;
use super::messages::Message;
use super::{Simulation, ms};
use hookway_constants as constants;
use hookway_controller::cluster_state::{CommitResult, CompletedJob, PendingCommit, RereadKey};
use hookway_wire::{JobState, Operation, Transaction};

impl Simulation {
    /// Checks that a controller's transaction stays within the store's limits that the controller's version knows.
    pub(super) fn check_transaction_limits(&mut self, n: usize, transaction: &Transaction) {
        let limits = &self.controllers[n].config.platform.store;
        let operation_count = transaction.operations.len();
        assert!(
            operation_count <= limits.txn_ops,
            "{operation_count} operations, limit {}",
            limits.txn_ops
        );
        for operation in &transaction.operations {
            let Operation::Put { key, value, .. } = operation else { continue };
            let length = value.to_string().len() as f64;
            assert!(
                length <= limits.value_kb * 1024.0,
                "{key}: {length} bytes, limit {} KB",
                limits.value_kb
            );
            let divided = self.controllers[n].version == Version::New && key.starts_with("r/");
            self.counts.divided_registry_records += usize::from(divided);
        }
    }

    /// Delivers a transaction to the store, or refuses or delays it. The response may be lost.
    pub(super) fn deliver_commit(&mut self, n: usize, term: u64, commit: Box<PendingCommit>) {
        let now = self.now;
        let writes_refused = now < self.controllers[n].writes_refused_until;
        if writes_refused || !self.can_reach_store(n) {
            let controller = &mut self.controllers[n];
            let not_applied = writes_refused
                || now < self.outage_until
                || controller.is_refused_by_store && now < controller.store_unreachable_until;
            match controller.leader_in_term(term) {
                Some(leader) if not_applied => {
                    leader.cluster.apply_commit_outcome(*commit, CommitResult::NotApplied, now);
                }
                // Delayed in the network, or its sender no longer leads the term: the transaction may be applied after
                // the partition has healed.
                _ => {
                    let at = now + self.random_duration(1_200, 40_000);
                    self.schedule(at, Message::DelayedTransaction(commit.transaction.clone()));
                    self.schedule(now + ms(1_200), Message::RereadCommit(n, term, commit));
                }
            }
            return;
        }
        let response_lost = self.chance(self.lost_commit_response_rate());
        let delayed = response_lost && self.chance(500);
        let applied = if delayed {
            let at = now + self.late_application_delay();
            self.schedule(at, Message::DelayedTransaction(commit.transaction.clone()));
            None
        } else {
            Some(self.store.commit(&commit.transaction))
        };
        match applied {
            Some(Ok(revision)) if !response_lost && self.controllers[n].is_responsive(now) => {
                if let Some(leader) = self.controllers[n].leader_in_term(term) {
                    leader.cluster.apply_commit_outcome(
                        *commit,
                        CommitResult::Applied(revision),
                        now,
                    );
                }
            }
            _ => {
                let reread_delay = ms(if response_lost { 1_200 } else { 10 });
                self.schedule(now + reread_delay, Message::RereadCommit(n, term, commit));
            }
        }
        self.check_final_states();
        self.report_completed_jobs(n, term);
    }

    /// Rereads the keys of a commit whose outcome is unknown, once the store is reachable.
    pub(super) fn reread_commit_keys(&mut self, n: usize, term: u64, commit: Box<PendingCommit>) {
        let now = self.now;
        if self.stale_reads.is_some() {
            return self.begin_slow_reread(n, term, commit);
        }
        if self.controllers[n].leader_in_term(term).is_none() {
            return;
        }
        if !self.can_reach_store(n) {
            return self.schedule(
                now + constants::STORE_RETRY_DELAY,
                Message::RereadCommit(n, term, commit),
            );
        }
        let reread = |key: String| RereadKey { stored: self.store.get(&key), key };
        let read = commit.keys().into_iter().map(reread).collect();
        if let Some(leader) = self.controllers[n].leader_in_term(term) {
            leader.cluster.apply_commit_outcome(*commit, CommitResult::Indeterminate(read), now);
        }
        self.report_completed_jobs(n, term);
    }

    /// Responds to the users who wait for cancellations that are now durable.
    pub(super) fn report_completed_jobs(&mut self, n: usize, term: u64) {
        let Some(leader) = self.controllers[n].leader_in_term(term) else { return };
        let completed_jobs = leader.cluster.take_completed_jobs();
        let requested: Vec<bool> =
            completed_jobs.iter().map(|job| leader.pending_cancellations.remove(&job.id)).collect();
        for (CompletedJob { id, record }, requested) in completed_jobs.into_iter().zip(requested) {
            self.controllers[n].finished_jobs.insert(id.clone());
            if requested && record.state == JobState::Cancelled {
                self.report_cancelled(n, &id);
            }
        }
    }
}
