//! The client side of the protocol: requests to the other controllers.

use super::PeerError;
use super::messages::{PeerRequest, PeerResponse};
use super::peer::Peer;
use crate::frame::FrameVersion;
use crate::peer_job_status::PeerJobStatus;
use crate::request_outcome::RequestOutcome;
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_constants as constants;
use hookway_replication::{FollowRequest, FollowResponse};
use std::collections::HashMap;
use std::time::Duration;

/// The clients of all other controllers, by the controllers' names.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<String, Peer>,
}

impl Peers {
    /// Creates the clients. `addresses` has the address of each other controller by its name.
    pub fn new(addresses: HashMap<String, String>) -> Self {
        let client = |(name, address): (String, String)| (name.clone(), Peer::new(name, address));
        Self { peers: addresses.into_iter().map(client).collect() }
    }

    /// Returns the names of the other controllers, in no particular order.
    pub fn names(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Whether another controller has this name.
    pub fn contains(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Sends a user's request or the announcement of a finished job to the controller `name`. Fails
    /// at once while the circuit breaker is open: the controller may be paused or partitioned, and
    /// users must not wait for the time limit each time.
    pub async fn send_through_breaker(
        &self,
        name: &str,
        request: &PeerRequest,
        time_limit: Duration,
    ) -> Result<RequestOutcome, PeerError> {
        let peer = self.peer(name)?;
        if !peer.allows_request() {
            return Err(PeerError::CircuitOpen { address: peer.address() });
        }
        match peer.exchange(request, time_limit).await? {
            PeerResponse::Outcome(outcome) => Ok(outcome),
            PeerResponse::ShardLease(_) | PeerResponse::FollowResponse(_) => {
                Err(PeerError::UnexpectedResponse { address: peer.address() })
            }
        }
    }

    /// Announces a finished job to the controller `name`. Nothing depends on the arrival of the
    /// message.
    pub async fn announce_finished_job(&self, name: &str, job: PeerJobStatus) {
        let id = job.id.clone();
        let request = PeerRequest::JobFinished(job);
        if let Err(error) = self.send_through_breaker(name, &request, constants::PEER_TIMEOUT).await
        {
            tracing::debug!(job = %id, peer = name, %error, "announcing a finished job failed");
        }
    }

    /// Renews the shard lease of this controller at the leader `name`. The request is sent even
    /// while the circuit breaker is open, so that a controller that responds again is noticed.
    pub async fn renew_shard_lease(
        &self,
        name: &str,
        renewal: ShardLeaseRenewal,
    ) -> Result<ShardLease, PeerError> {
        let peer = self.peer(name)?;
        let request = PeerRequest::RenewShardLease(renewal);
        match peer.exchange(&request, constants::PEER_TIMEOUT).await? {
            PeerResponse::ShardLease(Some(lease)) => Ok(lease),
            PeerResponse::ShardLease(None) => {
                Err(PeerError::NotLeading { address: peer.address() })
            }
            PeerResponse::Outcome(_) | PeerResponse::FollowResponse(_) => {
                Err(PeerError::UnexpectedResponse { address: peer.address() })
            }
        }
    }

    /// Requests from the leader `name` what this controller's copy of the cluster state needs next:
    /// entries of the replication log, or a chunk of a replication snapshot. The request is sent
    /// even while the circuit breaker is open.
    pub async fn follow(
        &self,
        name: &str,
        request: FollowRequest,
    ) -> Result<FollowResponse, PeerError> {
        let peer = self.peer(name)?;
        let request = PeerRequest::Follow(request);
        match peer.exchange(&request, constants::PEER_TIMEOUT).await? {
            PeerResponse::FollowResponse(Some(response)) => Ok(response),
            PeerResponse::FollowResponse(None) => {
                Err(PeerError::NotLeading { address: peer.address() })
            }
            PeerResponse::Outcome(_) | PeerResponse::ShardLease(_) => {
                Err(PeerError::UnexpectedResponse { address: peer.address() })
            }
        }
    }

    /// Returns the frame version in the last response of another controller; `None` before its
    /// first response. Messages that a later version introduced must not be sent to that
    /// controller.
    pub fn version(&self, name: &str) -> Option<FrameVersion> {
        self.peers.get(name)?.version()
    }

    fn peer(&self, name: &str) -> Result<&Peer, PeerError> {
        self.peers.get(name).ok_or_else(|| PeerError::UnknownController { name: name.to_owned() })
    }
}
