//! Transactions of a leader on their way to the store: delayed, refused or without a response.

use super::controllers::Version;
use super::messages::Message;
use super::{Simulation, ms};
use hookway_constants as constants;
use hookway_controller::cluster_state::{CommitResult, CompletedJob, PendingCommit, RereadKey};
use hookway_wire::{JobState, Operation, Transaction};

impl Simulation {
    /// Checks that a controller's transaction stays within the store's limits that the controller's version knows.
    pub(super) fn check_limits(&mut self, n: usize, transaction: &Transaction) {
        let limits = &self.controllers[n].config.platform.state;
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
    pub(super) fn commit_arrives(&mut self, n: usize, term: u64, commit: Box<PendingCommit>) {
        let now = self.now;
        let writes_refused = now < self.controllers[n].writes_refused_until;
        if writes_refused || !self.store_reachable(n) {
            let controller = &mut self.controllers[n];
            let not_applied = writes_refused
                || now < self.outage_until
                || controller.refused && now < controller.store_unreachable_until;
            match controller.leading(term) {
                Some(leader) if not_applied => {
                    leader.cluster.committed(*commit, CommitResult::NotApplied, now);
                }
                // Delayed in the network: the transaction may be applied after the partition has healed.
                _ => {
                    let at = now + self.span(1_200, 40_000);
                    self.at(at, Message::DelayedTransaction(commit.transaction.clone()));
                    self.at(now + ms(1_200), Message::Reread(n, term, commit));
                }
            }
            return;
        }
        let response_lost = self.chance(50);
        let delayed = response_lost && self.chance(500);
        let applied = if delayed {
            let at = now + self.span(100, 20_000);
            self.at(at, Message::DelayedTransaction(commit.transaction.clone()));
            None
        } else {
            Some(self.store.commit(&commit.transaction))
        };
        match applied {
            Some(Ok(revision)) if !response_lost && self.controllers[n].up(now) => {
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.cluster.committed(*commit, CommitResult::Applied(revision), now);
                }
            }
            _ => {
                let reread_delay = ms(if response_lost { 1_200 } else { 10 });
                self.at(now + reread_delay, Message::Reread(n, term, commit));
            }
        }
        self.check_final_states();
        self.report_decided(n, term);
    }

    /// Rereads the keys of a commit whose outcome is unknown, once the store is reachable.
    pub(super) fn reread(&mut self, n: usize, term: u64, commit: Box<PendingCommit>) {
        let now = self.now;
        if self.controllers[n].leading(term).is_none() {
            return;
        }
        if !self.store_reachable(n) {
            return self.at(now + constants::LEADER_RETRY, Message::Reread(n, term, commit));
        }
        let reread = |key: String| RereadKey { stored: self.store.get(&key), key };
        let read = commit.keys().into_iter().map(reread).collect();
        if let Some(leader) = self.controllers[n].leading(term) {
            leader.cluster.committed(*commit, CommitResult::Indeterminate(read), now);
        }
        self.report_decided(n, term);
    }

    /// Responds to the users who wait for cancellations that are now durable.
    pub(super) fn report_decided(&mut self, n: usize, term: u64) {
        let Some(leader) = self.controllers[n].leading(term) else { return };
        let completed_jobs = leader.cluster.take_completed_jobs();
        let requested: Vec<bool> =
            completed_jobs.iter().map(|job| leader.pending_cancellations.remove(&job.id)).collect();
        for (CompletedJob { id, record }, requested) in completed_jobs.into_iter().zip(requested) {
            self.controllers[n].finished.insert(id.clone());
            if requested && record.state == JobState::Cancelled {
                self.report_cancelled(n, &id);
            }
        }
    }
}
