//! Standbys: requests of followers, responses of the leader, and the warm start of a new leader from its copy.

use super::controllers::{Leader, Version};
use super::{Message, Simulation};
use hookway_constants as constants;
use hookway_controller::networks::Networks;
use hookway_replication::{FollowRequest, FollowResponse, Publisher};
use rand::RngExt;
use std::time::Duration;

/// Interval at which a leader's published entries are compared with its cluster state.
const COMPARE_INTERVAL: Duration = Duration::from_millis(5_000);

impl Simulation {
    /// Requests the entries that the copy of follower `n` lacks, if it and the leader have the new version.
    pub(super) fn send_follow_request(&mut self, n: usize) {
        let controller = &self.controllers[n];
        let Some(leader) = controller.observed_leader.filter(|leader| *leader != n) else { return };
        let both_new =
            [n, leader].iter().all(|index| self.controllers[*index].version == Version::New);
        if !both_new || !self.now_is_multiple_of(constants::FOLLOW_INTERVAL) {
            return;
        }
        let (nonce, request) = (controller.nonce, controller.follower.request());
        self.send(|| Message::FollowRequest(n, leader, nonce, request.clone()));
    }

    /// Delivers a follower's request to controller `n`, which responds if it leads.
    pub(super) fn deliver_follow_request(
        &mut self,
        from: usize,
        n: usize,
        nonce: u64,
        request: &FollowRequest,
    ) {
        let now = self.now;
        if !self.are_peers_connected(from, n) || !self.controllers[n].may_lead(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        leader.cluster.publish(&mut leader.publisher);
        let response =
            leader.publisher.respond(request, now).expect("a state that fits a response");
        self.send(|| Message::FollowResponse(from, n, nonce, response.clone()));
    }

    /// Delivers a leader's response, possibly delayed or duplicated, to follower `n`.
    pub(super) fn deliver_follow_response(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        response: FollowResponse,
    ) {
        let now = self.now;
        let connected = self.are_peers_connected(from, n);
        let controller = &mut self.controllers[n];
        // A connection ends with its process.
        let response_delivered =
            connected && now >= controller.responses_lost_until && controller.nonce == nonce;
        if !response_delivered || controller.leader.is_some() {
            return;
        }
        let rejected = controller.follower.apply_response(response, now).is_err();
        self.counts.rejected_follow_responses += usize::from(rejected);
    }

    /// May inject a one-way partition: a controller's requests reach the others, but their responses don't reach it.
    pub(super) fn partition_one_way(&mut self) {
        if self.chance(6) {
            self.counts.one_way_partitions += 1;
            let n = self.rng.random_range(0..self.controllers.len());
            self.controllers[n].responses_lost_until =
                self.now + self.random_duration(1_000, 30_000);
        }
    }

    /// Returns the mean number of steps until a controller campaigns while nobody leads: fewer with a usable copy.
    pub(super) fn mean_steps_to_campaign(&self, n: usize) -> u32 {
        let warm = self.controllers[n].follower.usable_copy(u64::MAX, self.now).is_ok();
        if warm { 2 } else { 8 }
    }

    /// Initializes a new leader from its standby copy, if that is usable.
    pub(super) fn warm_start(&mut self, n: usize, leader: &mut Leader) {
        let controller = &self.controllers[n];
        let Ok(copy) = controller.follower.usable_copy(leader.term, self.now) else {
            return;
        };
        self.counts.warm_starts += 1;
        leader.cluster.apply_replicated_state(copy, &Networks::default(), self.now);
    }

    /// Checks that the entries published so far amount to the whole cluster state of the leader.
    pub(super) fn check_published_entries(&self, leader: &mut Leader) {
        if !self.now_is_multiple_of(COMPARE_INTERVAL) {
            return;
        }
        leader.cluster.publish(&mut leader.publisher);
        let mut complete = Publisher::new(leader.term);
        leader.cluster.publish_all(&mut complete);
        let differing = leader.publisher.state().differing(complete.state(), 4);
        assert!(differing.is_empty(), "not published: {differing:?}");
    }
}
