//! The messages between controllers. Their encoding names variants by position, so variants are
//! never reordered or removed, and new ones come last.

use crate::peer_job_status::PeerJobStatus;
use crate::request_outcome::RequestOutcome;
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_replication::{FollowRequest, FollowResponse};
use serde::{Deserialize, Serialize};

/// A request to another controller, which answers it without passing it on to a third one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Return the state of the job with this id.
    Status(String),
    /// Cancel the job with this id.
    Cancel(String),
    /// Accept a job. The value is the body of the user's submission.
    Submit(Vec<u8>),
    /// Renew the shard lease of the requesting controller.
    RenewShardLease(ShardLeaseRenewal),
    /// Take note that a job is finished and its final state is durable.
    JobFinished(PeerJobStatus),
    /// Return the replication log entries or the chunk of a replication snapshot that a standby's
    /// copy needs next. Controllers answer it from frame version 2 on.
    Follow(FollowRequest),
}

/// The response to a [`PeerRequest`]. Its variant depends on the kind of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The response to a user's request, or to the announcement of a finished job.
    Outcome(RequestOutcome),
    /// The response to a renewal; `None` if the controller has no authority to decide as the
    /// leader, or does not know the requesting controller. A lease of length 0 if none is granted.
    ShardLease(Option<ShardLease>),
    /// The response to a standby; `None` if the controller does not lead, or does not know the
    /// standby.
    FollowResponse(Option<FollowResponse>),
}
