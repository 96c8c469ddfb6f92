//! The node's actor. It owns the ledger while the node leads, answers what is asked of it, and
//! carries out what the ledger wants from the state service and the cloud.

mod messages;
mod records_io;

pub use messages::{ControllerRequest, HeartbeatReply};

use crate::cluster_state::{
    CancelOutcome, ClusterState, ControllerConfig, ScalingAction, Timestamp,
};
use crate::leadership::{Clock, LeaderTerm, LeadershipLease, LeadershipView};
use crate::records::JOBS_PREFIX;
use crate::request_outcome::FinalStateCache;
use crate::shard_lease::ShardLessee;
use crate::standby::Standby;
use hookway_clients::{
    CloudClient, CloudError, Delivery, ScaleOutOutcome, StoreClient, StoreError, WorkerClient,
};
use hookway_constants as constants;
use hookway_replication::Publisher;
use hookway_wire::{
    Command, Heartbeat, HeartbeatResponse, JobId, MachineType, ReplicationStatus, WatchEvent,
};
use messages::ControllerEvent;
use records_io::{commit_and_reread, load_state};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The node's actor.
pub struct ControllerActor {
    /// What the ledger needs to know.
    pub config: ControllerConfig,
    /// The state service.
    pub store: StoreClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// The workers.
    pub workers: WorkerClient,
    /// Clocks.
    pub clock: Clock,
    /// How long this node's lease lasts.
    pub lease: Arc<LeadershipLease>,
    /// Who leads.
    pub view: watch::Receiver<LeadershipView>,
    /// Rung when a write shows that another node leads.
    pub leadership_lost: Arc<Notify>,
    /// Machine types.
    pub machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    /// Questions.
    pub requests: mpsc::Receiver<ControllerRequest>,
    /// When this node last stepped down for lack of reports, ms.
    pub stepped_down_at: std::cell::Cell<Option<u64>>,
    /// Where users are told the ends of jobs from.
    pub final_states: Arc<FinalStateCache>,
    /// The block that this node holds.
    pub shard_lessee: std::cell::RefCell<ShardLessee>,
    /// This node's copy of the leader's picture, and the steps by which it takes over.
    pub standby: std::cell::RefCell<Standby>,
}

/// One term of leadership.
struct ActiveTerm {
    term: LeaderTerm,
    cluster: Option<ClusterState>,
    publisher: Publisher,
    tasks: JoinSet<()>,
    events: mpsc::Sender<ControllerEvent>,
    pending_cancellations: HashMap<JobId, Vec<oneshot::Sender<Option<CancelOutcome>>>>,
    paused: bool,
    last_round: u64,
    last_autoscaling: u64,
    last_machine_list: Option<u64>,
    machine_types_seen: Option<Arc<Vec<MachineType>>>,
    last_log: u64,
    last_direct_dispatch: u64,
    last_tick: u64,
    last_publish: u64,
    last_full_publish: u64,
}

impl ControllerActor {
    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let view = self.view.borrow_and_update().clone();
            self.standby.get_mut().view_changed(&view, self.clock.now());
            match view.own_term {
                Some(leader_term) => self.lead(leader_term).await,
                None => {
                    tokio::select! {
                        changed = self.view.changed() => if changed.is_err() { return },
                        ask = self.requests.recv() => match ask {
                            Some(ask) => self.handle_as_follower(ask),
                            None => return,
                        },
                    }
                }
            }
        }
    }

    fn handle_as_follower(&self, ask: ControllerRequest) {
        match ask {
            ControllerRequest::Heartbeat(report, reply) => {
                let now = self.clock.now();
                let in_touch = self.shard_lessee.borrow().leader_reachable(now);
                let leader = self.view.borrow().leader.clone().filter(|_| in_touch);
                let other = leader.filter(|l| *l != self.config.controller_name);
                let kept = self.extend_worker_lease(&report, now);
                let _ = reply.send(kept.unwrap_or(HeartbeatReply::Redirect(other)));
            }
            ControllerRequest::Status(_, reply) => drop(reply.send(None)),
            ControllerRequest::Cancel(_, reply) => drop(reply.send(None)),
            ControllerRequest::AdoptJob(_, _, _, reply) => drop(reply.send(None)),
            ControllerRequest::RenewShardLease(_, reply) => drop(reply.send(None)),
            ControllerRequest::ShardLeaseRenewal(reply) => {
                let now = self.clock.now();
                let _ = reply.send(Some((self.shard_lessee.borrow().renewal(now), now)));
            }
            ControllerRequest::ShardLeased(lease, sent) => {
                self.shard_lessee.borrow_mut().lease_granted(lease, sent, self.clock.now());
            }
            ControllerRequest::Follow(_, reply) => drop(reply.send(None)),
            ControllerRequest::PrepareFollow(reply) => {
                let request = self.standby.borrow_mut().next_request(self.clock.now());
                let _ = reply.send(request);
            }
            ControllerRequest::Followed(answer) => {
                self.standby.borrow_mut().followed(answer, self.clock.now());
            }
            ControllerRequest::ReplicationStatus(reply) => self.report_replication(reply),
        }
    }

    fn report_replication(&self, reply: oneshot::Sender<Option<ReplicationStatus>>) {
        let _ = reply.send(Some(self.standby.borrow().status(self.clock.now())));
    }

    /// A moment of this node's clock.
    fn instant_at(&self, at: u64) -> Instant {
        let now = Instant::now();
        now + Duration::from_millis(at.saturating_sub(self.clock.now()))
    }

    /// The answer of this node as the holder of a block, if it may and should give one.
    fn extend_worker_lease(&self, report: &Heartbeat, now: u64) -> Option<HeartbeatReply> {
        let kept = self
            .shard_lessee
            .borrow_mut()
            .extend_worker_lease(report, now, |id| self.final_states.contains(id))?;
        Some(HeartbeatReply::Respond(kept.response, self.instant_at(kept.valid_until)))
    }

    async fn lead(&mut self, leader_term: LeaderTerm) {
        if !self.standby.get_mut().elected(leader_term.term, self.clock.now()) {
            self.leadership_lost.notify_one();
            // Until the leadership has been given back.
            let _ = self.view.changed().await;
            return;
        }
        self.lead_term(leader_term).await;
        self.standby.get_mut().deposed(self.clock.now());
    }

    async fn lead_term(&mut self, leader_term: LeaderTerm) {
        self.shard_lessee.borrow_mut().leadership_won(leader_term.term);
        let (notes, mut inbox) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let mut term = ActiveTerm {
            publisher: Publisher::new(leader_term.term),
            term: leader_term,
            cluster: None,
            tasks: JoinSet::new(),
            events: notes,
            pending_cancellations: HashMap::new(),
            paused: false,
            last_round: 0,
            last_autoscaling: 0,
            last_machine_list: None,
            machine_types_seen: None,
            last_log: 0,
            last_direct_dispatch: 0,
            last_tick: self.clock.now(),
            last_publish: 0,
            last_full_publish: 0,
        };
        self.spawn_state_load(&mut term);
        let mut tick = tokio::time::interval(Duration::from_millis(constants::TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.view.changed() => {
                    let now = self.view.borrow_and_update().own_term.clone();
                    if changed.is_err() || now.as_ref() != Some(&term.term) {
                        return;
                    }
                }
                ask = self.requests.recv() => match ask {
                    Some(ask) => self.handle_request(&mut term, ask),
                    None => return,
                },
                note = inbox.recv() => match note {
                    Some(note) => self.handle_event(&mut term, note),
                    None => return,
                },
                _ = tick.tick() => self.tick(&mut term),
            }
            while term.tasks.try_join_next().is_some() {}
        }
    }

    /// Reads everything that a new leader needs, again and again until it succeeds.
    fn spawn_state_load(&self, term: &mut ActiveTerm) {
        let (store, notes) = (self.store.clone(), term.events.clone());
        let marked = term.term.has_start_watermarks;
        term.tasks.spawn(async move {
            loop {
                match load_state(&store).await {
                    Ok((mut loaded, revision)) => {
                        loaded.has_start_watermarks = marked;
                        let _ = notes.send(ControllerEvent::LoadedState(loaded, revision)).await;
                        return;
                    }
                    Err(e) => {
                        tracing::debug!("reading the records: {e}");
                        pause(constants::LEADER_RETRY_MS).await;
                    }
                }
            }
        });
    }

    fn spawn_job_watch(&self, term: &mut ActiveTerm, revision: u64) {
        let (store, notes) = (self.store.clone(), term.events.clone());
        term.tasks.spawn(async move {
            let mut revision = revision;
            loop {
                match store.watch(JOBS_PREFIX, revision, constants::WATCH_WAIT_MS).await {
                    Ok(answer) => {
                        revision = revision.max(answer.revision);
                        for event in answer.events {
                            if let WatchEvent::Put { key: put, value: v, .. } = event
                                && notes.send(ControllerEvent::JobAdded(put, v)).await.is_err()
                            {
                                return;
                            }
                        }
                    }
                    Err(StoreError::TooOld) => {
                        let _ = notes.send(ControllerEvent::WatchTruncated).await;
                        match store.list(JOBS_PREFIX).await {
                            Ok((jobs, at)) => {
                                revision = at;
                                for kv in jobs {
                                    if notes
                                        .send(ControllerEvent::JobAdded(kv.key, kv.value))
                                        .await
                                        .is_err()
                                    {
                                        return;
                                    }
                                }
                            }
                            Err(e) => {
                                tracing::debug!("reading the jobs again: {e}");
                                pause(constants::WATCH_RETRY_MS).await;
                            }
                        }
                    }
                    Err(e) => {
                        tracing::debug!("watching for jobs: {e}");
                        pause(constants::WATCH_RETRY_MS).await;
                    }
                }
            }
        });
    }

    fn handle_request(&self, term: &mut ActiveTerm, ask: ControllerRequest) {
        let now = self.clock.now();
        let entitled = self.lease.holds(term.term.term, now) && !term.paused;
        let Some(cluster) = term.cluster.as_mut().filter(|_| entitled) else {
            match ask {
                ControllerRequest::Heartbeat(report, reply) => {
                    let kept = self.extend_worker_lease(&report, now);
                    if kept.is_some()
                        && let Some(cluster) = &mut term.cluster
                    {
                        cluster.worker_lease_extended(&report.machine, now);
                    }
                    let _ = reply.send(kept.unwrap_or(HeartbeatReply::Unavailable));
                }
                ControllerRequest::ShardLeaseRenewal(reply) => drop(reply.send(None)),
                ControllerRequest::PrepareFollow(reply) => drop(reply.send(None)),
                ControllerRequest::ShardLeased(..) | ControllerRequest::Followed(_) => {}
                other => self.handle_as_follower(other),
            }
            return;
        };
        match ask {
            ControllerRequest::Heartbeat(report, reply) => {
                let until = self.instant_at(self.lease.until(term.term.term));
                let answer = cluster.handle_heartbeat(&report, now);
                let starts = |a: &HeartbeatResponse| {
                    a.commands.iter().any(|command| matches!(command, Command::Run { .. }))
                };
                if answer.as_ref().is_some_and(starts) {
                    self.standby.borrow_mut().start_dispatched(now);
                }
                let _ = reply
                    .send(answer.map_or(HeartbeatReply::Unavailable, |a| {
                        HeartbeatReply::Respond(a, until)
                    }));
                self.dispatch(term);
            }
            ControllerRequest::Status(id, reply) => drop(reply.send(Some(cluster.status(&id)))),
            ControllerRequest::Cancel(id, reply) => match cluster.cancel(&id) {
                CancelOutcome::Pending => {
                    term.pending_cancellations.entry(id).or_default().push(reply);
                    self.dispatch(term);
                }
                answer => drop(reply.send(Some(answer))),
            },
            ControllerRequest::AdoptJob(read_in, key, value, reply) => {
                let at = Timestamp { monotonic: now, wall: crate::leadership::wall_ms() };
                if read_in == Some(term.term.term) {
                    cluster.add_job(&key, value, at, false);
                }
                let _ = reply.send(Some(()));
            }
            ControllerRequest::RenewShardLease(renewal, reply) => {
                drop(reply.send(cluster.renew_shard_lease(&renewal, now)))
            }
            ControllerRequest::ShardLeaseRenewal(reply) => drop(reply.send(None)),
            ControllerRequest::Follow(request, reply) => {
                // Standbys ask one after the other: one comparison serves them all.
                if now >= term.last_publish + constants::FOLLOW_INTERVAL_MS / 2 {
                    term.last_publish = now;
                    if now >= term.last_full_publish + constants::FULL_PUBLISH_INTERVAL_MS {
                        term.last_full_publish = now;
                        cluster.publish_all(&mut term.publisher);
                    } else {
                        cluster.publish(&mut term.publisher);
                    }
                }
                let answer = term.publisher.answer(&request, now);
                let _ = reply.send(answer.map_err(|e| tracing::error!("replication: {e}")).ok());
            }
            ControllerRequest::PrepareFollow(reply) => drop(reply.send(None)),
            ControllerRequest::ShardLeased(..) | ControllerRequest::Followed(_) => {}
            ControllerRequest::ReplicationStatus(reply) => self.report_replication(reply),
        }
    }

    fn handle_event(&self, term: &mut ActiveTerm, note: ControllerEvent) {
        let at = self.clock.moment();
        match note {
            ControllerEvent::LoadedState(loaded, revision) => {
                if !self.standby.borrow_mut().records_read(term.term.term, at.monotonic) {
                    return;
                }
                let machine_types = self.machine_types.borrow().as_ref().map(|f| f.to_vec());
                let mut cluster = ClusterState::new(
                    self.config.clone(),
                    term.term.term,
                    term.term.precondition.clone(),
                    machine_types.unwrap_or_default(),
                    loaded,
                    at,
                );
                self.warm_start(&mut cluster, at.monotonic);
                tracing::info!("term {}: {}", term.term.term, cluster.summary(at.monotonic));
                term.cluster = Some(cluster);
                self.spawn_job_watch(term, revision);
            }
            ControllerEvent::JobAdded(key, value) => {
                if let Some(cluster) = &mut term.cluster {
                    cluster.add_job(&key, value, at, false);
                }
            }
            ControllerEvent::StoreUnavailable => {
                // They are told at once when to come back; the decisions stay in the queue.
                for (_, replies) in term.pending_cancellations.drain() {
                    for reply in replies {
                        let _ = reply.send(Some(CancelOutcome::Pending));
                    }
                }
            }
            ControllerEvent::WatchTruncated => {
                tracing::info!("the watch fell behind, reading the jobs again")
            }
            ControllerEvent::Committed(commit, result) => {
                let Some(cluster) = &mut term.cluster else { return };
                cluster.committed(commit, result, at.monotonic);
                for (id, record) in cluster.take_completed_jobs() {
                    // The ledger forgets the job; its user asks a last time, and all of them at once after
                    // a swarm of small jobs: without this each would take two readings of the store.
                    self.final_states.remember(&record.status(&id).into());
                    for reply in term.pending_cancellations.remove(&id).unwrap_or_default() {
                        let _ = reply.send(Some(CancelOutcome::AlreadyFinal(record.status(&id))));
                    }
                }
                if cluster.leadership_lost() {
                    self.leadership_lost.notify_one();
                }
                self.dispatch(term);
            }
            ControllerEvent::ScaledOut(request, machines) => {
                if let Some(cluster) = &mut term.cluster {
                    cluster.scale_out_finished(&request, machines, at.monotonic);
                    // What was refused is looked for elsewhere at once.
                    term.last_autoscaling = 0;
                }
            }
            ControllerEvent::ScaledIn(names, done) => {
                let Some(cluster) = &mut term.cluster else { return };
                if done {
                    cluster.scale_in_finished(&names, at.monotonic);
                } else {
                    cluster.scale_in_failed(&names);
                }
            }
            ControllerEvent::DirectStartSent(machine, token, delivery) => {
                if let Some(cluster) = &mut term.cluster {
                    cluster.direct_start_sent(&machine, token, delivery, at.monotonic);
                }
            }
            ControllerEvent::MachinesListed(list, asked) => {
                if let Some(cluster) = &mut term.cluster {
                    cluster.machines_listed(&list, asked, at.monotonic);
                    self.send_state_probes(term, at.monotonic);
                }
            }
            ControllerEvent::StateProbed(machine, report) => {
                if let Some(cluster) = &mut term.cluster {
                    cluster.state_probed(&machine, report, at.monotonic);
                    self.send_state_probes(term, at.monotonic);
                }
            }
        }
    }

    /// Takes from this node's copy of the last leader's picture what helps.
    fn warm_start(&self, cluster: &mut ClusterState, now: u64) {
        let standby = self.standby.borrow();
        match standby.copy(cluster.term(), now) {
            Ok(copy) => {
                let workers = &self.config.operator.replication.worker_networks;
                tracing::info!("warm start: {}", cluster.warm_start(copy, workers, now));
            }
            Err(why) => tracing::info!("cold start: {why}"),
        }
    }

    /// Asks workers that have not found this leader yet what is on their machines.
    fn send_state_probes(&self, term: &mut ActiveTerm, now: u64) {
        if !self.lease.holds(term.term.term, now) {
            return;
        }
        let Some(cluster) = term.cluster.as_mut() else { return };
        for (machine, address) in cluster.take_state_probes(now) {
            let (workers, notes) = (self.workers.clone(), term.events.clone());
            let token = term.term.term;
            term.tasks.spawn(async move {
                let report = workers.probe_state(&address, token).await;
                let _ = notes.send(ControllerEvent::StateProbed(machine, report)).await;
            });
        }
    }

    /// Whether this node may still act as the leader of a term, to be asked right before each effect that
    /// no token or version guards, by whatever carries it out.
    fn leadership_check(&self, term: u64) -> impl Fn() -> bool + Send + use<> {
        let (validity, clock) = (self.lease.clone(), self.clock);
        move || validity.holds(term, clock.now())
    }

    /// Starts the next transaction, if there is one.
    fn dispatch(&self, term: &mut ActiveTerm) {
        let now = self.clock.now();
        if !self.lease.holds(term.term.term, now) {
            return;
        }
        let Some(cluster) = term.cluster.as_mut() else { return };
        for (address, commands) in cluster.take_direct_stops(now) {
            let workers = self.workers.clone();
            term.tasks.spawn(async move { workers.stop(&address, &commands).await });
        }
        // Every report comes by here, and machines whose tasks wait for the store are looked at in vain.
        let due = now >= term.last_direct_dispatch + constants::DIRECT_DISPATCH_INTERVAL_MS;
        let sends = if due { cluster.take_direct_starts(now) } else { Vec::new() };
        if due {
            term.last_direct_dispatch = now;
        }
        if !sends.is_empty() {
            self.standby.borrow_mut().start_dispatched(now);
        }
        for (machine, address, commands) in sends {
            let (workers, notes) = (self.workers.clone(), term.events.clone());
            let entitled = self.leadership_check(term.term.term);
            term.tasks.spawn(async move {
                // Nothing that was queued while this process stood still goes out on a stale right.
                let delivery = if entitled() {
                    workers.send(&address, &commands).await
                } else {
                    Delivery::NotSent
                };
                let _ = notes
                    .send(ControllerEvent::DirectStartSent(
                        machine,
                        commands.fencing_token,
                        delivery,
                    ))
                    .await;
            });
        }
        let Some(commit) = cluster.next_commit(now) else { return };
        let (store, notes) = (self.store.clone(), term.events.clone());
        term.tasks.spawn(async move {
            let away = || drop(notes.try_send(ControllerEvent::StoreUnavailable));
            let result = commit_and_reread(&store, &commit, away).await;
            let _ = notes.send(ControllerEvent::Committed(commit, result)).await;
        });
    }

    /// The leader's clockwork.
    fn tick(&self, term: &mut ActiveTerm) {
        let now = self.clock.now();
        let valid = self.lease.holds(term.term.term, now);
        let Some(cluster) = &mut term.cluster else { return };
        debug_assert!(self.standby.borrow().may_decide(term.term.term));
        if !valid {
            if !term.paused {
                tracing::info!("the lease is in doubt: deciding nothing");
                term.paused = true;
            }
            return;
        }
        // It stood still, lease or not: what fell silent meanwhile may have been heard in vain.
        let stood_still = now >= term.last_tick + constants::PROCESS_PAUSE_MS;
        term.last_tick = now;
        if stood_still && !term.paused {
            cluster.resumed(now);
        }
        if term.paused {
            tracing::info!("the lease holds again");
            term.paused = false;
            cluster.resumed(now);
        }
        let lease_ms = cluster.shard_lease_ms(now);
        if lease_ms > 0 {
            self.shard_lessee.borrow_mut().hold_as_leader(
                term.term.term,
                cluster.own_shard(),
                lease_ms,
                now,
            );
        }
        cluster.set_time(self.clock.moment());
        if cluster.all_workers_silent(now)
            && self
                .stepped_down_at
                .get()
                .is_none_or(|at| now >= at + constants::STEP_DOWN_INTERVAL_MS)
        {
            tracing::info!("no worker reports any more: stepping down");
            self.stepped_down_at.set(Some(now));
            self.leadership_lost.notify_one();
            return;
        }
        let machine_types = self.machine_types.borrow().clone();
        if machine_types != term.machine_types_seen {
            cluster
                .set_machine_types(machine_types.as_ref().map(|f| f.to_vec()).unwrap_or_default());
            term.machine_types_seen = machine_types;
        }
        if now
            >= term.last_round + cluster.round_interval_ms().max(constants::SCHEDULING_INTERVAL_MS)
        {
            term.last_round = now;
            cluster.scheduling_round(now);
        }
        if now
            >= term.last_autoscaling
                + constants::AUTOSCALING_INTERVAL_MS.max(2 * cluster.round_interval_ms())
        {
            term.last_autoscaling = now;
            for action in cluster.autoscaling_round(now) {
                self.spawn_scaling_action(&mut term.tasks, &term.events, action, &term.term);
            }
        }
        if now >= term.last_log + 10_000 {
            term.last_log = now;
            tracing::info!("{}", cluster.summary(now));
        }
        // A long list takes time to read.
        let list_every = constants::CLOUD_LIST_INTERVAL_MS
            + constants::CLOUD_LIST_PER_MACHINE_MS * cluster.machine_count() as u64;
        let due = |every: u64| term.last_machine_list.is_none_or(|l| now >= l + every);
        // A machine that has missed its report may be gone, which the list proves.
        if due(list_every)
            || due(constants::CLOUD_LIST_INTERVAL_MS) && cluster.any_heartbeat_overdue(now)
        {
            term.last_machine_list = Some(now);
            let (cloud, notes) = (self.cloud.clone(), term.events.clone());
            let clock = self.clock;
            term.tasks.spawn(async move {
                let asked = clock.now();
                match cloud.machines().await {
                    Ok(list) => {
                        drop(notes.send(ControllerEvent::MachinesListed(list, asked)).await)
                    }
                    Err(e) => tracing::debug!("machine list: {e}"),
                }
            });
        }
        self.send_state_probes(term, now);
        self.dispatch(term);
    }

    fn spawn_scaling_action(
        &self,
        helpers: &mut JoinSet<()>,
        notes: &mpsc::Sender<ControllerEvent>,
        action: ScalingAction,
        leader_term: &LeaderTerm,
    ) {
        let (cloud, notes) = (self.cloud.clone(), notes.clone());
        let term = leader_term.term;
        let entitled = self.leadership_check(term);
        match action {
            ScalingAction::ScaleOut(request) => helpers.spawn(async move {
                // After an unclear outcome the same request, under the same name, tells what was
                // rented, or rents now.
                loop {
                    if !entitled() {
                        pause(constants::LEADER_RETRY_MS).await;
                        continue;
                    }
                    match cloud.scale_out(&request).await {
                        Ok(ScaleOutOutcome::Created(machines)) => {
                            let _ = notes
                                .send(ControllerEvent::ScaledOut(request, Some(machines)))
                                .await;
                            return;
                        }
                        Ok(ScaleOutOutcome::NoCapacity) | Err(CloudError::Unexpected(..)) => {
                            let _ = notes.send(ControllerEvent::ScaledOut(request, None)).await;
                            return;
                        }
                        Err(e) => {
                            tracing::debug!("rental {} (term {term}): {e}", request.request_id);
                            pause(1_000).await;
                        }
                    }
                }
            }),
            ScalingAction::ScaleIn(names) => helpers.spawn(async move {
                let answer = if entitled() { Some(cloud.delete(&names).await) } else { None };
                let done = match answer {
                    Some(Ok(())) => true,
                    // A later leader may have given the machine work by now.
                    None => false,
                    Some(Err(e)) => {
                        tracing::debug!("deleting {names:?}: {e}");
                        pause(1_000).await;
                        false
                    }
                };
                let _ = notes.send(ControllerEvent::ScaledIn(names, done)).await;
            }),
        };
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
