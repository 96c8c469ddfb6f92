//! What controllers answer users: the decisions behind the HTTP interface.

use crate::circuit_breaker::CircuitBreaker;
use crate::cluster_state::{CancelOutcome, JobLookup, leases_expire_within_cancellation};
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::controller_actor::{ControllerRequest, HeartbeatReply};
use crate::frame;
use crate::leadership::{LeadershipView, wall_ms};
use crate::peers::{PeerRequest, PeerResponse, Peers};
use crate::records::{
    FinalRecord, JobRecord, LEADER_KEY, final_state_key, fits_value_limit, job_key,
};
use crate::request_outcome::{FinalStateCache, JobSnapshot, RequestOutcome};
use crate::settings::PlatformSettings;
use hookway_clients::{CommitOutcome, HttpError, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_policy::{Quota, Resources, TeamView, check_feasible};
use hookway_replication::{FollowAnswer, FollowRequest};
use hookway_wire::{
    Heartbeat, JobId, JobSpec, JobState, MachineType, Operation, Precondition, ReplicationStatus,
    Transaction,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// How a desk asks the state service.
#[derive(Debug, Clone)]
pub struct StoreClients {
    /// For submissions and cancellations.
    pub submissions: StoreClient,
    /// For questions, which must not keep submissions waiting.
    pub queries: StoreClient,
}

/// Decides the answers to users.
pub struct ApiService {
    /// Settings.
    pub platform: PlatformSettings,
    /// This node's name.
    pub controller_name: String,
    /// The state service.
    pub stores: StoreClients,
    /// The other controllers.
    pub peers: Arc<Peers>,
    /// The node's actor.
    pub controller: mpsc::Sender<ControllerRequest>,
    /// Who leads.
    pub view: watch::Receiver<LeadershipView>,
    /// Machine types, once known.
    pub machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    /// Shared with the node's actor, which tells what it decided as leader.
    pub final_states: Arc<FinalStateCache>,
    pub(crate) limiter: ConcurrencyLimiter,
    pub(crate) status_limiter: ConcurrencyLimiter,
    store_breaker: Mutex<CircuitBreaker>,
}

/// Why a job that no value of the state service can hold is refused.
const TOO_LONG: &str = "the job's description is too long";

/// What the state service says of a job.
enum StoredJob {
    Active(String, serde_json::Value),
    Final(JobSnapshot),
    Absent,
}

impl ApiService {
    /// A desk.
    pub fn new(
        params: PlatformSettings,
        label: String,
        stores: StoreClients,
        peers: Peers,
        node: mpsc::Sender<ControllerRequest>,
        view: watch::Receiver<LeadershipView>,
        machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    ) -> Self {
        let most = params.machine_limits.max_sockets as f64 * constants::CONCURRENCY_SOCKET_SHARE;
        let limiter = ConcurrencyLimiter::new(most as usize);
        let poll_limiter = ConcurrencyLimiter::new(most as usize);
        let finals = Arc::default();
        let peers = Arc::new(peers);
        Self {
            platform: params,
            controller_name: label,
            stores,
            peers,
            controller: node,
            view,
            machine_types,
            final_states: finals,
            limiter,
            status_limiter: poll_limiter,
            store_breaker: Mutex::default(),
        }
    }

    fn remember(&self, told: JobSnapshot) -> RequestOutcome {
        self.final_states.remember(&told);
        RequestOutcome::Known(told)
    }

    /// A cancellation has become durable here. The others are told, so that a holder that can't reach the
    /// state service knows it too: docs/safety.md, "Cancellations are facts".
    fn announce_cancelled(&self, told: JobSnapshot) -> RequestOutcome {
        for name in self.peers.names() {
            let (peers, told) = (self.peers.clone(), told.clone());
            tokio::spawn(async move { peers.announce_finished(&name, told).await });
        }
        self.remember(told)
    }

    /// Asks this node's actor; `None` if the node does not lead.
    async fn request<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Option<T>>) -> ControllerRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.controller.send(make(reply)).await.ok()?;
        answer.await.ok().flatten()
    }

    /// This node's term, if it leads. Read before the state service is, so that what was read can't
    /// be older than the term that it is used in.
    fn own_term(&self) -> Option<u64> {
        self.view.borrow().own_term.as_ref().map(|m| m.term)
    }

    /// Asks the leader, if it is another node and known.
    async fn ask_leader(&self, ask: &PeerRequest, limit_ms: u64) -> Option<RequestOutcome> {
        let leader = self.view.borrow().leader.clone()?;
        match self.peers.ask(&leader, ask, limit_ms).await {
            Ok(RequestOutcome::Unavailable(_)) => None,
            Ok(verdict) => {
                if let RequestOutcome::Known(told) = &verdict {
                    self.final_states.remember(told);
                }
                Some(verdict)
            }
            Err(e) => {
                tracing::debug!("asking {leader}: {e}");
                None
            }
        }
    }

    /// Reads a job in the state service. The job's record is read before it is said that there is none: it
    /// goes in the same transaction in which the final state comes, so a job that was accepted is seen in
    /// one or the other. Once the first reading had its turn, the second one waits for its own: half an
    /// answer would have been asked for in vain.
    async fn read_job(&self, store: &StoreClient, id: &JobId) -> Result<StoredJob, StoreError> {
        // While it says nothing to this node no time would be left to ask another controller.
        if let Ok(mut silence) = self.store_breaker.lock()
            && !silence.allows_request()
        {
            return Err(StoreError::Unknown(HttpError::Timeout));
        }
        let read = Self::read_stored_job(store, id).await;
        if let Ok(mut silence) = self.store_breaker.lock() {
            silence.record(matches!(read, Err(StoreError::Unknown(HttpError::Timeout))));
        }
        read
    }

    async fn read_stored_job(store: &StoreClient, id: &JobId) -> Result<StoredJob, StoreError> {
        if let Some(kv) = store.get(&job_key(id)).await? {
            return Ok(StoredJob::Active(kv.key, kv.value));
        }
        let store = store.clone().with_queue_limit(constants::STATUS_LIMIT_MS);
        let Some(kv) = store.get(&final_state_key(id)).await? else { return Ok(StoredJob::Absent) };
        let record: FinalRecord = serde_json::from_value(kv.value)
            .map_err(|e| StoreError::Unexpected(200, e.to_string()))?;
        Ok(StoredJob::Final(record.status(id).into()))
    }

    fn queued_snapshot(&self, id: &JobId, value: &serde_json::Value) -> JobSnapshot {
        let team = value.pointer("/spec/Owner").and_then(|o| o.as_str()).map(str::to_owned);
        JobSnapshot {
            id: id.clone(),
            state: JobState::Queued,
            done: 0,
            running: 0,
            team,
            leader: self.view.borrow().leader.clone(),
            notes: vec![],
        }
    }

    /// A job's state. A state that can still change comes from the leader or from a fresh reading
    /// of the state service; a final one may come from memory.
    pub async fn status(&self, id: &JobId, from_peer: bool) -> RequestOutcome {
        if let Some(told) = self.final_states.get(id) {
            return RequestOutcome::Known(told);
        }
        let term = self.own_term();
        let mine = self.request(|r| ControllerRequest::Status(id.clone(), r)).await;
        let lead = mine.is_some();
        match mine {
            Some(JobLookup::Known(status)) => return self.remember(status.into()),
            None if !from_peer => {
                let ask = PeerRequest::Status(id.to_string());
                if let Some(verdict) = self.ask_leader(&ask, constants::PEER_TIMEOUT_MS).await {
                    return verdict;
                }
            }
            _ => {}
        }
        match self.read_job(&self.stores.queries, id).await {
            Ok(StoredJob::Final(told)) => self.remember(told),
            Ok(StoredJob::Active(key, value)) => {
                let told = self.queued_snapshot(id, &value);
                if lead {
                    self.request(|r| ControllerRequest::AdoptJob(term, key, value, r)).await;
                }
                RequestOutcome::Known(told)
            }
            Ok(StoredJob::Absent) => RequestOutcome::NotFound,
            Err(e) => {
                self.ask_other_controllers(PeerRequest::Status(id.to_string()), &e, from_peer).await
            }
        }
    }

    /// Withdraws a job. The leader decides; without one, the state service does, on the condition
    /// that nobody leads.
    pub async fn cancel(&self, id: &JobId, from_peer: bool) -> RequestOutcome {
        if let Some(told) = self.final_states.get(id) {
            return RequestOutcome::Known(told);
        }
        for _ in 0..2 {
            let term = self.own_term();
            match self.request(|r| ControllerRequest::Cancel(id.clone(), r)).await {
                Some(CancelOutcome::AlreadyFinal(status)) => {
                    return self.announce_cancelled(status.into());
                }
                Some(CancelOutcome::Pending) => {
                    return RequestOutcome::unavailable("the decision is not durable yet");
                }
                Some(CancelOutcome::LeasesOutstanding) => {
                    return RequestOutcome::unavailable("its tasks may not be gone in time yet");
                }
                Some(CancelOutcome::UnknownJob) => {
                    match self.read_job(&self.stores.submissions, id).await {
                        Ok(StoredJob::Final(told)) => return self.remember(told),
                        Ok(StoredJob::Absent) => return RequestOutcome::NotFound,
                        Ok(StoredJob::Active(key, value)) => {
                            self.request(|r| ControllerRequest::AdoptJob(term, key, value, r))
                                .await;
                        }
                        Err(e) => return RequestOutcome::Unavailable(e.to_string()),
                    }
                }
                None => break,
            }
        }
        let ask = PeerRequest::Cancel(id.to_string());
        if !from_peer && let Some(verdict) = self.ask_leader(&ask, constants::STATUS_LIMIT_MS).await
        {
            return verdict;
        }
        match self.cancel_without_leader(id).await {
            Ok(verdict) => verdict,
            Err(e) => self.ask_other_controllers(ask, &e, from_peer).await,
        }
    }

    async fn cancel_without_leader(&self, id: &JobId) -> Result<RequestOutcome, StoreError> {
        // Whoever led may have answered workers a moment ago, and nobody can tell whether their tasks are gone.
        if !leases_expire_within_cancellation(&self.platform) {
            return Ok(RequestOutcome::unavailable(
                "without a leader its tasks may not be gone in time",
            ));
        }
        let value = match self.read_job(&self.stores.submissions, id).await? {
            StoredJob::Final(told) => return Ok(self.remember(told)),
            StoredJob::Absent => return Ok(RequestOutcome::NotFound),
            StoredJob::Active(_, value) => value,
        };
        let team = self.queued_snapshot(id, &value).team.unwrap_or_default();
        let record = FinalRecord { state: JobState::Cancelled, done: 0, team, notes: vec![] };
        let Ok(v) = serde_json::to_value(&record) else {
            return Ok(RequestOutcome::unavailable("internal"));
        };
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
                Precondition { key: final_state_key(id), mod_revision: 0 },
            ],
            operations: vec![
                Operation::put(final_state_key(id), v),
                Operation::delete(job_key(id)),
            ],
        };
        Ok(match self.stores.submissions.commit(&transaction).await? {
            CommitOutcome::Applied(_) => self.announce_cancelled(record.status(id).into()),
            CommitOutcome::PreconditionFailed(_) => {
                RequestOutcome::unavailable("the job's leader can't be reached")
            }
        })
    }

    /// Whether a job can run at all; `None` if that can't be told yet.
    fn check_runnable(&self, spec: &JobSpec) -> Option<Result<(), String>> {
        let machine_types = self.machine_types.borrow().clone()?;
        let Some(team) = self.platform.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err(format!("unknown team {}", spec.team)));
        };
        let need = Resources::of_task(spec);
        let allowed = |f: &MachineType| {
            spec.machine_types.as_ref().is_none_or(|list| list.contains(&f.name))
                && spec.zone.as_ref().is_none_or(|y| f.zones.contains(y))
                && Resources::of_machine_type(f).fits(&need)
        };
        let types: Vec<bool> = machine_types.iter().map(allowed).collect();
        // All tasks of a gang or a daemon run at once, so the zones that it may be in must be enough for all.
        let at_once = spec.needs_all_tasks_at_once();
        let zones = self.platform.zones.iter().filter(|zone| {
            let there = |f: &MachineType| allowed(f) && f.zones.contains(zone);
            spec.zone.as_ref().is_none_or(|y| y == *zone) && machine_types.iter().any(there)
        });
        let zones = if spec.one_zone { zones.take(1).count() } else { zones.count() };
        let room = u64::from(spec.max_tasks_per_zone()) * zones as u64;
        if at_once && types.contains(&true) && room < u64::from(spec.tasks) {
            return Some(Err("tasks that must spread can't all be in one zone".into()));
        }
        let least = if at_once { spec.tasks } else { 1 };
        let limit = Quota { cpus: team.cpus_max, gpus: team.gpus_max };
        let team = TeamView { limit, ..TeamView::default() };
        Some(check_feasible(&types, &need, least, &team).map_err(|e| e.to_string()))
    }

    /// Takes a submission. It is accepted once it is in the state service, at whichever node.
    pub async fn submit(&self, body: &[u8], from_peer: bool) -> RequestOutcome {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(why) => {
                tracing::info!("submission refused: {why}");
                return RequestOutcome::Rejected(400, why.to_string());
            }
        };
        let id = spec.id.clone();
        if let Some(told) = self.final_states.get(&id) {
            return RequestOutcome::Known(told);
        }
        match self.check_runnable(&spec) {
            None => return RequestOutcome::unavailable("the machine types are not known yet"),
            Some(Ok(())) => {}
            Some(Err(why)) => return self.refuse_unless_accepted(&id, 422, why, from_peer).await,
        }
        let team = spec.team.clone();
        let record = JobRecord { spec, accepted_at_ms: wall_ms(), has_start_watermark: true };
        let Ok(value) = serde_json::to_value(&record) else {
            return RequestOutcome::unavailable("internal");
        };
        if !fits_value_limit(&value, self.platform.state.largest_value_kb) {
            return self.refuse_unless_accepted(&id, 400, TOO_LONG.into(), from_peer).await;
        }
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: job_key(&id), mod_revision: 0 },
                Precondition { key: final_state_key(&id), mod_revision: 0 },
            ],
            operations: vec![Operation::put(job_key(&id), value.clone())],
        };
        match self.stores.submissions.commit(&transaction).await {
            Ok(CommitOutcome::Applied(_)) => {
                let told = JobSnapshot { team: Some(team), ..self.queued_snapshot(&id, &value) };
                RequestOutcome::Accepted(told)
            }
            Ok(CommitOutcome::PreconditionFailed(_)) => self.status(&id, from_peer).await,
            // Whether the state service takes it still, only the state service knows.
            Err(StoreError::Rejected(_)) => {
                self.refuse_unless_accepted(&id, 400, TOO_LONG.into(), from_peer).await
            }
            // No answer: it may have been applied, or may be later. Read, never assume.
            Err(StoreError::Unknown(_)) => {
                match self.read_job(&self.stores.submissions, &id).await {
                    Ok(StoredJob::Active(..)) => {
                        RequestOutcome::Accepted(self.queued_snapshot(&id, &value))
                    }
                    Ok(StoredJob::Final(told)) => self.remember(told),
                    Ok(StoredJob::Absent) => {
                        RequestOutcome::unavailable("the state service did not answer")
                    }
                    // Accepted twice is accepted once: one of the two fails by its guards.
                    Err(e) => {
                        self.ask_other_controllers(
                            PeerRequest::Submit(body.to_vec()),
                            &e,
                            from_peer,
                        )
                        .await
                    }
                }
            }
            Err(e) => {
                self.ask_other_controllers(PeerRequest::Submit(body.to_vec()), &e, from_peer).await
            }
        }
    }

    /// Refuses a job, but never one that was accepted before: limits and machine types change.
    async fn refuse_unless_accepted(
        &self,
        id: &JobId,
        status: u16,
        why: String,
        from_peer: bool,
    ) -> RequestOutcome {
        match self.read_job(&self.stores.submissions, id).await {
            Ok(StoredJob::Absent) => RequestOutcome::Rejected(status, why),
            Ok(_) => self.status(id, from_peer).await,
            Err(e) => RequestOutcome::Unavailable(e.to_string()),
        }
    }

    /// The state service may refuse this node alone, or not be reached from here: another one may get through.
    async fn ask_other_controllers(
        &self,
        ask: PeerRequest,
        why: &StoreError,
        from_peer: bool,
    ) -> RequestOutcome {
        // The limits are everybody's: another controller would ask for the same.
        if !from_peer && !matches!(why, StoreError::TooMany) {
            for name in self.peers.names() {
                match self.peers.ask(&name, &ask, constants::PEER_TIMEOUT_MS).await {
                    Ok(RequestOutcome::Known(told)) => return self.remember(told),
                    Ok(RequestOutcome::Unavailable(reason)) => tracing::debug!("{name}: {reason}"),
                    Ok(verdict) => return verdict,
                    Err(e) => tracing::debug!("asking {name}: {e}"),
                }
            }
        }
        RequestOutcome::Unavailable(why.to_string())
    }

    /// Answers another controller, from this node's own knowledge.
    pub async fn answer_peer(&self, ask: PeerRequest) -> PeerResponse {
        PeerResponse::Outcome(match ask {
            PeerRequest::Status(id) => match JobId::parse(&id) {
                Some(id) => self.status(&id, true).await,
                None => RequestOutcome::NotFound,
            },
            PeerRequest::Cancel(id) => match JobId::parse(&id) {
                Some(id) => self.cancel(&id, true).await,
                None => RequestOutcome::NotFound,
            },
            PeerRequest::Submit(body) => self.submit(&body, true).await,
            PeerRequest::JobFinished(told) => self.remember(told),
            PeerRequest::RenewShardLease(renewal) => {
                return PeerResponse::ShardLease(
                    self.request(|r| ControllerRequest::RenewShardLease(renewal, r)).await,
                );
            }
            PeerRequest::Follow(request) => {
                return PeerResponse::Followed(self.replication_entries(request).await);
            }
        })
    }

    /// Keeps this node's block leased for as long as another node leads and can be reached.
    pub async fn renew_shard_lease_loop(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(constants::SHARD_LEASE_RENEWAL_INTERVAL_MS))
                .await;
            let Some(leader) =
                self.view.borrow().leader.clone().filter(|l| *l != self.controller_name)
            else {
                continue;
            };
            let Some((renewal, sent)) = self.request(ControllerRequest::ShardLeaseRenewal).await
            else {
                continue;
            };
            match self.peers.renew_shard_lease(&leader, renewal).await {
                Ok(lease) => {
                    drop(self.controller.send(ControllerRequest::ShardLeased(lease, sent)).await)
                }
                Err(e) => tracing::debug!("renewing the block with {leader}: {e}"),
            }
        }
    }

    /// What a standby's copy lacks; `None` for whoever is none of the other controllers.
    async fn replication_entries(&self, request: FollowRequest) -> Option<FollowAnswer> {
        if !self.peers.knows(&request.follower) {
            tracing::error!("{:?} asks to follow, and is no controller here", request.follower);
            return None;
        }
        self.request(|r| ControllerRequest::Follow(request, r)).await
    }

    /// Keeps this node's copy of the leader's picture up to date, for as long as another node leads that publishes
    /// one.
    pub async fn follow_leader_loop(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(constants::FOLLOW_INTERVAL_MS)).await;
            let Some(request) = self.request(ControllerRequest::PrepareFollow).await else {
                continue;
            };
            let leader = self.view.borrow().leader.clone().filter(|l| *l != self.controller_name);
            // The renewals of this node's block tell the leader's version.
            let publishes = |name: &String| self.peers.version(name) >= Some(frame::REPLICATION);
            let Some(leader) = leader.filter(publishes) else { continue };
            match self.peers.follow(&leader, request).await {
                Ok(answer) => drop(self.controller.send(ControllerRequest::Followed(answer)).await),
                Err(e) => tracing::debug!("following {leader}: {e}"),
            }
        }
    }

    /// How replication stands, for operators.
    pub async fn replication_status(&self) -> Option<ReplicationStatus> {
        self.request(ControllerRequest::ReplicationStatus).await
    }

    pub(crate) async fn handle_heartbeat(&self, report: Heartbeat) -> HeartbeatReply {
        let (reply, answer) = oneshot::channel();
        if self.controller.send(ControllerRequest::Heartbeat(report, reply)).await.is_err() {
            return HeartbeatReply::Unavailable;
        }
        answer.await.unwrap_or(HeartbeatReply::Unavailable)
    }
}
