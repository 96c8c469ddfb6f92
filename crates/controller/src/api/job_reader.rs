//! Reads the records of single jobs from the store.

use crate::circuit_breaker::CircuitBreaker;
use crate::peer_job_status::PeerJobStatus;
use crate::records::{FinalRecord, final_state_key, job_key};
use hookway_clients::{HttpError, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::JobId;
use std::sync::Mutex;

/// HTTP status of a response that contains a record.
const HTTP_OK: u16 = 200;

/// What the store records about a job.
pub(super) enum StoredJob {
    /// The job was accepted and is not finished. Holds the key and value of its record.
    Active { key: String, value: serde_json::Value },
    /// The job is finished. Holds its final state.
    Final(PeerJobStatus),
    /// The job was never accepted.
    Absent,
}

/// Reads jobs from the store, behind a circuit breaker.
#[derive(Debug, Default)]
pub(super) struct JobReader {
    breaker: Mutex<CircuitBreaker>,
}

impl JobReader {
    /// Reads a job. Fails at once while the store does not respond to this controller, so that
    /// there is time left to ask another controller.
    pub(super) async fn read(
        &self,
        store: &StoreClient,
        job: &JobId,
    ) -> Result<StoredJob, StoreError> {
        if let Ok(mut breaker) = self.breaker.lock()
            && !breaker.allows_request()
        {
            let address = store.address().to_owned();
            return Err(StoreError::Indeterminate(HttpError::Timeout { address }));
        }
        let stored = read_job(store, job).await;
        if let Ok(mut breaker) = self.breaker.lock() {
            breaker.record(matches!(
                stored,
                Err(StoreError::Indeterminate(HttpError::Timeout { .. }))
            ));
        }
        stored
    }
}

/// Reads a job's record and, if there is none, its final state. One transaction deletes the record
/// and writes the final state, so an accepted job is always found if they are read in this order.
async fn read_job(store: &StoreClient, job: &JobId) -> Result<StoredJob, StoreError> {
    if let Some(pair) = store.get(&job_key(job)).await? {
        return Ok(StoredJob::Active { key: pair.key, value: pair.value });
    }
    // The first read is useless without the second, so the second one waits until the rate limit
    // allows it instead of failing.
    let store = store.clone().with_queue_limit(constants::STATUS_TIMEOUT);
    let Some(pair) = store.get(&final_state_key(job)).await? else {
        return Ok(StoredJob::Absent);
    };
    let record: FinalRecord = serde_json::from_value(pair.value)
        .map_err(|error| StoreError::Unexpected { status: HTTP_OK, reason: error.to_string() })?;
    Ok(StoredJob::Final(record.status(job).into()))
}
