//! Reads, watches and transactions of the store, for the background tasks of a term.

use super::ControllerActor;
use super::messages::{ClusterEvent, ControllerEvent};
use super::term::ActiveTerm;
use crate::cluster_state::{CommitResult, LoadedRecords, PendingCommit, RereadKey};
use crate::leadership::WatermarkCompleteness;
use crate::records::{
    CLASSES_KEY, JOBS_PREFIX, LEGACY_IMAGES_PREFIX, PROGRESS_PREFIX, REGISTRY_PREFIX,
    SCHEDULING_PREFIX,
};
use hookway_clients::{CommitOutcome, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::WatchEvent;
use std::convert::Infallible;
use tokio::sync::mpsc;
use tokio::time::sleep;

impl ControllerActor {
    /// Spawns a task that reads the records that a new leader needs, and retries until this
    /// succeeds.
    pub(super) fn spawn_record_read(&self, active: &mut ActiveTerm) {
        let (store, events) = (self.config.store.clone(), active.background_tasks.events.clone());
        let (term, watermark_completeness) =
            (active.term(), active.leader_term.watermark_completeness());
        active.background_tasks.spawn(async move {
            loop {
                match read_records(&store, watermark_completeness).await {
                    Ok(RecordsAtRevision { records, revision }) => {
                        log_records_read(term, revision, &records);
                        let event = ControllerEvent::RecordsRead { records, revision };
                        let _ = events.send(event).await;
                        return;
                    }
                    Err(error) => {
                        tracing::debug!(%error, "reading the records failed");
                        sleep(constants::STORE_RETRY_DELAY).await;
                    }
                }
            }
        });
    }

    /// Spawns a task that watches for jobs that are accepted after `revision`.
    pub(super) fn spawn_job_watch(&self, active: &mut ActiveTerm, revision: u64) {
        let (store, events) = (self.config.store.clone(), active.background_tasks.events.clone());
        active.background_tasks.spawn(async move {
            let Err(TermEnded) = watch_jobs(store, events, revision).await;
        });
    }
}

/// The term has ended: the receiver of its events no longer exists.
struct TermEnded;

/// The records that a new leader needs.
struct RecordsAtRevision {
    records: LoadedRecords,
    /// The revision of the store at which the jobs were read. Later jobs are not in `records`.
    revision: u64,
}

/// Reads all records that a new leader needs, the jobs first.
async fn read_records(
    store: &StoreClient,
    watermark_completeness: WatermarkCompleteness,
) -> Result<RecordsAtRevision, StoreError> {
    let jobs = store.list(JOBS_PREFIX).await?;
    let records = LoadedRecords {
        jobs: jobs.pairs,
        progress: store.list(PROGRESS_PREFIX).await?.pairs,
        scheduling: store.list(SCHEDULING_PREFIX).await?.pairs,
        registry: store.list(REGISTRY_PREFIX).await?.pairs,
        images: store.list(LEGACY_IMAGES_PREFIX).await?.pairs,
        classes: store.get(CLASSES_KEY).await?,
        watermark_completeness,
    };
    Ok(RecordsAtRevision { records, revision: jobs.revision })
}

fn log_records_read(term: u64, revision: u64, records: &LoadedRecords) {
    tracing::info!(
        term,
        revision,
        jobs = records.jobs.len(),
        progress = records.progress.len(),
        watermarks = records.scheduling.len(),
        registry = records.registry.len(),
        "records read"
    );
}

async fn watch_jobs(
    store: StoreClient,
    events: mpsc::Sender<ControllerEvent>,
    mut revision: u64,
) -> Result<Infallible, TermEnded> {
    loop {
        match store.watch(JOBS_PREFIX, revision, constants::WATCH_WAIT).await {
            Ok(response) => {
                revision = revision.max(response.revision);
                for event in response.events {
                    if let WatchEvent::Put { key, value, .. } = event {
                        send_job_added(&events, key, value).await?;
                    }
                }
            }
            Err(StoreError::RevisionCompacted) => {
                let _ = events.send(ControllerEvent::JobWatchFellBehind).await;
                match store.list(JOBS_PREFIX).await {
                    Ok(jobs) => {
                        revision = jobs.revision;
                        for job in jobs.pairs {
                            send_job_added(&events, job.key, job.value).await?;
                        }
                    }
                    Err(error) => {
                        tracing::debug!(%error, "reading all jobs failed");
                        sleep(constants::WATCH_RETRY_DELAY).await;
                    }
                }
            }
            Err(error) => {
                tracing::debug!(%error, "watching for jobs failed");
                sleep(constants::WATCH_RETRY_DELAY).await;
            }
        }
    }
}

async fn send_job_added(
    events: &mpsc::Sender<ControllerEvent>,
    key: String,
    value: serde_json::Value,
) -> Result<(), TermEnded> {
    let event = ClusterEvent::JobAdded { key, value }.into();
    events.send(event).await.map_err(|_| TermEnded)
}

/// Commits a transaction. If a precondition fails or the outcome is unclear, reads the keys of the
/// transaction again.
///
/// Calls `report_unavailable` when the store has an outage or rejects all requests of this
/// controller, and after each read that fails for another reason than the rate limit.
pub(super) async fn commit_and_reread(
    store: &StoreClient,
    commit: &PendingCommit,
    report_unavailable: impl Fn(),
) -> CommitResult {
    let operations = commit.transaction.operations.len();
    match store.commit(&commit.transaction).await {
        Ok(CommitOutcome::Applied(revision)) => return CommitResult::Applied(revision),
        Err(StoreError::Unavailable) => {
            report_unavailable();
            return CommitResult::NotApplied;
        }
        Err(StoreError::RateLimited) => return CommitResult::NotApplied,
        Err(StoreError::Rejected(reason)) => {
            tracing::error!(operations, reason, "transaction rejected");
            return CommitResult::Rejected;
        }
        Ok(CommitOutcome::PreconditionFailed(keys)) => {
            tracing::info!(operations, ?keys, "transaction failed by its preconditions");
        }
        Err(error) => tracing::info!(operations, %error, "transaction outcome unclear"),
    }
    let mut reread = Vec::new();
    for key in commit.keys() {
        reread.push(reread_key(store, key, &report_unavailable).await);
    }
    CommitResult::Indeterminate(reread)
}

/// Reads a key, and retries until this succeeds. Calls `report_unavailable` after each failure,
/// except when the store limits the request rate.
async fn reread_key(store: &StoreClient, key: String, report_unavailable: &impl Fn()) -> RereadKey {
    loop {
        match store.get(&key).await {
            Ok(stored) => return RereadKey { key, stored },
            Err(error) => {
                tracing::debug!(key, %error, "reading a key again failed");
                if !matches!(error, StoreError::RateLimited) {
                    report_unavailable();
                }
                sleep(constants::STORE_RETRY_DELAY).await;
            }
        }
    }
}
