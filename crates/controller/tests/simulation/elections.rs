//! Elections with the store keys that controllers use, and election faults: a lost response to the election, and a
//! leader whose writes the store refuses until the leader is killed.

use super::controllers::{Leader, Version, leader_lease_expiry};
use super::{CONTROLLERS, Simulation, StoredLeadership};
use hookway_constants as constants;
use hookway_controller::cluster_state::{ClusterState, LoadedRecords};
use hookway_controller::leadership::{
    LeaderTerm, LeaderlessState, WatermarkCompleteness, last_fencing_token,
};
use hookway_controller::records::{
    COMPLETE_WATERMARKS_KEY, LEADER_PREFIX, LEADER_TERM_KEY, LEGACY_COMPLETE_WATERMARKS_KEY,
};
use hookway_replication::Publisher;
use hookway_testkit::machine_types;
use hookway_time::MonotonicTime;
use hookway_wire::{Operation, Transaction};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Election faults that are still to be injected.
#[derive(Debug, Default)]
pub(super) struct ElectionFaults {
    /// The next kill, if one is scheduled.
    kill: Option<ScheduledKill>,
}

#[derive(Debug)]
struct ScheduledKill {
    at: MonotonicTime,
    controllers: Vec<usize>,
    /// Whether some machines are partitioned at the time of the kill, and so don't reach the next leader for a while.
    partitions_machines: bool,
}

impl Simulation {
    /// Creates a day on which responses to elections are lost, and every new leader is killed soon, alone or with all
    /// other controllers. After the election, the store refuses all writes of about half of these leaders.
    pub fn with_election_faults(seed: u64) -> Self {
        let mut simulation = Self::new(seed);
        simulation.election_faults = Some(ElectionFaults::default());
        simulation.leader_fault_rate = 4;
        simulation
    }

    /// Begins the term of controller `n`: commits its election, and creates the leader from all records in the store.
    pub(super) fn begin_term(&mut self, n: usize) {
        let leaderless_state = LeaderlessState::read(&self.store.list(LEADER_PREFIX));
        let older_marker_current = self.older_marker_is_current();
        let leader_term = self.win_election(n, &leaderless_state);
        let watermark_completeness =
            self.known_watermarks(n, &leaderless_state, older_marker_current);
        let valid_until = leader_lease_expiry(self.now);
        self.lead_term(n, &leader_term, watermark_completeness, valid_until);
        self.schedule_term_end(n);
    }

    /// Creates the leader of a term that controller `n` has won, from all records in the store. `valid_until` is the
    /// expiry of its lease as far as it knows.
    pub(super) fn lead_term(
        &mut self,
        n: usize,
        leader_term: &LeaderTerm,
        watermark_completeness: WatermarkCompleteness,
        valid_until: MonotonicTime,
    ) {
        let now = self.now;
        let term = leader_term.term();
        let loaded = LoadedRecords {
            jobs: self.store.list("j/"),
            progress: self.store.list("p/"),
            scheduling: self.store.list("m/"),
            registry: self.store.list("r/"),
            images: vec![],
            classes: self.store.get("c/lanes"),
            watermark_completeness,
        };
        let elected_at = self.timestamp();
        let controller = &mut self.controllers[n];
        controller.lessee.leadership_won(term);
        controller.observed_leader = Some(n);
        let cluster = ClusterState::new(
            controller.config.clone(),
            term,
            leader_term.precondition(),
            machine_types(),
            loaded,
            elected_at,
        );
        let is_extended_at_once = now >= valid_until;
        let extend_delay =
            if is_extended_at_once { Duration::ZERO } else { constants::LEADER_EXTEND_INTERVAL };
        let mut leader = Leader {
            cluster,
            term,
            lease_id: leader_term.lease_id(),
            publisher: Publisher::new(term),
            valid_until,
            next_extend: now + extend_delay,
            paused: false,
            pending_cancellations: BTreeSet::new(),
        };
        self.warm_start(n, &mut leader);
        self.controllers[n].leader = Some(leader);
    }

    /// Commits the election of controller `n`. Returns the term that it begins.
    fn win_election(&mut self, n: usize, leaderless_state: &LeaderlessState) -> LeaderTerm {
        let lease_id = self.next_lease_id();
        let record = self.controllers[n].candidate.leader_record(leaderless_state);
        let term = record.term;
        let election =
            leaderless_state.election(record, lease_id).expect("a record that serializes");
        let mut transaction = election.transaction().clone();
        if self.controllers[n].version == Version::Old {
            self.replace_marker(&mut transaction, term);
        }
        let mod_revision = self.store.commit(&transaction).expect("nobody leads");
        self.counts.terms += 1;
        let expires_at = self.now + constants::DEFAULT_LEADER_LEASE;
        self.leadership = Some(StoredLeadership { controller: n, term, lease_id, expires_at });
        election.won_at(mod_revision)
    }

    /// Returns the id of a new lease. The store never uses an id again.
    pub(super) fn next_lease_id(&mut self) -> u64 {
        self.last_lease_id += 1;
        self.last_lease_id
    }

    /// Changes an election to that of an older version, which writes `lead/marked` as its only marker of complete start
    /// watermarks. (Real older versions write it even if they don't know the watermarks of earlier terms; that fault of
    /// theirs is not simulated.)
    fn replace_marker(&self, election: &mut Transaction, term: u64) {
        election.operations.retain(
            |operation| !matches!(operation, Operation::Put { key, .. } if key == COMPLETE_WATERMARKS_KEY),
        );
        if self.older_marker_is_current() {
            let marker =
                Operation::put(LEGACY_COMPLETE_WATERMARKS_KEY, last_fencing_token(term).into());
            election.operations.push(marker);
        }
    }

    /// Whether an older version considers the start watermarks complete.
    fn older_marker_is_current(&self) -> bool {
        let value = |key: &str| self.store.get(key).map(|pair| pair.value);
        value(LEADER_TERM_KEY) == value(LEGACY_COMPLETE_WATERMARKS_KEY)
    }

    /// Returns what the winner of an election knows about the start watermarks of earlier terms. If the response to the
    /// election is lost, a controller of the new version reads the markers again after the election.
    fn known_watermarks(
        &mut self,
        n: usize,
        leaderless_state: &LeaderlessState,
        older_marker_current: bool,
    ) -> WatermarkCompleteness {
        let response_lost = self.election_faults.is_some() && self.chance(500);
        self.counts.lost_election_responses += usize::from(response_lost);
        let known = match self.controllers[n].version {
            Version::Old if older_marker_current && !response_lost => {
                WatermarkCompleteness::Complete
            }
            Version::Old => WatermarkCompleteness::Outdated,
            Version::New if response_lost => {
                WatermarkCompleteness::read(&self.store.list(LEADER_PREFIX))
            }
            Version::New => leaderless_state.watermark_completeness,
        };
        self.counts.terms_without_complete_watermarks +=
            usize::from(known != WatermarkCompleteness::Complete);
        known
    }

    /// Schedules the kill of a new leader, on days with election faults. Until then, the store refuses all further
    /// writes of about half of these leaders, so that none of them is durable.
    fn schedule_term_end(&mut self, n: usize) {
        if self.election_faults.is_none() || !self.chance(1_000) {
            return;
        }
        let refused = self.rng.random_range(0..2) == 0;
        let length = if refused {
            self.random_duration(1_500, 12_000)
        } else {
            self.random_duration(4_000, 20_000)
        };
        let at = self.now + length;
        if refused {
            self.counts.terms_with_refused_writes += 1;
            self.controllers[n].writes_refused_until = at;
        }
        let all = self.rng.random_range(0..2) == 0;
        let controllers = if all { (0..CONTROLLERS.len()).collect() } else { vec![n] };
        let kill = Some(ScheduledKill { at, controllers, partitions_machines: refused });
        self.election_faults = Some(ElectionFaults { kill });
    }

    /// Kills controllers when their scheduled kill is due, and restarts them in a random version.
    pub(super) fn run_scheduled_kill(&mut self) {
        let now = self.now;
        let Some(faults) = &mut self.election_faults else { return };
        let Some(kill) = faults.kill.take_if(|kill| now >= kill.at) else { return };
        for n in kill.controllers {
            // Upgrades and rollbacks: a version may rely on what the other one wrote only as far as that is correct.
            let version =
                if self.rng.random_range(0..2) == 0 { Version::Old } else { Version::New };
            self.restart_with_version(n, version);
        }
        for m in 0..self.machines.len() {
            if kill.partitions_machines && self.chance(300) {
                self.machines[m].partitioned_until = now + self.random_duration(5_000, 12_000);
            }
        }
    }
}
