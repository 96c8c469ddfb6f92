//! The messages between controllers. The positions of their variants in frames are fixed.

use crate::job_snapshot::JobSnapshot;
use crate::request_outcome::RequestOutcome;
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_replication::{FollowRequest, FollowResponse};
use serde::{Deserialize, Serialize};

/// A request to another controller. It answers from its own knowledge and never passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The state of a job, by its id.
    Status(String),
    /// Cancel a job, by its id.
    Cancel(String),
    /// Accept a job: the body of the user's submission.
    Submit(Vec<u8>),
    /// Renew the shard lease of the requesting controller.
    RenewShardLease(ShardLeaseRenewal),
    /// A job is durably finished.
    JobFinished(JobSnapshot),
    /// Send the replication entries that the copy of a standby lacks. From version 2 on.
    Follow(FollowRequest),
}

/// The response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To a user's request, or to the announcement of a finished job.
    Outcome(RequestOutcome),
    /// To a renewal; `None`: the controller does not lead.
    ShardLease(Option<ShardLease>),
    /// To a standby; `None`: the controller does not lead, or the standby is unknown.
    Followed(Option<FollowResponse>),
}
