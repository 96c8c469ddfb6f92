//! Client of the workers, for commands that do not wait for a heartbeat.

use crate::{HttpClient, HttpError, HttpResponse};
use hookway_constants as constants;
use hookway_wire::{DirectCommands, Heartbeat};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Path of the workers' API that takes commands.
const COMMANDS_PATH: &str = "/orders";
/// Idle connections kept to each worker.
const MAX_IDLE_CONNECTIONS: usize = 1;
/// Base address of the client; each request replaces it by that of its worker.
const NO_ADDRESS: &str = "0.0.0.0:0";
/// The incarnation that a state probe tries first: that of a worker that never restarted.
const FIRST_INCARNATION: u64 = 1;
/// Requests of a state probe: one with the first incarnation, one with that named by the refusal.
const PROBE_ATTEMPTS: u32 = 2;

/// The outcome of commands that were sent directly to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// Executed; the worker's heartbeat after them.
    Executed(Heartbeat),
    /// Not executed: the worker has a higher fencing token or another incarnation. An earlier copy of the
    /// request may have been executed.
    Refused,
    /// The commands were certainly not sent.
    NotSent,
    /// The commands may have been executed, or may be later.
    Indeterminate,
}

/// A client of all workers. A request may arrive minutes late, or twice: callers have to ensure that a
/// late start command is refused for its lower fencing token.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    /// Bounds the number of concurrent stop requests.
    stop_permits: Arc<Semaphore>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        Self {
            http: HttpClient::with_pool(NO_ADDRESS, MAX_IDLE_CONNECTIONS, constants::WORKER_IDLE),
            stop_permits: Arc::new(Semaphore::new(constants::MAX_DIRECT_STOPS)),
        }
    }
}

impl WorkerClient {
    /// Sends commands that only stop tasks, with bounded concurrency. Commands that would wait too long for
    /// a permit are not sent: the response to the worker's next heartbeat repeats them.
    pub async fn stop(&self, address: &str, commands: &DirectCommands) {
        let queue_limit = constants::DIRECT_STOP_QUEUE_LIMIT;
        if let Ok(Ok(_permit)) =
            tokio::time::timeout(queue_limit, self.stop_permits.acquire()).await
        {
            self.send(address, commands).await;
        }
    }

    /// State probe: sends a new leader's fencing token without commands, and returns the worker's heartbeat;
    /// `None` if there is none. The worker's incarnation is unknown: if it is not the first one, the
    /// refusal names it.
    pub async fn probe_state(&self, address: &str, fencing_token: u64) -> Option<Heartbeat> {
        let mut incarnation = FIRST_INCARNATION;
        for _ in 0..PROBE_ATTEMPTS {
            let probe = DirectCommands { fencing_token, incarnation, commands: vec![] };
            let body = serde_json::to_vec(&probe).ok()?;
            let response = self.post_commands(address, body).await.ok()?;
            let heartbeat: Heartbeat = serde_json::from_slice(&response.body).ok()?;
            match response.status {
                StatusCode::OK => return Some(heartbeat),
                StatusCode::CONFLICT if heartbeat.incarnation != incarnation => {
                    incarnation = heartbeat.incarnation;
                }
                _ => return None,
            }
        }
        None
    }

    async fn post_commands(&self, address: &str, body: Vec<u8>) -> Result<HttpResponse, HttpError> {
        let http = self.http.with_address(address);
        http.exchange(Method::POST, COMMANDS_PATH, Some(body), constants::WORKER_TIMEOUT).await
    }

    /// Sends commands to the worker at `address` (`host:port`).
    pub async fn send(&self, address: &str, commands: &DirectCommands) -> Delivery {
        let Ok(body) = serde_json::to_vec(commands) else { return Delivery::NotSent };
        match self.post_commands(address, body).await {
            Ok(response) => delivery_by_response(address, &response),
            Err(error) => {
                tracing::debug!(address, %error, "commands without response");
                if matches!(error, HttpError::NotSent { .. }) {
                    Delivery::NotSent
                } else {
                    Delivery::Indeterminate
                }
            }
        }
    }
}

/// What a worker's response says about the commands that were sent to it.
fn delivery_by_response(address: &str, response: &HttpResponse) -> Delivery {
    match response.status {
        StatusCode::OK => match serde_json::from_slice(&response.body) {
            Ok(heartbeat) => Delivery::Executed(heartbeat),
            Err(error) => {
                tracing::error!(address, %error, "invalid heartbeat in response to commands");
                Delivery::Indeterminate
            }
        },
        StatusCode::CONFLICT | StatusCode::BAD_REQUEST => Delivery::Refused,
        status => {
            tracing::debug!(address, %status, "unexpected response to commands");
            Delivery::Indeterminate
        }
    }
}
