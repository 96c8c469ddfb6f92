//! Commits to the store: the next transaction, and the effect of its outcome.

use super::ClusterState;
use super::commit_queue::{
    CommitItem, CommitResult, DelayedItem, PendingCommit, RereadKey, is_leader_record,
};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::Operation;

/// What is known about a transaction that the store did not confirm as applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnconfirmedOutcome {
    /// Certainly not applied.
    NotApplied,
    /// Possibly applied, or still to be applied.
    Indeterminate,
}

impl ClusterState {
    /// Whether some transaction showed that this controller is no longer the leader.
    pub fn leadership_lost(&self) -> bool {
        self.commit_queue.leadership_lost
    }

    /// Returns the next transaction at `now`; `None` if no item waits, the write budget does not
    /// allow a transaction, one is in flight, a backoff has not ended, or leadership is lost. Final
    /// records come first, since users wait for them, and hints for the next leader come last.
    pub fn next_commit(&mut self, now: MonotonicTime) -> Option<PendingCommit> {
        let queue = &mut self.commit_queue;
        if queue.is_commit_in_flight || queue.leadership_lost || now < queue.backoff_until {
            return None;
        }
        let tokens = queue.write_bucket.refill(now).floor() as usize;
        self.retry_rejected(now);
        let max_operations = self.commit_queue.max_operations.min(tokens);
        if max_operations < constants::JOB_COMPLETION_OPERATIONS {
            return None;
        }
        let mut commit =
            PendingCommit::new(self.commit_queue.leader_precondition.clone(), max_operations);
        self.add_finished_jobs(&mut commit);
        self.add_registry(&mut commit);
        self.add_watermark_raises(&mut commit);
        self.add_watermark_marker(&mut commit);
        self.add_progress_pages(&mut commit);
        self.add_key_deletions(&mut commit);
        self.add_scheduling_records(&mut commit, now);
        self.add_classes(&mut commit, now);
        self.add_registry_hints(&mut commit, now);
        let operations = commit.transaction.operations.len();
        if operations == 0 {
            return None;
        }
        self.commit_queue.write_bucket.consume(operations);
        self.commit_queue.is_commit_in_flight = true;
        Some(commit)
    }

    /// Applies the outcome of the transaction in flight, received at `now`.
    pub fn apply_commit_outcome(
        &mut self,
        commit: PendingCommit,
        result: CommitResult,
        now: MonotonicTime,
    ) {
        self.commit_queue.is_commit_in_flight = false;
        match result {
            CommitResult::Applied(revision) => self.commit_applied(commit, revision),
            CommitResult::NotApplied => {
                self.commit_queue.backoff_until = now + constants::STORE_RETRY_DELAY;
                for item in commit.items {
                    self.return_unconfirmed_item(item, UnconfirmedOutcome::NotApplied);
                }
            }
            CommitResult::Rejected => self.commit_rejected(commit, now),
            CommitResult::Indeterminate(reread) => self.commit_indeterminate(commit, reread),
        }
    }

    fn commit_applied(&mut self, commit: PendingCommit, revision: u64) {
        for operation in &commit.transaction.operations {
            match operation {
                Operation::Put { key, .. } if is_leader_record(key) => {
                    self.commit_queue.set_mod_revision(key, revision);
                }
                Operation::Put { .. } => {}
                Operation::Delete { key } => self.commit_queue.set_mod_revision(key, 0),
            }
        }
        for item in commit.items {
            self.mark_item_durable(item, revision);
        }
    }

    /// Applies the keys that were read again after a precondition failed or the outcome was
    /// unknown: they show what the store holds.
    fn commit_indeterminate(&mut self, commit: PendingCommit, reread: Vec<RereadKey>) {
        for RereadKey { key, stored } in reread {
            if key == self.commit_queue.leader_precondition.key {
                let revision = stored.as_ref().map_or(0, |kv| kv.mod_revision);
                if revision != self.commit_queue.leader_precondition.mod_revision {
                    tracing::info!(term = self.term, "leadership lost");
                    self.commit_queue.leadership_lost = true;
                }
                continue;
            }
            self.apply_reread(&key, stored);
        }
        for item in commit.items {
            self.return_unconfirmed_item(item, UnconfirmedOutcome::Indeterminate);
        }
    }

    /// Returns an item that may not be durable to its queue.
    fn return_unconfirmed_item(&mut self, item: CommitItem, outcome: UnconfirmedOutcome) {
        self.mark_final_unconfirmed(&item, outcome);
        self.requeue(item);
    }

    /// If an item is a final record, records in its job what is known about the transaction.
    fn mark_final_unconfirmed(&mut self, item: &CommitItem, outcome: UnconfirmedOutcome) {
        let CommitItem::Final { job, .. } = item else { return };
        let Some(job) = self.jobs.get_mut(job) else { return };
        match outcome {
            UnconfirmedOutcome::NotApplied => job.completion.commit_not_applied(),
            UnconfirmedOutcome::Indeterminate => job.completion.commit_indeterminate(),
        }
    }

    /// Processes the rejection of a transaction that the store considers too large. Its items are
    /// tried again in smaller transactions. An item that is rejected in a transaction of its own is
    /// delayed, so that it does not block other items.
    fn commit_rejected(&mut self, commit: PendingCommit, now: MonotonicTime) {
        self.commit_queue.backoff_until = now + constants::STORE_RETRY_DELAY;
        let operations = commit.transaction.operations.len();
        self.commit_queue.max_operations =
            (operations / 2).max(constants::JOB_COMPLETION_OPERATIONS);
        let is_only_item = commit.items.len() == 1;
        for item in commit.items {
            if is_only_item {
                self.mark_final_unconfirmed(&item, UnconfirmedOutcome::NotApplied);
                let retry_at = now + constants::REJECTED_RECORD_RETRY_DELAY;
                self.commit_queue.rejected_items.push_back(DelayedItem { retry_at, item });
            } else {
                self.return_unconfirmed_item(item, UnconfirmedOutcome::NotApplied);
            }
        }
    }

    /// Requeues the individually rejected items whose retry is due at `now`.
    fn retry_rejected(&mut self, now: MonotonicTime) {
        while self
            .commit_queue
            .rejected_items
            .front()
            .is_some_and(|delayed| now >= delayed.retry_at)
            && let Some(delayed) = self.commit_queue.rejected_items.pop_front()
        {
            self.requeue(delayed.item);
        }
    }
}
