//! The store over HTTP on loopback, with fault injection: outages, lost responses and other faults.

mod held_response;
mod http;

pub use held_response::HeldResponse;

use crate::MemoryStore;
use crate::loopback::serve;
use hookway_wire::{Operation, Transaction};
use http::{Endpoint, EndpointHandler};
use salvo::prelude::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which expired leases are searched for and removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time to live of a lease that a test grants directly: longer than any test.
const LONG_TTL: Duration = Duration::from_secs(3_600);

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    /// Time at which the lease expires unless it is extended.
    expires_at: Instant,
}

/// The contents of the store and the injected faults.
#[derive(Debug, Default)]
struct ServerState {
    store: MemoryStore,
    leases: HashMap<u64, Lease>,
    /// Id of the last granted lease.
    last_lease_id: u64,
    /// Whether all requests are refused.
    outage: bool,
    /// Number of requests that were refused in outages.
    refused_requests: usize,
    /// Whether watches return no events, as if their connections had failed unnoticed.
    watches_suppressed: bool,
    /// Holds back the response to the next list.
    held_list: Option<HeldResponse>,
    /// Holds back the response to the next read of a key.
    held_read: Option<HeldResponse>,
    /// Method and path of all requests so far, oldest first.
    requests: Vec<String>,
    /// Number of transactions, from the next one on, whose responses will be lost.
    commit_responses_to_lose: usize,
    /// Maximum size of a value in bytes; `None` for no limit.
    max_value_bytes: Option<usize>,
}

impl ServerState {
    /// Whether a transaction attaches a key to a lease that does not exist.
    fn uses_ended_lease(&self, transaction: &Transaction) -> bool {
        transaction.operations.iter().any(|operation| match operation {
            Operation::Put { lease_id: Some(lease_id), .. } => !self.leases.contains_key(lease_id),
            Operation::Put { lease_id: None, .. } | Operation::Delete { .. } => false,
        })
    }

    /// Whether a transaction writes a value above the limit.
    fn is_too_large(&self, transaction: &Transaction) -> bool {
        let Some(limit) = self.max_value_bytes else { return false };
        transaction.operations.iter().any(|operation| match operation {
            Operation::Put { value, .. } => value.to_string().len() > limit,
            Operation::Delete { .. } => false,
        })
    }
}

/// A store over HTTP on loopback. Leases last until a client releases them or the test expires them; after
/// [`StoreServer::expire_leases_by_clock`] they also expire by the real clock.
#[derive(Debug, Clone, Default)]
pub struct StoreServer {
    state: Arc<Mutex<ServerState>>,
    changed: Arc<Notify>,
}

impl StoreServer {
    /// Starts the server. Returns its address.
    ///
    /// # Errors
    ///
    /// An I/O error if no port is free.
    pub async fn start(&self) -> std::io::Result<String> {
        let handler = |endpoint| EndpointHandler { server: self.clone(), endpoint };
        let router = Router::new()
            .push(Router::with_path("keys").get(handler(Endpoint::List)))
            .push(Router::with_path("keys/{**key}").get(handler(Endpoint::Get)))
            .push(Router::with_path("commit").post(handler(Endpoint::Commit)))
            .push(Router::with_path("grants").post(handler(Endpoint::GrantLease)))
            .push(Router::with_path("grants/{id}").delete(handler(Endpoint::ReleaseLease)))
            .push(Router::with_path("grants/{id}/extend").post(handler(Endpoint::ExtendLease)))
            .push(Router::with_path("watch").get(handler(Endpoint::Watch)));
        serve(router).await
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `access` with the store, which it may read or change, and wakes all watches.
    pub fn with_store<T>(&self, access: impl FnOnce(&mut MemoryStore) -> T) -> T {
        let result = access(&mut self.lock().store);
        self.changed.notify_waiters();
        result
    }

    /// Makes leases expire by the real clock from now on.
    pub fn expire_leases_by_clock(&self) {
        let server = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
                for lease_id in server.expired_leases(Instant::now()) {
                    server.expire_lease(lease_id);
                }
            }
        });
    }

    fn expired_leases(&self, now: Instant) -> Vec<u64> {
        let state = self.lock();
        let expired = state.leases.iter().filter(|(_, lease)| now >= lease.expires_at);
        expired.map(|(lease_id, _)| *lease_id).collect()
    }

    /// Grants a lease that outlasts the test unless the test expires it. Returns its id.
    pub fn grant_long_lease(&self) -> u64 {
        self.grant_lease_for(LONG_TTL)
    }

    fn grant_lease_for(&self, ttl: Duration) -> u64 {
        let mut state = self.lock();
        state.last_lease_id += 1;
        let lease_id = state.last_lease_id;
        state.leases.insert(lease_id, Lease { ttl, expires_at: Instant::now() + ttl });
        lease_id
    }

    /// Extends a lease. Returns `false` if it does not exist.
    fn extend_lease(&self, lease_id: u64) -> bool {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&lease_id) else { return false };
        lease.expires_at = Instant::now() + lease.ttl;
        true
    }

    /// Ends a lease as if it had expired, and deletes its keys. Returns `false` if the lease does not exist.
    pub fn expire_lease(&self, lease_id: u64) -> bool {
        let mut state = self.lock();
        let existed = state.leases.remove(&lease_id).is_some();
        state.store.expire_lease(lease_id);
        drop(state);
        self.changed.notify_waiters();
        existed
    }

    /// Waits until at least this number of requests has been refused in outages.
    pub async fn wait_for_refused_requests(&self, count: usize) {
        loop {
            let changed = self.changed.notified();
            if self.lock().refused_requests >= count {
                return;
            }
            changed.await;
        }
    }

    /// Rejects transactions with a value above this size from now on.
    pub fn limit_value_bytes(&self, max_bytes: usize) {
        self.lock().max_value_bytes = Some(max_bytes);
    }

    /// Makes watches return no events from now on, as if their connections had failed unnoticed.
    pub fn suppress_watch_events(&self) {
        self.lock().watches_suppressed = true;
    }

    /// Holds back the response to the next list, with the keys at the time of the request, until the test releases it.
    pub fn hold_next_list_response(&self) -> HeldResponse {
        let held = HeldResponse::default();
        self.lock().held_list = Some(held.clone());
        held
    }

    /// Holds back the response to the next read of a key, as [`Self::hold_next_list_response`] does.
    pub fn hold_next_read_response(&self) -> HeldResponse {
        let held = HeldResponse::default();
        self.lock().held_read = Some(held.clone());
        held
    }

    /// Returns method and path of all requests since the last call, oldest first, for example `GET /keys/lead/now`.
    pub fn take_requests(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().requests)
    }

    /// Loses the response to the next transaction, which is still processed. Further calls add one transaction each.
    pub fn lose_next_commit_response(&self) {
        self.lock().commit_responses_to_lose += 1;
    }

    /// Whether the response to the current transaction is lost. Decrements the number of responses to lose.
    fn consume_lost_commit_response(&self) -> bool {
        let mut state = self.lock();
        let is_lost = state.commit_responses_to_lose > 0;
        state.commit_responses_to_lose -= usize::from(is_lost);
        is_lost
    }

    /// Begins an outage: all requests are refused.
    pub fn begin_outage(&self) {
        self.lock().outage = true;
    }

    /// Ends an outage: requests are accepted again, and all keys and leases are still there.
    pub fn end_outage(&self) {
        self.lock().outage = false;
    }
}
