//! Controllers: who leads, who holds blocks, and what goes between them, the state service and the cloud.

use super::{Message, NODES, Reply, StoredLead, World};
use crate::world::machines::Machine;
use hookway_clients::Delivery;
use hookway_constants as constants;
use hookway_controller::config::{OperatorSettings, Settings};
use hookway_controller::holders::{BlockLease, Holding, Renewal};
use hookway_controller::lead::valid_until;
use hookway_controller::ledger::{
    Commit, CommitResult, FleetAction, Ledger, Loaded, Moment, Setup,
};
use hookway_controller::records::LEAD_NOW;
use hookway_replication::{Follower, Publisher};
use hookway_testkit::{SETTINGS, machine_types};
use hookway_wire::{
    Change, CheckIn, Command, DirectCommands, Guard, JobId, JobState, ListedMachine, MachineState,
    Transaction,
};
use rand::RngExt;
use std::collections::BTreeSet;

/// So long without the leader, and a holder answers workers itself, ms.
const HOLDER_PATIENCE: u64 = 4_000;
/// New machines are not in the cloud's list for so long, ms.
const LIST_LAG: u64 = 4_000;

/// One term, as the controller that leads it, or led it a moment ago, has it.
pub(super) struct Leader {
    pub ledger: Ledger,
    pub term: u64,
    pub publisher: Publisher,
    valid_until: u64,
    next_extend: u64,
    paused: bool,
    /// Withdrawals whose users wait for them to become durable.
    pub asked: BTreeSet<JobId>,
}

/// A controller's process.
pub(super) struct Controller {
    pub setup: Setup,
    pub holding: Holding,
    pub version: Version,
    /// Its copy of the leader's picture.
    pub follower: Follower,
    /// What it asks other controllers arrives, and their answers don't: its link is cut one way.
    pub no_answers_until: u64,
    pub nonce: u64,
    /// When its process began.
    begun: u64,
    pub leader: Option<Leader>,
    /// Who leads, as it last saw.
    pub seen: Option<usize>,
    /// Jobs that it knows to be over.
    pub over: BTreeSet<JobId>,
    pub no_store_until: u64,
    /// The state service refuses it; else it hears nothing.
    pub refused: bool,
    pub no_peers_until: u64,
    pub no_workers_until: u64,
    pub frozen_until: u64,
    pub down_until: u64,
    abstains_until: u64,
    deserted_at: Option<u64>,
    /// The state service is away for everybody from then on.
    pub outage_at: Option<u64>,
}

/// Which version a process is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Version {
    /// Writes records as large as the state service takes at first.
    Old,
    /// Keeps to the limits that the state service has later.
    New,
}

/// What the state service takes later: small enough that a record of the old version is too large.
const NEXT_LIMITS: &str =
    "\n[settings.state.next]\nvalue_kb = 0.25\ntxn_ops = 3\nwrite_rps = 20.0\n";

impl Controller {
    pub fn new(n: usize, version: Version, nonce: u64, now: u64) -> Self {
        let siblings = NODES.iter().enumerate().filter(|(other, _)| *other != n);
        let limits = if version == Version::New { NEXT_LIMITS } else { "" };
        let settings = format!("{SETTINGS}{limits}");
        let setup = Setup {
            label: NODES[n].0.into(),
            domain: NODES[n].1.into(),
            siblings: siblings.map(|(_, (l, z))| ((*l).to_owned(), (*z).to_owned())).collect(),
            params: Settings::parse(&settings).expect("sound settings").settings,
            operator: OperatorSettings::default(),
        };
        Self {
            holding: Holding::new(NODES[n].0, nonce, HOLDER_PATIENCE),
            setup,
            version,
            follower: Follower::new(NODES[n].0),
            no_answers_until: 0,
            nonce,
            begun: now,
            leader: None,
            seen: None,
            over: BTreeSet::new(),
            no_store_until: 0,
            refused: false,
            no_peers_until: 0,
            no_workers_until: 0,
            frozen_until: 0,
            down_until: now,
            abstains_until: 0,
            deserted_at: None,
            outage_at: None,
        }
    }

    /// Its process runs and does not stand still.
    pub fn up(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    /// Whether it may act as the leader.
    pub fn entitled(&self, now: u64) -> bool {
        self.up(now) && self.leader.as_ref().is_some_and(|l| !l.paused && now < l.valid_until)
    }

    /// Its ledger of that term.
    pub fn leading(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|l| l.term == term)
    }

    /// All troubles end.
    pub fn calm(&mut self, now: u64) {
        (self.no_store_until, self.no_peers_until, self.no_workers_until) = (0, 0, 0);
        self.no_answers_until = 0;
        self.frozen_until = self.frozen_until.min(now);
        self.outage_at = None;
    }
}

impl World {
    fn moment(&self) -> Moment {
        Moment { now: self.now, wall: 1_000_000 + self.now }
    }

    /// A process ends; another one of the same version runs under its name soon.
    pub(super) fn kill(&mut self, n: usize) {
        self.replace(n, self.controllers[n].version);
    }

    /// A process ends; one of this version runs under its name soon.
    pub(super) fn replace(&mut self, n: usize, version: Version) {
        let nonce = self.rng.random();
        let back = match self.rng.random_range(0..2) {
            0 => self.span(100, 800),
            _ => self.span(1_000, 9_000),
        };
        let old = &self.controllers[n];
        let cuts = (old.no_store_until, old.no_peers_until, old.no_workers_until, old.refused);
        let mut next = Controller::new(n, version, nonce, self.now + back);
        (next.no_store_until, next.no_peers_until, next.no_workers_until, next.refused) = cuts;
        self.controllers[n] = next;
    }

    pub(super) fn run_controller(&mut self, n: usize) {
        if !self.controllers[n].up(self.now) {
            return;
        }
        self.keep_lease(n);
        if self.controllers[n].leader.is_none() {
            self.seek(n);
        }
        if let Some(mut leader) = self.controllers[n].leader.take() {
            let stays = self.work(n, &mut leader);
            if stays {
                self.controllers[n].leader = Some(leader);
            }
            return;
        }
        let node = &self.controllers[n];
        if let Some(leader) = node.seen.filter(|l| *l != n)
            && self.now.is_multiple_of(constants::RENEW_EVERY_MS)
        {
            let at = self.now - node.begun;
            let renewal = node.holding.renewal(at);
            self.send(|| Message::Renew(n, leader, renewal.clone(), at));
        }
        self.follow(n);
    }

    /// Extends the lease of a leader.
    fn keep_lease(&mut self, n: usize) {
        let now = self.now;
        let answers = self.store_answers(n);
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if now < leader.next_extend {
            return;
        }
        if !answers {
            leader.next_extend = now + constants::LEADER_RETRY_MS;
            return;
        }
        leader.next_extend = now + constants::LEADER_EXTEND_EVERY_MS;
        match self.lead.as_mut().filter(|l| l.term == leader.term) {
            Some(lead) => {
                lead.until = now + constants::LEADER_TTL_MS;
                self.counts.resumed_terms += usize::from(now >= leader.valid_until);
                leader.valid_until = valid_until(now, constants::LEADER_TTL_MS);
            }
            None => {
                self.controllers[n].leader = None;
                self.controllers[n].seen = None;
            }
        }
    }

    /// Looks who leads; stands if nobody does.
    fn seek(&mut self, n: usize) {
        if !self.store_answers(n) {
            return;
        }
        match &self.lead {
            // Its own earlier process: it ends that lease.
            Some(lead) if lead.node == n => self.end_lead(),
            Some(lead) => {
                self.controllers[n].seen = Some(lead.node);
                self.controllers[n].follower.learn_term(lead.term);
            }
            None => {
                self.controllers[n].seen = None;
                let stands = self.now >= self.controllers[n].abstains_until;
                let steps = self.election_steps(n);
                if stands && self.rng.random_range(0..steps) == 0 {
                    self.win(n);
                }
            }
        }
    }

    fn win(&mut self, n: usize) {
        let now = self.now;
        let term = self.next_term;
        self.next_term += constants::TOKENS_PER_TERM;
        self.counts.terms += 1;
        let stamp = self.store.put(LEAD_NOW, serde_json::json!({ "term": term }));
        self.lead = Some(StoredLead { node: n, term, until: now + constants::LEADER_TTL_MS });
        let loaded = Loaded {
            jobs: self.store.list("j/"),
            progress: self.store.list("p/"),
            minimums: self.store.list("m/"),
            roster: self.store.list("r/"),
            images: vec![],
            classes: self.store.get("c/lanes"),
            marked: true,
        };
        let guard = Guard { key: LEAD_NOW.into(), stamp };
        let at = self.moment();
        let node = &mut self.controllers[n];
        node.holding.won(term);
        node.seen = Some(n);
        let ledger = Ledger::new(node.setup.clone(), term, guard, machine_types(), loaded, at);
        let mut leader = Leader {
            ledger,
            term,
            publisher: Publisher::new(term),
            valid_until: valid_until(now, constants::LEADER_TTL_MS),
            next_extend: now + constants::LEADER_EXTEND_EVERY_MS,
            paused: false,
            asked: BTreeSet::new(),
        };
        self.warm_start(n, &mut leader);
        self.controllers[n].leader = Some(leader);
    }

    fn list(&self) -> Vec<ListedMachine> {
        let seen = |m: &&Machine| !m.dead && self.now >= m.born + LIST_LAG;
        let listed = |m: &Machine| ListedMachine {
            id: m.name.clone(),
            addr: Some("127.0.0.1:9".into()),
            machine_type: "small".into(),
            zone: m.worker.zone().into(),
            spot: false,
            status: MachineState::Running,
            age_s: (self.now - m.born) as f64 / 1000.0,
        };
        self.machines.iter().filter(seen).map(listed).collect()
    }

    /// What a leader does by itself. `false`: it gives its office up.
    fn work(&mut self, n: usize, leader: &mut Leader) -> bool {
        let now = self.now;
        if now >= leader.valid_until {
            leader.paused = true;
            return true;
        }
        if std::mem::take(&mut leader.paused) {
            leader.ledger.resumed(now);
        }
        leader.ledger.tell_time(self.moment());
        let node = &mut self.controllers[n];
        let lease_ms = leader.ledger.block_lease(now);
        if lease_ms > 0 {
            let at = now - node.begun;
            node.holding.lead(leader.term, leader.ledger.own_block(), lease_ms, at);
        }
        let again = node.deserted_at.is_none_or(|at| now >= at + constants::DESERTED_AGAIN_MS);
        let lost = leader.ledger.deserted(now) && again;
        if lost || leader.ledger.deposed() {
            node.deserted_at = if lost { Some(now) } else { node.deserted_at };
            node.abstains_until = now + constants::ABSTAIN_MS;
            node.seen = None;
            if self.store_answers(n) && self.lead.as_ref().is_some_and(|l| l.term == leader.term) {
                self.end_lead();
            }
            return false;
        }
        if self.store_answers(n) {
            let at = self.moment();
            for kv in self.store.list("j/") {
                leader.ledger.job_seen(&kv.key, kv.v, at, false);
            }
        }
        if now.is_multiple_of(300) {
            leader.ledger.round(now);
        }
        let cloud = self.zone_open(NODES[n].1);
        if cloud && now.is_multiple_of(3_000) {
            leader.ledger.listed(&self.list(), now, now);
        }
        if cloud && now.is_multiple_of(1_000) {
            self.ask_cloud(n, leader);
        }
        self.send_orders(n, leader);
        self.compare_published(leader);
        true
    }

    fn ask_cloud(&mut self, n: usize, leader: &mut Leader) {
        let now = self.now;
        for action in leader.ledger.fleet_round(now) {
            match action {
                FleetAction::Rent(request) => {
                    let mut names = Vec::new();
                    let up = self.machines.iter().filter(|m| !m.dead).count();
                    for _ in 0..(request.count as usize).min(8usize.saturating_sub(up)) {
                        self.machines.push(Machine::new(self.machines.len() + 1, now));
                        names.push(format!("m-{}", self.machines.len()));
                    }
                    let got = (!names.is_empty()).then_some(names);
                    leader.ledger.rented(&request, got, now);
                }
                FleetAction::Delete(names) => {
                    let at = now + self.span(100, 3_000);
                    self.at(at, Message::Delete(n, leader.term, names));
                }
            }
        }
    }

    fn send_orders(&mut self, n: usize, leader: &mut Leader) {
        let (now, term) = (self.now, leader.term);
        let mut messages: Vec<(usize, DirectCommands, bool)> = Vec::new();
        let index = |machine: &str| -> usize { machine[2..].parse().expect("a number") };
        for (machine, _, commands) in leader.ledger.take_direct(now) {
            messages.push((index(&machine) - 1, commands, true));
        }
        let greetings = leader.ledger.take_greetings(now);
        let stops = leader.ledger.take_pushes(now);
        let commit = leader.ledger.next_commit(now);
        // Stops carry no reply that the ledger waits for. Their address says nothing here, so they go
        // to the machine that has the task.
        for (_, commands) in stops {
            let Some(task) = commands.commands.iter().find_map(|o| match o {
                Command::Kill { task, attempt, .. } => Some((task.clone(), *attempt)),
                _ => None,
            }) else {
                continue;
            };
            if let Some(m) = self.machines.iter().position(|m| m.worker.live().contains(&task.0)) {
                messages.push((m, commands, false));
            }
        }
        for (m, commands, waits) in messages {
            let term = if waits { term } else { 0 };
            let name = self.machines[m].name.clone();
            if waits && self.chance(50) {
                // No connection: surely not sent.
                let at = now + self.span(5, 50);
                let outcome = Message::Delivered(n, term, name, commands.token, Delivery::NotSent);
                self.at(at, outcome);
                continue;
            }
            self.send(|| Message::Direct(n, term, m, commands.clone()));
            if waits {
                // Whatever comes back, the sender gives up after a while.
                let outcome = Message::Delivered(n, term, name, commands.token, Delivery::Unclear);
                self.at(now + 1_500, outcome);
            }
        }
        for (machine, _) in greetings {
            self.send(|| Message::Greet(n, term, index(&machine) - 1));
            // Whatever comes back, the sender gives up after a while.
            self.at(now + constants::WORKER_TIMEOUT_MS, Message::Greeted(n, term, machine, None));
        }
        if let Some(commit) = commit {
            self.check_limits(n, &commit.transaction);
            let slow = self.chance(200);
            let delay = if slow { self.span(500, 3_000) } else { 10 };
            self.at(now + delay, Message::Commit(n, term, Box::new(commit)));
        }
    }

    /// A controller keeps to the limits that it knows of.
    fn check_limits(&mut self, n: usize, transaction: &Transaction) {
        let limits = &self.controllers[n].setup.params.state;
        let changes = transaction.apply.len();
        assert!(changes <= limits.txn_ops, "{changes} changes, and a limit of {}", limits.txn_ops);
        for change in &transaction.apply {
            let Change::Put { put, v, .. } = change else { continue };
            let length = v.to_string().len() as f64;
            assert!(length <= limits.value_kb * 1024.0, "{put}: {length} bytes");
            let divided = self.controllers[n].version == Version::New && put.starts_with("r/");
            self.counts.small_rosters += usize::from(divided);
        }
    }

    /// A transaction reaches the state service, or does not; its answer may get lost.
    pub(super) fn carry_out(&mut self, n: usize, term: u64, commit: Box<Commit>) {
        let now = self.now;
        if !self.store_answers(n) {
            let node = &mut self.controllers[n];
            let refused = now < self.outage_until || node.refused && now < node.no_store_until;
            match node.leading(term) {
                Some(leader) if refused => {
                    leader.ledger.committed(*commit, CommitResult::NotDone, now);
                }
                // Held back on its way: it may be carried out when the way is open again.
                _ => {
                    let at = now + self.span(1_200, 40_000);
                    self.at(at, Message::Late(commit.transaction.clone()));
                    self.at(now + 1_200, Message::Reread(n, term, commit));
                }
            }
            return;
        }
        let lost = self.chance(50);
        let late = lost && self.chance(500);
        let applied = if late {
            let at = now + self.span(100, 20_000);
            self.at(at, Message::Late(commit.transaction.clone()));
            None
        } else {
            Some(self.store.commit(&commit.transaction))
        };
        match applied {
            Some(Ok(revision)) if !lost && self.controllers[n].up(now) => {
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.ledger.committed(*commit, CommitResult::Applied(revision), now);
                }
            }
            _ => {
                let wait = if lost { 1_200 } else { 10 };
                self.at(now + wait, Message::Reread(n, term, commit));
            }
        }
        self.look_at_finals();
        self.tell_decided(n, term);
    }

    pub(super) fn reread(&mut self, n: usize, term: u64, commit: Box<Commit>) {
        let now = self.now;
        if self.controllers[n].leading(term).is_none() {
            return;
        }
        if !self.store_answers(n) {
            return self.at(now + constants::LEADER_RETRY_MS, Message::Reread(n, term, commit));
        }
        let read = commit.keys().into_iter().map(|k| (k.clone(), self.store.get(&k))).collect();
        if let Some(leader) = self.controllers[n].leading(term) {
            leader.ledger.committed(*commit, CommitResult::Unsure(read), now);
        }
        self.tell_decided(n, term);
    }

    /// Users that wait for a cancellation are told once it is durable.
    fn tell_decided(&mut self, n: usize, term: u64) {
        let Some(leader) = self.controllers[n].leading(term) else { return };
        let decided = leader.ledger.take_decided();
        let waited: Vec<bool> = decided.iter().map(|(id, _)| leader.asked.remove(id)).collect();
        for ((id, record), waited) in decided.into_iter().zip(waited) {
            self.controllers[n].over.insert(id.clone());
            if waited && record.state == JobState::Cancelled {
                self.told_cancelled(n, &id);
            }
        }
    }

    pub(super) fn report_arrives(&mut self, m: usize, n: usize, report: &CheckIn) {
        let now = self.now;
        if !self.worker_linked(n, m) {
            return;
        }
        let entitled = self.controllers[n].entitled(now);
        let node = &mut self.controllers[n];
        let reply = match &mut node.leader {
            Some(leader) if entitled => {
                leader.ledger.check_in(report, now).map_or(Reply::Unsure, Reply::Answer)
            }
            leader => {
                let over = &node.over;
                let kept = node.holding.keep(report, now - node.begun, |id| over.contains(id));
                match (kept, leader) {
                    (Some(kept), leader) => {
                        if let Some(leader) = leader {
                            leader.ledger.kept_alive(&report.machine, now);
                        }
                        self.counts.kept += 1;
                        self.counts.stopped_by_holders += kept.answer.commands.len();
                        Reply::Answer(kept.answer)
                    }
                    (None, Some(_)) => Reply::Unsure,
                    (None, None) => {
                        let in_touch = node.holding.leader_in_touch(now - node.begun);
                        Reply::Elsewhere(node.seen.filter(|l| *l != n && in_touch))
                    }
                }
            }
        };
        self.send(|| Message::Answer(m, n, report.tick, reply.clone()));
    }

    pub(super) fn renewal_arrives(&mut self, from: usize, n: usize, renewal: &Renewal, at: u64) {
        let now = self.now;
        if !self.peers_linked(from, n) || !self.controllers[n].entitled(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if let Some(lease) = leader.ledger.renew_block(renewal, now) {
            self.send(|| Message::Leased(from, n, renewal.nonce, lease.clone(), at));
        }
    }

    pub(super) fn lease_arrives(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        lease: BlockLease,
        sent: u64,
    ) {
        let linked = self.peers_linked(from, n);
        let node = &mut self.controllers[n];
        let here = self.now - node.begun;
        // A connection ends with its process, and an answer in time is taken or none is.
        let in_time = here < sent + constants::PEER_TIMEOUT_MS;
        let heard = self.now >= node.no_answers_until;
        if linked && heard && node.nonce == nonce && in_time && node.leader.is_none() {
            node.holding.leased(lease, sent, here);
        }
    }
}
