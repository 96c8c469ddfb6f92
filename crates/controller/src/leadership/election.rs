//! The actor that campaigns for leadership, extends the leadership lease and detects its loss.

use super::campaign::{StoredWatermarks, Vacancy};
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

/// What the election actor needs, and shares with the rest of the controller.
#[derive(Debug)]
pub struct LeadershipConfig {
    /// The name of this controller.
    pub controller_name: String,
    /// The client of the state service.
    pub store: StoreClient,
    /// The clock that lease expiries are computed on.
    pub clock: Clock,
    /// The lease of the current term, updated by this actor.
    pub lease: Arc<LeadershipLease>,
    /// Where this actor publishes who leads.
    pub view: watch::Sender<LeadershipView>,
    /// Notified by the controller actor to give up the leadership.
    pub resign_requested: Arc<Notify>,
    /// Notified when the leader has been silent for unusually long. The actor then reads the
    /// leader key at once, because a watch whose connection broke unnoticed delivers no event.
    pub leader_suspected: Arc<Notify>,
    /// Length of the leadership lease.
    pub lease_length: Duration,
    /// Whether this controller has a usable copy of the cluster state. It then campaigns before
    /// the controllers without one.
    pub has_warm_copy: Arc<AtomicBool>,
}

/// The election actor.
#[derive(Debug)]
pub struct Leadership {
    config: LeadershipConfig,
    /// Distinguishes the campaigns of this actor from those of earlier processes of the same name.
    nonce: u64,
}

/// What the state service records about the leader.
enum LeaderState {
    Elected(ElectedLeader),
    Vacant(Vacancy),
}

/// The leader key and its metadata.
struct ElectedLeader {
    record: LeaderRecord,
    mod_revision: u64,
    lease_id: Option<u64>,
    /// The revision of the reading, which later changes come after.
    read_at_revision: u64,
    /// The start watermarks before its term, if it is this process.
    stored_watermarks: StoredWatermarks,
}

/// Why a term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermEnd {
    /// The controller actor gave the leadership up.
    Resigned,
    /// The state service has no such lease any more.
    LeaseExpired,
}

impl Leadership {
    /// Creates the actor; nothing happens before it runs.
    pub fn new(config: LeadershipConfig) -> Self {
        Self { config, nonce: rand::rng().random() }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            match self.read_leader().await {
                Ok(LeaderState::Elected(leader)) => self.leader_found(leader).await,
                Ok(LeaderState::Vacant(vacancy)) => {
                    self.publish_vacancy();
                    sleep(self.election_delay()).await;
                    self.campaign(&vacancy).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "reading the leader key failed");
                    sleep(constants::LEADER_RETRY).await;
                }
            }
        }
    }

    /// Handles an elected leader: this process, an earlier process of this controller, or another
    /// controller.
    async fn leader_found(&mut self, leader: ElectedLeader) {
        let record = leader.record;
        if record.controller_name == self.config.controller_name
            && let Some(lease_id) = leader.lease_id
        {
            if record.nonce == self.nonce {
                // The transaction of this process, whose response was lost. When the lease was
                // granted is unknown, so it counts as expired until the first extension.
                let watermarks = leader.stored_watermarks;
                let term = new_term(&record, leader.mod_revision, lease_id, watermarks);
                self.lead(term, None).await;
                self.nonce = rand::rng().random();
            } else {
                // One process at a time runs under this name, so the leader is an earlier process
                // that has ended. Its requests in flight carry its precondition and fail.
                tracing::info!(lease_id, "revoking the lease of the previous process");
                if self.config.store.release(lease_id).await.is_err() {
                    sleep(constants::LEADER_RETRY).await;
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

    /// The delay before this controller campaigns. Random, so that not all campaign at once.
    fn election_delay(&self) -> Duration {
        let jitter_ms = rand::rng().random_range(0..=whole_millis(constants::ELECTION_JITTER));
        if self.config.has_warm_copy.load(Ordering::Relaxed) {
            Duration::from_millis(jitter_ms / constants::WARM_STANDBY_JITTER_DIVISOR)
        } else {
            Duration::from_millis(jitter_ms)
        }
    }

    /// Publishes that there is no leader. The name of the last one stays: it is the best guess of
    /// whom to ask.
    fn publish_vacancy(&self) {
        self.config.view.send_if_modified(|view| view.leader_term.take().is_some());
    }

    fn publish(&self, new_view: LeadershipView) {
        self.config.view.send_if_modified(|view| {
            let changed = *view != new_view;
            *view = new_view;
            changed
        });
    }

    /// Reads who leads or, if nobody does, what a campaign starts from.
    async fn read_leader(&self) -> Result<LeaderState, StoreError> {
        let store = &self.config.store;
        let Listing { pairs, revision } = store.list(LEADER_PREFIX).await?;
        if let Some(pair) = pairs.iter().find(|pair| pair.key == LEADER_KEY)
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(pair.value.clone())
        {
            let mut pair = pair.clone();
            // A list may omit the lease, which only the owner of the key needs.
            if pair.lease_id.is_none()
                && record.controller_name == self.config.controller_name
                && let Some(full) = store.get(LEADER_KEY).await?
            {
                pair = full;
            }
            return Ok(LeaderState::Elected(ElectedLeader {
                record,
                mod_revision: pair.mod_revision,
                lease_id: pair.lease_id,
                read_at_revision: revision,
                stored_watermarks: StoredWatermarks::read(&pairs),
            }));
        }
        Ok(LeaderState::Vacant(Vacancy::read(&pairs)))
    }

    /// Watches the leader key from `revision` on, until it changes, the watch fails, or the leader
    /// is suspected.
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
                    return sleep(constants::WATCH_RETRY).await;
                }
            }
        }
    }

    /// Tries to win the next term, and leads it if this succeeds.
    async fn campaign(&self, vacancy: &Vacancy) {
        let store = &self.config.store;
        let sent_at = self.config.clock.now();
        let lease_id = match store.grant(self.config.lease_length).await {
            Ok(lease_id) => lease_id,
            Err(error) => {
                tracing::debug!(%error, "requesting a leadership lease failed");
                return sleep(constants::LEADER_RETRY).await;
            }
        };
        let record = LeaderRecord {
            controller_name: self.config.controller_name.clone(),
            term: vacancy.next_term(),
            nonce: self.nonce,
        };
        let Ok(election) = vacancy.election(&record, lease_id) else { return };
        match store.commit(&election).await {
            Ok(CommitOutcome::Applied(revision)) => {
                let expires_at = lease_expiry(sent_at, self.config.lease_length);
                let term = new_term(&record, revision, lease_id, vacancy.stored_watermarks);
                self.lead(term, Some(expires_at)).await;
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => {
                let _ = store.release(lease_id).await;
            }
            // Whether it was applied is unknown; the next reading of the leader key shows it by the nonce.
            Err(error) => {
                tracing::debug!(%error, term = record.term, "campaigning failed");
                sleep(constants::LEADER_RETRY).await;
            }
        }
    }

    /// Leads `term` until its lease is lost. `expires_at`: the expiry of its lease;
    /// `None`: unknown, so the lease is extended at once.
    async fn lead(&self, leader_term: LeaderTerm, expires_at: Option<MonotonicTime>) {
        let LeaderTerm { term, lease_id, stored_watermarks, .. } = leader_term;
        let response = if expires_at.is_some() { "received" } else { "lost" };
        tracing::info!(term, response, watermarks = %stored_watermarks, "elected leader");
        self.config.lease.set(term, expires_at.unwrap_or(MonotonicTime::ZERO));
        self.publish(LeadershipView {
            leader: Some(self.config.controller_name.clone()),
            leader_term: Some(term),
            own_term: Some(leader_term),
        });
        let first_extension =
            expires_at.map_or(Duration::ZERO, |_| constants::LEADER_EXTEND_INTERVAL);
        let end = self.extend_until_lost(term, lease_id, first_extension).await;
        self.config.lease.revoke(term);
        tracing::info!(term, reason = ?end, "leadership lost");
        self.publish(LeadershipView::default());
        let _ = self.config.store.release(lease_id).await;
        if end == TermEnd::Resigned {
            // Another controller is to win the next term.
            sleep(constants::STEP_DOWN_PAUSE).await;
        }
    }

    /// Extends the lease of `term` again and again, first after `delay`, until it is lost.
    async fn extend_until_lost(&self, term: u64, lease_id: u64, mut delay: Duration) -> TermEnd {
        loop {
            tokio::select! {
                () = sleep(delay) => {}
                () = self.config.resign_requested.notified() => return TermEnd::Resigned,
            }
            let sent_at = self.config.clock.now();
            match self.config.store.extend(lease_id).await {
                Ok(()) => {
                    self.config.lease.set(term, lease_expiry(sent_at, self.config.lease_length));
                    delay = constants::LEADER_EXTEND_INTERVAL;
                }
                Err(StoreError::NoLease) => return TermEnd::LeaseExpired,
                Err(error) => {
                    tracing::debug!(%error, term, "extending the leadership lease failed");
                    delay = constants::LEADER_RETRY;
                }
            }
        }
    }
}

/// The term of a leader record that was written at `mod_revision`.
fn new_term(
    record: &LeaderRecord,
    mod_revision: u64,
    lease_id: u64,
    stored_watermarks: StoredWatermarks,
) -> LeaderTerm {
    LeaderTerm {
        term: record.term,
        precondition: Precondition { key: LEADER_KEY.into(), mod_revision },
        lease_id,
        stored_watermarks,
    }
}
