//! The periodic requests of a controller to the leader: it renews its shard lease, and fetches the
//! replication log entries that its copy of the cluster state lacks.

use crate::actor::{ControllerHandle, ControllerRequest, PreparedRenewal};
use crate::frame;
use crate::leadership::LeadershipView;
use crate::peers::Peers;
use hookway_constants as constants;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::sleep;

/// Exchanges messages with the leader periodically while another controller leads.
#[derive(Debug, Clone)]
pub struct LeaderSync {
    /// The name of this controller, which sends no request to itself.
    pub controller_name: String,
    /// Sends requests to the controller actor, which owns the shard lease and the copy.
    pub controller: ControllerHandle,
    /// The connections to the other controllers.
    pub peers: Arc<Peers>,
    /// The current leader, published by the election actor.
    pub leadership_view: watch::Receiver<LeadershipView>,
}

impl LeaderSync {
    /// Renews the shard lease of this controller while another controller leads and is reachable.
    /// Runs until the process ends.
    pub async fn renew_shard_lease(self) {
        loop {
            sleep(constants::SHARD_LEASE_RENEWAL_INTERVAL).await;
            let Some(leader) = self.other_leader() else { continue };
            let prepare = ControllerRequest::PrepareShardLeaseRenewal;
            let Some(PreparedRenewal { renewal, sent_at }) = self.controller.request(prepare).await
            else {
                continue;
            };
            match self.peers.renew_shard_lease(&leader, renewal).await {
                Ok(lease) => {
                    let answered = ControllerRequest::ShardLeaseRenewalAnswered { lease, sent_at };
                    self.controller.notify(answered).await;
                }
                Err(error) => tracing::debug!(leader, %error, "renewing the shard lease failed"),
            }
        }
    }

    /// Keeps this controller's copy of the cluster state current while another controller leads and
    /// is of a version that publishes its cluster state. Runs until the process ends.
    pub async fn follow_leader(self) {
        loop {
            sleep(constants::FOLLOW_INTERVAL).await;
            let prepare = ControllerRequest::PrepareFollow;
            let Some(request) = self.controller.request(prepare).await else { continue };
            // The version of the leader is known from its responses to shard lease renewals.
            let publishes = |leader: &String| {
                self.peers.version(leader) >= Some(frame::FIRST_REPLICATION_VERSION)
            };
            let Some(leader) = self.other_leader().filter(publishes) else { continue };
            match self.peers.follow(&leader, request).await {
                Ok(response) => {
                    self.controller
                        .notify(ControllerRequest::FollowResponseReceived(response))
                        .await
                }
                Err(error) => tracing::debug!(leader, %error, "following the leader failed"),
            }
        }
    }

    /// Returns the name of the last known leader, if it is another controller.
    fn other_leader(&self) -> Option<String> {
        self.leadership_view
            .borrow()
            .leader
            .clone()
            .filter(|leader| *leader != self.controller_name)
    }
}
