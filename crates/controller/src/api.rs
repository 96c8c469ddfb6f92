//! What controllers answer users: the decisions behind the HTTP interface.

use crate::answers::{Finals, Told, Verdict};
use crate::config::Params;
use crate::frame;
use crate::lead::{View, wall_ms};
use crate::ledger::{Cancellation, Lookup, leases_end_in_time};
use crate::limiter::Limiter;
use crate::node::{Ask, HeartbeatReply};
use crate::peers::{PeerAnswer, PeerAsk, Peers};
use crate::records::{FinalRecord, JobRecord, LEAD_NOW, final_key, fits, job_key};
use crate::silence::Silence;
use hookway_clients::{CommitOutcome, HttpError, StoreClient, StoreError};
use hookway_constants as constants;
use hookway_policy::{Resources, TeamView, check_feasible};
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
pub struct Stores {
    /// For submissions and cancellations.
    pub submissions: StoreClient,
    /// For questions, which must not keep submissions waiting.
    pub questions: StoreClient,
}

/// Decides the answers to users.
pub struct Desk {
    /// Settings.
    pub params: Params,
    /// This node's name.
    pub label: String,
    /// The state service.
    pub stores: Stores,
    /// The other controllers.
    pub peers: Arc<Peers>,
    /// The node's actor.
    pub node: mpsc::Sender<Ask>,
    /// Who leads.
    pub view: watch::Receiver<View>,
    /// Machine types, once known.
    pub machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    /// Shared with the node's actor, which tells what it decided as leader.
    pub finals: Arc<Finals>,
    pub(crate) limiter: Limiter,
    pub(crate) poll_limiter: Limiter,
    store_silence: Mutex<Silence>,
}

/// Why a job that no value of the state service can hold is refused.
const TOO_LONG: &str = "the job's description is too long";

/// What the state service says of a job.
enum Stored {
    Open(String, serde_json::Value),
    Over(Told),
    Nothing,
}

pub(crate) fn later(why: &str) -> Verdict {
    Verdict::Later(why.to_owned())
}

impl Desk {
    /// A desk.
    pub fn new(
        params: Params,
        label: String,
        stores: Stores,
        peers: Peers,
        node: mpsc::Sender<Ask>,
        view: watch::Receiver<View>,
        machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    ) -> Self {
        let most = params.machine_limits.max_sockets as f64 * constants::CONCURRENCY_SOCKET_SHARE;
        let limiter = Limiter::new(most as usize);
        let poll_limiter = Limiter::new(most as usize);
        let finals = Arc::default();
        let peers = Arc::new(peers);
        Self {
            params,
            label,
            stores,
            peers,
            node,
            view,
            machine_types,
            finals,
            limiter,
            poll_limiter,
            store_silence: Mutex::default(),
        }
    }

    fn known(&self, told: Told) -> Verdict {
        self.finals.remember(&told);
        Verdict::Known(told)
    }

    /// A cancellation has become durable here. The others are told, so that a holder that can't reach the
    /// state service knows it too: docs/safety.md, "Cancellations are facts".
    fn cancelled(&self, told: Told) -> Verdict {
        for name in self.peers.names() {
            let (peers, told) = (self.peers.clone(), told.clone());
            tokio::spawn(async move { peers.tell(&name, told).await });
        }
        self.known(told)
    }

    /// Asks this node's actor; `None` if the node does not lead.
    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<Option<T>>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.node.send(make(reply)).await.ok()?;
        answer.await.ok().flatten()
    }

    /// This node's term, if it leads. Read before the state service is, so that what was read can't
    /// be older than the term that it is used in.
    fn term(&self) -> Option<u64> {
        self.view.borrow().mandate.as_ref().map(|m| m.term)
    }

    /// Asks the leader, if it is another node and known.
    async fn ask_leader(&self, ask: &PeerAsk, limit_ms: u64) -> Option<Verdict> {
        let leader = self.view.borrow().leader.clone()?;
        match self.peers.ask(&leader, ask, limit_ms).await {
            Ok(Verdict::Later(_)) => None,
            Ok(verdict) => {
                if let Verdict::Known(told) = &verdict {
                    self.finals.remember(told);
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
    async fn stored(&self, store: &StoreClient, id: &JobId) -> Result<Stored, StoreError> {
        // While it says nothing to this node no time would be left to ask another controller.
        if let Ok(mut silence) = self.store_silence.lock()
            && !silence.worth_asking()
        {
            return Err(StoreError::Unknown(HttpError::Timeout));
        }
        let read = Self::read(store, id).await;
        if let Ok(mut silence) = self.store_silence.lock() {
            silence.note(matches!(read, Err(StoreError::Unknown(HttpError::Timeout))));
        }
        read
    }

    async fn read(store: &StoreClient, id: &JobId) -> Result<Stored, StoreError> {
        if let Some(kv) = store.get(&job_key(id)).await? {
            return Ok(Stored::Open(kv.key, kv.value));
        }
        let store = store.clone().patient_for(constants::STATUS_LIMIT_MS);
        let Some(kv) = store.get(&final_key(id)).await? else { return Ok(Stored::Nothing) };
        let record: FinalRecord = serde_json::from_value(kv.value)
            .map_err(|e| StoreError::Unexpected(200, e.to_string()))?;
        Ok(Stored::Over(record.status(id).into()))
    }

    fn queued(&self, id: &JobId, value: &serde_json::Value) -> Told {
        let team = value.pointer("/spec/Owner").and_then(|o| o.as_str()).map(str::to_owned);
        Told {
            id: id.clone(),
            state: JobState::Queued,
            done: 0,
            running: 0,
            team,
            commander: self.view.borrow().leader.clone(),
            notes: vec![],
        }
    }

    /// A job's state. A state that can still change comes from the leader or from a fresh reading
    /// of the state service; a final one may come from memory.
    pub async fn status(&self, id: &JobId, from_peer: bool) -> Verdict {
        if let Some(told) = self.finals.get(id) {
            return Verdict::Known(told);
        }
        let term = self.term();
        let mine = self.ask(|r| Ask::Status(id.clone(), r)).await;
        let lead = mine.is_some();
        match mine {
            Some(Lookup::Known(status)) => return self.known(status.into()),
            None if !from_peer => {
                let ask = PeerAsk::Status(id.to_string());
                if let Some(verdict) = self.ask_leader(&ask, constants::PEER_TIMEOUT_MS).await {
                    return verdict;
                }
            }
            _ => {}
        }
        match self.stored(&self.stores.questions, id).await {
            Ok(Stored::Over(told)) => self.known(told),
            Ok(Stored::Open(key, value)) => {
                let told = self.queued(id, &value);
                if lead {
                    self.ask(|r| Ask::Adopt(term, key, value, r)).await;
                }
                Verdict::Known(told)
            }
            Ok(Stored::Nothing) => Verdict::Absent,
            Err(e) => self.elsewhere(PeerAsk::Status(id.to_string()), &e, from_peer).await,
        }
    }

    /// Withdraws a job. The leader decides; without one, the state service does, on the condition
    /// that nobody leads.
    pub async fn cancel(&self, id: &JobId, from_peer: bool) -> Verdict {
        if let Some(told) = self.finals.get(id) {
            return Verdict::Known(told);
        }
        for _ in 0..2 {
            let term = self.term();
            match self.ask(|r| Ask::Cancel(id.clone(), r)).await {
                Some(Cancellation::Over(status)) => return self.cancelled(status.into()),
                Some(Cancellation::Pending) => return later("the decision is not durable yet"),
                Some(Cancellation::Unproven) => {
                    return later("its tasks may not be gone in time yet");
                }
                Some(Cancellation::NotHere) => {
                    match self.stored(&self.stores.submissions, id).await {
                        Ok(Stored::Over(told)) => return self.known(told),
                        Ok(Stored::Nothing) => return Verdict::Absent,
                        Ok(Stored::Open(key, value)) => {
                            self.ask(|r| Ask::Adopt(term, key, value, r)).await;
                        }
                        Err(e) => return Verdict::Later(e.to_string()),
                    }
                }
                None => break,
            }
        }
        let ask = PeerAsk::Cancel(id.to_string());
        if !from_peer && let Some(verdict) = self.ask_leader(&ask, constants::STATUS_LIMIT_MS).await
        {
            return verdict;
        }
        match self.cancel_without_leader(id).await {
            Ok(verdict) => verdict,
            Err(e) => self.elsewhere(ask, &e, from_peer).await,
        }
    }

    async fn cancel_without_leader(&self, id: &JobId) -> Result<Verdict, StoreError> {
        // Whoever led may have answered workers a moment ago, and nobody can tell whether their tasks are gone.
        if !leases_end_in_time(&self.params) {
            return Ok(later("without a leader its tasks may not be gone in time"));
        }
        let value = match self.stored(&self.stores.submissions, id).await? {
            Stored::Over(told) => return Ok(self.known(told)),
            Stored::Nothing => return Ok(Verdict::Absent),
            Stored::Open(_, value) => value,
        };
        let team = self.queued(id, &value).team.unwrap_or_default();
        let record = FinalRecord { state: JobState::Cancelled, done: 0, team, notes: vec![] };
        let Ok(v) = serde_json::to_value(&record) else { return Ok(later("internal")) };
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: LEAD_NOW.into(), mod_revision: 0 },
                Precondition { key: final_key(id), mod_revision: 0 },
            ],
            operations: vec![Operation::put(final_key(id), v), Operation::delete(job_key(id))],
        };
        Ok(match self.stores.submissions.commit(&transaction).await? {
            CommitOutcome::Applied(_) => self.cancelled(record.status(id).into()),
            CommitOutcome::Refused(_) => later("the job's leader can't be reached"),
        })
    }

    /// Whether a job can run at all; `None` if that can't be told yet.
    fn runnable(&self, spec: &JobSpec) -> Option<Result<(), String>> {
        let machine_types = self.machine_types.borrow().clone()?;
        let Some(team) = self.params.teams.iter().find(|t| t.name == spec.team) else {
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
        let zones = self.params.zones.iter().filter(|zone| {
            let there = |f: &MachineType| allowed(f) && f.zones.contains(zone);
            spec.zone.as_ref().is_none_or(|y| y == *zone) && machine_types.iter().any(there)
        });
        let zones = if spec.one_zone { zones.take(1).count() } else { zones.count() };
        let room = u64::from(spec.max_tasks_per_zone()) * zones as u64;
        if at_once && types.contains(&true) && room < u64::from(spec.tasks) {
            return Some(Err("tasks that must spread can't all be in one zone".into()));
        }
        let least = if at_once { spec.tasks } else { 1 };
        let limit = (team.cpus_max, team.gpus_max);
        let team = TeamView { limit, ..TeamView::default() };
        Some(check_feasible(&types, &need, least, &team))
    }

    /// Takes a submission. It is accepted once it is in the state service, at whichever node.
    pub async fn submit(&self, body: &[u8], from_peer: bool) -> Verdict {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(why) => {
                tracing::info!("submission refused: {why}");
                return Verdict::Refused(400, why);
            }
        };
        let id = spec.id.clone();
        if let Some(told) = self.finals.get(&id) {
            return Verdict::Known(told);
        }
        match self.runnable(&spec) {
            None => return later("the machine types are not known yet"),
            Some(Ok(())) => {}
            Some(Err(why)) => return self.refuse_unless_accepted(&id, 422, why, from_peer).await,
        }
        let team = spec.team.clone();
        let record = JobRecord { spec, at_ms: wall_ms(), marked: true };
        let Ok(value) = serde_json::to_value(&record) else { return later("internal") };
        if !fits(&value, self.params.state.largest_value_kb) {
            return self.refuse_unless_accepted(&id, 400, TOO_LONG.into(), from_peer).await;
        }
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: job_key(&id), mod_revision: 0 },
                Precondition { key: final_key(&id), mod_revision: 0 },
            ],
            operations: vec![Operation::put(job_key(&id), value.clone())],
        };
        match self.stores.submissions.commit(&transaction).await {
            Ok(CommitOutcome::Applied(_)) => {
                let told = Told { team: Some(team), ..self.queued(&id, &value) };
                Verdict::Accepted(told)
            }
            Ok(CommitOutcome::Refused(_)) => self.status(&id, from_peer).await,
            // Whether the state service takes it still, only the state service knows.
            Err(StoreError::Rejected(_)) => {
                self.refuse_unless_accepted(&id, 400, TOO_LONG.into(), from_peer).await
            }
            // No answer: it may have been applied, or may be later. Read, never assume.
            Err(StoreError::Unknown(_)) => {
                match self.stored(&self.stores.submissions, &id).await {
                    Ok(Stored::Open(..)) => Verdict::Accepted(self.queued(&id, &value)),
                    Ok(Stored::Over(told)) => self.known(told),
                    Ok(Stored::Nothing) => later("the state service did not answer"),
                    // Accepted twice is accepted once: one of the two fails by its guards.
                    Err(e) => self.elsewhere(PeerAsk::Submit(body.to_vec()), &e, from_peer).await,
                }
            }
            Err(e) => self.elsewhere(PeerAsk::Submit(body.to_vec()), &e, from_peer).await,
        }
    }

    /// Refuses a job, but never one that was accepted before: limits and machine types change.
    async fn refuse_unless_accepted(
        &self,
        id: &JobId,
        status: u16,
        why: String,
        from_peer: bool,
    ) -> Verdict {
        match self.stored(&self.stores.submissions, id).await {
            Ok(Stored::Nothing) => Verdict::Refused(status, why),
            Ok(_) => self.status(id, from_peer).await,
            Err(e) => Verdict::Later(e.to_string()),
        }
    }

    /// The state service may refuse this node alone, or not be reached from here: another one may get through.
    async fn elsewhere(&self, ask: PeerAsk, why: &StoreError, from_peer: bool) -> Verdict {
        // The limits are everybody's: another controller would ask for the same.
        if !from_peer && !matches!(why, StoreError::TooMany) {
            for name in self.peers.names() {
                match self.peers.ask(&name, &ask, constants::PEER_TIMEOUT_MS).await {
                    Ok(Verdict::Known(told)) => return self.known(told),
                    Ok(Verdict::Later(reason)) => tracing::debug!("{name}: {reason}"),
                    Ok(verdict) => return verdict,
                    Err(e) => tracing::debug!("asking {name}: {e}"),
                }
            }
        }
        Verdict::Later(why.to_string())
    }

    /// Answers another controller, from this node's own knowledge.
    pub async fn answer_peer(&self, ask: PeerAsk) -> PeerAnswer {
        PeerAnswer::Verdict(match ask {
            PeerAsk::Status(id) => match JobId::parse(&id) {
                Some(id) => self.status(&id, true).await,
                None => Verdict::Absent,
            },
            PeerAsk::Cancel(id) => match JobId::parse(&id) {
                Some(id) => self.cancel(&id, true).await,
                None => Verdict::Absent,
            },
            PeerAsk::Submit(body) => self.submit(&body, true).await,
            PeerAsk::Over(told) => self.known(told),
            PeerAsk::Renew(renewal) => {
                return PeerAnswer::Block(self.ask(|r| Ask::Renew(renewal, r)).await);
            }
            PeerAsk::Follow(request) => return PeerAnswer::Followed(self.publish(request).await),
        })
    }

    /// Keeps this node's block leased for as long as another node leads and can be reached.
    pub async fn hold_block(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(constants::SHARD_LEASE_RENEWAL_INTERVAL_MS))
                .await;
            let Some(leader) = self.view.borrow().leader.clone().filter(|l| *l != self.label)
            else {
                continue;
            };
            let Some((renewal, sent)) = self.ask(Ask::Renewal).await else { continue };
            match self.peers.renew(&leader, renewal).await {
                Ok(lease) => drop(self.node.send(Ask::Leased(lease, sent)).await),
                Err(e) => tracing::debug!("renewing the block with {leader}: {e}"),
            }
        }
    }

    /// What a standby's copy lacks; `None` for whoever is none of the other controllers.
    async fn publish(&self, request: FollowRequest) -> Option<FollowAnswer> {
        if !self.peers.knows(&request.follower) {
            tracing::error!("{:?} asks to follow, and is no controller here", request.follower);
            return None;
        }
        self.ask(|r| Ask::Follow(request, r)).await
    }

    /// Keeps this node's copy of the leader's picture up to date, for as long as another node leads that publishes
    /// one.
    pub async fn follow_leader(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(constants::FOLLOW_INTERVAL_MS)).await;
            let Some(request) = self.ask(Ask::FollowRequest).await else { continue };
            let leader = self.view.borrow().leader.clone().filter(|l| *l != self.label);
            // The renewals of this node's block tell the leader's version.
            let publishes = |name: &String| self.peers.version(name) >= Some(frame::REPLICATION);
            let Some(leader) = leader.filter(publishes) else { continue };
            match self.peers.follow(&leader, request).await {
                Ok(answer) => drop(self.node.send(Ask::Followed(answer)).await),
                Err(e) => tracing::debug!("following {leader}: {e}"),
            }
        }
    }

    /// How replication stands, for operators.
    pub async fn replication(&self) -> Option<ReplicationStatus> {
        self.ask(Ask::Replication).await
    }

    pub(crate) async fn check_in(&self, report: Heartbeat) -> HeartbeatReply {
        let (reply, answer) = oneshot::channel();
        if self.node.send(Ask::Heartbeat(report, reply)).await.is_err() {
            return HeartbeatReply::Unsure;
        }
        answer.await.unwrap_or(HeartbeatReply::Unsure)
    }
}
