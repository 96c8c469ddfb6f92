//! The node's actor. It owns the ledger while the node leads, answers what is asked of it, and
//! carries out what the ledger wants from the state service and the cloud.

mod messages;
mod records_io;

pub use messages::{Ask, HeartbeatReply};

use crate::answers::Finals;
use crate::holders::Holding;
use crate::lead::{Clock, Mandate, Validity, View};
use crate::ledger::{Cancellation, FleetAction, Ledger, Moment, Setup};
use crate::records::JOBS;
use crate::standby::Standby;
use hookway_clients::{
    CloudClient, CloudError, Delivery, ScaleOutOutcome, StoreClient, StoreError, WorkerClient,
};
use hookway_constants as constants;
use hookway_replication::Publisher;
use hookway_wire::{
    Command, Heartbeat, HeartbeatResponse, JobId, MachineType, ReplicationStatus, WatchEvent,
};
use messages::Note;
use records_io::{carry_out, load};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The node's actor.
pub struct Node {
    /// What the ledger needs to know.
    pub setup: Setup,
    /// The state service.
    pub store: StoreClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// The workers.
    pub workers: WorkerClient,
    /// Clocks.
    pub clock: Clock,
    /// How long this node's lease lasts.
    pub validity: Arc<Validity>,
    /// Who leads.
    pub view: watch::Receiver<View>,
    /// Rung when a write shows that another node leads.
    pub doubt: Arc<Notify>,
    /// Machine types.
    pub machine_types: watch::Receiver<Option<Arc<Vec<MachineType>>>>,
    /// Questions.
    pub asks: mpsc::Receiver<Ask>,
    /// When this node last stepped down for lack of reports, ms.
    pub deserted_at: std::cell::Cell<Option<u64>>,
    /// Where users are told the ends of jobs from.
    pub finals: Arc<Finals>,
    /// The block that this node holds.
    pub holding: std::cell::RefCell<Holding>,
    /// This node's copy of the leader's picture, and the steps by which it takes over.
    pub standby: std::cell::RefCell<Standby>,
}

/// One term of leadership.
struct Term {
    mandate: Mandate,
    ledger: Option<Ledger>,
    publisher: Publisher,
    helpers: JoinSet<()>,
    notes: mpsc::Sender<Note>,
    waiting: HashMap<JobId, Vec<oneshot::Sender<Option<Cancellation>>>>,
    paused: bool,
    last_round: u64,
    last_fleet: u64,
    last_list: Option<u64>,
    machine_types_seen: Option<Arc<Vec<MachineType>>>,
    last_log: u64,
    last_direct: u64,
    last_work: u64,
    last_publish: u64,
    published_all: u64,
}

impl Node {
    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let view = self.view.borrow_and_update().clone();
            self.standby.get_mut().view_changed(&view, self.clock.now());
            match view.mandate {
                Some(mandate) => self.lead(mandate).await,
                None => {
                    tokio::select! {
                        changed = self.view.changed() => if changed.is_err() { return },
                        ask = self.asks.recv() => match ask {
                            Some(ask) => self.not_leading(ask),
                            None => return,
                        },
                    }
                }
            }
        }
    }

    fn not_leading(&self, ask: Ask) {
        match ask {
            Ask::Heartbeat(report, reply) => {
                let now = self.clock.now();
                let in_touch = self.holding.borrow().leader_in_touch(now);
                let leader = self.view.borrow().leader.clone().filter(|_| in_touch);
                let other = leader.filter(|l| *l != self.setup.label);
                let kept = self.keep_alive(&report, now);
                let _ = reply.send(kept.unwrap_or(HeartbeatReply::Elsewhere(other)));
            }
            Ask::Status(_, reply) => drop(reply.send(None)),
            Ask::Cancel(_, reply) => drop(reply.send(None)),
            Ask::Adopt(_, _, _, reply) => drop(reply.send(None)),
            Ask::Renew(_, reply) => drop(reply.send(None)),
            Ask::Renewal(reply) => {
                let now = self.clock.now();
                let _ = reply.send(Some((self.holding.borrow().renewal(now), now)));
            }
            Ask::Leased(lease, sent) => {
                self.holding.borrow_mut().leased(lease, sent, self.clock.now());
            }
            Ask::Follow(_, reply) => drop(reply.send(None)),
            Ask::FollowRequest(reply) => {
                let request = self.standby.borrow_mut().next_request(self.clock.now());
                let _ = reply.send(request);
            }
            Ask::Followed(answer) => {
                self.standby.borrow_mut().followed(answer, self.clock.now());
            }
            Ask::Replication(reply) => self.tell_replication(reply),
        }
    }

    fn tell_replication(&self, reply: oneshot::Sender<Option<ReplicationStatus>>) {
        let _ = reply.send(Some(self.standby.borrow().status(self.clock.now())));
    }

    /// A moment of this node's clock.
    fn moment(&self, at: u64) -> Instant {
        let now = Instant::now();
        now + Duration::from_millis(at.saturating_sub(self.clock.now()))
    }

    /// The answer of this node as the holder of a block, if it may and should give one.
    fn keep_alive(&self, report: &Heartbeat, now: u64) -> Option<HeartbeatReply> {
        let kept = self.holding.borrow_mut().keep(report, now, |id| self.finals.holds(id))?;
        Some(HeartbeatReply::Answer(kept.answer, self.moment(kept.until)))
    }

    async fn lead(&mut self, mandate: Mandate) {
        if !self.standby.get_mut().elected(mandate.term, self.clock.now()) {
            self.doubt.notify_one();
            // Until the leadership has been given back.
            let _ = self.view.changed().await;
            return;
        }
        self.lead_term(mandate).await;
        self.standby.get_mut().deposed(self.clock.now());
    }

    async fn lead_term(&mut self, mandate: Mandate) {
        self.holding.borrow_mut().won(mandate.term);
        let (notes, mut inbox) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let mut term = Term {
            publisher: Publisher::new(mandate.term),
            mandate,
            ledger: None,
            helpers: JoinSet::new(),
            notes,
            waiting: HashMap::new(),
            paused: false,
            last_round: 0,
            last_fleet: 0,
            last_list: None,
            machine_types_seen: None,
            last_log: 0,
            last_direct: 0,
            last_work: self.clock.now(),
            last_publish: 0,
            published_all: 0,
        };
        self.start_loading(&mut term);
        let mut tick = tokio::time::interval(Duration::from_millis(constants::TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.view.changed() => {
                    let now = self.view.borrow_and_update().mandate.clone();
                    if changed.is_err() || now.as_ref() != Some(&term.mandate) {
                        return;
                    }
                }
                ask = self.asks.recv() => match ask {
                    Some(ask) => self.answer(&mut term, ask),
                    None => return,
                },
                note = inbox.recv() => match note {
                    Some(note) => self.take(&mut term, note),
                    None => return,
                },
                _ = tick.tick() => self.work(&mut term),
            }
            while term.helpers.try_join_next().is_some() {}
        }
    }

    /// Reads everything that a new leader needs, again and again until it succeeds.
    fn start_loading(&self, term: &mut Term) {
        let (store, notes) = (self.store.clone(), term.notes.clone());
        let marked = term.mandate.marked;
        term.helpers.spawn(async move {
            loop {
                match load(&store).await {
                    Ok((mut loaded, revision)) => {
                        loaded.marked = marked;
                        let _ = notes.send(Note::Loaded(loaded, revision)).await;
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

    fn start_watching(&self, term: &mut Term, revision: u64) {
        let (store, notes) = (self.store.clone(), term.notes.clone());
        term.helpers.spawn(async move {
            let mut revision = revision;
            loop {
                match store.watch(JOBS, revision, constants::WATCH_WAIT_MS).await {
                    Ok(answer) => {
                        revision = revision.max(answer.revision);
                        for event in answer.events {
                            if let WatchEvent::Put { key: put, value: v, .. } = event
                                && notes.send(Note::JobPut(put, v)).await.is_err()
                            {
                                return;
                            }
                        }
                    }
                    Err(StoreError::TooOld) => {
                        let _ = notes.send(Note::Reload).await;
                        match store.list(JOBS).await {
                            Ok((jobs, at)) => {
                                revision = at;
                                for kv in jobs {
                                    if notes.send(Note::JobPut(kv.key, kv.value)).await.is_err() {
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

    fn answer(&self, term: &mut Term, ask: Ask) {
        let now = self.clock.now();
        let entitled = self.validity.holds(term.mandate.term, now) && !term.paused;
        let Some(ledger) = term.ledger.as_mut().filter(|_| entitled) else {
            match ask {
                Ask::Heartbeat(report, reply) => {
                    let kept = self.keep_alive(&report, now);
                    if kept.is_some()
                        && let Some(ledger) = &mut term.ledger
                    {
                        ledger.kept_alive(&report.machine, now);
                    }
                    let _ = reply.send(kept.unwrap_or(HeartbeatReply::Unsure));
                }
                Ask::Renewal(reply) => drop(reply.send(None)),
                Ask::FollowRequest(reply) => drop(reply.send(None)),
                Ask::Leased(..) | Ask::Followed(_) => {}
                other => self.not_leading(other),
            }
            return;
        };
        match ask {
            Ask::Heartbeat(report, reply) => {
                let until = self.moment(self.validity.until(term.mandate.term));
                let answer = ledger.check_in(&report, now);
                let starts = |a: &HeartbeatResponse| {
                    a.commands.iter().any(|command| matches!(command, Command::Run { .. }))
                };
                if answer.as_ref().is_some_and(starts) {
                    self.standby.borrow_mut().decided(now);
                }
                let _ = reply.send(
                    answer.map_or(HeartbeatReply::Unsure, |a| HeartbeatReply::Answer(a, until)),
                );
                self.flush(term);
            }
            Ask::Status(id, reply) => drop(reply.send(Some(ledger.status(&id)))),
            Ask::Cancel(id, reply) => match ledger.cancel(&id) {
                Cancellation::Pending => {
                    term.waiting.entry(id).or_default().push(reply);
                    self.flush(term);
                }
                answer => drop(reply.send(Some(answer))),
            },
            Ask::Adopt(read_in, key, value, reply) => {
                let at = Moment { now, wall: crate::lead::wall_ms() };
                if read_in == Some(term.mandate.term) {
                    ledger.job_seen(&key, value, at, false);
                }
                let _ = reply.send(Some(()));
            }
            Ask::Renew(renewal, reply) => drop(reply.send(ledger.renew_block(&renewal, now))),
            Ask::Renewal(reply) => drop(reply.send(None)),
            Ask::Follow(request, reply) => {
                // Standbys ask one after the other: one comparison serves them all.
                if now >= term.last_publish + constants::FOLLOW_INTERVAL_MS / 2 {
                    term.last_publish = now;
                    if now >= term.published_all + constants::FULL_PUBLISH_INTERVAL_MS {
                        term.published_all = now;
                        ledger.publish_all(&mut term.publisher);
                    } else {
                        ledger.publish(&mut term.publisher);
                    }
                }
                let answer = term.publisher.answer(&request, now);
                let _ = reply.send(answer.map_err(|e| tracing::error!("replication: {e}")).ok());
            }
            Ask::FollowRequest(reply) => drop(reply.send(None)),
            Ask::Leased(..) | Ask::Followed(_) => {}
            Ask::Replication(reply) => self.tell_replication(reply),
        }
    }

    fn take(&self, term: &mut Term, note: Note) {
        let at = self.clock.moment();
        match note {
            Note::Loaded(loaded, revision) => {
                if !self.standby.borrow_mut().records_read(term.mandate.term, at.now) {
                    return;
                }
                let machine_types = self.machine_types.borrow().as_ref().map(|f| f.to_vec());
                let mut ledger = Ledger::new(
                    self.setup.clone(),
                    term.mandate.term,
                    term.mandate.guard.clone(),
                    machine_types.unwrap_or_default(),
                    loaded,
                    at,
                );
                self.warm_start(&mut ledger, at.now);
                tracing::info!("term {}: {}", term.mandate.term, ledger.summary(at.now));
                term.ledger = Some(ledger);
                self.start_watching(term, revision);
            }
            Note::JobPut(key, value) => {
                if let Some(ledger) = &mut term.ledger {
                    ledger.job_seen(&key, value, at, false);
                }
            }
            Note::StoreAway => {
                // They are told at once when to come back; the decisions stay in the queue.
                for (_, replies) in term.waiting.drain() {
                    for reply in replies {
                        let _ = reply.send(Some(Cancellation::Pending));
                    }
                }
            }
            Note::Reload => tracing::info!("the watch fell behind, reading the jobs again"),
            Note::Committed(commit, result) => {
                let Some(ledger) = &mut term.ledger else { return };
                ledger.committed(commit, result, at.now);
                for (id, record) in ledger.take_decided() {
                    // The ledger forgets the job; its user asks a last time, and all of them at once after
                    // a swarm of small jobs: without this each would take two readings of the store.
                    self.finals.remember(&record.status(&id).into());
                    for reply in term.waiting.remove(&id).unwrap_or_default() {
                        let _ = reply.send(Some(Cancellation::Over(record.status(&id))));
                    }
                }
                if ledger.deposed() {
                    self.doubt.notify_one();
                }
                self.flush(term);
            }
            Note::Rented(request, machines) => {
                if let Some(ledger) = &mut term.ledger {
                    ledger.rented(&request, machines, at.now);
                    // What was refused is looked for elsewhere at once.
                    term.last_fleet = 0;
                }
            }
            Note::Deleted(names, done) => {
                let Some(ledger) = &mut term.ledger else { return };
                if done {
                    ledger.deleted(&names, at.now);
                } else {
                    ledger.delete_failed(&names);
                }
            }
            Note::Delivered(machine, token, delivery) => {
                if let Some(ledger) = &mut term.ledger {
                    ledger.delivered(&machine, token, delivery, at.now);
                }
            }
            Note::Listed(list, asked) => {
                if let Some(ledger) = &mut term.ledger {
                    ledger.listed(&list, asked, at.now);
                    self.ask_for_report(term, at.now);
                }
            }
            Note::Greeted(machine, report) => {
                if let Some(ledger) = &mut term.ledger {
                    ledger.greeted(&machine, report, at.now);
                    self.ask_for_report(term, at.now);
                }
            }
        }
    }

    /// Takes from this node's copy of the last leader's picture what helps.
    fn warm_start(&self, ledger: &mut Ledger, now: u64) {
        let standby = self.standby.borrow();
        match standby.copy(ledger.term(), now) {
            Ok(copy) => {
                let workers = &self.setup.operator.replication.worker_networks;
                tracing::info!("warm start: {}", ledger.warm_start(copy, workers, now));
            }
            Err(why) => tracing::info!("cold start: {why}"),
        }
    }

    /// Asks workers that have not found this leader yet what is on their machines.
    fn ask_for_report(&self, term: &mut Term, now: u64) {
        if !self.validity.holds(term.mandate.term, now) {
            return;
        }
        let Some(ledger) = term.ledger.as_mut() else { return };
        for (machine, address) in ledger.take_greetings(now) {
            let (workers, notes) = (self.workers.clone(), term.notes.clone());
            let token = term.mandate.term;
            term.helpers.spawn(async move {
                let report = workers.ask_for_report(&address, token).await;
                let _ = notes.send(Note::Greeted(machine, report)).await;
            });
        }
    }

    /// Whether this node may still act as the leader of a term, to be asked right before each effect that
    /// no token or version guards, by whatever carries it out.
    fn entitlement(&self, term: u64) -> impl Fn() -> bool + Send + use<> {
        let (validity, clock) = (self.validity.clone(), self.clock);
        move || validity.holds(term, clock.now())
    }

    /// Starts the next transaction, if there is one.
    fn flush(&self, term: &mut Term) {
        let now = self.clock.now();
        if !self.validity.holds(term.mandate.term, now) {
            return;
        }
        let Some(ledger) = term.ledger.as_mut() else { return };
        for (address, commands) in ledger.take_pushes(now) {
            let workers = self.workers.clone();
            term.helpers.spawn(async move { workers.stop(&address, &commands).await });
        }
        // Every report comes by here, and machines whose tasks wait for the store are looked at in vain.
        let due = now >= term.last_direct + constants::DIRECT_DISPATCH_INTERVAL_MS;
        let sends = if due { ledger.take_direct(now) } else { Vec::new() };
        if due {
            term.last_direct = now;
        }
        if !sends.is_empty() {
            self.standby.borrow_mut().decided(now);
        }
        for (machine, address, commands) in sends {
            let (workers, notes) = (self.workers.clone(), term.notes.clone());
            let entitled = self.entitlement(term.mandate.term);
            term.helpers.spawn(async move {
                // Nothing that was queued while this process stood still goes out on a stale right.
                let delivery = if entitled() {
                    workers.send(&address, &commands).await
                } else {
                    Delivery::NotSent
                };
                let _ =
                    notes.send(Note::Delivered(machine, commands.fencing_token, delivery)).await;
            });
        }
        let Some(commit) = ledger.next_commit(now) else { return };
        let (store, notes) = (self.store.clone(), term.notes.clone());
        term.helpers.spawn(async move {
            let away = || drop(notes.try_send(Note::StoreAway));
            let result = carry_out(&store, &commit, away).await;
            let _ = notes.send(Note::Committed(commit, result)).await;
        });
    }

    /// The leader's clockwork.
    fn work(&self, term: &mut Term) {
        let now = self.clock.now();
        let valid = self.validity.holds(term.mandate.term, now);
        let Some(ledger) = &mut term.ledger else { return };
        debug_assert!(self.standby.borrow().may_decide(term.mandate.term));
        if !valid {
            if !term.paused {
                tracing::info!("the lease is in doubt: deciding nothing");
                term.paused = true;
            }
            return;
        }
        // It stood still, lease or not: what fell silent meanwhile may have been heard in vain.
        let stood_still = now >= term.last_work + constants::PROCESS_PAUSE_MS;
        term.last_work = now;
        if stood_still && !term.paused {
            ledger.resumed(now);
        }
        if term.paused {
            tracing::info!("the lease holds again");
            term.paused = false;
            ledger.resumed(now);
        }
        let lease_ms = ledger.block_lease(now);
        if lease_ms > 0 {
            self.holding.borrow_mut().lead(term.mandate.term, ledger.own_block(), lease_ms, now);
        }
        ledger.tell_time(self.clock.moment());
        if ledger.deserted(now)
            && self.deserted_at.get().is_none_or(|at| now >= at + constants::STEP_DOWN_INTERVAL_MS)
        {
            tracing::info!("no worker reports any more: stepping down");
            self.deserted_at.set(Some(now));
            self.doubt.notify_one();
            return;
        }
        let machine_types = self.machine_types.borrow().clone();
        if machine_types != term.machine_types_seen {
            ledger
                .set_machine_types(machine_types.as_ref().map(|f| f.to_vec()).unwrap_or_default());
            term.machine_types_seen = machine_types;
        }
        if now >= term.last_round + ledger.round_pause().max(constants::SCHEDULING_INTERVAL_MS) {
            term.last_round = now;
            ledger.round(now);
        }
        if now >= term.last_fleet + constants::AUTOSCALING_INTERVAL_MS.max(2 * ledger.round_pause())
        {
            term.last_fleet = now;
            for action in ledger.fleet_round(now) {
                self.act(&mut term.helpers, &term.notes, action, &term.mandate);
            }
        }
        if now >= term.last_log + 10_000 {
            term.last_log = now;
            tracing::info!("{}", ledger.summary(now));
        }
        // A long list takes time to read.
        let list_every = constants::CLOUD_LIST_INTERVAL_MS
            + constants::CLOUD_LIST_PER_MACHINE_MS * ledger.machine_count() as u64;
        let due = |every: u64| term.last_list.is_none_or(|l| now >= l + every);
        // A machine that has missed its report may be gone, which the list proves.
        if due(list_every) || due(constants::CLOUD_LIST_INTERVAL_MS) && ledger.some_silent(now) {
            term.last_list = Some(now);
            let (cloud, notes) = (self.cloud.clone(), term.notes.clone());
            let clock = self.clock;
            term.helpers.spawn(async move {
                let asked = clock.now();
                match cloud.machines().await {
                    Ok(list) => drop(notes.send(Note::Listed(list, asked)).await),
                    Err(e) => tracing::debug!("machine list: {e}"),
                }
            });
        }
        self.ask_for_report(term, now);
        self.flush(term);
    }

    fn act(
        &self,
        helpers: &mut JoinSet<()>,
        notes: &mpsc::Sender<Note>,
        action: FleetAction,
        mandate: &Mandate,
    ) {
        let (cloud, notes) = (self.cloud.clone(), notes.clone());
        let term = mandate.term;
        let entitled = self.entitlement(term);
        match action {
            FleetAction::Rent(request) => helpers.spawn(async move {
                // After an unclear outcome the same request, under the same name, tells what was
                // rented, or rents now.
                loop {
                    if !entitled() {
                        pause(constants::LEADER_RETRY_MS).await;
                        continue;
                    }
                    match cloud.rent(&request).await {
                        Ok(ScaleOutOutcome::Rented(machines)) => {
                            let _ = notes.send(Note::Rented(request, Some(machines))).await;
                            return;
                        }
                        Ok(ScaleOutOutcome::NoCapacity) | Err(CloudError::Unexpected(..)) => {
                            let _ = notes.send(Note::Rented(request, None)).await;
                            return;
                        }
                        Err(e) => {
                            tracing::debug!("rental {} (term {term}): {e}", request.request_id);
                            pause(1_000).await;
                        }
                    }
                }
            }),
            FleetAction::Delete(names) => helpers.spawn(async move {
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
                let _ = notes.send(Note::Deleted(names, done)).await;
            }),
        };
    }
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
