//! The start records of all jobs, from which a controller without a leader proves that a job was
//! never started.
//!
//! A leader starts a task only once a record that says so is durable. So a job that no record names
//! was not started before the records were read, provided that the leaders of all terms until then
//! kept such records and that the job has not ended since: the records of an ended job are deleted.

use crate::leadership::WatermarkCompleteness;
use crate::records::{
    JobRecord, JobSchedulingRecord, LEADER_PREFIX, SCHEDULING_PREFIX, SharedStartWatermarksRecord,
    parse_shared_watermarks_key,
};
use hookway_clients::{StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{JobId, ListedKeyValue};
use std::collections::HashSet;
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The jobs that leaders may have started, at one time.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StartRecords {
    /// Jobs with a start watermark above 0.
    started: HashSet<JobId>,
    /// Whether all leaders until then kept start watermarks, and all of them are readable.
    are_complete: bool,
}

impl StartRecords {
    /// Evaluates the records under the prefix `m/`, and those under `lead/` that were read after
    /// them: a leader that keeps no start watermarks, elected before the first read, shows in the
    /// second one.
    pub fn evaluate(scheduling: Vec<ListedKeyValue>, leader_keys: &[ListedKeyValue]) -> Self {
        let mut records = Self {
            started: HashSet::new(),
            are_complete: WatermarkCompleteness::read(leader_keys)
                == WatermarkCompleteness::Complete,
        };
        for pair in scheduling {
            records.are_complete &= records.add(pair).is_some();
        }
        records
    }

    /// Adds the jobs that a record names as started; `None` if it is unreadable.
    fn add(&mut self, pair: ListedKeyValue) -> Option<()> {
        if parse_shared_watermarks_key(&pair.key).is_some() {
            let record: SharedStartWatermarksRecord = serde_json::from_value(pair.value).ok()?;
            self.started.extend(record.jobs);
            return Some(());
        }
        let job = pair.key.strip_prefix(SCHEDULING_PREFIX).and_then(JobId::parse)?;
        let record: JobSchedulingRecord = serde_json::from_value(pair.value).ok()?;
        if record.start_watermark > 0 {
            self.started.insert(job);
        }
        Some(())
    }

    /// Whether no leader had started a task of a job when the records were read. `job_record` must
    /// have been read later: while it exists, the job has not ended.
    pub fn prove_never_started(&self, job: &JobId, job_record: &serde_json::Value) -> bool {
        let has_watermark = serde_json::from_value(job_record.clone())
            .is_ok_and(|record: JobRecord| record.has_start_watermark);
        self.are_complete && has_watermark && !self.started.contains(job)
    }
}

/// A read of the start records, whether or not it succeeded.
#[derive(Debug, Clone)]
struct LatestRead {
    began_at: Instant,
    records: Option<Arc<StartRecords>>,
}

impl LatestRead {
    fn is_fresh(&self) -> bool {
        self.began_at.elapsed() < constants::START_RECORDS_MAX_AGE
    }
}

/// Reads the start records for all status requests of a controller, at most once per
/// [`constants::START_RECORDS_MAX_AGE`].
#[derive(Debug, Default)]
pub(super) struct StartRecordsReader {
    latest: Mutex<Option<LatestRead>>,
}

impl StartRecordsReader {
    /// Returns start records that were read recently enough for a status; `None` if there are none
    /// at hand.
    pub(super) fn fresh(&self) -> Option<Arc<StartRecords>> {
        let latest = self.latest.try_lock().ok()?;
        latest.as_ref().filter(|read| read.is_fresh())?.records.clone()
    }

    /// Reads the start records, unless that was tried a moment ago. Requests that come meanwhile
    /// wait for the same read. Returns `None` if the read failed.
    pub(super) async fn refresh(&self, store: &StoreClient) -> Option<Arc<StartRecords>> {
        let mut latest = self.latest.lock().await;
        if let Some(read) = latest.as_ref().filter(|read| read.is_fresh()) {
            return read.records.clone();
        }
        let began_at = Instant::now();
        let records = match read_start_records(store).await {
            Ok(records) => Some(Arc::new(records)),
            Err(error) => {
                tracing::debug!(%error, "reading the start records failed");
                None
            }
        };
        *latest = Some(LatestRead { began_at, records: records.clone() });
        records
    }
}

/// Reads the start records, and afterwards which leaders kept them.
async fn read_start_records(store: &StoreClient) -> Result<StartRecords, StoreError> {
    let scheduling = store.list(SCHEDULING_PREFIX).await?.pairs;
    let leader_keys = store.list(LEADER_PREFIX).await?.pairs;
    Ok(StartRecords::evaluate(scheduling, &leader_keys))
}
