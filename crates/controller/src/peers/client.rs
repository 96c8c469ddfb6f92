//! The client side: connections to the other controllers.

use super::PeerError;
use super::connection::{receive, send};
use super::messages::{PeerRequest, PeerResponse};
use crate::circuit_breaker::CircuitBreaker;
use crate::frame::FrameVersion;
use crate::job_snapshot::JobSnapshot;
use crate::request_outcome::RequestOutcome;
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_constants as constants;
use hookway_replication::{FollowRequest, FollowResponse};
use hookway_time::whole_millis;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// The other controllers, by name.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: HashMap<String, String>,
    idle_connections: Mutex<HashMap<String, Vec<TcpStream>>>,
    breakers: Mutex<HashMap<String, CircuitBreaker>>,
    /// The versions in the last responses.
    versions: Mutex<HashMap<String, FrameVersion>>,
}

impl Peers {
    /// Creates the clients of controllers with these names and addresses.
    pub fn new(addresses: HashMap<String, String>) -> Self {
        Self { addresses, ..Self::default() }
    }

    /// The names of the other controllers.
    pub fn names(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    /// Whether another controller has this name.
    pub fn knows(&self, name: &str) -> bool {
        self.addresses.contains_key(name)
    }

    /// Sends a user's request. Fails at once if the controller did not respond a moment ago: it may
    /// be paused or partitioned, and a user must not wait for the time limit each time.
    pub async fn ask(
        &self,
        name: &str,
        request: &PeerRequest,
        limit_ms: u64,
    ) -> Result<RequestOutcome, PeerError> {
        if !self.allows_request(name) {
            return Err(PeerError::CircuitOpen);
        }
        match self.exchange(name, request, limit_ms).await? {
            PeerResponse::Outcome(outcome) => Ok(outcome),
            PeerResponse::ShardLease(_) | PeerResponse::Followed(_) => Err(PeerError::Mismatch),
        }
    }

    /// Announces a finished job. Nothing depends on its arrival.
    pub async fn announce_finished(&self, name: &str, job: JobSnapshot) {
        let id = job.id.clone();
        let request = PeerRequest::JobFinished(job);
        if let Err(error) = self.ask(name, &request, whole_millis(constants::PEER_TIMEOUT)).await {
            tracing::debug!(job = %id, peer = name, %error, "announcing a finished job failed");
        }
    }

    /// Renews the shard lease of this controller at the leader.
    pub async fn renew_shard_lease(
        &self,
        name: &str,
        renewal: ShardLeaseRenewal,
    ) -> Result<ShardLease, PeerError> {
        let request = PeerRequest::RenewShardLease(renewal);
        match self.exchange(name, &request, whole_millis(constants::PEER_TIMEOUT)).await? {
            PeerResponse::ShardLease(Some(lease)) => Ok(lease),
            PeerResponse::ShardLease(None) => Err(PeerError::NotLeading),
            PeerResponse::Outcome(_) | PeerResponse::Followed(_) => Err(PeerError::Mismatch),
        }
    }

    /// Requests the replication entries that the copy of this controller lacks from the leader.
    pub async fn follow(
        &self,
        name: &str,
        request: FollowRequest,
    ) -> Result<FollowResponse, PeerError> {
        let request = PeerRequest::Follow(request);
        match self.exchange(name, &request, whole_millis(constants::PEER_TIMEOUT)).await? {
            PeerResponse::Followed(Some(response)) => Ok(response),
            PeerResponse::Followed(None) => Err(PeerError::NotLeading),
            PeerResponse::Outcome(_) | PeerResponse::ShardLease(_) => Err(PeerError::Mismatch),
        }
    }

    /// The version in the last response of another controller; `None` before the first. Messages of
    /// later versions must not be sent to it.
    pub fn version(&self, name: &str) -> Option<FrameVersion> {
        self.versions.lock().ok()?.get(name).copied()
    }

    fn record_version(&self, name: &str, version: FrameVersion) {
        let Ok(mut versions) = self.versions.lock() else { return };
        if versions.insert(name.to_owned(), version) != Some(version) {
            tracing::info!(peer = name, version = version.0, "frame version of a controller");
        }
    }

    /// Whether the circuit breaker lets a user's request through. All exchanges update it: a
    /// controller that is back is noticed by the renewals of the shard lease.
    fn allows_request(&self, name: &str) -> bool {
        let Ok(mut breakers) = self.breakers.lock() else { return true };
        breakers.get_mut(name).is_none_or(CircuitBreaker::allows_request)
    }

    /// Sends a request and receives the response.
    async fn exchange(
        &self,
        name: &str,
        request: &PeerRequest,
        limit_ms: u64,
    ) -> Result<PeerResponse, PeerError> {
        let limit = Duration::from_millis(limit_ms);
        let response = match self.addresses.get(name) {
            Some(address) => tokio::time::timeout(limit, self.send_to(name, address, request))
                .await
                .unwrap_or(Err(PeerError::Timeout)),
            None => Err(PeerError::Unknown),
        };
        if let Ok(mut breakers) = self.breakers.lock() {
            breakers.entry(name.to_owned()).or_default().record(response.is_err());
        }
        response
    }

    async fn send_to(
        &self,
        name: &str,
        address: &str,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        // An idle connection may have failed meanwhile. Every request may be sent twice.
        if let Some(mut stream) = self.take_idle(name)
            && let Ok(response) = self.send_over(name, &mut stream, request).await
        {
            self.keep_idle(name, stream);
            return Ok(response);
        }
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let response = self.send_over(name, &mut stream, request).await?;
        self.keep_idle(name, stream);
        Ok(response)
    }

    async fn send_over(
        &self,
        name: &str,
        stream: &mut TcpStream,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        send(stream, request).await?;
        let (response, version) = receive(stream).await?;
        self.record_version(name, version);
        Ok(response)
    }

    fn take_idle(&self, name: &str) -> Option<TcpStream> {
        self.idle_connections.lock().ok()?.get_mut(name)?.pop()
    }

    fn keep_idle(&self, name: &str, stream: TcpStream) {
        let Ok(mut connections) = self.idle_connections.lock() else { return };
        let idle = connections.entry(name.to_owned()).or_default();
        if idle.len() < constants::PEER_IDLE {
            idle.push(stream);
        }
    }
}
