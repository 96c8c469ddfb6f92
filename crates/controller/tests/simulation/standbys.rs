//! Followers: what they ask the leader, what reaches them, and what a new leader takes from its copy.

use super::controllers::{Leader, Version};
use super::{Message, World};
use hookway_constants as constants;
use hookway_controller::networks::Networks;
use hookway_replication::{FollowAnswer, FollowRequest, Publisher};
use rand::RngExt;

/// A leader's changes are compared with its whole picture this often, ms.
const COMPARE_EVERY: u64 = 5_000;

impl World {
    /// A controller that does not lead asks the leader for what its copy lacks. Only the new version does, and only
    /// a leader of the new version.
    pub(super) fn follow(&mut self, n: usize) {
        let node = &self.controllers[n];
        let Some(leader) = node.seen.filter(|l| *l != n) else { return };
        let both = [n, leader].iter().all(|c| self.controllers[*c].version == Version::New);
        if !both || !self.now.is_multiple_of(constants::FOLLOW_EVERY_MS) {
            return;
        }
        let (nonce, request) = (node.nonce, node.follower.request());
        self.send(|| Message::Follow(n, leader, nonce, request.clone()));
    }

    pub(super) fn follow_arrives(
        &mut self,
        from: usize,
        n: usize,
        nonce: u64,
        ask: &FollowRequest,
    ) {
        let now = self.now;
        if !self.peers_linked(from, n) || !self.controllers[n].entitled(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        leader.ledger.publish(&mut leader.publisher);
        let answer = leader.publisher.answer(ask, now).expect("a small state");
        self.send(|| Message::Followed(from, n, nonce, answer.clone()));
    }

    /// An answer, however late, and however often.
    pub(super) fn followed_arrives(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        answer: FollowAnswer,
    ) {
        let now = self.now;
        let linked = self.peers_linked(from, n);
        let node = &mut self.controllers[n];
        // A connection ends with its process.
        let heard = linked && now >= node.no_answers_until && node.nonce == nonce;
        if !heard || node.leader.is_some() {
            return;
        }
        let refused = node.follower.take(answer, now).is_err();
        self.counts.refused_answers += usize::from(refused);
    }

    /// Now and then the answers of other controllers don't reach one of them, while its questions reach them.
    pub(super) fn cut_one_way(&mut self) {
        if self.chance(6) {
            self.counts.one_way_cuts += 1;
            let n = self.rng.random_range(0..self.controllers.len());
            self.controllers[n].no_answers_until = self.now + self.span(1_000, 30_000);
        }
    }

    /// How seldom a controller stands when nobody leads, in steps: one with a usable copy is quicker.
    pub(super) fn election_steps(&self, n: usize) -> u32 {
        let warm = self.controllers[n].follower.usable(u64::MAX, self.now).is_ok();
        if warm { 2 } else { 8 }
    }

    /// A new leader takes what its copy has.
    pub(super) fn warm_start(&mut self, n: usize, leader: &mut Leader) {
        let node = &self.controllers[n];
        let Ok(copy) = node.follower.usable(leader.term, self.now) else { return };
        self.counts.warm_starts += 1;
        leader.ledger.warm_start(copy, &Networks::default(), self.now);
    }

    /// What a leader published piece by piece is its whole picture: no change was forgotten.
    pub(super) fn compare_published(&self, leader: &mut Leader) {
        if !self.now.is_multiple_of(COMPARE_EVERY) {
            return;
        }
        leader.ledger.publish(&mut leader.publisher);
        let mut whole = Publisher::new(leader.term);
        leader.ledger.publish_all(&mut whole);
        let differing = leader.publisher.state().differing(whole.state(), 4);
        assert!(differing.is_empty(), "not published: {differing:?}");
    }
}
