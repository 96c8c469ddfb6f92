//! HTTP handlers of the store.

use super::StoreServer;
use hookway_wire::{
    CommitResponse, KeyPage, LeaseGrant, LeaseGrantRequest, Transaction, WatchEvent, WatchResponse,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::time::Duration;

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
        if server.refuses_in_outage() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let lease_id = req.param::<u64>("id").unwrap_or_default();
        match endpoint {
            Endpoint::List => server.list(req, res),
            Endpoint::Get => server.get(req, res),
            Endpoint::Commit => server.commit(req, res).await,
            Endpoint::GrantLease => {
                let request = req.parse_json::<LeaseGrantRequest>().await;
                let ttl_ms = request.map(|request| request.ttl_ms).unwrap_or(0);
                let lease_id = server.grant_lease_for(Duration::from_millis(ttl_ms));
                res.render(Json(LeaseGrant { lease_id }));
            }
            Endpoint::ExtendLease if server.extend_lease(lease_id) => res.render(Json(json!({}))),
            Endpoint::ReleaseLease if server.expire_lease(lease_id) => res.render(Json(json!({}))),
            Endpoint::ExtendLease | Endpoint::ReleaseLease => {
                res.status_code(StatusCode::NOT_FOUND);
            }
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

    fn list(&self, req: &Request, res: &mut Response) {
        let store = &self.lock().store;
        let pairs = store.list(&prefix(req));
        res.render(Json(KeyPage { pairs, has_next: false, revision: store.revision() }));
    }

    fn get(&self, req: &Request, res: &mut Response) {
        let key = req.param::<String>("key").unwrap_or_default();
        let store = &self.lock().store;
        match store.get(&key) {
            Some(pair) => res.render(Json(pair)),
            None => {
                res.status_code(StatusCode::NOT_FOUND);
                res.render(Json(json!({ "Epoch": store.revision() })));
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
        let outcome = self.with_store(|store| store.commit(&transaction));
        let revision = self.lock().store.revision();
        if self.consume_lost_commit_response() {
            // To the client this is the same as a response that never arrives, without the wait for its timeout.
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        match outcome {
            Ok(revision) => res.render(Json(CommitResponse { failed: vec![], revision })),
            Err(failed) => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(CommitResponse { failed, revision }));
            }
        }
    }

    /// Responds with the events after the requested revision, waiting for the first one up to the requested time.
    async fn watch(&self, req: &Request, res: &mut Response) {
        let prefix = prefix(req);
        let after = req.query::<u64>("After").unwrap_or_default();
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

fn prefix(req: &Request) -> String {
    req.query::<String>("Prefix").unwrap_or_default()
}
