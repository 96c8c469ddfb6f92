//! Reading and writing the records of the state service for the node's actor.

use super::pause;
use crate::ledger::{Commit, CommitResult, Loaded};
use crate::records::{CLASSES, IMAGES, JOBS, MINIMUMS, PROGRESS, ROSTER};
use hookway_clients::{CommitOutcome, StoreClient, StoreError};
use hookway_constants as constants;

/// Reads everything that a new leader needs, and the revision that later changes of jobs come after.
pub(super) async fn load(store: &StoreClient) -> Result<(Loaded, u64), StoreError> {
    let (jobs, revision) = store.list(JOBS).await?;
    let (progress, _) = store.list(PROGRESS).await?;
    let (minimums, _) = store.list(MINIMUMS).await?;
    let (roster, _) = store.list(ROSTER).await?;
    let (images, _) = store.list(IMAGES).await?;
    let classes = store.get(CLASSES).await?;
    Ok((Loaded { jobs, progress, minimums, roster, images, classes, marked: false }, revision))
}

/// Commits; if the outcome is anything but plain, reads the keys again, since a lost answer says
/// nothing about what was done.
///
/// `away` is called when the state service turns out not to be there for this node.
pub(super) async fn carry_out(
    store: &StoreClient,
    commit: &Commit,
    away: impl Fn(),
) -> CommitResult {
    match store.commit(&commit.transaction).await {
        Ok(CommitOutcome::Applied(revision)) => return CommitResult::Applied(revision),
        Err(StoreError::Unavailable) => {
            away();
            return CommitResult::NotDone;
        }
        Err(StoreError::TooMany) => return CommitResult::NotDone,
        Err(StoreError::Rejected(why)) => {
            tracing::error!(
                "transaction of {} changes: {why}",
                commit.transaction.operations.len()
            );
            return CommitResult::Rejected;
        }
        Ok(CommitOutcome::Refused(keys)) => tracing::info!("transaction refused: {keys:?}"),
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
    CommitResult::Unsure(learned)
}
