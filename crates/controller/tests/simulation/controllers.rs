//! Controllers: their processes, leadership leases, elections and the rounds of a leader.

use super::{CONTROLLERS, Message, Simulation, StoredLead};
use crate::simulation::machines::Machine;
use hookway_constants as constants;
use hookway_controller::cluster_state::{ClusterState, ControllerConfig, LoadedState, Timestamp};
use hookway_controller::leadership::lease_expiry;
use hookway_controller::records::LEADER_KEY;
use hookway_controller::settings::{OperatorSettings, Settings};
use hookway_controller::shard_lease::ShardLessee;
use hookway_replication::{Follower, Publisher};
use hookway_testkit::{SETTINGS, machine_types};
use hookway_time::{MonotonicTime, WallTime, whole_millis};
use hookway_wire::{JobId, ListedMachine, MachineState, Precondition};
use rand::RngExt;
use std::collections::BTreeSet;

/// After this long without the leader a shard lessee answers workers itself, ms.
const LESSEE_TIMEOUT: u64 = 4_000;
/// New machines are missing from the cloud's list for this long, ms.
const LIST_LAG: u64 = 4_000;

/// The state of one term at the controller that leads it or has just lost it.
pub(super) struct Leader {
    pub cluster: ClusterState,
    pub term: u64,
    pub publisher: Publisher,
    valid_until: u64,
    next_extend: u64,
    paused: bool,
    /// Cancellations whose users wait until they are durable.
    pub asked: BTreeSet<JobId>,
}

/// A controller's process.
pub(super) struct Controller {
    pub config: ControllerConfig,
    pub holding: ShardLessee,
    pub version: Version,
    /// Its copy of the leader's cluster state.
    pub follower: Follower,
    /// One-way partition: its requests reach other controllers, their responses don't reach it.
    pub responses_lost_until: u64,
    pub nonce: u64,
    /// Start of its process.
    pub begun: u64,
    pub leader: Option<Leader>,
    /// The leader that it last read.
    pub seen: Option<usize>,
    /// Jobs that it knows to be finished.
    pub over: BTreeSet<JobId>,
    pub store_unreachable_until: u64,
    /// The state service refuses its requests; otherwise they get no response.
    pub refused: bool,
    pub peers_unreachable_until: u64,
    pub workers_unreachable_until: u64,
    pub frozen_until: u64,
    pub down_until: u64,
    no_campaign_until: u64,
    deserted_at: Option<u64>,
    /// Start of an outage of the state service for every controller.
    pub outage_at: Option<u64>,
}

/// The version of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Version {
    /// Writes records up to the first value limit of the state service.
    Old,
    /// Stays within the later limits of the state service.
    New,
}

/// The later limits of the state service: records of the old version exceed them.
const NEXT_LIMITS: &str =
    "\n[settings.state.next]\nvalue_kb = 0.25\ntxn_ops = 3\nwrite_rps = 20.0\n";

impl Controller {
    pub fn new(n: usize, version: Version, nonce: u64, now: u64) -> Self {
        let siblings = CONTROLLERS.iter().enumerate().filter(|(other, _)| *other != n);
        let limits = if version == Version::New { NEXT_LIMITS } else { "" };
        let settings = format!("{SETTINGS}{limits}");
        let config = ControllerConfig {
            controller_name: CONTROLLERS[n].0.into(),
            zone: CONTROLLERS[n].1.into(),
            peers: siblings.map(|(_, (l, z))| ((*l).to_owned(), (*z).to_owned())).collect(),
            platform: Settings::parse(&settings).expect("sound settings").platform,
            operator: OperatorSettings::default(),
        };
        Self {
            holding: ShardLessee::new(CONTROLLERS[n].0, nonce, LESSEE_TIMEOUT),
            config,
            version,
            follower: Follower::new(CONTROLLERS[n].0),
            responses_lost_until: 0,
            nonce,
            begun: now,
            leader: None,
            seen: None,
            over: BTreeSet::new(),
            store_unreachable_until: 0,
            refused: false,
            peers_unreachable_until: 0,
            workers_unreachable_until: 0,
            frozen_until: 0,
            down_until: now,
            no_campaign_until: 0,
            deserted_at: None,
            outage_at: None,
        }
    }

    /// Its process runs and is not frozen.
    pub fn up(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    /// Whether it may act as the leader.
    pub fn entitled(&self, now: u64) -> bool {
        self.up(now) && self.leader.as_ref().is_some_and(|l| !l.paused && now < l.valid_until)
    }

    /// Its state as leader of that term.
    pub fn leading(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|l| l.term == term)
    }

    /// Ends every fault of this controller.
    pub fn end_faults(&mut self, now: u64) {
        (
            self.store_unreachable_until,
            self.peers_unreachable_until,
            self.workers_unreachable_until,
        ) = (0, 0, 0);
        self.responses_lost_until = 0;
        self.frozen_until = self.frozen_until.min(now);
        self.outage_at = None;
    }
}

impl Simulation {
    fn moment(&self) -> Timestamp {
        Timestamp {
            monotonic: MonotonicTime::from_millis(self.now),
            wall: WallTime::from_unix_millis(1_000_000 + self.now),
        }
    }

    /// Kills the process; another one of the same version starts under its name soon.
    pub(super) fn kill(&mut self, n: usize) {
        self.replace(n, self.controllers[n].version);
    }

    /// Kills the process; one of this version starts under its name soon.
    pub(super) fn replace(&mut self, n: usize, version: Version) {
        let nonce = self.rng.random();
        let back = match self.rng.random_range(0..2) {
            0 => self.span(100, 800),
            _ => self.span(1_000, 9_000),
        };
        let old = &self.controllers[n];
        let cuts = (
            old.store_unreachable_until,
            old.peers_unreachable_until,
            old.workers_unreachable_until,
            old.refused,
        );
        let mut next = Controller::new(n, version, nonce, self.now + back);
        (
            next.store_unreachable_until,
            next.peers_unreachable_until,
            next.workers_unreachable_until,
            next.refused,
        ) = cuts;
        self.controllers[n] = next;
    }

    pub(super) fn run_controller(&mut self, n: usize) {
        if !self.controllers[n].up(self.now) {
            return;
        }
        self.extend_lease(n);
        if self.controllers[n].leader.is_none() {
            self.read_leader_and_campaign(n);
        }
        if let Some(mut leader) = self.controllers[n].leader.take() {
            let stays = self.run_leader(n, &mut leader);
            if stays {
                self.controllers[n].leader = Some(leader);
            }
            return;
        }
        let controller = &self.controllers[n];
        if let Some(leader) = controller.seen.filter(|l| *l != n)
            && self.now.is_multiple_of(whole_millis(constants::SHARD_LEASE_RENEWAL_INTERVAL))
        {
            let at = self.now - controller.begun;
            let renewal = controller.holding.renewal(at);
            self.send(|| Message::LeaseRenewal(n, leader, renewal.clone(), at));
        }
        self.follow(n);
    }

    /// Extends the lease of a leader.
    fn extend_lease(&mut self, n: usize) {
        let now = self.now;
        let answers = self.store_answers(n);
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if now < leader.next_extend {
            return;
        }
        if !answers {
            leader.next_extend = now + whole_millis(constants::LEADER_RETRY);
            return;
        }
        leader.next_extend = now + whole_millis(constants::LEADER_EXTEND_INTERVAL);
        match self.lead.as_mut().filter(|l| l.term == leader.term) {
            Some(lead) => {
                lead.until = now + whole_millis(constants::LEADER_TTL);
                self.counts.resumed_terms += usize::from(now >= leader.valid_until);
                leader.valid_until = lease_expiry(now, whole_millis(constants::LEADER_TTL));
            }
            None => {
                self.controllers[n].leader = None;
                self.controllers[n].seen = None;
            }
        }
    }

    /// Reads who leads, and campaigns if nobody does.
    fn read_leader_and_campaign(&mut self, n: usize) {
        if !self.store_answers(n) {
            return;
        }
        match &self.lead {
            // The lease belongs to its own earlier process and is revoked.
            Some(lead) if lead.controller == n => self.end_lead(),
            Some(lead) => {
                self.controllers[n].seen = Some(lead.controller);
                self.controllers[n].follower.observe_term(lead.term);
            }
            None => {
                self.controllers[n].seen = None;
                let campaigns = self.now >= self.controllers[n].no_campaign_until;
                let steps = self.election_steps(n);
                if campaigns && self.rng.random_range(0..steps) == 0 {
                    self.begin_term(n);
                }
            }
        }
    }

    fn begin_term(&mut self, n: usize) {
        let now = self.now;
        let term = self.next_term;
        self.next_term += constants::TOKENS_PER_TERM;
        self.counts.terms += 1;
        let stamp = self.store.put(LEADER_KEY, serde_json::json!({ "term": term }));
        self.lead = Some(StoredLead {
            controller: n,
            term,
            until: now + whole_millis(constants::LEADER_TTL),
        });
        let loaded = LoadedState {
            jobs: self.store.list("j/"),
            progress: self.store.list("p/"),
            scheduling: self.store.list("m/"),
            registry: self.store.list("r/"),
            images: vec![],
            classes: self.store.get("c/lanes"),
            has_start_watermarks: true,
        };
        let guard = Precondition { key: LEADER_KEY.into(), mod_revision: stamp };
        let at = self.moment();
        let controller = &mut self.controllers[n];
        controller.holding.leadership_won(term);
        controller.seen = Some(n);
        let cluster =
            ClusterState::new(controller.config.clone(), term, guard, machine_types(), loaded, at);
        let mut leader = Leader {
            cluster,
            term,
            publisher: Publisher::new(term),
            valid_until: lease_expiry(now, whole_millis(constants::LEADER_TTL)),
            next_extend: now + whole_millis(constants::LEADER_EXTEND_INTERVAL),
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

    /// One step of a leader. `false`: it steps down.
    #[expect(clippy::too_many_lines, reason = "the steps of one simulated event, in order")]
    fn run_leader(&mut self, n: usize, leader: &mut Leader) -> bool {
        let now = self.now;
        if now >= leader.valid_until {
            leader.paused = true;
            return true;
        }
        if std::mem::take(&mut leader.paused) {
            leader.cluster.resumed(MonotonicTime::from_millis(now));
        }
        leader.cluster.set_time(self.moment());
        let controller = &mut self.controllers[n];
        let lease_ms = whole_millis(leader.cluster.shard_lease(MonotonicTime::from_millis(now)));
        if lease_ms > 0 {
            let at = now - controller.begun;
            controller.holding.hold_as_leader(
                leader.term,
                leader.cluster.own_shard(),
                lease_ms,
                at,
            );
        }
        let again = controller
            .deserted_at
            .is_none_or(|at| now >= at + whole_millis(constants::STEP_DOWN_INTERVAL));
        let lost = leader.cluster.all_workers_silent(MonotonicTime::from_millis(now)) && again;
        if lost || leader.cluster.leadership_lost() {
            controller.deserted_at = if lost { Some(now) } else { controller.deserted_at };
            controller.no_campaign_until = now + whole_millis(constants::STEP_DOWN_PAUSE);
            controller.seen = None;
            if self.store_answers(n) && self.lead.as_ref().is_some_and(|l| l.term == leader.term) {
                self.end_lead();
            }
            return false;
        }
        if self.store_answers(n) {
            let at = self.moment();
            for kv in self.store.list("j/") {
                leader.cluster.add_job(&kv.key, kv.value, at, false);
            }
        }
        if now.is_multiple_of(300) {
            leader.cluster.scheduling_round(MonotonicTime::from_millis(now));
        }
        let cloud = self.zone_open(CONTROLLERS[n].1);
        if cloud && now.is_multiple_of(3_000) {
            let at = MonotonicTime::from_millis(now);
            leader.cluster.machines_listed(&self.list(), at, at);
        }
        if cloud && now.is_multiple_of(1_000) {
            self.run_autoscaling(n, leader);
        }
        self.send_commands(n, leader);
        self.check_published_entries(leader);
        true
    }
}
