//! Requests of other controllers, which this controller never passes on to a third one.

use super::{ApiService, Origin};
use crate::actor::ControllerRequest;
use crate::peers::{PeerHandler, PeerRequest, PeerResponse};
use crate::request_outcome::RequestOutcome;
use hookway_replication::{FollowRequest, FollowResponse};
use hookway_wire::JobId;

impl PeerHandler for ApiService {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        let outcome = match request {
            PeerRequest::Status(job) => match JobId::parse(&job) {
                Some(job) => self.status(&job, Origin::Peer).await,
                None => RequestOutcome::NotFound,
            },
            PeerRequest::Cancel(job) => match JobId::parse(&job) {
                Some(job) => self.cancel(&job, Origin::Peer).await,
                None => RequestOutcome::NotFound,
            },
            PeerRequest::Submit(body) => self.submit(&body, Origin::Peer).await,
            PeerRequest::JobFinished(status) => self.known_job_outcome(status),
            PeerRequest::RenewShardLease(renewal) => {
                let renew = |reply| ControllerRequest::RenewShardLease { renewal, reply };
                return PeerResponse::ShardLease(self.config.controller.request(renew).await);
            }
            PeerRequest::Follow(request) => {
                return PeerResponse::FollowResponse(self.follow_response(request).await);
            }
        };
        PeerResponse::Outcome(outcome)
    }
}

impl ApiService {
    /// Returns what a standby needs next of the leader's replication log or replication snapshot;
    /// `None` if the standby is not one of the configured controllers, or if this controller does
    /// not lead.
    async fn follow_response(&self, request: FollowRequest) -> Option<FollowResponse> {
        if !self.config.peers.contains(&request.follower) {
            tracing::error!(
                standby = request.follower,
                "replication request from an unknown controller"
            );
            return None;
        }
        let follow = |reply| ControllerRequest::Follow { request, reply };
        self.config.controller.request(follow).await
    }
}
