//! A seeded model of leaders, workers and the network between them: messages are late, lost, doubled
//! and out of order, leaders change, machines are cut off, go deaf, die and come back. Every start is
//! checked against the rules, and once the troubles are over every job must come to its end.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_clients::Delivery;
use hookway_controller::config::{OperatorSettings, Settings};
use hookway_controller::holders::{BlockLease, Holding, Renewal};
use hookway_controller::ledger::{
    Commit, CommitResult, FleetAction, Ledger, Loaded, Moment, Setup, lease_over_ms,
};
use hookway_controller::records::{JobRecord, LEAD_NOW, final_key, job_key};
use hookway_testkit::{MemoryStore, SETTINGS, ScriptedWorker, flavors};
use hookway_wire::{
    Cause, CheckIn, CheckInAnswer, DirectOrders, Guard, HostState, JobId, JobSpec, ListedHost,
    Transaction,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Troubles end here, ms.
const CALM_AT: u64 = 120_000;
/// By then all must be done, ms.
const END_AT: u64 = 480_000;
const STEP: u64 = 100;
/// A worker gives up on a report after this long, ms (protocol).
const PATIENCE: u64 = 4_000;
const REPORT_EVERY: u64 = 2_000;
/// Each has a controller, which bears its name.
const ZONES: [&str; 2] = ["a", "b"];

enum Message {
    Report(usize, CheckIn),
    /// A report that goes to the holder of the machine's zone.
    ReportToHolder(usize, CheckIn),
    /// A holder asks for its block: which one, and when by its own clock.
    Renew(usize, Renewal, u64),
    Leased(usize, u64, BlockLease, u64),
    /// The last one says whether it comes from within the machine's zone.
    Answer(usize, u64, CheckInAnswer, bool),
    Direct(usize, u64, DirectOrders),
    Reply(u64, String, u64, Delivery),
    /// A new leader asks what is on a machine.
    Greet(usize, u64),
    Greeted(u64, String, Option<CheckIn>),
    /// A transaction arrives at the store, in the term that sent it.
    Commit(u64, Box<Commit>),
    /// It arrives when its sender has given it up.
    Late(Transaction),
}

struct Leader {
    ledger: Ledger,
    term: u64,
    until: u64,
    /// The controller that leads.
    node: usize,
    /// Its lease is in doubt until then.
    doubt_until: u64,
}

/// A controller, in a zone of its own.
struct Sibling {
    holding: Holding,
    /// When its process began.
    begun: u64,
    cut_until: u64,
    kept: usize,
}

struct Machine {
    worker: ScriptedWorker,
    name: String,
    /// When the report was sent whose answer came last.
    lease_from: u64,
    in_flight: Option<(u64, u64)>,
    next_report: u64,
    cut_until: u64,
    deaf_until: u64,
    dead: bool,
    tries_holder: bool,
    since: BTreeMap<String, u64>,
}

struct Model {
    rng: StdRng,
    now: u64,
    store: MemoryStore,
    leader: Option<Leader>,
    siblings: Vec<Sibling>,
    next_term: u64,
    machines: Vec<Machine>,
    queue: BTreeMap<(u64, u64), Message>,
    sent: u64,
    jobs: Vec<JobSpec>,
    done: BTreeSet<String>,
    withdrawn_at: BTreeMap<JobId, u64>,
    starts: usize,
    errors: usize,
    greeted: usize,
    setup: Setup,
}

/// Some jobs were submitted with a mistake: they fail on every machine until their users withdraw them.
fn mistaken(id: &str) -> bool {
    id.bytes().next_back().is_some_and(|b| b == b'5')
}

fn setup() -> Setup {
    Setup {
        label: "worker-0".into(),
        domain: "elsewhere".into(),
        siblings: ZONES.map(|z| (z.to_owned(), z.to_owned())).to_vec(),
        params: Settings::parse(SETTINGS).expect("sound settings").settings,
        operator: OperatorSettings::default(),
    }
}

fn machine(n: usize, now: u64) -> Machine {
    let name = format!("m-{n}");
    Machine {
        worker: ScriptedWorker::new(&name, "small", if n.is_multiple_of(2) { "a" } else { "b" }),
        name,
        lease_from: now,
        in_flight: None,
        next_report: now,
        cut_until: 0,
        deaf_until: 0,
        dead: false,
        tries_holder: false,
        since: BTreeMap::new(),
    }
}

fn sibling(n: usize, nonce: u64, now: u64) -> Sibling {
    let holding = Holding::new(ZONES[n], nonce, PATIENCE);
    Sibling { holding, begun: now, cut_until: 0, kept: 0 }
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            store: MemoryStore::default(),
            leader: None,
            siblings: (0..ZONES.len()).map(|n| sibling(n, n as u64, 0)).collect(),
            next_term: 1,
            machines: (1..=6).map(|n| machine(n, 0)).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            jobs: Vec::new(),
            done: BTreeSet::new(),
            withdrawn_at: BTreeMap::new(),
            starts: 0,
            errors: 0,
            greeted: 0,
            setup: setup(),
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.now < CALM_AT && self.rng.random_range(0..1000) < per_mille
    }

    /// Sends a message: usually soon, at times late, twice, or never.
    fn send(&mut self, make: impl Fn() -> Message) {
        let direct = matches!(make(), Message::Direct(..));
        let mut copies = 1;
        if self.chance(40) {
            copies = 0;
        } else if self.chance(if direct { 300 } else { 60 }) {
            copies = 2;
        }
        for copy in 0..copies {
            let late = copy > 0 || self.chance(if direct { 250 } else { 30 });
            let delay = match (late, self.rng.random_range(0..2)) {
                (false, _) => self.rng.random_range(5..60),
                (true, 0) => self.rng.random_range(500..6_000),
                (true, _) => self.rng.random_range(500..60_000),
            };
            self.sent += 1;
            self.queue.insert((self.now + delay, self.sent), make());
        }
    }

    fn moment(&self) -> Moment {
        Moment { now: self.now, wall: 1_000_000 + self.now }
    }

    /// A leader holds its lease for a while; only when it has surely run out may another win.
    fn lead(&mut self) {
        if self.leader.as_ref().is_some_and(|l| self.now < l.until) {
            return;
        }
        if self.leader.take().is_some() || self.chance(900) {
            return;
        }
        let term = self.next_term;
        self.next_term += hookway_constants::TOKENS_PER_TERM;
        let stamp = self.store.put(LEAD_NOW, serde_json::json!({ "term": term }));
        let loaded = Loaded {
            jobs: self.store.list("j/"),
            progress: self.store.list("p/"),
            minimums: self.store.list("m/"),
            roster: self.store.list("r/"),
            images: vec![],
            lanes: self.store.get("c/lanes"),
            marked: true,
        };
        let guard = Guard { key: LEAD_NOW.into(), stamp };
        let node = self.rng.random_range(0..ZONES.len());
        let mut setup = self.setup.clone();
        setup.domain = ZONES[node].into();
        setup.siblings.retain(|(label, _)| label != ZONES[node]);
        self.siblings[node].holding.won(term);
        let mut ledger = Ledger::new(setup, term, guard, flavors(), loaded, self.moment());
        let listed = |m: &Machine| ListedHost {
            name_id: m.name.clone(),
            addr: Some("127.0.0.1:9".into()),
            flavor: "small".into(),
            yard: m.worker.zone().into(),
            loaners: false,
            status: HostState::Running,
            age_s: 0.0,
        };
        let list: Vec<ListedHost> = self.machines.iter().filter(|m| !m.dead).map(listed).collect();
        ledger.listed(&list, self.now, self.now);
        let reign = if self.now < CALM_AT { self.rng.random_range(1_000..40_000) } else { END_AT };
        let until = self.now + reign;
        self.leader = Some(Leader { ledger, term, until, node, doubt_until: 0 });
    }

    fn submit(&mut self) {
        if self.jobs.len() >= 25 || !self.chance(30) {
            return;
        }
        let n = self.jobs.len();
        let gang = self.rng.random_range(0..3) == 0;
        let pieces = if gang { self.rng.random_range(1..4) } else { self.rng.random_range(1..80) };
        let shape = if gang { "group" } else { "array" };
        let text = format!(
            r#"{{"NameId":"req-{n:06}","Lane":"train","Owner":"team","Shape":"{shape}",
            "Rank":"normal","Pieces":{pieces},"Vcpus":1.0,"Gpus":0,"RamGb":1,"Bundle":"img",
            "ImageGb":1,"Together":false,"Spread":false,"Loaners":true,"GuessS":10,
            "SnapshotEveryS":0,"SnapshotS":0,"DueS":60}}"#
        );
        let spec = JobSpec::parse(text.as_bytes()).expect("a sound job");
        let record = JobRecord { spec: spec.clone(), at_ms: 1_000_000 + self.now, marked: true };
        let value = serde_json::to_value(record).expect("a record");
        let key = job_key(&spec.name_id);
        self.store.put(&key, value.clone());
        let at = self.moment();
        if let Some(leader) = &mut self.leader {
            leader.ledger.job_seen(&key, value, at, false);
        }
        self.jobs.push(spec);
    }

    fn withdraw(&mut self) {
        if self.now == CALM_AT + 60_000
            && let Some(leader) = &mut self.leader
        {
            for spec in self.jobs.iter().filter(|j| mistaken(j.name_id.as_str())) {
                leader.ledger.withdraw(&spec.name_id);
            }
        }
        if self.jobs.is_empty() || !self.chance(3) {
            return;
        }
        let n = self.rng.random_range(0..self.jobs.len());
        let id = self.jobs[n].name_id.clone();
        if let Some(leader) = &mut self.leader {
            leader.ledger.withdraw(&id);
        }
    }

    /// The holders ask for their blocks; the links to the leader are cut for a while, a process is back
    /// in a fraction of a second, and copies of its messages stay behind.
    fn hold(&mut self) {
        let now = self.now;
        for (n, zone) in ZONES.into_iter().enumerate() {
            let leads = self.leader.as_ref().is_some_and(|l| l.node == n);
            if !leads && self.chance(8) {
                // The controller alone is cut off, or its whole zone.
                let until = now + self.rng.random_range(1_000..60_000);
                self.siblings[n].cut_until = until;
                if self.rng.random_range(0..4) > 0 {
                    let here = self.machines.iter_mut().filter(|m| m.worker.zone() == zone);
                    here.for_each(|m| m.cut_until = until);
                }
            }
            if !leads && self.chance(2) {
                let nonce = self.rng.random();
                let kept = self.siblings[n].kept;
                self.siblings[n] = Sibling { kept, ..sibling(n, nonce, now) };
            }
            if !leads && now.is_multiple_of(1_000) {
                let sibling = &self.siblings[n];
                let at = now - sibling.begun;
                let renewal = sibling.holding.renewal(at);
                self.send(|| Message::Renew(n, renewal.clone(), at));
            }
        }
    }

    /// What the leader does by itself.
    fn work(&mut self) {
        let now = self.now;
        if self.chance(3) {
            let until = now + self.rng.random_range(1_000..20_000);
            if let Some(leader) = &mut self.leader {
                leader.doubt_until = until.min(leader.until);
            }
        }
        let Some(leader) = self.leader.as_mut().filter(|l| now >= l.doubt_until) else { return };
        let node = &mut self.siblings[leader.node];
        let lease_ms = leader.ledger.block_lease(now);
        if lease_ms > 0 {
            node.holding.lead(leader.term, leader.ledger.own_block(), lease_ms, now - node.begun);
        }
        if now.is_multiple_of(300) {
            leader.ledger.round(now);
        }
        let term = leader.term;
        if now.is_multiple_of(1_000) {
            for action in leader.ledger.fleet_round(now) {
                match action {
                    FleetAction::Rent(request) => {
                        let mut names = Vec::new();
                        let up = self.machines.iter().filter(|m| !m.dead).count();
                        for _ in 0..(request.how_many as usize).min(8usize.saturating_sub(up)) {
                            self.machines.push(machine(self.machines.len() + 1, now));
                            names.push(format!("m-{}", self.machines.len()));
                        }
                        let got = (!names.is_empty()).then_some(names);
                        leader.ledger.rented(&request, got, now);
                    }
                    FleetAction::Delete(names) => {
                        for m in self.machines.iter_mut().filter(|m| names.contains(&m.name)) {
                            m.dead = true;
                        }
                        leader.ledger.deleted(&names, now);
                    }
                }
            }
        }
        let mut messages: Vec<(usize, DirectOrders, bool)> = Vec::new();
        let index = |host: &str| -> usize { host[2..].parse().expect("a number") };
        for (host, _, orders) in leader.ledger.take_direct(now) {
            messages.push((index(&host) - 1, orders, true));
        }
        let greetings = leader.ledger.take_greetings(now);
        let stops = leader.ledger.take_pushes(now);
        let commit = leader.ledger.next_commit(now);
        // Stops carry no reply that the ledger waits for. Their address says nothing here, so they go
        // to the machine that has the task.
        for (_, orders) in stops {
            let Some(piece) = orders.orders.iter().find_map(|o| match o {
                hookway_wire::Order::Kill { piece, r#try, .. } => Some((piece.clone(), *r#try)),
                _ => None,
            }) else {
                continue;
            };
            if let Some(m) = self.machines.iter().position(|m| m.worker.live().contains(&piece.0)) {
                messages.push((m, orders, false));
            }
        }
        for (m, orders, waits) in messages {
            let term = if waits { term } else { 0 };
            if waits && self.chance(50) {
                // No connection: surely not sent.
                let name = self.machines[m].name.clone();
                self.reply(term, name, orders.baton, Delivery::NotSent);
                continue;
            }
            self.send(|| Message::Direct(m, term, orders.clone()));
            if waits {
                // Whatever comes back, the sender gives up after a while.
                let name = self.machines[m].name.clone();
                self.sent += 1;
                let at = (self.now + 1_500, self.sent);
                let give_up = Message::Reply(term, name, orders.baton, Delivery::Unclear);
                self.queue.insert(at, give_up);
            }
        }
        for (host, _) in greetings {
            self.send(|| Message::Greet(index(&host) - 1, term));
        }
        if let Some(commit) = commit {
            self.commit(commit);
        }
    }

    fn reply(&mut self, term: u64, name: String, token: u64, delivery: Delivery) {
        self.sent += 1;
        let delay = self.rng.random_range(5..50);
        let reply = Message::Reply(term, name, token, delivery);
        self.queue.insert((self.now + delay, self.sent), reply);
    }

    /// A transaction is under way: it takes a while, and its answer may get lost.
    fn commit(&mut self, commit: Commit) {
        let Some(leader) = &self.leader else { return };
        let term = leader.term;
        self.sent += 1;
        let slow = self.chance(200);
        let delay = if slow { self.rng.random_range(500..3_000) } else { 10 };
        let at = (self.now + delay, self.sent);
        self.queue.insert(at, Message::Commit(term, Box::new(commit)));
    }

    fn carry_out(&mut self, term: u64, commit: Commit) {
        let lost = self.chance(50);
        let late = lost && self.chance(500);
        if late {
            let delay = self.rng.random_range(100..20_000);
            self.sent += 1;
            let at = (self.now + delay, self.sent);
            self.queue.insert(at, Message::Late(commit.transaction.clone()));
        }
        let applied = if late { None } else { Some(self.store.commit(&commit.transaction)) };
        let result = match applied {
            Some(Ok(epoch)) if !lost => CommitResult::Applied(epoch),
            _ => {
                let keys = commit.keys();
                CommitResult::Unsure(
                    keys.into_iter().map(|k| (k.clone(), self.store.get(&k))).collect(),
                )
            }
        };
        if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
            leader.ledger.committed(commit, result, self.now);
        }
        self.look_at_finals();
    }

    fn look_at_finals(&mut self) {
        for spec in &self.jobs {
            let id = &spec.name_id;
            let Some(kv) = self.store.get(&final_key(id)) else { continue };
            match kv.v["state"].as_str() {
                Some("withdrawn") => {
                    self.withdrawn_at.entry(id.clone()).or_insert(self.now);
                }
                Some("done") => {
                    let all = (0..spec.pieces).all(|i| self.done.contains(&format!("{id}/{i}")));
                    assert!(all, "{id} is called done before all of its tasks are");
                }
                other => panic!("{id}: {other:?}"),
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Report(m, report) => {
                let blocked = now < self.machines[m].cut_until;
                let Some(leader) = self.leader.as_mut().filter(|_| !blocked) else { return };
                if now < leader.doubt_until {
                    let node = &mut self.siblings[leader.node];
                    if let Some(answer) = node.holding.keep(&report, now - node.begun, |_| false) {
                        let answer = answer.answer;
                        leader.ledger.kept_alive(&report.host, now);
                        self.send(|| Message::Answer(m, report.tick, answer.clone(), false));
                    }
                    return;
                }
                if let Some(answer) = leader.ledger.check_in(&report, now) {
                    self.send(|| Message::Answer(m, report.tick, answer.clone(), false));
                }
            }
            Message::ReportToHolder(m, report) => {
                let n = ZONES.iter().position(|z| *z == report.yard).expect("a zone");
                let sibling = &mut self.siblings[n];
                if self.leader.as_ref().is_some_and(|l| l.node == n) {
                    return;
                }
                if let Some(answer) = sibling.holding.keep(&report, now - sibling.begun, |_| false)
                {
                    let answer = answer.answer;
                    sibling.kept += 1;
                    self.send(|| Message::Answer(m, report.tick, answer.clone(), true));
                }
            }
            Message::Renew(n, renewal, at) => {
                let blocked = now < self.siblings[n].cut_until;
                let able = |l: &&mut Leader| !blocked && now >= l.doubt_until && l.node != n;
                let Some(leader) = self.leader.as_mut().filter(able) else { return };
                if let Some(lease) = leader.ledger.renew_block(&renewal, now) {
                    self.send(|| Message::Leased(n, renewal.nonce, lease.clone(), at));
                }
            }
            Message::Leased(n, nonce, lease, sent) => {
                let sibling = &mut self.siblings[n];
                let here = now - sibling.begun;
                // A connection ends with its process, and an answer in time is taken or none is.
                if sibling.holding.renewal(0).nonce == nonce && here < sent + 600 {
                    sibling.holding.leased(lease, sent, here);
                }
            }
            Message::Answer(m, tick, answer, near) => {
                let machine = &mut self.machines[m];
                let cut = !near && now < machine.cut_until;
                let open = !cut && now >= machine.deaf_until && !machine.dead;
                let Some((expected, sent)) = machine.in_flight.filter(|_| open) else { return };
                if expected != tick || now > sent + PATIENCE {
                    return;
                }
                machine.in_flight = None;
                let before = machine.worker.started.len();
                if machine.worker.take(&answer) {
                    machine.lease_from = sent;
                    if !answer.orders.is_empty() {
                        machine.next_report = machine.next_report.min(now + 500);
                    }
                }
                self.check_starts(m, before);
            }
            Message::Direct(m, term, orders) => {
                let machine = &mut self.machines[m];
                if now < machine.cut_until || now < machine.deaf_until || machine.dead {
                    return;
                }
                let before = machine.worker.started.len();
                let report = machine.worker.orders(&orders);
                let name = machine.name.clone();
                self.check_starts(m, before);
                if term > 0 {
                    let delivery = report.map_or(Delivery::Refused, Delivery::Done);
                    self.reply(term, name, orders.baton, delivery);
                }
            }
            Message::Reply(term, name, token, delivery) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                    leader.ledger.delivered(&name, token, delivery, now);
                }
            }
            Message::Greet(m, term) => {
                let machine = &mut self.machines[m];
                if now < machine.cut_until || now < machine.deaf_until || machine.dead {
                    return;
                }
                // It is asked again under the session that its refusal names.
                let tenure = machine.worker.session();
                let hello = DirectOrders { baton: term, tenure, orders: vec![] };
                let report = machine.worker.orders(&hello);
                let name = machine.name.clone();
                self.send(|| Message::Greeted(term, name.clone(), report.clone()));
            }
            Message::Greeted(term, name, report) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                    self.greeted += usize::from(report.is_some());
                    leader.ledger.greeted(&name, report, now);
                }
            }
            Message::Commit(term, commit) => self.carry_out(term, *commit),
            Message::Late(transaction) => {
                let _ = self.store.commit(&transaction);
                self.look_at_finals();
            }
        }
    }

    /// The rules, at each start.
    fn check_starts(&mut self, m: usize, before: usize) {
        let started = self.machines[m].worker.started[before..].to_vec();
        for (task, attempt) in started {
            self.starts += 1;
            let earlier = &self.machines[m].worker.started[..before];
            let again = earlier.iter().any(|(t, a)| *t == task && *a == attempt);
            assert!(!again, "{task} attempt {attempt} starts a second time on m-{}", m + 1);
            for (other, machine) in self.machines.iter().enumerate() {
                let twice = other != m && !machine.dead && machine.worker.live().contains(&task);
                assert!(!twice, "{task} starts on m-{} while on m-{}", m + 1, other + 1);
            }
            let same = self.machines[m].worker.live().iter().filter(|t| **t == task).count();
            assert!(same <= 1, "{task} is on one machine twice");
            self.machines[m].since.insert(task, self.now);
        }
    }

    fn run_machine(&mut self, m: usize) {
        let now = self.now;
        let lease = (self.setup.params.workers.lease_s * 1000.0) as u64;
        let calm = now >= CALM_AT;
        if self.machines[m].dead {
            return;
        }
        if self.chance(2) {
            let until = now + self.rng.random_range(1_000..25_000);
            if self.rng.random_range(0..2) == 0 {
                self.machines[m].cut_until = until;
            } else {
                self.machines[m].deaf_until = until;
            }
        }
        let bad_luck = self.chance(30);
        let machine = &mut self.machines[m];
        if calm {
            (machine.cut_until, machine.deaf_until) = (0, 0);
        }
        if now > machine.lease_from + lease {
            machine.worker.expire();
            machine.lease_from = now;
            machine.in_flight = None;
            machine.since.clear();
        }
        // Tasks run for a few seconds, a few for much longer than a controller is waited for.
        for task in machine.worker.live() {
            let since = machine.since.get(&task).copied().unwrap_or(now);
            let (id, _) = task.split_once('/').expect("a task");
            // A mistake, or bad luck.
            let fails = mistaken(id) && now >= since + 1_000;
            let unlucky = bad_luck && since + 2_000 == now;
            if fails || unlucky {
                self.errors += 1;
                machine.worker.end(&task, Cause::Error);
                machine.next_report = machine.next_report.min(now + 100);
                continue;
            }
            let long = task.ends_with('7');
            if now < since + if long { 25_000 } else { 6_000 } {
                continue;
            }
            machine.worker.end(&task, Cause::Done);
            machine.next_report = machine.next_report.min(now + 100);
            let (id, _) = task.split_once('/').expect("a task");
            let gang = self.jobs.iter().find(|j| j.name_id.as_str() == id && j.is_gang());
            match gang {
                Some(spec) => self.done.extend((0..spec.pieces).map(|i| format!("{id}/{i}"))),
                None => drop(self.done.insert(task)),
            }
        }
        if machine.in_flight.is_some_and(|(_, sent)| now > sent + PATIENCE) {
            machine.in_flight = None;
            machine.next_report = now + 1_000;
            machine.tries_holder = !machine.tries_holder;
        }
        if machine.in_flight.is_none() && now >= machine.next_report {
            let report = machine.worker.report();
            machine.in_flight = Some((report.tick, now));
            machine.next_report = now + REPORT_EVERY;
            // It reports to the next node when one did not answer.
            if self.machines[m].tries_holder {
                self.send(|| Message::ReportToHolder(m, report.clone()));
            } else {
                self.send(|| Message::Report(m, report.clone()));
            }
        }
    }

    fn check_withdrawn(&self) {
        let cancel_ms = (self.setup.params.workers.cancel_s * 1000.0) as u64;
        for (id, at) in &self.withdrawn_at {
            if self.now <= at + cancel_ms {
                continue;
            }
            for machine in self.machines.iter().filter(|m| !m.dead) {
                let there = machine.worker.live().iter().any(|t| t.starts_with(id.as_str()));
                assert!(!there, "{id} was withdrawn at {at} and is on {}", machine.name);
            }
        }
    }

    fn play(&mut self) {
        while self.now < END_AT {
            self.now += STEP;
            self.lead();
            self.submit();
            self.withdraw();
            while let Some(entry) = self.queue.first_entry()
                && entry.key().0 <= self.now
            {
                let message = entry.remove();
                self.deliver(message);
            }
            for m in 0..self.machines.len() {
                self.run_machine(m);
            }
            if self.chance(2) {
                // A machine dies with all that is on it.
                let m = self.rng.random_range(0..self.machines.len());
                self.machines[m].dead = true;
            }
            self.hold();
            self.work();
            self.check_withdrawn();
        }
    }
}

#[test]
fn no_rule_is_broken_and_no_job_is_forgotten_on_random_days() {
    let (mut starts, mut kept, mut errors, mut greeted) = (0, 0, 0, 0);
    for seed in 0..30 {
        let mut model = Model::new(seed);
        model.play();
        for spec in &model.jobs {
            let over = model.store.get(&final_key(&spec.name_id)).is_some();
            assert!(over, "seed {seed}: {} has no end", spec.name_id);
        }
        starts += model.starts;
        errors += model.errors;
        greeted += model.greeted;
        kept += model.siblings.iter().map(|s| s.kept).sum::<usize>();
        assert!(model.next_term > 3 * hookway_constants::TOKENS_PER_TERM, "several leaders");
    }
    assert!(kept > 50, "holders answered workers: {kept}");
    assert!(errors > 300, "tasks failed: {errors}");
    assert!(greeted > 100, "new leaders asked workers: {greeted}");
    assert!(starts > 5_000, "the days were busy: {starts}");
    assert!(lease_over_ms(&setup().params) < CALM_AT);
}
