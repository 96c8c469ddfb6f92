//! The link between controllers: length-prefixed frames over TCP. A node that is asked something
//! by a user that only the leader knows, or that can't reach the state service itself, asks here.

use crate::api_service::ApiService;
use crate::circuit_breaker::CircuitBreaker;
use crate::frame::{self, FrameError, FrameVersion};
use crate::networks::Networks;
use crate::request_outcome::{JobSnapshot, RequestOutcome};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_constants as constants;
use hookway_replication::{FollowAnswer, FollowRequest};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What one controller asks another. Answered from the other's own knowledge; never passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A job's state.
    Status(String),
    /// Cancel a job.
    Cancel(String),
    /// Accept a job: the user's body.
    Submit(Vec<u8>),
    /// Lease the asker's block to it.
    RenewShardLease(ShardLeaseRenewal),
    /// A job is over, and that is durable.
    JobFinished(JobSnapshot),
    /// A standby asks for what its copy of the leader's picture lacks. From version 2 on.
    Follow(FollowRequest),
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To a user's request.
    Outcome(RequestOutcome),
    /// To a renewal; `None`: this node does not lead.
    ShardLease(Option<ShardLease>),
    /// To a standby; `None`: this node does not lead, or publishes nothing.
    Followed(Option<FollowAnswer>),
}

/// Why an exchange with another controller failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No such controller.
    #[error("unknown controller")]
    Unknown,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// It did not answer a moment ago.
    #[error("it does not answer at the moment")]
    CircuitOpen,
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The message can't be read or written.
    #[error("message: {0}")]
    Frame(#[from] FrameError),
    /// The message is longer than any may be.
    #[error("the message is too long")]
    TooLong,
    /// The answer is not one to this question.
    #[error("not an answer to this")]
    Mismatch,
    /// The controller that was asked does not lead.
    #[error("it does not lead")]
    NotLeading,
}

async fn send<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<(), PeerError> {
    let body = frame::encode(message)?;
    let length = u32::try_from(body.len()).map_err(|_| PeerError::TooLong)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn receive<T: for<'de> Deserialize<'de>>(
    stream: &mut TcpStream,
) -> Result<(T, FrameVersion), PeerError> {
    let length = stream.read_u32().await? as usize;
    if length > constants::PEER_FRAME_LIMIT {
        return Err(PeerError::TooLong);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}

async fn request(
    stream: &mut TcpStream,
    ask: &PeerRequest,
) -> Result<(PeerResponse, FrameVersion), PeerError> {
    send(stream, ask).await?;
    receive(stream).await
}

/// Connections to the other controllers.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: HashMap<String, String>,
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    breakers: Mutex<HashMap<String, CircuitBreaker>>,
    /// The versions that the others' answers named last.
    versions: Mutex<HashMap<String, FrameVersion>>,
}

impl Peers {
    /// By name and address.
    pub fn new(addresses: HashMap<String, String>) -> Self {
        Self { addresses, ..Self::default() }
    }

    /// The names of the others.
    pub fn names(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    /// Whether there is another controller of this name.
    pub fn knows(&self, name: &str) -> bool {
        self.addresses.contains_key(name)
    }

    /// Asks about a user's request.
    pub async fn ask(
        &self,
        name: &str,
        ask: &PeerRequest,
        limit_ms: u64,
    ) -> Result<RequestOutcome, PeerError> {
        if !self.allows_request(name) {
            return Err(PeerError::CircuitOpen);
        }
        match self.exchange(name, ask, limit_ms).await? {
            PeerResponse::Outcome(verdict) => Ok(verdict),
            PeerResponse::ShardLease(_) | PeerResponse::Followed(_) => Err(PeerError::Mismatch),
        }
    }

    /// Tells another controller that a job is over. Nothing depends on whether it hears it.
    pub async fn announce_finished(&self, name: &str, told: JobSnapshot) {
        if let Err(e) =
            self.ask(name, &PeerRequest::JobFinished(told), constants::PEER_TIMEOUT_MS).await
        {
            tracing::debug!("telling {name} of a job's end: {e}");
        }
    }

    /// Asks the leader for this node's block.
    pub async fn renew_shard_lease(
        &self,
        name: &str,
        renewal: ShardLeaseRenewal,
    ) -> Result<ShardLease, PeerError> {
        let ask = PeerRequest::RenewShardLease(renewal);
        match self.exchange(name, &ask, constants::PEER_TIMEOUT_MS).await? {
            PeerResponse::ShardLease(Some(lease)) => Ok(lease),
            PeerResponse::ShardLease(None) => Err(PeerError::NotLeading),
            PeerResponse::Outcome(_) | PeerResponse::Followed(_) => Err(PeerError::Mismatch),
        }
    }

    /// Asks the leader for what this node's copy lacks.
    pub async fn follow(
        &self,
        name: &str,
        request: FollowRequest,
    ) -> Result<FollowAnswer, PeerError> {
        let ask = PeerRequest::Follow(request);
        match self.exchange(name, &ask, constants::PEER_TIMEOUT_MS).await? {
            PeerResponse::Followed(Some(answer)) => Ok(answer),
            PeerResponse::Followed(None) => Err(PeerError::NotLeading),
            PeerResponse::Outcome(_) | PeerResponse::ShardLease(_) => Err(PeerError::Mismatch),
        }
    }

    /// The version that another controller's last answer named; `None` before the first. Messages that came with
    /// a later one must not be sent to it.
    pub fn version(&self, name: &str) -> Option<FrameVersion> {
        self.versions.lock().ok()?.get(name).copied()
    }

    fn record_version(&self, name: &str, version: FrameVersion) {
        let Ok(mut versions) = self.versions.lock() else { return };
        if versions.insert(name.to_owned(), version) != Some(version) {
            tracing::info!("controller {name}: formats of version {}", version.0);
        }
    }

    /// Whether a user should wait for this controller's answer: it may stand still or be cut off. The renewals of
    /// this node's block tell as well that it is back.
    fn allows_request(&self, name: &str) -> bool {
        let Ok(mut silent) = self.breakers.lock() else { return true };
        silent.get_mut(name).is_none_or(CircuitBreaker::allows_request)
    }

    /// One exchange.
    async fn exchange(
        &self,
        name: &str,
        ask: &PeerRequest,
        limit_ms: u64,
    ) -> Result<PeerResponse, PeerError> {
        let answer = self.attempt(name, ask, limit_ms).await;
        if let Ok(mut silent) = self.breakers.lock() {
            silent.entry(name.to_owned()).or_default().record(answer.is_err());
        }
        answer
    }

    async fn attempt(
        &self,
        name: &str,
        ask: &PeerRequest,
        limit_ms: u64,
    ) -> Result<PeerResponse, PeerError> {
        let address = self.addresses.get(name).ok_or(PeerError::Unknown)?;
        let work = async {
            let kept = self.idle.lock().ok().and_then(|mut i| i.get_mut(name)?.pop());
            // A kept connection may have died since; every question may be asked twice.
            let old = match kept {
                Some(mut stream) => request(&mut stream, ask).await.ok().map(|a| (stream, a)),
                None => None,
            };
            let (stream, (answer, version)) = match old {
                Some(found) => found,
                None => {
                    let mut stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    let answer = request(&mut stream, ask).await?;
                    (stream, answer)
                }
            };
            self.record_version(name, version);
            if let Ok(mut idle) = self.idle.lock() {
                let kept = idle.entry(name.to_owned()).or_default();
                if kept.len() < constants::PEER_IDLE {
                    kept.push(stream);
                }
            }
            Ok(answer)
        };
        tokio::time::timeout(Duration::from_millis(limit_ms), work)
            .await
            .map_err(|_| PeerError::Timeout)?
    }
}

/// Serves the other controllers: whoever connects from these networks, or from anywhere if there are none.
pub async fn serve(listener: TcpListener, api: Arc<ApiService>, networks: Networks) {
    loop {
        match listener.accept().await {
            Ok((_, from)) if !networks.allow(from.ip()) => {
                tracing::info!(
                    "a connection from {from} refused: not of the controllers' networks"
                );
            }
            Ok((mut stream, _)) => {
                let api = api.clone();
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    while let Ok((ask, _)) = receive::<PeerRequest>(&mut stream).await {
                        let answer = api.answer_peer(ask).await;
                        if send(&mut stream, &answer).await.is_err() {
                            break;
                        }
                    }
                });
            }
            Err(e) => {
                tracing::error!("accepting another controller: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}
