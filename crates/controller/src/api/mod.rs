//! The requests of the HTTP API and of the other controllers, independent of their transport.
//!
//! Every controller accepts every request. A request that only the leader can decide is passed on
//! to it. A request that fails because this controller can't use the store is passed on to the
//! other controllers.

mod admission;
mod cancellation;
mod job_reader;
mod peer_requests;
mod start_records;
mod status;
mod submission;

use crate::actor::{ControllerHandle, ControllerRequest, HeartbeatReply, MachineTypes};
use crate::final_state_cache::FinalStateCache;
use crate::leadership::LeadershipView;
use crate::peer_job_status::PeerJobStatus;
use crate::peers::{PeerRequest, Peers};
use crate::request_outcome::RequestOutcome;
use crate::settings::PlatformSettings;
use crate::status_relay::StatusRelay;
use crate::unanswered_jobs::UnansweredJobs;
use hookway_clients::{StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{Heartbeat, ReplicationStatus};
use job_reader::JobReader;
pub use start_records::StartRecords;
use start_records::StartRecordsReader;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// JSON pointer to the name of the team in a job's record.
const TEAM_POINTER: &str = "/spec/Owner";

/// The store clients that the API uses, each with a request rate of its own.
#[derive(Debug, Clone)]
pub struct StoreClients {
    /// The client for submissions and cancellations.
    pub submissions: StoreClient,
    /// The client for status requests, separate so that they don't delay submissions.
    pub queries: StoreClient,
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A user.
    User,
    /// Another controller. This controller answers its requests itself and never passes them on to
    /// a third one, so they can't circulate.
    Peer,
}

/// What the API needs, and shares with the rest of the controller.
#[derive(Debug)]
pub struct ApiServiceConfig {
    /// The settings that all controllers share.
    pub platform: PlatformSettings,
    /// The clients of the store.
    pub stores: StoreClients,
    /// The clients of the other controllers.
    pub peers: Arc<Peers>,
    /// The handle to this controller's actor, which decides if this controller leads.
    pub controller: ControllerHandle,
    /// The current leader, as published by the election actor.
    pub leadership_view: watch::Receiver<LeadershipView>,
    /// The machine types of the cloud; `None` until they have been read.
    pub machine_types: watch::Receiver<MachineTypes>,
    /// The final states of jobs. The cache is shared with the controller actor, which adds the jobs
    /// whose final records it makes durable as the leader.
    pub final_states: Arc<FinalStateCache>,
    /// Asks the leader for job statuses through the store while it can't be reached directly.
    pub status_relay: StatusRelay,
}

/// The answer of the leader to a request that was passed on to it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LeaderAnswer {
    /// The outcome of the request.
    Outcome(RequestOutcome),
    /// The leader can't decide the request now.
    Undecided,
    /// No leader is known, or it did not respond.
    Unreachable,
}

/// Answers the requests of users and of other controllers, and passes on workers' heartbeats.
#[derive(Debug)]
pub struct ApiService {
    config: ApiServiceConfig,
    job_reader: JobReader,
    start_records: StartRecordsReader,
    unanswered_jobs: Mutex<UnansweredJobs>,
    created_at: Instant,
}

impl ApiService {
    /// Creates the service.
    pub fn new(config: ApiServiceConfig) -> Self {
        Self {
            config,
            job_reader: JobReader::default(),
            start_records: StartRecordsReader::default(),
            unanswered_jobs: Mutex::default(),
            created_at: Instant::now(),
        }
    }

    /// Returns the cache of the final states that this controller knows.
    pub fn final_states(&self) -> &FinalStateCache {
        &self.config.final_states
    }

    /// Returns the maximum number of sockets of this controller's machine.
    pub(crate) fn max_sockets(&self) -> usize {
        self.config.platform.machine_limits.max_sockets
    }

    /// Passes a worker's heartbeat on to the controller actor and returns its reply.
    pub(crate) async fn answer_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        self.config.controller.heartbeat(heartbeat).await
    }

    /// Returns the state of replication, for operators; `None` if the controller actor does not
    /// reply.
    pub async fn replication_status(&self) -> Option<ReplicationStatus> {
        self.config.controller.request(ControllerRequest::ReplicationStatus).await
    }

    /// Returns the proven state of a job as the outcome of a request. Caches it if it is final.
    fn known_job_outcome(&self, status: PeerJobStatus) -> RequestOutcome {
        if let Ok(mut jobs) = self.unanswered_jobs.lock() {
            jobs.mark_answered(&status.id);
        }
        self.config.final_states.insert_if_final(&status);
        RequestOutcome::Known(status)
    }

    /// Returns the name of the leader that this controller saw last.
    fn leader(&self) -> Option<String> {
        self.config.leadership_view.borrow().leader.clone()
    }

    /// Returns the term of this controller, if it leads. Must be called before a record is read
    /// from the store, so that the record can't be older than the term in which the leader adds its
    /// job.
    fn own_term(&self) -> Option<u64> {
        self.config.leadership_view.borrow().own_term.as_ref().map(|own| own.term())
    }

    /// Adds a job to the cluster state of this controller, if it still leads in `read_in_term`, the
    /// term in which the record was read.
    async fn add_job_from_record(
        &self,
        read_in_term: Option<u64>,
        key: String,
        value: serde_json::Value,
    ) {
        let add_job = |reply| ControllerRequest::AddJob { read_in_term, key, value, reply };
        self.config.controller.request(add_job).await;
    }

    /// Passes a request on to the leader.
    async fn ask_leader(&self, request: &PeerRequest, time_limit: Duration) -> LeaderAnswer {
        let Some(leader) = self.leader() else { return LeaderAnswer::Unreachable };
        match self.config.peers.send_through_breaker(&leader, request, time_limit).await {
            Ok(RequestOutcome::Unavailable(_)) => LeaderAnswer::Undecided,
            Ok(RequestOutcome::Known(status)) => {
                LeaderAnswer::Outcome(self.known_job_outcome(status))
            }
            Ok(outcome) => LeaderAnswer::Outcome(outcome),
            Err(error) => {
                tracing::debug!(leader, %error, "request to the leader failed");
                LeaderAnswer::Unreachable
            }
        }
    }

    /// Passes a request of a user that failed at the store on to the other controllers: the store
    /// may reject the requests of this controller alone, or be unreachable from here alone.
    async fn ask_other_controllers(
        &self,
        request: PeerRequest,
        store_error: &StoreError,
        origin: Origin,
    ) -> RequestOutcome {
        // All controllers share the rate limits, and another one would send the same requests to
        // the store.
        let others_may_decide = !matches!(store_error, StoreError::RateLimited);
        if origin == Origin::User && others_may_decide {
            for peer in self.config.peers.names() {
                if let Some(outcome) = self.ask_peer(&peer, &request).await {
                    return outcome;
                }
            }
        }
        RequestOutcome::Unavailable(store_error.to_string())
    }

    /// Passes a request on to another controller. Returns `None` if that controller can't decide or
    /// does not respond.
    async fn ask_peer(&self, peer: &str, request: &PeerRequest) -> Option<RequestOutcome> {
        match self.config.peers.send_through_breaker(peer, request, constants::PEER_TIMEOUT).await {
            Ok(RequestOutcome::Known(status)) => Some(self.known_job_outcome(status)),
            Ok(RequestOutcome::Unavailable(reason)) => {
                tracing::debug!(peer, reason, "another controller can't decide the request");
                None
            }
            Ok(outcome) => Some(outcome),
            Err(error) => {
                tracing::debug!(peer, %error, "request to another controller failed");
                None
            }
        }
    }
}

/// Returns the name of the team in the record of a job; `None` if the record has none.
fn team_in_record(record: &serde_json::Value) -> Option<String> {
    record.pointer(TEAM_POINTER).and_then(|team| team.as_str()).map(str::to_owned)
}
