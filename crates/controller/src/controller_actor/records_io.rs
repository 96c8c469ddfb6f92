//! Reading and writing the records of the state service for the node's actor.

use super::pause;
use crate::cluster_state::{CommitResult, LoadedState, PendingCommit};
use crate::records::{
    CLASSES_KEY, JOBS_PREFIX, LEGACY_IMAGES_PREFIX, PROGRESS_PREFIX, REGISTRY_PREFIX,
    SCHEDULING_PREFIX,
};
use hookway_clients::{CommitOutcome, StoreClient, StoreError};
use hookway_constants as constants;

/// Reads everything that a new leader needs, and the revision that later changes of jobs come after.
pub(super) async fn load_state(store: &StoreClient) -> Result<(LoadedState, u64), StoreError> {
    let (jobs, revision) = store.list(JOBS_PREFIX).await?;
    let (progress, _) = store.list(PROGRESS_PREFIX).await?;
    let (minimums, _) = store.list(SCHEDULING_PREFIX).await?;
    let (roster, _) = store.list(REGISTRY_PREFIX).await?;
    let (images, _) = store.list(LEGACY_IMAGES_PREFIX).await?;
    let classes = store.get(CLASSES_KEY).await?;
    Ok((
        LoadedState {
            jobs,
            progress,
            scheduling: minimums,
            registry: roster,
            images,
            classes,
            has_start_watermarks: false,
        },
        revision,
    ))
}

/// Commits; if the outcome is anything but plain, reads the keys again, since a lost answer says
/// nothing about what was done.
///
/// `away` is called when the state service turns out not to be there for this node.
pub(super) async fn commit_and_reread(
    store: &StoreClient,
    commit: &PendingCommit,
    away: impl Fn(),
) -> CommitResult {
    match store.commit(&commit.transaction).await {
        Ok(CommitOutcome::Applied(revision)) => return CommitResult::Applied(revision),
        Err(StoreError::Unavailable) => {
            away();
            return CommitResult::NotApplied;
        }
        Err(StoreError::TooMany) => return CommitResult::NotApplied,
        Err(StoreError::Rejected(why)) => {
            tracing::error!(
                "transaction of {} changes: {why}",
                commit.transaction.operations.len()
            );
            return CommitResult::Rejected;
        }
        Ok(CommitOutcome::PreconditionFailed(keys)) => {
            tracing::info!("transaction refused: {keys:?}")
        }
        Err(e) => tracing::info!("transaction unclear: {e}"),
    }
    let mut learned = Vec::new();
    for key in commit.keys() {
        loop {
            match store.get(&key).await {
                Ok(value) => {
                    learned.push((key, value));
                    break;
                }
                Err(e) => {
                    tracing::debug!("reading {key} again: {e}");
                    if !matches!(e, StoreError::TooMany) {
                        away();
                    }
                    pause(constants::LEADER_RETRY_MS).await;
                }
            }
        }
    }
    CommitResult::Indeterminate(learned)
}
