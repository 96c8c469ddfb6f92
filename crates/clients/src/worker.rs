use crate::{HttpClient, HttpError};
use hookway_constants as constants;
use hookway_wire::{DirectCommands, Heartbeat};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// What became of commands that were sent straight to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// Carried out; the worker's report after them.
    Executed(Heartbeat),
    /// Not carried out: the worker has a higher token, or is in another session. A copy may have been,
    /// before.
    Refused,
    /// Surely not sent.
    NotSent,
    /// They may have been carried out, or may be later.
    Indeterminate,
}

/// A client of the workers, for commands that do not wait for a report. One that is under way may
/// arrive minutes late, or twice; the ledger sees to it that a late start finds a higher token.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    stops: Arc<Semaphore>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        let idle = Duration::from_millis(constants::WORKER_IDLE_MS);
        let stops = Arc::new(Semaphore::new(constants::MAX_DIRECT_STOPS));
        Self { http: HttpClient::keeping("0.0.0.0:0", 1, idle), stops }
    }
}

impl WorkerClient {
    /// Sends commands that only stop tasks, a bounded number at a time. What would wait for long is left
    /// to the answer to the worker's next report, which says the same.
    pub async fn stop(&self, address: &str, commands: &DirectCommands) {
        let wait = Duration::from_millis(constants::DIRECT_STOP_QUEUE_LIMIT_MS);
        if let Ok(Ok(_permit)) = tokio::time::timeout(wait, self.stops.acquire()).await {
            self.send(address, commands).await;
        }
    }

    /// Tells a worker a new leader's token and asks what is on its machine. The session is not known yet: the
    /// first one, most likely; if not, the refusal names it.
    pub async fn probe_state(&self, address: &str, token: u64) -> Option<Heartbeat> {
        let mut session = 1;
        for _ in 0..2 {
            let hello =
                DirectCommands { fencing_token: token, incarnation: session, commands: vec![] };
            let body = serde_json::to_vec(&hello).ok()?;
            let limit = Duration::from_millis(constants::WORKER_TIMEOUT_MS);
            let post = self.http.at(address);
            let answer = post.exchange(Method::POST, "/orders", Some(body), limit).await.ok()?;
            let report: Heartbeat = serde_json::from_slice(&answer.1).ok()?;
            match answer.0 {
                StatusCode::OK => return Some(report),
                StatusCode::CONFLICT if report.incarnation != session => {
                    session = report.incarnation
                }
                _ => return None,
            }
        }
        None
    }

    /// Sends commands to the worker at `address`.
    pub async fn send(&self, address: &str, commands: &DirectCommands) -> Delivery {
        let Ok(body) = serde_json::to_vec(commands) else { return Delivery::NotSent };
        let limit = Duration::from_millis(constants::WORKER_TIMEOUT_MS);
        match self.http.at(address).exchange(Method::POST, "/orders", Some(body), limit).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
                Ok(report) => Delivery::Executed(report),
                Err(e) => {
                    tracing::error!("worker at {address}: its report can't be read: {e}");
                    Delivery::Indeterminate
                }
            },
            Ok((StatusCode::CONFLICT | StatusCode::BAD_REQUEST, _)) => Delivery::Refused,
            Ok((status, _)) => {
                tracing::debug!("worker at {address}: {status}");
                Delivery::Indeterminate
            }
            Err(e) => {
                tracing::debug!("worker at {address}: {e}");
                if matches!(e, HttpError::NotSent(_)) {
                    Delivery::NotSent
                } else {
                    Delivery::Indeterminate
                }
            }
        }
    }
}
