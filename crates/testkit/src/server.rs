use crate::MemoryStore;
use crate::serve::serve;
use hookway_wire::{
    CommitResponse, KeyPage, LeaseGrant, LeaseGrantRequest, Operation, Transaction, WatchEvent,
    WatchResponse,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Everything behind the server.
#[derive(Debug, Default)]
struct Inner {
    store: MemoryStore,
    /// By lease: its length, and when it runs out if nobody extends it.
    permits: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    refusing: bool,
    /// Watches hear nothing, as if their connections had died unnoticed.
    mute_watches: bool,
    refused: usize,
    /// Largest value that is taken, bytes; `None`: any.
    largest_value: Option<usize>,
}

impl Inner {
    /// Whether a transaction puts a larger value than is taken.
    fn too_large(&self, transaction: &Transaction) -> bool {
        let Some(largest) = self.largest_value else { return false };
        transaction.operations.iter().any(|change| match change {
            Operation::Put { value: v, .. } => v.to_string().len() > largest,
            Operation::Delete { .. } => false,
        })
    }
}

/// A state service over HTTP on loopback. Leases last until the test ends them.
#[derive(Debug, Clone, Default)]
pub struct StoreServer {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl StoreServer {
    /// Starts serving; the address.
    pub async fn start(&self) -> std::io::Result<String> {
        let at = |what| Route(self.clone(), what);
        let router = Router::new()
            .push(Router::with_path("keys").get(at(What::List)))
            .push(Router::with_path("keys/{**key}").get(at(What::Get)))
            .push(Router::with_path("commit").post(at(What::Commit)))
            .push(Router::with_path("grants").post(at(What::Grant)))
            .push(Router::with_path("grants/{id}").delete(at(What::End)))
            .push(Router::with_path("grants/{id}/extend").post(at(What::Extend)))
            .push(Router::with_path("watch").get(at(What::Watch)));
        serve(router).await
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works on the keys.
    pub fn with<T>(&self, work: impl FnOnce(&mut MemoryStore) -> T) -> T {
        let result = work(&mut self.lock().store);
        self.changed.notify_waiters();
        result
    }

    /// From now on leases run out by the clock.
    pub fn let_leases_run_out(&self) {
        const LOOK_EVERY: Duration = Duration::from_millis(10);
        let server = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LOOK_EVERY).await;
                let now = Instant::now();
                let over =
                    |(id, (_, until)): (&u64, &(Duration, Instant))| (now >= *until).then_some(*id);
                let over: Vec<u64> = server.lock().permits.iter().filter_map(over).collect();
                for lease_id in over {
                    server.end(lease_id);
                }
            }
        });
    }

    /// A lease without a request.
    pub fn grant(&self) -> u64 {
        const LONG: Duration = Duration::from_secs(3_600);
        self.grant_for(LONG)
    }

    fn grant_for(&self, length: Duration) -> u64 {
        let mut inner = self.lock();
        inner.next_lease += 1;
        let lease_id = inner.next_lease;
        inner.permits.insert(lease_id, (length, Instant::now() + length));
        lease_id
    }

    /// Extends a lease; `false`: there is none.
    fn extend(&self, lease_id: u64) -> bool {
        let mut inner = self.lock();
        let Some((length, until)) = inner.permits.get_mut(&lease_id) else { return false };
        *until = Instant::now() + *length;
        true
    }

    /// Ends a lease, as if it had not been extended in time.
    pub fn end(&self, lease_id: u64) -> bool {
        let mut inner = self.lock();
        let had = inner.permits.remove(&lease_id).is_some();
        inner.store.end_lease(lease_id);
        drop(inner);
        self.changed.notify_waiters();
        had
    }

    /// Waits until so many requests have been refused.
    pub async fn refused(&self, requests: usize) {
        loop {
            let changed = self.changed.notified();
            if self.lock().refused >= requests {
                return;
            }
            changed.await;
        }
    }

    /// From now on values may be no larger than this, in bytes.
    pub fn limit_values(&self, largest: usize) {
        self.lock().largest_value = Some(largest);
    }

    /// From now on no watch hears of a change.
    pub fn mute_watches(&self) {
        self.lock().mute_watches = true;
    }

    /// Begins or ends an outage.
    pub fn refuse(&self, refusing: bool) {
        self.lock().refusing = refusing;
    }
}

#[derive(Debug, Clone, Copy)]
enum What {
    List,
    Get,
    Commit,
    Grant,
    End,
    Extend,
    Watch,
}

struct Route(StoreServer, What);

#[async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Self(server, what) = self;
        let refusing = server.lock().refusing;
        if refusing {
            server.lock().refused += 1;
            server.changed.notify_waiters();
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let prefix = req.query::<String>("Prefix").unwrap_or_default();
        let id = req.param::<u64>("id").unwrap_or_default();
        match what {
            What::List => {
                let store = &server.lock().store;
                let pairs = store.list(&prefix);
                res.render(Json(KeyPage { pairs, has_next: false, revision: store.revision() }));
            }
            What::Get => {
                let key = req.param::<String>("key").unwrap_or_default();
                let inner = server.lock();
                match inner.store.get(&key) {
                    Some(kv) => res.render(Json(kv)),
                    None => {
                        res.status_code(StatusCode::NOT_FOUND);
                        res.render(Json(json!({ "Epoch": inner.store.revision() })));
                    }
                }
            }
            What::Commit => {
                let Ok(transaction) = req.parse_json::<Transaction>().await else {
                    res.status_code(StatusCode::BAD_REQUEST);
                    return;
                };
                if server.lock().too_large(&transaction) {
                    res.status_code(StatusCode::BAD_REQUEST);
                    return res.render(Json(json!({ "error": "the value is too large" })));
                }
                let outcome = server.with(|store| store.commit(&transaction));
                let revision = server.lock().store.revision();
                match outcome {
                    Ok(revision) => res.render(Json(CommitResponse { failed: vec![], revision })),
                    Err(failed) => {
                        res.status_code(StatusCode::CONFLICT);
                        res.render(Json(CommitResponse { failed, revision }));
                    }
                }
            }
            What::Grant => {
                let length =
                    req.parse_json::<LeaseGrantRequest>().await.map(|r| r.ttl_ms).unwrap_or(0);
                let lease_id = server.grant_for(Duration::from_millis(length));
                res.render(Json(LeaseGrant { lease_id }));
            }
            What::Extend if server.extend(id) => res.render(Json(json!({}))),
            What::End if server.end(id) => res.render(Json(json!({}))),
            What::Extend | What::End => {
                res.status_code(StatusCode::NOT_FOUND);
            }
            What::Watch => {
                let after = req.query::<u64>("After").unwrap_or_default();
                let wait = Duration::from_millis(req.query::<u64>("WaitMs").unwrap_or_default());
                let mut over = Box::pin(tokio::time::sleep(wait));
                let events = loop {
                    let changed = server.changed.notified();
                    let events: Vec<WatchEvent> = server.lock().store.events(&prefix, after);
                    if !events.is_empty() && !server.lock().mute_watches {
                        break events;
                    }
                    tokio::select! {
                        () = changed => {}
                        () = &mut over => break Vec::new(),
                    }
                };
                let revision = server.lock().store.revision();
                res.render(Json(WatchResponse { revision, events }));
            }
        }
    }
}
