//! How the rest of the controller sends requests to the controller actor.

use super::messages::{ControllerRequest, HeartbeatReply, Reply};
use hookway_wire::Heartbeat;
use tokio::sync::{mpsc, oneshot};

/// The sending side of the requests of a controller actor.
#[derive(Debug, Clone)]
pub struct ControllerHandle {
    requests: mpsc::Sender<ControllerRequest>,
}

impl ControllerHandle {
    /// A handle that sends to this channel, and waits while it is full.
    pub fn new(requests: mpsc::Sender<ControllerRequest>) -> Self {
        Self { requests }
    }

    /// Sends a request and waits for its reply. `None`: this controller does not lead, has no
    /// answer, or the actor has ended.
    pub async fn request<T>(
        &self,
        make_request: impl FnOnce(Reply<T>) -> ControllerRequest,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.requests.send(make_request(reply)).await.ok()?;
        response.await.ok().flatten()
    }

    /// Sends a request that has no reply.
    pub async fn notify(&self, request: ControllerRequest) {
        let _ = self.requests.send(request).await;
    }

    /// Sends a heartbeat and waits for the reply.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        let (reply, response) = oneshot::channel();
        let request = ControllerRequest::Heartbeat { heartbeat, reply };
        if self.requests.send(request).await.is_err() {
            return HeartbeatReply::Unavailable;
        }
        response.await.unwrap_or(HeartbeatReply::Unavailable)
    }
}
