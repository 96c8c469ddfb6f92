//! Reads jobs from the state service.

use crate::circuit_breaker::CircuitBreaker;
use crate::job_snapshot::JobSnapshot;
use crate::records::{FinalRecord, final_state_key, job_key};
use hookway_clients::{HttpError, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::sync::Mutex;

/// HTTP status of the response that a record came with.
const OK: u16 = 200;

/// What the state service records about a job.
pub(super) enum StoredJob {
    /// It was accepted and is not finished.
    Active { key: String, value: serde_json::Value },
    /// It is finished.
    Final(JobSnapshot),
    /// It was never accepted.
    Absent,
}

/// Reads jobs from the state service while that responds.
#[derive(Debug, Default)]
pub(super) struct JobReader {
    breaker: Mutex<CircuitBreaker>,
}

impl JobReader {
    /// Reads a job. Fails at once while the state service does not respond to this controller, so
    /// that time is left to ask another one.
    pub(super) async fn read(
        &self,
        store: &StoreClient,
        job: &JobId,
    ) -> Result<StoredJob, StoreError> {
        if let Ok(mut breaker) = self.breaker.lock()
            && !breaker.allows_request()
        {
            let address = store.address().to_owned();
            return Err(StoreError::Unknown(HttpError::Timeout { address }));
        }
        let stored = read_job(store, job).await;
        if let Ok(mut breaker) = self.breaker.lock() {
            breaker.record(matches!(stored, Err(StoreError::Unknown(HttpError::Timeout { .. }))));
        }
        stored
    }
}

/// Reads a job's record and, if there is none, its final state. The transaction that deletes the
/// former writes the latter, so in this order an accepted job is always found.
async fn read_job(store: &StoreClient, job: &JobId) -> Result<StoredJob, StoreError> {
    if let Some(pair) = store.get(&job_key(job)).await? {
        return Ok(StoredJob::Active { key: pair.key, value: pair.value });
    }
    // Half of the answer is useless, so the second read waits for its turn in the request rate.
    let store = store.clone().with_queue_limit(constants::STATUS_LIMIT);
    let Some(pair) = store.get(&final_state_key(job)).await? else {
        return Ok(StoredJob::Absent);
    };
    let record: FinalRecord = serde_json::from_value(pair.value)
        .map_err(|error| StoreError::Unexpected { status: OK, reason: error.to_string() })?;
    Ok(StoredJob::Final(record.status(job).into()))
}
