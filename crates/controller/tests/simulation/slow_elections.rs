//! Elections whose requests to the store take time: answers are slow, some are lost, and leaders restart shortly before
//! or after their lease ends. So a list of the keys below `lead/` and the read of the leader key after it may show
//! different leaders.

use super::controllers::{Version, leader_lease_expiry};
use super::messages::Message;
use super::{CONTROLLERS, Simulation, StoredLeadership, ms};
use hookway_constants as constants;
use hookway_controller::leadership::{
    Candidate, Election, LeaderKey, LeaderKeyOutcome, LeaderTerm, LeaderlessState, ListingOutcome,
    ObservedLeader, OwnNameListed,
};
use hookway_controller::records::{LEADER_KEY, LEADER_PREFIX};
use hookway_time::MonotonicTime;
use hookway_wire::{KeyValue, ListedKeyValue};
use rand::RngExt;
use std::time::Duration;

/// Probability of a slow answer, per mille.
const SLOW_ANSWER_RATE: u32 = 300;
/// Probability that the answer to an election is lost, per mille.
const LOST_ELECTION_ANSWER_RATE: u32 = 400;
/// Probability that an election without an answer is carried out late, per mille.
const LATE_ELECTION_RATE: u32 = 250;
/// Probability that a candidate whose answer is lost also loses the store, per mille.
const STORE_LOSS_RATE: u32 = 700;
/// Probability per step that the leader is killed, per mille.
const LEADER_KILL_RATE: u32 = 6;

/// The requests of the elections of a day.
#[derive(Debug, Default)]
pub(super) struct SlowElections {
    /// Number of the last request.
    last_request: u64,
}

/// A request of a candidate to the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingElectionRequest {
    number: u64,
    times_out_at: MonotonicTime,
}

/// An answer of the store to a request of a candidate. Lists and reads show the store as of the request.
#[derive(Debug)]
pub(super) enum ElectionAnswer {
    /// The keys below `lead/`, and the revision of the store.
    Listing(Vec<ListedKeyValue>, u64),
    /// The leader key, read after a list with the controller's name.
    LeaderKey(OwnNameListed, Option<KeyValue>),
    /// The term that an election began, and the expiry of its lease as the leader counts it.
    Elected(LeaderTerm, MonotonicTime),
    /// The preconditions of an election failed.
    NotElected,
}

impl Simulation {
    /// Creates a day with slow elections, and no other faults of controllers, zones and the store but its outages. All
    /// controllers have the new version from the beginning.
    pub fn with_slow_elections(seed: u64) -> Self {
        let mut simulation = Self::with_new_version(seed);
        simulation.slow_elections = Some(SlowElections::default());
        simulation
    }

    /// May kill the leader, and restarts it before its lease ends, mostly shortly before.
    pub(super) fn restart_leader_within_lease(&mut self) {
        let leads = |n: &usize| self.controllers[*n].leader.is_some();
        let Some(n) = (0..CONTROLLERS.len()).find(leads) else { return };
        if !self.chance(LEADER_KILL_RATE) {
            return;
        }
        let nonce = self.rng.random();
        let restart_delay = match self.rng.random_range(0..4) {
            0 => self.random_duration(100, 800),
            _ => self.random_duration(3_600, 5_000),
        };
        self.restart_after(n, Version::New, nonce, restart_delay);
    }

    /// Ends the term of a candidate, if elections have requests: elsewhere, controllers don't look for their own records.
    pub(super) fn end_candidate_term(&mut self, n: usize) {
        if self.slow_elections.is_some() {
            let nonce = self.rng.random();
            self.controllers[n].candidate.end_term(nonce);
        }
    }

    /// Lists the keys below `lead/` for controller `n`, unless it waits for an answer or watches a leader that has not
    /// changed.
    pub(super) fn step_slow_election(&mut self, n: usize) {
        let now = self.now;
        let controller = &self.controllers[n];
        let leader = self.leadership.as_ref().map(|leadership| leadership.controller);
        let watches_leader = controller.observed_leader.is_some()
            && controller.observed_leader == leader
            && leader != Some(n);
        let waits = controller.election_request.is_some_and(|request| now < request.times_out_at);
        if waits || watches_leader {
            return;
        }
        let listing =
            ElectionAnswer::Listing(self.store.list(LEADER_PREFIX), self.store.revision());
        self.answer_election_request(n, Some(listing));
    }

    /// Registers a request of controller `n`, and schedules its answer (`None`: it is lost).
    fn answer_election_request(&mut self, n: usize, answer: Option<ElectionAnswer>) {
        let Some(requests) = &mut self.slow_elections else { return };
        requests.last_request += 1;
        let number = requests.last_request;
        let times_out_at = self.now + constants::STORE_TIMEOUT;
        self.controllers[n].election_request =
            Some(PendingElectionRequest { number, times_out_at });
        if let Some(answer) = answer {
            let at = self.now + self.answer_delay();
            self.schedule(at, Message::ElectionAnswer(n, number, Box::new(answer)));
        }
    }

    /// Most answers take under 10 ms, and now and then a few hundred.
    fn answer_delay(&mut self) -> Duration {
        if self.chance(SLOW_ANSWER_RATE) {
            self.random_duration(200, 900)
        } else {
            self.random_duration(1, 10)
        }
    }

    /// Delivers an answer of the store to controller `n`, if it still waits for it.
    pub(super) fn deliver_election_answer(
        &mut self,
        n: usize,
        request: u64,
        answer: ElectionAnswer,
    ) {
        let is_awaited = self.controllers[n]
            .election_request
            .is_some_and(|pending| pending.number == request && self.now < pending.times_out_at);
        if !is_awaited || !self.can_reach_store(n) {
            return;
        }
        self.controllers[n].election_request = None;
        let candidate = self.controllers[n].candidate.clone();
        match answer {
            ElectionAnswer::Listing(keys, revision) => {
                self.apply_listing(n, candidate.evaluate_listing(&keys, revision));
            }
            ElectionAnswer::LeaderKey(listed, key) => {
                self.apply_leader_key(n, &candidate, &listed, key);
            }
            ElectionAnswer::Elected(leader_term, valid_until) => {
                let watermarks = leader_term.watermark_completeness();
                self.lead_term(n, &leader_term, watermarks, valid_until);
            }
            ElectionAnswer::NotElected => {}
        }
    }

    fn apply_listing(&mut self, n: usize, outcome: ListingOutcome) {
        match outcome {
            ListingOutcome::Leaderless(leaderless_state) => {
                self.controllers[n].observed_leader = None;
                if self.now >= self.controllers[n].no_campaign_until {
                    self.campaign_slowly(n, &leaderless_state);
                }
            }
            ListingOutcome::OtherLeader(leader) => self.observe_leader(n, &leader),
            ListingOutcome::OwnName(listed) => {
                let key = self.store.get(LEADER_KEY);
                self.answer_election_request(n, Some(ElectionAnswer::LeaderKey(listed, key)));
            }
        }
    }

    fn apply_leader_key(
        &mut self,
        n: usize,
        candidate: &Candidate,
        listed: &OwnNameListed,
        key: Option<KeyValue>,
    ) {
        match candidate.evaluate_leader_key(listed, key) {
            LeaderKeyOutcome::OwnTerm(leader_term) => {
                self.counts.terms_found_by_read += 1;
                let watermarks = leader_term.watermark_completeness();
                self.lead_term(n, &leader_term, watermarks, MonotonicTime::ZERO);
            }
            LeaderKeyOutcome::EndedTerm(key) => self.revoke_ended_term(&key),
            LeaderKeyOutcome::OtherLeader(leader) => {
                self.counts.leader_changes_between_reads += 1;
                self.observe_leader(n, &leader);
            }
            LeaderKeyOutcome::Changed => self.counts.leader_changes_between_reads += 1,
            LeaderKeyOutcome::Unusable => panic!("every leader key has a lease"),
        }
    }

    fn observe_leader(&mut self, n: usize, leader: &ObservedLeader) {
        let is_leader = |(name, _): &(&str, &str)| *name == leader.controller_name;
        let controller = &mut self.controllers[n];
        controller.observed_leader = CONTROLLERS.iter().position(is_leader);
        controller.follower.observe_term(leader.term);
    }

    /// Releases the lease of a leader key, if the store still has it.
    fn revoke_ended_term(&mut self, key: &LeaderKey) {
        self.counts.revoked_terms += 1;
        if self.leadership.as_ref().is_some_and(|lease| lease.lease_id == key.lease_id()) {
            self.revoke_leadership();
        }
    }

    /// Sends the election of controller `n`, with a new lease. The answer may be lost, or the election be carried out
    /// late.
    fn campaign_slowly(&mut self, n: usize, leaderless_state: &LeaderlessState) {
        let now = self.now;
        let lease_id = self.next_lease_id();
        let record = self.controllers[n].candidate.leader_record(leaderless_state);
        let election =
            leaderless_state.election(record, lease_id).expect("a record that serializes");
        let expires_at = now + constants::DEFAULT_LEADER_LEASE;
        let is_lost = self.chance(LOST_ELECTION_ANSWER_RATE);
        if is_lost && self.chance(LATE_ELECTION_RATE) {
            let at = now + self.random_duration(1_000, 6_000);
            self.schedule(at, Message::DelayedElection(n, Box::new(election), expires_at));
            return self.answer_election_request(n, None);
        }
        let leader_term = self.apply_election(n, election, expires_at);
        let answer = match leader_term {
            Some(leader_term) => ElectionAnswer::Elected(leader_term, leader_lease_expiry(now)),
            None => ElectionAnswer::NotElected,
        };
        self.answer_election_request(n, Some(answer).filter(|_| !is_lost));
        if is_lost {
            self.counts.lost_election_responses += 1;
            self.lose_store_after_election(n);
        }
    }

    /// May cut a candidate off from the store until shortly before the end of the lease that it was granted.
    fn lose_store_after_election(&mut self, n: usize) {
        if self.chance(STORE_LOSS_RATE) {
            self.controllers[n].store_unreachable_until =
                self.now + self.random_duration(3_500, 5_000);
        }
    }

    /// Carries out an election of controller `n` at the store. Returns the term that it begins; `None` if its
    /// preconditions fail.
    fn apply_election(
        &mut self,
        n: usize,
        election: Election,
        expires_at: MonotonicTime,
    ) -> Option<LeaderTerm> {
        let mod_revision = self.store.commit(election.transaction()).ok()?;
        let leader_term = election.won_at(mod_revision);
        self.counts.terms += 1;
        self.leadership = Some(StoredLeadership {
            controller: n,
            term: leader_term.term(),
            lease_id: leader_term.lease_id(),
            expires_at,
        });
        Some(leader_term)
    }

    /// Carries out an election that reaches the store late, if its lease has not ended.
    pub(super) fn deliver_delayed_election(
        &mut self,
        n: usize,
        election: Box<Election>,
        expires_at: MonotonicTime,
    ) {
        if self.now < self.outage_until {
            let at = self.outage_until + ms(10);
            return self.schedule(at, Message::DelayedElection(n, election, expires_at));
        }
        if self.now < expires_at {
            self.apply_election(n, *election, expires_at);
        }
    }
}
