//! What the node's actor is asked, and what its helpers bring back.

use crate::cluster_state::{CancelOutcome, CommitResult, JobLookup, LoadedState, PendingCommit};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_clients::Delivery;
use hookway_replication::{FollowAnswer, FollowRequest};
use hookway_wire::{
    Heartbeat, HeartbeatResponse, JobId, ListedMachine, ReplicationStatus, ScaleOutRequest,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What is asked of the node. `None` in a reply: this node does not lead.
#[derive(Debug)]
pub enum ControllerRequest {
    /// A worker reports.
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// A job's state.
    Status(JobId, oneshot::Sender<Option<JobLookup>>),
    /// Cancel a job; answered once the decision is durable.
    Cancel(JobId, oneshot::Sender<Option<CancelOutcome>>),
    /// A job's record was found in the state service, in this term. A record that was read in an
    /// earlier term may be of a job that ended since.
    AdoptJob(Option<u64>, String, serde_json::Value, oneshot::Sender<Option<()>>),
    /// Another controller asks for its block.
    RenewShardLease(ShardLeaseRenewal, oneshot::Sender<Option<ShardLease>>),
    /// What this node has to say when it asks the leader for its block, and the time, ms. `None`: it leads.
    ShardLeaseRenewal(oneshot::Sender<Option<(ShardLeaseRenewal, u64)>>),
    /// The leader's answer to what was sent at that time, ms.
    ShardLeased(ShardLease, u64),
    /// A standby asks for what its copy lacks.
    Follow(FollowRequest, oneshot::Sender<Option<FollowAnswer>>),
    /// What this node asks the leader for its own copy. `None`: it leads, or keeps none.
    PrepareFollow(oneshot::Sender<Option<FollowRequest>>),
    /// The leader's answer to that.
    Followed(FollowAnswer),
    /// How replication stands, for operators.
    ReplicationStatus(oneshot::Sender<Option<ReplicationStatus>>),
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// Commands. They may go out before this moment only: a process can stand still between the decision
    /// and the answer, and another controller may be entitled by then.
    Respond(HeartbeatResponse, Instant),
    /// This node does not lead; that one does, if known.
    Redirect(Option<String>),
    /// Not entitled, or the report is old.
    Unavailable,
}

/// What the node's helpers bring back.
pub(super) enum ControllerEvent {
    LoadedState(LoadedState, u64),
    JobAdded(String, serde_json::Value),
    Committed(PendingCommit, CommitResult),
    ScaledOut(ScaleOutRequest, Option<Vec<String>>),
    ScaledIn(Vec<String>, bool),
    MachinesListed(Vec<ListedMachine>, u64),
    DirectStartSent(String, u64, Delivery),
    StateProbed(String, Option<Heartbeat>),
    /// The state service does not answer, or refuses: what waits for a write waits for long.
    StoreUnavailable,
    WatchTruncated,
}
