//! Client of the workers, for direct dispatch: commands sent without waiting for a heartbeat.

use crate::{HttpClient, HttpError, HttpResponse};
use hookway_constants as constants;
use hookway_wire::{DirectCommands, Heartbeat};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Path of the workers' API for direct commands.
const COMMANDS_PATH: &str = "/orders";
/// Maximum number of idle connections to each worker.
const MAX_IDLE_CONNECTIONS: usize = 1;
/// Placeholder address of the client; each request replaces it with the address of its worker.
const NO_ADDRESS: &str = "0.0.0.0:0";
/// The incarnation that a state probe tries first: a worker that has never restarted has this one.
const FIRST_INCARNATION: u64 = 1;
/// Maximum number of requests of a state probe: one with the first incarnation, and one with the incarnation that the
/// worker names when it refuses the first request.
const PROBE_ATTEMPTS: u32 = 2;

/// The outcome of the direct dispatch of commands to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// The commands were executed. Holds the worker's heartbeat after their execution.
    Executed(Heartbeat),
    /// The commands were not executed: the worker has a higher fencing token or another incarnation, or the
    /// request is invalid. An earlier copy of the request may have been executed.
    Refused,
    /// The commands were not sent, so the worker cannot execute them.
    NotSent,
    /// The commands may have been executed, or may be executed later.
    Indeterminate,
}

/// A client of all workers. A request may arrive minutes late, or twice. A worker refuses a late start command only if
/// it has received a higher fencing token in the meantime, which callers have to ensure.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    /// Bounds the number of concurrent stop requests.
    stop_permits: Arc<Semaphore>,
}

impl Default for WorkerClient {
    fn default() -> Self {
        Self {
            http: HttpClient::with_pool(
                NO_ADDRESS,
                MAX_IDLE_CONNECTIONS,
                constants::WORKER_IDLE_TIMEOUT,
            ),
            stop_permits: Arc::new(Semaphore::new(constants::MAX_DIRECT_STOPS)),
        }
    }
}

impl WorkerClient {
    /// Sends commands that only stop tasks, with bounded concurrency. Commands that wait too long for a permit
    /// are not sent: the response to the worker's next heartbeat repeats them.
    pub async fn stop(&self, address: &str, commands: &DirectCommands) {
        let queue_limit = constants::DIRECT_STOP_QUEUE_LIMIT;
        if let Ok(Ok(_permit)) =
            tokio::time::timeout(queue_limit, self.stop_permits.acquire()).await
        {
            self.send(address, commands).await;
        }
    }

    /// Sends a state probe, which carries a new leader's fencing token and no commands, and returns the
    /// worker's heartbeat; `None` if the worker does not respond with one.
    ///
    /// The worker's incarnation is unknown, so the first request assumes the first incarnation. A worker with another
    /// one refuses the probe and names its incarnation, with which the probe is repeated.
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
            Ok(response) => delivery_from_response(address, &response),
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

/// Determines the outcome of commands from the worker's response.
fn delivery_from_response(address: &str, response: &HttpResponse) -> Delivery {
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
