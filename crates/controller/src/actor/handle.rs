//! The handle through which the rest of the controller sends requests to the controller actor.

use super::messages::{ControllerRequest, HeartbeatReply, Reply};
use hookway_wire::Heartbeat;
use tokio::sync::{mpsc, oneshot};

/// Sends requests to the controller actor. Clones send to the same actor.
#[derive(Debug, Clone)]
pub struct ControllerHandle {
    requests: mpsc::Sender<ControllerRequest>,
}

impl ControllerHandle {
    /// Creates a handle that sends to the channel `requests`, and waits while the channel is full.
    pub fn new(requests: mpsc::Sender<ControllerRequest>) -> Self {
        Self { requests }
    }

    /// Sends a request and waits for its reply. Returns `None` if this controller does not lead, if
    /// it has no answer, or if the actor has ended.
    pub async fn request<T>(
        &self,
        make_request: impl FnOnce(Reply<T>) -> ControllerRequest,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.requests.send(make_request(reply)).await.ok()?;
        response.await.ok().flatten()
    }

    /// Sends a request that has no reply. The request is lost if the actor has ended.
    pub async fn notify(&self, request: ControllerRequest) {
        let _ = self.requests.send(request).await;
    }

    /// Sends a worker's heartbeat and waits for the reply, which is [`HeartbeatReply::Unavailable`]
    /// if the actor has ended.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        let (reply, response) = oneshot::channel();
        let request = ControllerRequest::Heartbeat { heartbeat, reply };
        if self.requests.send(request).await.is_err() {
            return HeartbeatReply::Unavailable;
        }
        response.await.unwrap_or(HeartbeatReply::Unavailable)
    }
}
