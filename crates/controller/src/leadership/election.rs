//! The election actor: campaigns for leadership, extends the leadership lease and detects its loss.

use super::campaign::LeaderlessState;
use super::candidate::{Candidate, LeaderKeyOutcome, ListingOutcome, ObservedLeader};
use super::clock::Clock;
use super::leader_key::LeaderKey;
use super::lease::{LeadershipLease, lease_expiry};
use super::resignation::Resignation;
use super::term::{LeaderTerm, LeadershipView};
use crate::records::{LEADER_KEY, LEADER_PREFIX};
use hookway_clients::{CommitOutcome, Listing, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use hookway_wire::WatchEvent;
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
    /// The term that the controller actor requests to give up.
    pub resignation: Resignation,
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
    candidate: Candidate,
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
        let candidate = Candidate::new(&config.controller_name, rand::rng().random());
        Self { config, candidate }
    }

    /// Follows or campaigns, depending on who leads, until the process ends.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.follow_or_campaign().await {
                tracing::debug!(%error, "reading the leader key failed");
                sleep(constants::STORE_RETRY_DELAY).await;
            }
        }
    }

    /// Reads who leads, and follows that controller, leads or campaigns until this may have changed.
    async fn follow_or_campaign(&mut self) -> Result<(), StoreError> {
        let Listing { pairs, revision } = self.config.store.list(LEADER_PREFIX).await?;
        match self.candidate.evaluate_listing(&pairs, revision) {
            ListingOutcome::Leaderless(leaderless_state) => {
                self.publish_no_leader();
                sleep(self.election_delay()).await;
                self.campaign(&leaderless_state).await;
            }
            ListingOutcome::OtherLeader(leader) => self.follow(leader).await,
            ListingOutcome::OwnName(listed) => {
                let answer = self.config.store.get(LEADER_KEY).await?;
                let outcome = self.candidate.evaluate_leader_key(&listed, answer);
                self.leader_key_read(outcome).await;
            }
        }
        Ok(())
    }

    /// Acts on a leader key that a list showed with this controller's name.
    async fn leader_key_read(&mut self, outcome: LeaderKeyOutcome) {
        match outcome {
            // It is unknown here when the lease was granted, so the lease counts as expired until
            // its first extension, which also proves that the key still exists.
            LeaderKeyOutcome::OwnTerm(leader_term) => self.lead(leader_term, None).await,
            LeaderKeyOutcome::EndedTerm(key) => self.revoke_ended_term(&key).await,
            LeaderKeyOutcome::OtherLeader(leader) => {
                let (name, term) = (&leader.controller_name, leader.term);
                tracing::info!(leader = name, term, "another controller was elected meanwhile");
                self.follow(leader).await;
            }
            LeaderKeyOutcome::Changed => {
                tracing::info!("leader key changed meanwhile, reading it again");
            }
            LeaderKeyOutcome::Unusable => {
                tracing::error!("unusable leader record of this controller");
                sleep(constants::STORE_RETRY_DELAY).await;
            }
        }
    }

    /// Revokes the lease of a term under this controller's name that nobody leads: only one process
    /// at a time runs under this name. What that term's leader has in flight carries the
    /// precondition of its term, and fails once the lease is revoked.
    async fn revoke_ended_term(&self, key: &LeaderKey) {
        let (term, lease_id, revision) = (key.record().term, key.lease_id(), key.mod_revision());
        tracing::info!(term, lease_id, revision, "revoking the lease of the previous process");
        if self.config.store.release_lease(lease_id).await.is_err() {
            sleep(constants::STORE_RETRY_DELAY).await;
        }
    }

    /// Follows another controller until the leader key changes.
    async fn follow(&self, leader: ObservedLeader) {
        self.publish(LeadershipView {
            leader: Some(leader.controller_name),
            leader_term: Some(leader.term),
            own_term: None,
        });
        self.watch_leader(leader.watch_after).await;
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
    async fn campaign(&mut self, leaderless_state: &LeaderlessState) {
        let store = &self.config.store;
        let sent_at = self.config.clock.now();
        let lease_id = match store.grant_lease(self.config.lease_length).await {
            Ok(lease_id) => lease_id,
            Err(error) => {
                tracing::debug!(%error, "requesting a leadership lease failed");
                return sleep(constants::STORE_RETRY_DELAY).await;
            }
        };
        let record = self.candidate.leader_record(leaderless_state);
        let term = record.term;
        let Ok(election) = leaderless_state.election(record, lease_id) else { return };
        match store.commit(election.transaction()).await {
            Ok(CommitOutcome::Applied(revision)) => {
                let expires_at = lease_expiry(sent_at, self.config.lease_length);
                self.lead(election.won_at(revision), Some(expires_at)).await;
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => {
                let _ = store.release_lease(lease_id).await;
            }
            // It is unknown whether the transaction was applied. The next read of the leader key
            // tells, by the nonce in the leader record.
            Err(error) => {
                tracing::debug!(%error, term, "campaigning failed");
                sleep(constants::STORE_RETRY_DELAY).await;
            }
        }
    }

    /// Leads a term until its lease is lost or this controller resigns. `expires_at` is the expiry
    /// of the lease; `None` if it is unknown: the lease then counts as expired and is extended at
    /// once.
    async fn lead(&mut self, leader_term: LeaderTerm, expires_at: Option<MonotonicTime>) {
        log_election(&leader_term, expires_at.is_some());
        let (term, lease_id) = (leader_term.term(), leader_term.lease_id());
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
        // While its lease is not released, the record of this term stays. It is not one of an
        // election whose response was lost.
        self.candidate.end_term(rand::rng().random());
        tracing::info!(term, reason = ?end, "leadership lost");
        self.publish(LeadershipView::default());
        if end == TermEnd::Resigned {
            self.release_until_confirmed(lease_id).await;
            // Leaves the next term to another controller.
            sleep(constants::STEP_DOWN_PAUSE).await;
        }
    }

    /// Releases the lease of a term that this controller has given up. Until then no other
    /// controller can be elected.
    async fn release_until_confirmed(&self, lease_id: u64) {
        while let Err(error) = self.config.store.release_lease(lease_id).await {
            tracing::debug!(%error, lease_id, "releasing the leadership lease failed");
            sleep(constants::STORE_RETRY_DELAY).await;
        }
    }

    /// Extends the lease of `term` periodically, first after `delay`, until it is lost or this
    /// controller resigns.
    async fn extend_until_lost(&self, term: u64, lease_id: u64, mut delay: Duration) -> TermEnd {
        loop {
            tokio::select! {
                () = sleep(delay) => {}
                () = self.config.resignation.requested(term) => return TermEnd::Resigned,
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

fn log_election(leader_term: &LeaderTerm, response_received: bool) {
    tracing::info!(
        term = leader_term.term(),
        response = if response_received { "received" } else { "lost" },
        lease_id = leader_term.lease_id(),
        revision = leader_term.precondition().mod_revision,
        watermarks = %leader_term.watermark_completeness(),
        "elected leader"
    );
}
