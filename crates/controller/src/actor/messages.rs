//! The requests to the controller actor, and the events that its background tasks report to it.

use crate::cluster_state::{CancelOutcome, CommitResult, JobLookup, LoadedRecords, PendingCommit};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_clients::Delivery;
use hookway_replication::{FollowRequest, FollowResponse};
use hookway_time::MonotonicTime;
use hookway_wire::{
    Heartbeat, HeartbeatResponse, JobId, ListedMachine, ReplicationStatus, ScaleOutRequest,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Sends the reply to a request. The reply is `None` if this controller does not lead or has no
/// answer.
pub type Reply<T> = oneshot::Sender<Option<T>>;

/// A request to the controller actor.
#[derive(Debug)]
pub enum ControllerRequest {
    /// Process a worker's heartbeat, as the leader or as the lessee of the worker's shard.
    Heartbeat {
        /// The heartbeat as it was received.
        heartbeat: Heartbeat,
        /// Receives the response for the worker, or why there is none.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// Look up the status of a job in the leader's cluster state.
    Status {
        /// The id of the job.
        job: JobId,
        /// Receives what the leader knows about the job.
        reply: Reply<JobLookup>,
    },
    /// Cancel a job. If the cancellation has to be written to the store, the reply follows once it
    /// is durable.
    Cancel {
        /// The id of the job.
        job: JobId,
        /// Receives the outcome; [`CancelOutcome::Pending`] if the store is unavailable.
        reply: Reply<CancelOutcome>,
    },
    /// Add a job whose record was found in the store to the leader's cluster state.
    AddJob {
        /// The term that this controller led before the record was read. A record that was read in
        /// an earlier term is ignored, because its job may have finished since.
        read_in_term: Option<u64>,
        /// The key of the job record, which has the id of the job.
        key: String,
        /// The job record as JSON.
        value: serde_json::Value,
        /// Confirms that the request was processed, also if the record was ignored.
        reply: Reply<()>,
    },
    /// Renew the shard lease of another controller.
    RenewShardLease {
        /// The renewal that the other controller sent.
        renewal: ShardLeaseRenewal,
        /// Receives the lease, whose length is 0 if none is granted.
        reply: Reply<ShardLease>,
    },
    /// Prepare a renewal of the shard lease of this controller. The reply is `None` if it leads.
    PrepareShardLeaseRenewal(Reply<PreparedRenewal>),
    /// Apply the leader's response to a renewal of this controller.
    ShardLeaseRenewalAnswered {
        /// The lease, whose length is 0 if none was granted.
        lease: ShardLease,
        /// When the renewal was sent: [`PreparedRenewal::sent_at`].
        sent_at: MonotonicTime,
    },
    /// Answer a standby that requests the replication log entries that its copy lacks.
    Follow {
        /// The request, which says how far the copy has got.
        request: FollowRequest,
        /// Receives the entries, or a part of a replication snapshot.
        reply: Reply<FollowResponse>,
    },
    /// Prepare the next replication request of this controller. The reply is `None` if it leads or
    /// keeps no copy.
    PrepareFollow(Reply<FollowRequest>),
    /// Apply the leader's response to a replication request of this controller.
    FollowResponseReceived(FollowResponse),
    /// Report the state of replication and the durations of failovers.
    ReplicationStatus(Reply<ReplicationStatus>),
}

/// A renewal of a shard lease that is ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedRenewal {
    /// The renewal to send to the leader.
    pub renewal: ShardLeaseRenewal,
    /// When the renewal was prepared, on the monotonic clock of this controller. The lease counts
    /// from this time.
    pub sent_at: MonotonicTime,
}

/// The reply of the controller actor to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// Respond to the worker, which extends its lease.
    Respond {
        /// The response, with the fencing token and the commands.
        response: HeartbeatResponse,
        /// The response must be sent before this time. The process can be paused between the
        /// decision and the sending of the response, and another controller may lead by then.
        valid_until: Instant,
    },
    /// Redirect the worker to the leader of this name. `None` if no leader is known, if it has not
    /// been reachable recently, or if it is this controller.
    Redirect(Option<String>),
    /// Do not respond: this controller lacks the authority, or the heartbeat is outdated.
    Unavailable,
}

/// An event that a background task of a term reports to the controller actor.
pub(super) enum ControllerEvent {
    /// All records in the store that a new leader needs have been read. Jobs accepted after
    /// `revision` may be missing.
    RecordsRead { records: LoadedRecords, revision: u64 },
    /// The store does not respond, or rejects the requests of this controller. Pending writes may
    /// have to wait for a long time.
    StoreUnavailable,
    /// The store no longer has the events that the watch for jobs would continue from, so all jobs
    /// are read again.
    JobWatchFellBehind,
    /// An event that changes the cluster state.
    Cluster(ClusterEvent),
}

/// An event that changes the cluster state. It is dropped if the records have not been read yet.
pub(super) enum ClusterEvent {
    /// The record of an accepted job was found. The cluster state may know the job already.
    JobAdded { key: String, value: serde_json::Value },
    /// A transaction was applied, was not applied, or has an unclear outcome after which its keys
    /// were read again.
    CommitFinished { commit: PendingCommit, result: CommitResult },
    /// The outcome of a scale-out is known. `machines` is `None` if the cloud had no capacity or
    /// rejected the request.
    ScaleOutFinished { request: ScaleOutRequest, machines: Option<Vec<String>> },
    /// A scale-in has ended. `deleted` says whether the cloud confirmed the deletion.
    ScaleInFinished { machines: Vec<String>, deleted: bool },
    /// The cloud has listed its machines in response to a request sent at `requested_at`.
    MachinesListed { machines: Vec<ListedMachine>, requested_at: MonotonicTime },
    /// A direct dispatch of starts to a machine has ended; `delivery` is its outcome.
    DirectStartSent { machine: String, fencing_token: u64, delivery: Delivery },
    /// A state probe of a machine has ended. `heartbeat` is `None` if the worker did not answer.
    StateProbed { machine: String, heartbeat: Option<Heartbeat> },
}

impl From<ClusterEvent> for ControllerEvent {
    fn from(event: ClusterEvent) -> Self {
        Self::Cluster(event)
    }
}
