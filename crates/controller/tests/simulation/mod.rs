//! The seeded model's world: controllers, machines, users, a state service and the network between them.
//!
//! Messages are late, lost, doubled and out of order; controllers are killed, stand still, are cut from the
//! state service, from one another or from workers, or are refused by the state service alone; the state
//! service is away and restores its leases; zones and machines are cut off, machines hang, are deaf or mute,
//! die and come back. Every start and every answer to a user is checked against the rules.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod controllers;
mod gangs;
mod machines;
mod scenarios;
mod standbys;
mod users;

use controllers::{Controller, Version};
use hookway_clients::Delivery;
use hookway_controller::holders::{BlockLease, Renewal};
use hookway_controller::ledger::Commit;
use hookway_replication::{FollowAnswer, FollowRequest};
use hookway_testkit::MemoryStore;
use hookway_wire::{CheckIn, CheckInAnswer, DirectCommands, JobId, JobSpec, Transaction};
use machines::Machine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
pub use scenarios::Meeting;
use scenarios::Scenario;
use std::collections::{BTreeMap, BTreeSet};

/// Troubles end here, ms.
pub const CALM_AT: u64 = 200_000;
/// The new version replaces the old one, a controller at a time, from here on, ms: while troubles last.
const UPGRADE_AT: u64 = 40_000;
/// Pause between two controllers that are replaced, ms.
const UPGRADE_EVERY: u64 = 10_000;
/// Every replica of every daemon runs by then, ms.
pub const REPLICAS_AT: u64 = CALM_AT + 60_000;
/// By then all must be done, ms. A team at its limit of four tasks may have a dozen of 90 s before it.
pub const END_AT: u64 = 1_200_000;
const STEP: u64 = 100;
/// A worker gives up on a report after this long, ms (protocol).
const PATIENCE: u64 = 4_000;
const REPORT_EVERY: u64 = 2_000;
/// The controllers with their zones. Two share one.
const NODES: [(&str, &str); 3] = [("one", "a"), ("two", "b"), ("three", "a")];
const ZONES: [&str; 2] = ["a", "b"];

/// What is under way. Numbers of controllers and machines are places in their lists.
#[derive(Debug)]
enum Message {
    /// Machine, controller.
    Report(usize, usize, CheckIn),
    /// A controller's answer: machine, controller, the report's number, and what it says.
    Answer(usize, usize, u64, Reply),
    /// Asker, asked, what, and when by the asker's own clock.
    Renew(usize, usize, Renewal, u64),
    /// To, from, the process that asked, the lease, and when it asked.
    Leased(usize, usize, u64, BlockLease, u64),
    /// Asker, asked, the asker's process, and what its copy has.
    Follow(usize, usize, u64, FollowRequest),
    /// To, from, the process that asked, and what its copy lacks.
    Followed(usize, usize, u64, FollowAnswer),
    /// A controller tells another that a job is over.
    Over(usize, usize, JobId),
    /// Controller, its term (0: no reply is waited for), machine.
    Direct(usize, u64, usize, DirectCommands),
    /// To a controller in a term: machine, token, outcome.
    Delivered(usize, u64, String, u64, Delivery),
    Greet(usize, u64, usize),
    Greeted(usize, u64, String, Option<CheckIn>),
    /// A transaction arrives at the state service.
    Commit(usize, u64, Box<Commit>),
    /// Its sender reads its keys again, for an answer that it did not get.
    Reread(usize, u64, Box<Commit>),
    /// It arrives when its sender has given it up.
    Late(Transaction),
    /// A deletion arrives at the cloud.
    Delete(usize, u64, Vec<String>),
}

#[derive(Debug, Clone)]
enum Reply {
    Answer(CheckInAnswer),
    Elsewhere(Option<usize>),
    Unsure,
}

/// The leader as the state service has it.
struct StoredLead {
    node: usize,
    term: u64,
    until: u64,
}

/// What was told to users of a job.
#[derive(Default)]
struct Told {
    accepted: bool,
    done: bool,
    cancelled_at: Option<u64>,
}

/// How often what matters came about.
#[derive(Debug, Default)]
pub struct Counts {
    pub starts: usize,
    pub errors: usize,
    pub greeted: usize,
    pub kept: usize,
    pub stopped_by_holders: usize,
    pub terms: usize,
    pub cancelled_without_leader: usize,
    pub cancelled: usize,
    pub asked: usize,
    pub resumed_terms: usize,
    pub tight_starts: usize,
    pub bound_starts: usize,
    pub replica_starts: usize,
    pub replicas_in_place: usize,
    pub small_rosters: usize,
    pub warm_starts: usize,
    pub completed_gangs: usize,
    pub refused_answers: usize,
    pub one_way_cuts: usize,
}

impl Counts {
    /// Both together.
    pub fn and(self, other: &Self) -> Self {
        Self {
            starts: self.starts + other.starts,
            errors: self.errors + other.errors,
            greeted: self.greeted + other.greeted,
            kept: self.kept + other.kept,
            stopped_by_holders: self.stopped_by_holders + other.stopped_by_holders,
            terms: self.terms + other.terms,
            cancelled_without_leader: self.cancelled_without_leader
                + other.cancelled_without_leader,
            cancelled: self.cancelled + other.cancelled,
            asked: self.asked + other.asked,
            resumed_terms: self.resumed_terms + other.resumed_terms,
            tight_starts: self.tight_starts + other.tight_starts,
            bound_starts: self.bound_starts + other.bound_starts,
            replica_starts: self.replica_starts + other.replica_starts,
            replicas_in_place: self.replicas_in_place + other.replicas_in_place,
            small_rosters: self.small_rosters + other.small_rosters,
            warm_starts: self.warm_starts + other.warm_starts,
            completed_gangs: self.completed_gangs + other.completed_gangs,
            refused_answers: self.refused_answers + other.refused_answers,
            one_way_cuts: self.one_way_cuts + other.one_way_cuts,
        }
    }
}

/// The world.
pub struct World {
    rng: StdRng,
    now: u64,
    store: MemoryStore,
    lead: Option<StoredLead>,
    next_term: u64,
    outage_until: u64,
    zone_cut_until: [u64; ZONES.len()],
    controllers: Vec<Controller>,
    machines: Vec<Machine>,
    queue: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// How often leaders are struck: on some days it takes long until one is.
    unrest: u32,
    scenario: Option<Scenario>,
    /// Most jobs are gangs, and leaders are struck while one is half placed.
    standby_day: bool,
    /// Links between controllers are cut one way now and then.
    one_way_cuts: bool,
    pub jobs: Vec<JobSpec>,
    told: BTreeMap<JobId, Told>,
    done: BTreeSet<String>,
    /// Replicas that were on a machine of late.
    replicas_seen: BTreeSet<String>,
    pub counts: Counts,
}

/// Some jobs were submitted with a mistake: they fail on every machine until their users cancel them.
fn mistaken(id: &str) -> bool {
    id.bytes().next_back().is_some_and(|b| b == b'5')
}

fn zone_number(zone: &str) -> usize {
    ZONES.iter().position(|z| *z == zone).expect("a zone")
}

impl World {
    pub fn new(seed: u64) -> Self {
        let controllers =
            (0..NODES.len()).map(|n| Controller::new(n, Version::Old, n as u64, 0)).collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            store: MemoryStore::default(),
            lead: None,
            next_term: 1,
            outage_until: 0,
            zone_cut_until: [0; ZONES.len()],
            controllers,
            machines: (1..=6).map(|n| Machine::new(n, 0)).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            scenario: None,
            standby_day: false,
            one_way_cuts: false,
            unrest: if seed.is_multiple_of(2) { 20 } else { 4 },
            jobs: Vec::new(),
            told: BTreeMap::new(),
            done: BTreeSet::new(),
            replicas_seen: BTreeSet::new(),
            counts: Counts::default(),
        }
    }

    /// A day on which all controllers follow the leader from the beginning, most jobs are gangs, and leaders are
    /// often struck while a gang is half placed.
    pub fn with_standbys(seed: u64) -> Self {
        let mut world = Self::new(seed);
        world.controllers =
            (0..NODES.len()).map(|n| Controller::new(n, Version::New, n as u64, 0)).collect();
        world.standby_day = true;
        world.unrest = 4;
        world
    }

    /// The same, with links between controllers that are cut one way.
    pub fn with_one_way_cuts(seed: u64) -> Self {
        Self { one_way_cuts: true, ..Self::with_standbys(seed) }
    }

    /// A day on which one meeting is brought about, and nothing else strikes whole controllers or zones.
    pub fn with(meeting: Meeting, seed: u64) -> Self {
        let mut world = Self::new(seed);
        let at = world.span(45_000, 60_000);
        world.scenario = Some(Scenario { meeting, at, leader: 0, away_at: 0 });
        world
    }

    /// The tasks of some run for longer than a cancellation may take.
    fn long(&self, id: &str) -> bool {
        self.scenario.is_some() || id.bytes().next_back().is_some_and(|b| b == b'3' || b == b'8')
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.now < CALM_AT && self.rng.random_range(0..1000) < per_mille
    }

    fn span(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn at(&mut self, time: u64, message: Message) {
        self.sent += 1;
        self.queue.insert((time, self.sent), message);
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
                (false, _) => self.span(5, 60),
                (true, 0) => self.span(500, 6_000),
                (true, _) => self.span(500, 60_000),
            };
            self.at(self.now + delay, make());
        }
    }

    fn zone_open(&self, zone: &str) -> bool {
        self.now >= self.zone_cut_until[zone_number(zone)]
    }

    /// Whether two places can talk.
    fn zones_linked(&self, one: &str, other: &str) -> bool {
        one == other || self.zone_open(one) && self.zone_open(other)
    }

    /// Whether the state service answers a controller.
    fn store_answers(&self, n: usize) -> bool {
        let node = &self.controllers[n];
        self.now >= self.outage_until
            && self.now >= node.no_store_until
            && self.zone_open(NODES[n].1)
    }

    fn peers_linked(&self, one: usize, other: usize) -> bool {
        let open = |n: usize| self.now >= self.controllers[n].no_peers_until;
        open(one) && open(other) && self.zones_linked(NODES[one].1, NODES[other].1)
    }

    fn worker_linked(&self, n: usize, m: usize) -> bool {
        let machine = &self.machines[m];
        let filtered = machine.cut_from.is_some_and(|(node, until)| node == n && self.now < until);
        !filtered
            && self.now >= self.controllers[n].no_workers_until
            && self.now >= machine.cut_until
            && self.zones_linked(NODES[n].1, machine.worker.zone())
    }

    /// The state service's leases run out, unless it is away.
    fn tick_store(&mut self) {
        let now = self.now;
        if now < self.outage_until {
            return;
        }
        if self.outage_until > 0 && now < self.outage_until + STEP {
            // After an outage every lease has its full time again.
            if let Some(lead) = &mut self.lead {
                lead.until = now + hookway_constants::LEADER_TTL_MS;
            }
        }
        if self.lead.as_ref().is_some_and(|l| now >= l.until) {
            self.end_lead();
        }
        if self.chance(1) && self.rng.random_range(0..2) == 0 {
            self.outage_until = now + self.span(1_000, 64_000);
        }
    }

    fn end_lead(&mut self) {
        self.lead = None;
        let gone = hookway_wire::Change::delete(hookway_controller::records::LEAD_NOW);
        let _ = self.store.commit(&Transaction { guards: vec![], apply: vec![gone] });
    }

    /// The new version comes, a controller at a time.
    fn upgrade(&mut self) {
        for n in 0..NODES.len() {
            let old = self.controllers[n].version == Version::Old;
            if old && self.now == UPGRADE_AT + n as u64 * UPGRADE_EVERY {
                self.replace(n, Version::New);
            }
        }
    }

    /// What strikes whole zones and controllers.
    fn trouble(&mut self) {
        let now = self.now;
        if self.scenario.is_some() {
            self.run_scenario();
            return self.calm_down();
        }
        self.upgrade();
        if self.standby_day {
            self.strike_amid_gangs();
        }
        if self.one_way_cuts {
            self.cut_one_way();
        }
        if self.chance(3) {
            let zone = self.rng.random_range(0..ZONES.len());
            self.zone_cut_until[zone] = now + self.span(2_000, 70_000);
        }
        for n in 0..NODES.len() {
            let leads = self.controllers[n].leader.is_some();
            let others = if self.standby_day { 2 } else { 8 };
            if !self.chance(if leads { self.unrest } else { others }) {
                continue;
            }
            let until = now + self.span(500, 60_000);
            let node = &mut self.controllers[n];
            match self.rng.random_range(0..7) {
                // Refused by, or cut from, the state service alone; often just before an outage.
                0 | 1 => {
                    node.no_store_until = until;
                    node.refused = self.rng.random_range(0..2) == 0;
                    if self.rng.random_range(0..3) == 0 {
                        let begin = now + self.span(0, 9_000);
                        self.controllers[n].outage_at = Some(begin);
                    }
                }
                2 => (node.no_store_until, node.no_peers_until) = (until, until),
                3 => node.no_peers_until = until,
                4 => node.no_workers_until = until,
                5 => node.frozen_until = now + self.rng.random_range(200..45_000),
                // Killed, and back in a fraction of a second or in seconds.
                _ => self.kill(n),
            }
        }
        for n in 0..NODES.len() {
            if self.controllers[n].outage_at.is_some_and(|at| now >= at) {
                self.controllers[n].outage_at = None;
                self.outage_until = now + self.span(5_000, 64_000);
            }
        }
        self.calm_down();
    }

    fn calm_down(&mut self) {
        let now = self.now;
        if now == CALM_AT {
            self.outage_until = self.outage_until.min(now);
            self.zone_cut_until = [0; ZONES.len()];
            for node in &mut self.controllers {
                node.calm(now);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        tracing::debug!("{now}: {message:?}");
        // What reaches a controller that stands still waits there.
        let to = match &message {
            Message::Report(_, n, _)
            | Message::Renew(_, n, ..)
            | Message::Leased(n, ..)
            | Message::Follow(_, n, ..)
            | Message::Followed(n, ..)
            | Message::Over(n, ..)
            | Message::Delivered(n, ..)
            | Message::Greeted(n, ..)
            | Message::Reread(n, ..) => Some(*n),
            _ => None,
        };
        if let Some(n) = to {
            if now < self.controllers[n].down_until {
                return;
            }
            let thaw = self.controllers[n].frozen_until;
            if now < thaw {
                return self.at(thaw, message);
            }
        }
        match message {
            Message::Report(m, n, report) => self.report_arrives(m, n, &report),
            Message::Answer(m, n, tick, reply) => self.answer_arrives(m, n, tick, reply),
            Message::Renew(from, n, renewal, at) => self.renewal_arrives(from, n, &renewal, at),
            Message::Leased(n, from, nonce, lease, sent) => {
                self.lease_arrives(n, from, nonce, lease, sent);
            }
            Message::Follow(from, n, nonce, ask) => self.follow_arrives(from, n, nonce, &ask),
            Message::Followed(n, from, nonce, answer) => {
                self.followed_arrives(n, from, nonce, answer);
            }
            Message::Over(n, from, id) => {
                // Nothing may depend on it.
                let lost = self.scenario.as_ref().is_some_and(|p| p.meeting != Meeting::Gap);
                if !lost && self.peers_linked(from, n) {
                    self.controllers[n].over.insert(id);
                }
            }
            Message::Direct(n, term, m, commands) => self.direct_arrives(n, term, m, commands),
            Message::Delivered(n, term, name, token, delivery) => {
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.ledger.delivered(&name, token, delivery, now);
                }
            }
            Message::Greet(n, term, m) => self.greeting_arrives(n, term, m),
            Message::Greeted(n, term, name, report) => {
                self.counts.greeted += usize::from(report.is_some());
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.ledger.greeted(&name, report, now);
                }
            }
            Message::Commit(n, term, commit) => self.carry_out(n, term, commit),
            Message::Reread(n, term, commit) => self.reread(n, term, commit),
            Message::Late(transaction) => {
                if now < self.outage_until {
                    return self.at(self.outage_until + 10, Message::Late(transaction));
                }
                let _ = self.store.commit(&transaction);
                self.look_at_finals();
            }
            Message::Delete(n, term, names) => {
                for m in self.machines.iter_mut().filter(|m| names.contains(&m.name)) {
                    m.dead = true;
                }
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.ledger.deleted(&names, now);
                }
            }
        }
    }

    pub fn play(&mut self) {
        while self.now < END_AT && !self.all_quiet() {
            self.now += STEP;
            self.trouble();
            self.tick_store();
            self.submit();
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
            for n in 0..NODES.len() {
                self.run_controller(n);
            }
            self.check_replicas();
            self.ask_around();
            self.check_cancelled();
        }
    }

    /// The troubles are over, every job has its end, and no machine has a task.
    fn all_quiet(&self) -> bool {
        self.now > CALM_AT
            && self.now.is_multiple_of(5_000)
            && self.jobs.iter().all(|j| self.over(&j.id))
            && self.machines.iter().all(|m| m.dead || m.worker.live().is_empty())
    }

    /// How things stand at the end, for whoever looks into a failure.
    pub fn describe(&self, id: &JobId) -> String {
        let spec = self.jobs.iter().find(|j| j.id == *id);
        let of_job = |t: &&String| t.starts_with(id.as_str());
        let mut text = format!("{spec:?}\ndone: {}", self.done.iter().filter(of_job).count());
        for machine in self.machines.iter().filter(|m| !m.dead) {
            let zone = machine.worker.zone();
            text += &format!("\n{} in {zone}: {:?}", machine.name, machine.worker.live());
        }
        for (node, (label, zone)) in self.controllers.iter().zip(NODES) {
            let leader = node
                .leader
                .as_ref()
                .map(|l| (l.ledger.summary(self.now).to_string(), l.ledger.settled(self.now)));
            let known = node.leader.as_ref().map(|l| l.ledger.status(id));
            text += &format!("\n{label} in {zone}: {leader:?} {known:?}");
        }
        text
    }

    /// Whether the state service knows the end of a job.
    pub fn over(&self, id: &JobId) -> bool {
        self.store.get(&hookway_controller::records::final_key(id)).is_some()
    }
}
