//! The decisions behind the HTTP API: how a controller answers its users and the other controllers.
//!
//! Every controller accepts every request. What only the leader knows is requested from it; what
//! this controller can't read from the state service itself is requested from the others.

mod admission;
mod cancellation;
mod job_reader;
mod peer_requests;
mod status;
mod submission;

use crate::actor::{ControllerHandle, ControllerRequest, HeartbeatReply, MachineTypes};
use crate::final_state_cache::FinalStateCache;
use crate::job_snapshot::JobSnapshot;
use crate::leadership::LeadershipView;
use crate::peers::{PeerRequest, Peers};
use crate::request_outcome::RequestOutcome;
use crate::settings::PlatformSettings;
use hookway_clients::{StoreClient, StoreError};
use hookway_constants as constants;
use hookway_wire::{Heartbeat, JobId, JobState, ReplicationStatus};
use job_reader::JobReader;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Where a job's record has the name of its team.
const TEAM_IN_RECORD: &str = "/spec/Owner";

/// The clients of the state service that the API uses.
#[derive(Debug, Clone)]
pub struct StoreClients {
    /// For submissions and cancellations.
    pub submissions: StoreClient,
    /// For status requests, which must not delay submissions.
    pub queries: StoreClient,
}

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A user.
    Client,
    /// Another controller. Its requests are answered from this controller's own knowledge and never
    /// passed on, so they can't circulate.
    Peer,
}

/// What the API needs, and shares with the rest of the controller.
#[derive(Debug)]
pub struct ApiServiceConfig {
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The clients of the state service.
    pub stores: StoreClients,
    /// The other controllers.
    pub peers: Arc<Peers>,
    /// The controller actor.
    pub controller: ControllerHandle,
    /// Who leads.
    pub view: watch::Receiver<LeadershipView>,
    /// The machine types.
    pub machine_types: watch::Receiver<MachineTypes>,
    /// The final states of jobs, shared with the controller actor, which adds those that it decides
    /// as the leader.
    pub final_states: Arc<FinalStateCache>,
}

/// Answers the requests of users and of other controllers.
#[derive(Debug)]
pub struct ApiService {
    config: ApiServiceConfig,
    job_reader: JobReader,
}

impl ApiService {
    /// Creates the service.
    pub fn new(config: ApiServiceConfig) -> Self {
        Self { config, job_reader: JobReader::default() }
    }

    /// The final states of jobs that this controller knows.
    pub fn final_states(&self) -> &FinalStateCache {
        &self.config.final_states
    }

    /// Maximum number of sockets of this controller's machine.
    pub(crate) fn max_sockets(&self) -> usize {
        self.config.platform.machine_limits.max_sockets
    }

    /// Answers a worker's heartbeat.
    pub(crate) async fn handle_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        self.config.controller.heartbeat(heartbeat).await
    }

    /// The state of replication, for operators.
    pub async fn replication_status(&self) -> Option<ReplicationStatus> {
        self.config.controller.request(ControllerRequest::ReplicationStatus).await
    }

    /// The outcome for a job that is known, whose state is cached if it is final.
    fn known(&self, snapshot: JobSnapshot) -> RequestOutcome {
        self.config.final_states.remember(&snapshot);
        RequestOutcome::Known(snapshot)
    }

    /// The current leader, as far as this controller knows.
    fn leader(&self) -> Option<String> {
        self.config.view.borrow().leader.clone()
    }

    /// The term of this controller, if it leads. Must be read before a record is read from the state
    /// service, so that the record can't be older than the term in which the leader adopts it.
    fn own_term(&self) -> Option<u64> {
        self.config.view.borrow().own_term.as_ref().map(|own| own.term)
    }

    /// Adds a job to the cluster state of this controller, which leads. The record was read in
    /// `read_in_term`.
    async fn adopt_job(&self, read_in_term: Option<u64>, key: String, value: serde_json::Value) {
        let adopt = |reply| ControllerRequest::AdoptJob { read_in_term, key, value, reply };
        self.config.controller.request(adopt).await;
    }

    /// The state of a job whose record is in the state service and that no leader schedules yet.
    fn queued_snapshot(&self, job: &JobId, record: &serde_json::Value) -> JobSnapshot {
        let team = record.pointer(TEAM_IN_RECORD).and_then(|team| team.as_str());
        JobSnapshot {
            id: job.clone(),
            state: JobState::Queued,
            done: 0,
            running: 0,
            team: team.map(str::to_owned),
            leader: self.leader(),
            notes: vec![],
        }
    }

    /// Passes a request on to the leader. `None`: no leader is known, or it can't decide.
    async fn ask_leader(&self, request: &PeerRequest, limit: Duration) -> Option<RequestOutcome> {
        let leader = self.leader()?;
        match self.config.peers.ask(&leader, request, limit).await {
            Ok(RequestOutcome::Unavailable(_)) => None,
            Ok(RequestOutcome::Known(snapshot)) => Some(self.known(snapshot)),
            Ok(outcome) => Some(outcome),
            Err(error) => {
                tracing::debug!(leader, %error, "request to the leader failed");
                None
            }
        }
    }

    /// Passes a request that failed at the state service on to the other controllers: the state
    /// service may reject this controller alone, or be unreachable from here alone.
    async fn ask_other_controllers(
        &self,
        request: PeerRequest,
        store_error: &StoreError,
        origin: Origin,
    ) -> RequestOutcome {
        // The rate limits are shared: another controller would send the same requests.
        let others_may_decide = !matches!(store_error, StoreError::TooMany);
        if origin == Origin::Client && others_may_decide {
            for peer in self.config.peers.names() {
                if let Some(outcome) = self.ask_peer(&peer, &request).await {
                    return outcome;
                }
            }
        }
        RequestOutcome::Unavailable(store_error.to_string())
    }

    /// Passes a request on to another controller. `None`: it can't decide, or did not respond.
    async fn ask_peer(&self, peer: &str, request: &PeerRequest) -> Option<RequestOutcome> {
        match self.config.peers.ask(peer, request, constants::PEER_TIMEOUT).await {
            Ok(RequestOutcome::Known(snapshot)) => Some(self.known(snapshot)),
            Ok(RequestOutcome::Unavailable(reason)) => {
                tracing::debug!(peer, reason, "controller can't decide a request");
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
