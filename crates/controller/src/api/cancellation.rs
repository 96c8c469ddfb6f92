//! Cancellation of jobs, with and without a leader.

use super::job_reader::StoredJob;
use super::{ApiService, LeaderAnswer, Origin, team_in_record};
use crate::actor::ControllerRequest;
use crate::cluster_state::{CancelOutcome, leases_expire_within_cancellation};
use crate::peer_job_status::PeerJobStatus;
use crate::peers::PeerRequest;
use crate::records::{FinalRecord, LEADER_KEY, final_state_key, job_key};
use crate::request_outcome::RequestOutcome;
use hookway_clients::{CommitOutcome, StoreError};
use hookway_constants as constants;
use hookway_wire::{JobId, JobState, Operation, Precondition, Transaction};

/// Maximum number of times that the controller actor is asked to cancel a job. If the leader does
/// not know the job at the first attempt, the job is added from its record before the second.
const MAX_CANCEL_ATTEMPTS: usize = 2;

impl ApiService {
    /// Cancels a job. The leader decides on the cancellation if it can be reached. Otherwise this
    /// controller writes the job's final state itself, on the precondition that the store records
    /// no leader. If this controller can't use the store either, the other controllers are asked.
    pub async fn cancel(&self, job: &JobId, origin: Origin) -> RequestOutcome {
        if let Some(status) = self.config.final_states.get(job) {
            return RequestOutcome::Known(status);
        }
        if let Some(outcome) = self.cancel_as_leader(job).await {
            return outcome;
        }
        let request = PeerRequest::Cancel(job.to_string());
        if origin == Origin::User
            && let LeaderAnswer::Outcome(outcome) =
                self.ask_leader(&request, constants::STATUS_TIMEOUT).await
        {
            return outcome;
        }
        match self.cancel_without_leader(job).await {
            Ok(outcome) => outcome,
            Err(error) => self.ask_other_controllers(request, &error, origin).await,
        }
    }

    /// Cancels a job if this controller leads. Returns `None` if it does not lead or has no
    /// authority to decide, or if its cluster state lacks the job even after the job was added from
    /// its record.
    async fn cancel_as_leader(&self, job: &JobId) -> Option<RequestOutcome> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let term = self.own_term();
            let cancel = |reply| ControllerRequest::Cancel { job: job.clone(), reply };
            match self.config.controller.request(cancel).await? {
                CancelOutcome::Final(status) => {
                    return Some(self.announce_finished_job(status.into()));
                }
                CancelOutcome::Pending => {
                    return Some(RequestOutcome::unavailable("the decision is not durable yet"));
                }
                CancelOutcome::LeasesOutstanding => {
                    let reason = "its tasks may not be gone in time yet";
                    return Some(RequestOutcome::unavailable(reason));
                }
                CancelOutcome::UnknownJob => {}
            }
            match self.job_reader.read(&self.config.stores.submissions, job).await {
                Ok(StoredJob::Final(status)) => return Some(self.known_job_outcome(status)),
                Ok(StoredJob::Absent) => return Some(RequestOutcome::NotFound),
                Ok(StoredJob::Active { key, value }) => {
                    self.add_job_from_record(term, key, value).await
                }
                Err(error) => return Some(RequestOutcome::Unavailable(error.to_string())),
            }
        }
        None
    }

    /// Cancels a job by writing its final state. The transaction fails if a leader is recorded in
    /// the store by then.
    async fn cancel_without_leader(&self, job: &JobId) -> Result<RequestOutcome, StoreError> {
        // An earlier leader may have extended worker leases until a moment ago, so tasks of the
        // job may run until those leases expire. A cancellation must stop them within a fixed time.
        if !leases_expire_within_cancellation(&self.config.platform) {
            let reason = "without a leader its tasks may not be gone in time";
            return Ok(RequestOutcome::unavailable(reason));
        }
        let store = &self.config.stores.submissions;
        let value = match self.job_reader.read(store, job).await? {
            StoredJob::Final(status) => return Ok(self.known_job_outcome(status)),
            StoredJob::Absent => return Ok(RequestOutcome::NotFound),
            StoredJob::Active { value, .. } => value,
        };
        let team = team_in_record(&value).unwrap_or_default();
        let record = FinalRecord { state: JobState::Cancelled, done: 0, team, notes: vec![] };
        let Ok(final_value) = serde_json::to_value(&record) else {
            return Ok(RequestOutcome::unavailable("internal"));
        };
        Ok(match store.commit(&leaderless_cancellation_transaction(job, final_value)).await? {
            CommitOutcome::Applied(_) => self.announce_finished_job(record.status(job).into()),
            CommitOutcome::PreconditionFailed(_) => {
                RequestOutcome::unavailable("the job's leader can't be reached")
            }
        })
    }

    /// Announces a job whose final state is durable to the other controllers, so that a shard
    /// lessee that can't reach the store stops the job's tasks: docs/safety.md, "Cancellations are
    /// facts". Returns the outcome of the user's request.
    fn announce_finished_job(&self, status: PeerJobStatus) -> RequestOutcome {
        for peer in self.config.peers.names() {
            let (peers, status) = (self.config.peers.clone(), status.clone());
            tokio::spawn(async move { peers.announce_finished_job(&peer, status).await });
        }
        self.known_job_outcome(status)
    }
}

/// Returns the transaction that cancels a job, on the preconditions that the store records no
/// leader and no final state of the job.
fn leaderless_cancellation_transaction(
    job: &JobId,
    final_record: serde_json::Value,
) -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
            Precondition { key: final_state_key(job), mod_revision: 0 },
        ],
        operations: vec![
            Operation::put(final_state_key(job), final_record),
            Operation::delete(job_key(job)),
        ],
    }
}
