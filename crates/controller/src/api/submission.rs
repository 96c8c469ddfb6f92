//! Submissions of jobs. A job is accepted once its record is in the store, whichever controller
//! wrote it.

use super::admission::check_admission;
use super::job_reader::StoredJob;
use super::{ApiService, Origin};
use crate::leadership::wall_clock;
use crate::peers::PeerRequest;
use crate::proven_status::{NoTaskRuns, ProvenStatus};
use crate::records::{JobRecord, final_state_key, fits_value_limit, job_key};
use crate::request_outcome::RequestOutcome;
use hookway_clients::{CommitOutcome, StoreError};
use hookway_constants as constants;
use hookway_wire::{JobId, JobSpec, Operation, Precondition, Transaction};
use tokio::time::Instant;

/// HTTP status if the request body is invalid.
const BAD_REQUEST: u16 = 400;
/// HTTP status if the job is valid, but can never run on this platform.
const UNPROCESSABLE: u16 = 422;
/// The reason given to the user if the record of a job exceeds the store's value limit.
const RECORD_TOO_LONG: &str = "the job's description is too long";

impl ApiService {
    /// Accepts a job, or returns its state if it was accepted before.
    pub async fn submit(&self, body: &[u8], origin: Origin) -> RequestOutcome {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => {
                let reason = error.to_string();
                tracing::info!(reason, "submission rejected");
                return RequestOutcome::Rejected { status: BAD_REQUEST, reason };
            }
        };
        let job = spec.id.clone();
        if let Some(status) = self.config.final_states.get(&job) {
            return RequestOutcome::Known(status);
        }
        let Some(machine_types) = self.config.machine_types.borrow().clone() else {
            return RequestOutcome::unavailable("the machine types are not known yet");
        };
        if let Err(reason) = check_admission(&spec, &self.config.platform, &machine_types) {
            return self
                .reject_unless_accepted(&job, UNPROCESSABLE, reason.to_string(), origin)
                .await;
        }
        let record = JobRecord {
            spec,
            accepted_at_ms: wall_clock().as_unix_millis(),
            has_start_watermark: true,
        };
        let Ok(value) = serde_json::to_value(&record) else {
            return RequestOutcome::unavailable("internal");
        };
        if !fits_value_limit(&value, self.config.platform.store.max_accepted_value_kb) {
            return self
                .reject_unless_accepted(&job, BAD_REQUEST, RECORD_TOO_LONG.into(), origin)
                .await;
        }
        self.store_job(record.spec, value, body, origin).await
    }

    /// Writes the record of a job, unless the store already has the record or the final state of the
    /// job. `body` is the body of the submission, which is passed on to the other controllers if
    /// this one can't use the store.
    async fn store_job(
        &self,
        spec: JobSpec,
        value: serde_json::Value,
        body: &[u8],
        origin: Origin,
    ) -> RequestOutcome {
        let job = &spec.id;
        let sent_at = Instant::now();
        let transaction = acceptance_transaction(job, value.clone());
        let error = match self.config.stores.submissions.commit(&transaction).await {
            Ok(CommitOutcome::Applied(_)) => {
                return self.acceptance_outcome(job, &value, sent_at, origin).await;
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => return self.status(job, origin).await,
            // The store's value limit may have been lowered since the record was checked against
            // the larger one of the present and the next limit.
            Err(StoreError::Rejected(_)) => {
                let reason = RECORD_TOO_LONG.into();
                return self.reject_unless_accepted(job, BAD_REQUEST, reason, origin).await;
            }
            // Without a response the transaction may have been applied, or may be applied later.
            Err(StoreError::Indeterminate(_)) => {
                match self.outcome_from_store(job, &value, sent_at, origin).await {
                    Ok(outcome) => return outcome,
                    Err(error) => error,
                }
            }
            Err(error) => error,
        };
        // If another controller writes the record too, one of the two transactions fails by its
        // preconditions.
        self.ask_other_controllers(PeerRequest::Submit(body.to_vec()), &error, origin).await
    }

    /// Returns the outcome of a submission whose transaction, with the record `written`, got no
    /// response, according to what the store has now.
    ///
    /// A stored record is that of this submission only if it is the same, with the time of its
    /// acceptance. Otherwise the job was accepted before and may be running.
    async fn outcome_from_store(
        &self,
        job: &JobId,
        written: &serde_json::Value,
        sent_at: Instant,
        origin: Origin,
    ) -> Result<RequestOutcome, StoreError> {
        Ok(match self.job_reader.read(&self.config.stores.submissions, job).await? {
            StoredJob::Active { value, .. } if value == *written => {
                self.acceptance_outcome(job, written, sent_at, origin).await
            }
            StoredJob::Active { .. } => self.status(job, origin).await,
            StoredJob::Final(status) => self.known_job_outcome(status),
            StoredJob::Absent => RequestOutcome::unavailable("the state service did not answer"),
        })
    }

    /// Returns the outcome of a submission that has accepted a job with the record `value`, whose
    /// transaction was sent at `sent_at`. Its tasks can't have run for longer than that.
    async fn acceptance_outcome(
        &self,
        job: &JobId,
        value: &serde_json::Value,
        sent_at: Instant,
        origin: Origin,
    ) -> RequestOutcome {
        if sent_at.elapsed() > constants::MAX_STATUS_LAG {
            return self.status(job, origin).await;
        }
        let details = self.details_from_record(job, value);
        let status = ProvenStatus::queued(details, NoTaskRuns::JustAccepted);
        RequestOutcome::Accepted(status.into())
    }

    /// Rejects a job unless it was accepted before: limits and machine types may have changed since
    /// then, so a job that was accepted may not pass the checks now.
    async fn reject_unless_accepted(
        &self,
        job: &JobId,
        status: u16,
        reason: String,
        origin: Origin,
    ) -> RequestOutcome {
        match self.job_reader.read(&self.config.stores.submissions, job).await {
            Ok(StoredJob::Absent) => RequestOutcome::Rejected { status, reason },
            Ok(_) => self.status(job, origin).await,
            Err(error) => RequestOutcome::Unavailable(error.to_string()),
        }
    }
}

/// Returns the transaction that accepts a job, on the preconditions that the store has neither a
/// record nor a final state of it.
fn acceptance_transaction(job: &JobId, record: serde_json::Value) -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition { key: job_key(job), mod_revision: 0 },
            Precondition { key: final_state_key(job), mod_revision: 0 },
        ],
        operations: vec![Operation::put(job_key(job), record)],
    }
}
