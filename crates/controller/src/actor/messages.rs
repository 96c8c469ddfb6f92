//! Requests to the controller actor, and the events that its background tasks report.

use crate::cluster_state::{CancelOutcome, CommitResult, JobLookup, LoadedState, PendingCommit};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_clients::Delivery;
use hookway_replication::{FollowRequest, FollowResponse};
use hookway_time::MonotonicTime;
use hookway_wire::{
    Heartbeat, HeartbeatResponse, JobId, ListedMachine, ReplicationStatus, ScaleOutRequest,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The sender of a reply; `None`: this controller does not lead, or has no answer.
pub type Reply<T> = oneshot::Sender<Option<T>>;

/// A request to the controller actor.
#[derive(Debug)]
pub enum ControllerRequest {
    /// A worker's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Receives the response.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// Look up the state of a job.
    Status {
        /// The job.
        job: JobId,
        /// Receives what the leader knows.
        reply: Reply<JobLookup>,
    },
    /// Cancel a job. A decision that has to be written is replied to once it is durable.
    Cancel {
        /// The job.
        job: JobId,
        /// Receives the outcome.
        reply: Reply<CancelOutcome>,
    },
    /// Add a job whose record was found in the state service.
    AdoptJob {
        /// The term of this controller before the record was read. A record that was read in an
        /// earlier term is ignored: its job may have finished since.
        read_in_term: Option<u64>,
        /// The key of the record.
        key: String,
        /// The record.
        value: serde_json::Value,
        /// Confirms that the request was handled.
        reply: Reply<()>,
    },
    /// Another controller renews its shard lease.
    RenewShardLease {
        /// The renewal.
        renewal: ShardLeaseRenewal,
        /// Receives the lease.
        reply: Reply<ShardLease>,
    },
    /// Prepare a renewal of the shard lease of this controller. `None` in the reply: it leads.
    PrepareShardLeaseRenewal(Reply<PreparedRenewal>),
    /// The leader's response to a renewal of this controller.
    ShardLeaseGranted {
        /// The lease.
        lease: ShardLease,
        /// When the renewal was sent, see [`PreparedRenewal`].
        sent_at: MonotonicTime,
    },
    /// A standby requests the replication entries that its copy lacks.
    Follow {
        /// The request.
        request: FollowRequest,
        /// Receives the entries.
        reply: Reply<FollowResponse>,
    },
    /// Prepare the next replication request of this controller. `None` in the reply: it leads, or
    /// keeps no copy.
    PrepareFollow(Reply<FollowRequest>),
    /// The leader's response to a replication request of this controller.
    Followed(FollowResponse),
    /// The state of replication.
    ReplicationStatus(Reply<ReplicationStatus>),
}

/// A renewal of a shard lease that is ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedRenewal {
    /// The renewal.
    pub renewal: ShardLeaseRenewal,
    /// The time on the monotonic clock of this controller.
    pub sent_at: MonotonicTime,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// Respond to the worker.
    Respond {
        /// The response.
        response: HeartbeatResponse,
        /// The response must be sent before this time. The process can be paused between the
        /// decision and the response, and another controller may lead by then.
        valid_until: Instant,
    },
    /// Redirect the worker to the leader, if its name is known.
    Redirect(Option<String>),
    /// No response: this controller lacks the authority, or the heartbeat is outdated.
    Unavailable,
}

/// What a background task of a term reports to the controller actor.
pub(super) enum ControllerEvent {
    /// All records of the state service have been read, at this revision.
    StateLoaded { state: LoadedState, revision: u64 },
    /// The state service does not respond, or rejects the requests of this controller: pending
    /// writes will wait for long.
    StoreUnavailable,
    /// The watch for jobs fell behind; all jobs are read again.
    WatchTruncated,
    /// An event for the cluster state.
    Cluster(ClusterEvent),
}

/// An event for the cluster state.
pub(super) enum ClusterEvent {
    /// A job was accepted.
    JobAdded {
        key: String,
        value: serde_json::Value,
    },
    /// A transaction has been applied or has failed.
    CommitFinished {
        commit: PendingCommit,
        result: CommitResult,
    },
    /// `machines`: `None` if the cloud had no capacity or rejected the request.
    ScaleOutFinished {
        request: ScaleOutRequest,
        machines: Option<Vec<String>>,
    },
    /// `deleted`: whether the cloud confirmed the deletion.
    ScaleInFinished {
        machines: Vec<String>,
        deleted: bool,
    },
    MachinesListed {
        machines: Vec<ListedMachine>,
        requested_at: MonotonicTime,
    },
    /// Commands were sent to a machine outside of its heartbeats.
    DirectStartSent {
        machine: String,
        fencing_token: u64,
        delivery: Delivery,
    },
    /// `heartbeat`: `None` if the worker did not answer.
    StateProbed {
        machine: String,
        heartbeat: Option<Heartbeat>,
    },
}

impl From<ClusterEvent> for ControllerEvent {
    fn from(event: ClusterEvent) -> Self {
        Self::Cluster(event)
    }
}
