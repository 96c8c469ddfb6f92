//! Leadership: one leader at a time, by a leased key in the state service.
//!
//! `lead/now` hangs on the leader's lease and names it; `lead/term` only grows. Both change in one
//! transaction that demands that nobody leads and that the term is the one that was read. The
//! leader reckons its lease from before each request was sent, on its steady clock, less drift and
//! a margin; past that it answers no worker and decides nothing until an extension succeeds. After
//! an outage leases have their full time again, so it often can go on.

use crate::cluster_state::Timestamp;
use crate::records::{
    LEADER_KEY, LEADER_PREFIX, LEADER_TERM_KEY, LEADER_WATERMARKS_KEY, LeaderRecord,
};
use hookway_clients::{CommitOutcome, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{KeyValue, Operation, Precondition, Transaction, WatchEvent};
use rand::RngExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The clocks of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    /// Steady clock, ms since the start of the process.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Both clocks.
    pub fn moment(&self) -> Timestamp {
        Timestamp { monotonic: self.now(), wall: wall_ms() }
    }
}

/// Time of day, ms.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A won leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The term.
    pub term: u64,
    /// The guard that every durable write carries.
    pub precondition: Precondition,
    /// The lease.
    pub lease_id: u64,
    /// The leader before kept marks of how far tasks of jobs may have been started.
    pub has_start_watermarks: bool,
}

/// What this node knows of the leadership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeadershipView {
    /// The leader's name, as last seen.
    pub leader: Option<String>,
    /// Its term, while the state service says that it leads.
    pub leader_term: Option<u64>,
    /// Set while this node leads.
    pub own_term: Option<LeaderTerm>,
}

/// For which term this node's lease is, and how long it surely lasts, ms.
#[derive(Debug, Default)]
pub struct LeadershipLease(Mutex<(u64, u64)>);

impl LeadershipLease {
    /// Whether this node may act as the leader of `term` at `now`, ms. A lease of a later term entitles
    /// nobody to decide from what was known in an earlier one: another node may have led between them.
    pub fn holds(&self, term: u64, now: u64) -> bool {
        self.0.lock().is_ok_and(|lease| lease.0 == term && now < lease.1)
    }

    /// Until when this node may act as the leader of `term`, as far as is known now, ms.
    pub fn until(&self, term: u64) -> u64 {
        self.0.lock().map_or(0, |lease| if lease.0 == term { lease.1 } else { 0 })
    }

    fn set(&self, term: u64, until: u64) {
        if let Ok(mut lease) = self.0.lock() {
            *lease = (term, until);
        }
    }
}

/// Until when a lease surely lasts whose request was sent at `sent`, ms.
pub fn lease_expiry(sent: u64, ttl_ms: u64) -> u64 {
    let drift = (ttl_ms as f64 * constants::CLOCK_DRIFT).ceil() as u64;
    (sent + ttl_ms).saturating_sub(drift + constants::LEADER_MARGIN_MS)
}

/// The actor that seeks, keeps and loses leadership.
pub struct Leadership {
    /// This node's name.
    pub controller_name: String,
    /// The state service.
    pub store: StoreClient,
    /// Clocks.
    pub clock: Clock,
    /// How long the lease surely lasts.
    pub lease: Arc<LeadershipLease>,
    /// Where the view is published.
    pub view: watch::Sender<LeadershipView>,
    /// Rung by the node when a write showed that it leads no more.
    pub leadership_lost: Arc<Notify>,
    /// Rung when the leader's silence is unusual: the state service is asked at once whether it still leads, as a
    /// watch whose connection died unnoticed would not tell.
    pub leader_suspected: Arc<Notify>,
    /// Length of the lease, ms.
    pub lease_ms: u64,
    /// This node has a usable copy of the leader's picture: it stands before those that have none.
    pub has_warm_copy: Arc<AtomicBool>,
}

enum LeaderState {
    Leader(KeyValue, LeaderRecord),
    Vacant { term: u64, term_revision: u64, marked: bool },
}

impl Leadership {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut nonce: u64 = rand::rng().random();
        loop {
            match self.read_leader().await {
                Ok((LeaderState::Leader(kv, record), revision)) => {
                    if record.controller_name == self.controller_name && record.nonce == nonce {
                        // Our own transaction, whose answer was lost.
                        if let Some(lease_id) = kv.lease_id {
                            self.lead(&record, kv.mod_revision, lease_id, 0, false).await;
                            nonce = rand::rng().random();
                            continue;
                        }
                    }
                    if record.controller_name == self.controller_name
                        && let Some(lease_id) = kv.lease_id
                    {
                        // One process runs under this name at a time, so that leader is our own
                        // earlier process, which is dead. Whatever it still has under way carries
                        // its guard and fails.
                        tracing::info!("ending the lease of this node's earlier process");
                        if self.store.release(lease_id).await.is_err() {
                            self.pause(constants::LEADER_RETRY_MS).await;
                        }
                        continue;
                    }
                    self.publish(LeadershipView {
                        leader: Some(record.controller_name),
                        leader_term: Some(record.term),
                        own_term: None,
                    });
                    self.follow(revision).await;
                }
                Ok((LeaderState::Vacant { term, term_revision, marked }, _)) => {
                    self.publish_vacancy();
                    self.pause(self.election_pause()).await;
                    self.campaign(nonce, term, term_revision, marked).await;
                }
                Err(e) => {
                    tracing::debug!("leadership: {e}");
                    self.pause(constants::LEADER_RETRY_MS).await;
                }
            }
        }
    }

    async fn pause(&self, ms: u64) {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// How long this node leaves others the first chance, ms.
    fn election_pause(&self) -> u64 {
        let jitter = rand::rng().random_range(0..=constants::ELECTION_JITTER_MS);
        if self.has_warm_copy.load(Ordering::Relaxed) {
            jitter / constants::WARM_STANDBY_JITTER_DIVISOR
        } else {
            jitter
        }
    }

    /// Vacant leads. Who led last is still the best guess of who knows more.
    fn publish_vacancy(&self) {
        self.view.send_if_modified(|view| {
            let changed = view.leader_term.is_some();
            view.leader_term = None;
            changed
        });
    }

    fn publish(&self, view: LeadershipView) {
        self.view.send_if_modified(|v| {
            let changed = *v != view;
            *v = view.clone();
            changed
        });
    }

    async fn read_leader(&self) -> Result<(LeaderState, u64), StoreError> {
        let (pairs, revision) = self.store.list(LEADER_PREFIX).await?;
        let now = pairs.iter().find(|p| p.key == LEADER_KEY);
        if let Some(kv) = now
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(kv.value.clone())
        {
            let mut kv = kv.clone();
            if kv.lease_id.is_none()
                && record.controller_name == self.controller_name
                && let Some(full) = self.store.get(LEADER_KEY).await?
            {
                kv = full;
            }
            return Ok((LeaderState::Leader(kv, record), revision));
        }
        let term = pairs.iter().find(|p| p.key == LEADER_TERM_KEY);
        let marks = pairs.iter().find(|p| p.key == LEADER_WATERMARKS_KEY);
        let state = LeaderState::Vacant {
            term: term.and_then(|t| t.value.as_u64()).unwrap_or(0),
            term_revision: term.map_or(0, |t| t.mod_revision),
            marked: term.map(|t| &t.value) == marks.map(|m| &m.value),
        };
        Ok((state, revision))
    }

    /// Waits until the leader's key goes.
    async fn follow(&self, mut revision: u64) {
        loop {
            let watched = tokio::select! {
                watched = self.store.watch(LEADER_PREFIX, revision, constants::WATCH_WAIT_MS) => watched,
                () = self.leader_suspected.notified() => return,
            };
            match watched {
                Ok(answer) => {
                    if answer.events.iter().any(|e| match e {
                        WatchEvent::Delete { key: delete, .. } => delete == LEADER_KEY,
                        WatchEvent::Put { key: put, .. } => put == LEADER_KEY,
                    }) {
                        return;
                    }
                    revision = revision.max(answer.revision);
                }
                Err(e) => {
                    tracing::debug!("leadership watch: {e}");
                    self.pause(constants::WATCH_RETRY_MS).await;
                    return;
                }
            }
        }
    }

    async fn campaign(&self, nonce: u64, term: u64, term_revision: u64, marked: bool) {
        let sent = self.clock.now();
        let lease_id = match self.store.grant(self.lease_ms).await {
            Ok(lease_id) => lease_id,
            Err(e) => {
                tracing::debug!("no lease for leadership: {e}");
                return self.pause(constants::LEADER_RETRY_MS).await;
            }
        };
        // Each term has a range of tokens of its own; the record holds the last one that may be in
        // use.
        let (first, last) = (term + 1, term + constants::TOKENS_PER_TERM);
        let record =
            LeaderRecord { controller_name: self.controller_name.clone(), term: first, nonce };
        let Ok(value) = serde_json::to_value(&record) else { return };
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
                Precondition { key: LEADER_TERM_KEY.into(), mod_revision: term_revision },
            ],
            operations: vec![
                Operation::Put { key: LEADER_KEY.into(), value, lease_id: Some(lease_id) },
                Operation::put(LEADER_TERM_KEY, serde_json::json!(last)),
                Operation::put(LEADER_WATERMARKS_KEY, serde_json::json!(last)),
            ],
        };
        match self.store.commit(&transaction).await {
            Ok(CommitOutcome::Applied(revision)) => {
                let until = lease_expiry(sent, self.lease_ms);
                self.lead(&record, revision, lease_id, until, marked).await;
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => {
                let _ = self.store.release(lease_id).await;
            }
            // Unclear: the next look tells, by the nonce, whether it was applied.
            Err(e) => {
                tracing::debug!("standing for leadership: {e}");
                self.pause(constants::LEADER_RETRY_MS).await;
            }
        }
    }

    /// Leads until the lease is lost.
    async fn lead(
        &self,
        record: &LeaderRecord,
        stamp: u64,
        lease_id: u64,
        until: u64,
        marked: bool,
    ) {
        tracing::info!("leading, term {}", record.term);
        self.lease.set(record.term, until);
        let guard = Precondition { key: LEADER_KEY.into(), mod_revision: stamp };
        let leader_term = LeaderTerm {
            term: record.term,
            precondition: guard,
            lease_id,
            has_start_watermarks: marked,
        };
        self.publish(LeadershipView {
            leader: Some(self.controller_name.clone()),
            leader_term: Some(record.term),
            own_term: Some(leader_term),
        });
        let mut pause = if until == 0 { 0 } else { constants::LEADER_EXTEND_INTERVAL_MS };
        let gave_up = loop {
            tokio::select! {
                () = self.pause(pause) => {}
                () = self.leadership_lost.notified() => break true,
            }
            let sent = self.clock.now();
            match self.store.extend(lease_id).await {
                Ok(()) => {
                    self.lease.set(record.term, lease_expiry(sent, self.lease_ms));
                    pause = constants::LEADER_EXTEND_INTERVAL_MS;
                }
                Err(StoreError::NoLease) => break false,
                Err(e) => {
                    tracing::debug!("extending the lease: {e}");
                    pause = constants::LEADER_RETRY_MS;
                }
            }
        };
        self.lease.set(record.term, 0);
        tracing::info!("not leading any more");
        self.publish(LeadershipView::default());
        let _ = self.store.release(lease_id).await;
        if gave_up {
            // Another node shall have it.
            self.pause(constants::STEP_DOWN_PAUSE_MS).await;
        }
    }
}

#[cfg(test)]
mod tests;
