//! The election actor: campaigns for leadership, extends the leadership lease and detects its loss.

use super::campaign::{LeaderlessState, WatermarkCompleteness};
use super::clock::Clock;
use super::lease::{LeadershipLease, lease_expiry};
use super::term::{LeaderTerm, LeadershipView};
use crate::records::{LEADER_KEY, LEADER_PREFIX, LeaderRecord};
use hookway_clients::{CommitOutcome, Listing, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use hookway_wire::{Precondition, WatchEvent};
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

/// The dependencies of the election actor, some of them shared with the rest of the controller.
#[derive(Debug)]
pub struct ElectionActorConfig {
    /// The name of this controller, unique in the cluster. One process at a time runs under it.
    pub controller_name: String,
    /// The client of the store, with a request rate of its own.
    pub store: StoreClient,
    /// The clock on which lease expiries are computed; the controller actor must use a copy of it.
    pub clock: Clock,
    /// The lease of the current term. This actor updates it; the controller actor reads it.
    pub lease: Arc<LeadershipLease>,
    /// The channel on which this actor publishes who leads.
    pub leadership_view: watch::Sender<LeadershipView>,
    /// Notified by the controller actor when this controller should give up its leadership.
    pub resign_requested: Arc<Notify>,
    /// Notified when the leader has been silent for unusually long. The election actor then reads
    /// the leader key at once, because a watch whose connection broke unnoticed delivers no event.
    pub leader_suspected: Arc<Notify>,
    /// The length of the leadership lease, as it is requested from the store.
    pub lease_length: Duration,
    /// Whether this controller has a usable copy of the cluster state. If so, its delay before a
    /// campaign is shorter than that of controllers without one.
    pub has_usable_copy: Arc<AtomicBool>,
}

/// The election actor. It runs on a thread of its own, so that a long scheduling round does not
/// delay the extension of the lease.
#[derive(Debug)]
pub struct ElectionActor {
    config: ElectionActorConfig,
    /// Distinguishes the campaigns of this actor from those of earlier processes of the same name.
    nonce: u64,
}

/// The leadership according to the store.
enum LeaderState {
    Elected(ElectedLeader),
    Leaderless(LeaderlessState),
}

/// The leader record, and the metadata of its key.
struct ElectedLeader {
    record: LeaderRecord,
    mod_revision: u64,
    lease_id: Option<u64>,
    /// The revision of the store at which the key was read. Later changes have higher revisions.
    read_at_revision: u64,
    /// Whether the start watermarks of the terms before this leader's were complete. Valid only if
    /// the leader is this process.
    watermark_completeness: WatermarkCompleteness,
}

/// Why a term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermEnd {
    /// The controller actor gave up the leadership.
    Resigned,
    /// The store no longer has the lease.
    LeaseExpired,
}

impl ElectionActor {
    /// Creates the actor. It does nothing until [`run`](Self::run) is called.
    pub fn new(config: ElectionActorConfig) -> Self {
        Self { config, nonce: rand::rng().random() }
    }

    /// Follows or campaigns, depending on who leads, until the process ends.
    pub async fn run(mut self) {
        loop {
            match self.read_leader().await {
                Ok(LeaderState::Elected(leader)) => self.leader_found(leader).await,
                Ok(LeaderState::Leaderless(leaderless_state)) => {
                    self.publish_no_leader();
                    sleep(self.election_delay()).await;
                    self.campaign(&leaderless_state).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "reading the leader key failed");
                    sleep(constants::STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Acts on an elected leader: leads if it is this process, revokes the lease of an earlier
    /// process of this controller, or watches another controller.
    async fn leader_found(&mut self, leader: ElectedLeader) {
        let record = leader.record;
        if record.controller_name == self.config.controller_name
            && let Some(lease_id) = leader.lease_id
        {
            if record.nonce == self.nonce {
                // This process won the election but did not receive the response. It is unknown
                // here when the lease was granted, so the lease counts as expired until its first
                // extension.
                let watermarks = leader.watermark_completeness;
                let term = term_of_record(&record, leader.mod_revision, lease_id, watermarks);
                self.lead(term, None).await;
                self.nonce = rand::rng().random();
            } else {
                // Only one process at a time runs under this name, so the leader is an earlier
                // process that has ended. Its transactions that are still in flight carry the
                // precondition of its term and fail once its lease is revoked.
                tracing::info!(lease_id, "revoking the lease of the previous process");
                if self.config.store.release_lease(lease_id).await.is_err() {
                    sleep(constants::STORE_RETRY_DELAY).await;
                }
            }
            return;
        }
        self.publish(LeadershipView {
            leader: Some(record.controller_name),
            leader_term: Some(record.term),
            own_term: None,
        });
        self.watch_leader(leader.read_at_revision).await;
    }

    /// Returns the delay before this controller campaigns. It is random, so that the controllers do
    /// not all campaign at once, and shorter for a controller with a usable copy of the cluster
    /// state.
    fn election_delay(&self) -> Duration {
        let jitter_ms = rand::rng().random_range(0..=whole_millis(constants::ELECTION_JITTER));
        if self.config.has_usable_copy.load(Ordering::Relaxed) {
            Duration::from_millis(jitter_ms / constants::WARM_STANDBY_JITTER_DIVISOR)
        } else {
            Duration::from_millis(jitter_ms)
        }
    }

    /// Publishes that there is no leader. The view keeps the name of the previous leader, which is
    /// the best guess of where to send requests.
    fn publish_no_leader(&self) {
        self.config.leadership_view.send_if_modified(|view| view.leader_term.take().is_some());
    }

    fn publish(&self, new_view: LeadershipView) {
        self.config.leadership_view.send_if_modified(|view| {
            let changed = *view != new_view;
            *view = new_view;
            changed
        });
    }

    /// Reads the leader record or, if there is none, what an election needs.
    async fn read_leader(&self) -> Result<LeaderState, StoreError> {
        let store = &self.config.store;
        let Listing { pairs, revision } = store.list(LEADER_PREFIX).await?;
        if let Some(pair) = pairs.iter().find(|pair| pair.key == LEADER_KEY)
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(pair.value.clone())
        {
            let mut pair = pair.clone();
            // A list response may omit the lease id, which only the owner of the key needs.
            if pair.lease_id.is_none()
                && record.controller_name == self.config.controller_name
                && let Some(full) = store.get(LEADER_KEY).await?
            {
                tracing::info!(
                    listed_revision = pair.mod_revision,
                    listed_term = record.term,
                    revision = full.mod_revision,
                    term = ?full.value.get("term"),
                    lease_id = ?full.lease_id,
                    "leader record of this controller found"
                );
                pair = full;
            }
            return Ok(LeaderState::Elected(ElectedLeader {
                record,
                mod_revision: pair.mod_revision,
                lease_id: pair.lease_id,
                read_at_revision: revision,
                watermark_completeness: WatermarkCompleteness::read(&pairs),
            }));
        }
        Ok(LeaderState::Leaderless(LeaderlessState::read(&pairs)))
    }

    /// Watches the leader key for changes after `revision`. Returns when it changes, the watch
    /// fails, or the leader is suspected to have failed.
    async fn watch_leader(&self, mut revision: u64) {
        loop {
            let watch = self.config.store.watch(LEADER_PREFIX, revision, constants::WATCH_WAIT);
            let watched = tokio::select! {
                watched = watch => watched,
                () = self.config.leader_suspected.notified() => return,
            };
            match watched {
                Ok(response) => {
                    let leader_changed = response.events.iter().any(|event| match event {
                        WatchEvent::Delete { key, .. } | WatchEvent::Put { key, .. } => {
                            key == LEADER_KEY
                        }
                    });
                    if leader_changed {
                        return;
                    }
                    revision = revision.max(response.revision);
                }
                Err(error) => {
                    tracing::debug!(%error, "watching the leader key failed");
                    return sleep(constants::WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Tries to win the next term and, if this succeeds, leads until the term ends.
    async fn campaign(&self, leaderless_state: &LeaderlessState) {
        let store = &self.config.store;
        let sent_at = self.config.clock.now();
        let lease_id = match store.grant_lease(self.config.lease_length).await {
            Ok(lease_id) => lease_id,
            Err(error) => {
                tracing::debug!(%error, "requesting a leadership lease failed");
                return sleep(constants::STORE_RETRY_DELAY).await;
            }
        };
        let record = LeaderRecord {
            controller_name: self.config.controller_name.clone(),
            term: leaderless_state.next_term(),
            nonce: self.nonce,
        };
        let Ok(election) = leaderless_state.election(&record, lease_id) else { return };
        match store.commit(&election).await {
            Ok(CommitOutcome::Applied(revision)) => {
                let expires_at = lease_expiry(sent_at, self.config.lease_length);
                let term = term_of_record(
                    &record,
                    revision,
                    lease_id,
                    leaderless_state.watermark_completeness,
                );
                self.lead(term, Some(expires_at)).await;
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => {
                let _ = store.release_lease(lease_id).await;
            }
            // It is unknown whether the transaction was applied. The next read of the leader key
            // tells, by the nonce in the leader record.
            Err(error) => {
                tracing::debug!(%error, term = record.term, "campaigning failed");
                sleep(constants::STORE_RETRY_DELAY).await;
            }
        }
    }

    /// Leads a term until its lease is lost or this controller resigns. `expires_at` is the expiry
    /// of the lease; `None` if it is unknown: the lease then counts as expired and is extended at
    /// once.
    async fn lead(&self, leader_term: LeaderTerm, expires_at: Option<MonotonicTime>) {
        let LeaderTerm { term, lease_id, watermark_completeness, .. } = leader_term;
        let response = if expires_at.is_some() { "received" } else { "lost" };
        let revision = leader_term.precondition.mod_revision;
        tracing::info!(
            term, response, lease_id, revision,
            watermarks = %watermark_completeness,
            "elected leader"
        );
        self.config.lease.set(term, expires_at.unwrap_or(MonotonicTime::ZERO));
        self.publish(LeadershipView {
            leader: Some(self.config.controller_name.clone()),
            leader_term: Some(term),
            own_term: Some(leader_term),
        });
        let first_extension_delay =
            expires_at.map_or(Duration::ZERO, |_| constants::LEADER_EXTEND_INTERVAL);
        let end = self.extend_until_lost(term, lease_id, first_extension_delay).await;
        self.config.lease.revoke(term);
        tracing::info!(term, reason = ?end, "leadership lost");
        self.publish(LeadershipView::default());
        let _ = self.config.store.release_lease(lease_id).await;
        if end == TermEnd::Resigned {
            // Leaves the next term to another controller.
            sleep(constants::STEP_DOWN_PAUSE).await;
        }
    }

    /// Extends the lease of `term` periodically, first after `delay`, until it is lost or this
    /// controller resigns.
    async fn extend_until_lost(&self, term: u64, lease_id: u64, mut delay: Duration) -> TermEnd {
        loop {
            tokio::select! {
                () = sleep(delay) => {}
                () = self.config.resign_requested.notified() => return TermEnd::Resigned,
            }
            let sent_at = self.config.clock.now();
            match self.config.store.extend_lease(lease_id).await {
                Ok(()) => {
                    self.config.lease.set(term, lease_expiry(sent_at, self.config.lease_length));
                    delay = constants::LEADER_EXTEND_INTERVAL;
                }
                Err(StoreError::LeaseNotFound) => return TermEnd::LeaseExpired,
                Err(error) => {
                    tracing::debug!(%error, term, "extending the leadership lease failed");
                    delay = constants::STORE_RETRY_DELAY;
                }
            }
        }
    }
}

/// Returns the term of `record`, which was written at `mod_revision`. Durable writes of the term
/// have the precondition that the leader key still has this revision.
fn term_of_record(
    record: &LeaderRecord,
    mod_revision: u64,
    lease_id: u64,
    watermark_completeness: WatermarkCompleteness,
) -> LeaderTerm {
    LeaderTerm {
        term: record.term,
        precondition: Precondition { key: LEADER_KEY.into(), mod_revision },
        lease_id,
        watermark_completeness,
    }
}
