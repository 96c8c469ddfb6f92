//! HTTP handlers of the store. Their responses have no more than the fields that the protocol guarantees.

use super::StoreServer;
use crate::bare_json::bare_json;
use hookway_wire::{
    KeyPage, LeaseGrant, LeaseGrantRequest, ListedKeyValue, Transaction, WatchEvent, WatchResponse,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum number of keys in a page of a list (given by the protocol).
const MAX_PAGE_KEYS: usize = 1_000;
/// Maximum total length of the keys and values in a page of a list, in bytes (given by the protocol for the response).
const MAX_PAGE_BYTES: usize = 512 * 1_024;
/// Lengths of a lease that may be requested, in ms (given by the protocol).
const LEASE_TTL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;

/// The kinds of requests to the store.
#[derive(Debug, Clone, Copy)]
pub(super) enum Endpoint {
    List,
    Get,
    Commit,
    GrantLease,
    ReleaseLease,
    ExtendLease,
    Watch,
}

/// Handles one kind of request.
pub(super) struct EndpointHandler {
    pub(super) server: StoreServer,
    pub(super) endpoint: Endpoint,
}

#[async_trait]
impl Handler for EndpointHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Self { server, endpoint } = self;
        server.lock().requests.push(format!("{} {}", req.method(), req.uri().path()));
        if server.refuses_in_outage() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let lease_id = req.param::<u64>("id").unwrap_or_default();
        match endpoint {
            Endpoint::List => server.list(req, res).await,
            Endpoint::Get => server.get(req, res).await,
            Endpoint::Commit => server.commit(req, res).await,
            Endpoint::GrantLease => server.grant(req, res).await,
            Endpoint::ExtendLease => respond_if_lease_existed(server.extend_lease(lease_id), res),
            Endpoint::ReleaseLease => respond_if_lease_existed(server.expire_lease(lease_id), res),
            Endpoint::Watch => server.watch(req, res).await,
        }
    }
}

impl StoreServer {
    /// Whether there is an outage. If so, counts the request as refused.
    fn refuses_in_outage(&self) -> bool {
        let mut state = self.lock();
        if !state.outage {
            return false;
        }
        state.refused_requests += 1;
        drop(state);
        self.changed.notify_waiters();
        true
    }

    async fn grant(&self, req: &mut Request, res: &mut Response) {
        let request = req.parse_json::<LeaseGrantRequest>().await;
        let ttl_ms = request.map(|request| request.ttl_ms).unwrap_or_default();
        if !LEASE_TTL_RANGE_MS.contains(&ttl_ms) {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        }
        let lease_id = self.grant_lease_for(Duration::from_millis(ttl_ms));
        res.render(Json(LeaseGrant { lease_id }));
    }

    /// Responds with a page of keys, possibly after the response was held back.
    async fn list(&self, req: &Request, res: &mut Response) {
        let page = self.page(req);
        let held = self.lock().held_list.take();
        if let Some(held) = held {
            held.hold().await;
        }
        res.render(Json(bare_json(&page)));
    }

    /// Returns a page of keys: those after the requested one, up to the limits of a page.
    fn page(&self, req: &Request) -> KeyPage {
        let after = req.query::<String>("After").unwrap_or_default();
        let requested_keys = req.query::<usize>("Most").unwrap_or(MAX_PAGE_KEYS);
        let store = &self.lock().store;
        let mut remaining = store.list(&prefix(req));
        remaining.retain(|pair| pair.key > after);
        let page_length = page_length(&remaining, requested_keys.clamp(1, MAX_PAGE_KEYS));
        let has_next = page_length < remaining.len();
        remaining.truncate(page_length);
        KeyPage { pairs: remaining, has_next, revision: store.revision() }
    }

    /// Responds with a key, possibly after the response was held back.
    async fn get(&self, req: &Request, res: &mut Response) {
        let key = req.param::<String>("key").unwrap_or_default();
        let (pair, revision) = self.with_store(|store| (store.get(&key), store.revision()));
        let held = self.lock().held_read.take();
        if let Some(held) = held {
            held.hold().await;
        }
        match pair {
            Some(pair) => res.render(Json(bare_json(&pair))),
            None => {
                res.status_code(StatusCode::NOT_FOUND);
                res.render(Json(json!({ "Epoch": revision })));
            }
        }
    }

    async fn commit(&self, req: &mut Request, res: &mut Response) {
        let Ok(transaction) = req.parse_json::<Transaction>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if self.lock().is_too_large(&transaction) {
            res.status_code(StatusCode::BAD_REQUEST);
            return res.render(Json(json!({ "error": "the value is too large" })));
        }
        if self.lock().uses_ended_lease(&transaction) {
            res.status_code(StatusCode::BAD_REQUEST);
            return res.render(Json(json!({ "error": "no such lease" })));
        }
        let outcome = self.with_store(|store| store.commit(&transaction));
        let current_revision = self.lock().store.revision();
        if self.consume_lost_commit_response() {
            return std::future::pending().await;
        }
        match outcome {
            Ok(revision) => res.render(Json(json!({ "Epoch": revision }))),
            Err(failed) => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(json!({ "failed": failed, "Epoch": current_revision })));
            }
        }
    }

    /// Responds with the events after the requested revision, waiting for the first one up to the requested time.
    async fn watch(&self, req: &Request, res: &mut Response) {
        let prefix = prefix(req);
        let after = req.query::<u64>("After").unwrap_or_default();
        if self.lock().store.is_compacted(after) {
            res.status_code(StatusCode::GONE);
            return;
        }
        let wait = Duration::from_millis(req.query::<u64>("WaitMs").unwrap_or_default());
        let mut timeout = Box::pin(tokio::time::sleep(wait));
        let events = loop {
            let changed = self.changed.notified();
            let events: Vec<WatchEvent> = self.lock().store.events(&prefix, after);
            if !events.is_empty() && !self.lock().watches_suppressed {
                break events;
            }
            tokio::select! {
                () = changed => {}
                () = &mut timeout => break Vec::new(),
            }
        };
        let revision = self.lock().store.revision();
        res.render(Json(WatchResponse { revision, events }));
    }
}

/// Returns how many of these keys fit in a page of at most `max_keys` keys.
fn page_length(pairs: &[ListedKeyValue], max_keys: usize) -> usize {
    let mut bytes = 0;
    let fits = |pair: &&ListedKeyValue| {
        bytes += pair.key.len() + pair.value.to_string().len();
        bytes <= MAX_PAGE_BYTES
    };
    pairs.iter().take(max_keys).take_while(fits).count().max(1)
}

/// Responds to a request for a lease: without a body, which the protocol does not guarantee.
fn respond_if_lease_existed(existed: bool, res: &mut Response) {
    res.status_code(if existed { StatusCode::OK } else { StatusCode::NOT_FOUND });
}

fn prefix(req: &Request) -> String {
    req.query::<String>("Prefix").unwrap_or_default()
}
