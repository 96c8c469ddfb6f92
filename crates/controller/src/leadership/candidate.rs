//! What a controller concludes about the leadership from the answers of the store.

use super::campaign::{LeaderlessState, WatermarkCompleteness};
use super::leader_key::LeaderKey;
use super::term::LeaderTerm;
use crate::records::{LEADER_KEY, LeaderRecord};
use hookway_wire::{KeyValue, ListedKeyValue};

/// A controller as a candidate for the leadership, in one process.
#[derive(Debug, Clone)]
pub struct Candidate {
    controller_name: String,
    /// Marks the elections of this process since the last term that it led.
    nonce: u64,
}

/// The conclusion from a list of the keys below `lead/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingOutcome {
    /// There is no leader.
    Leaderless(LeaderlessState),
    /// Another controller leads.
    OtherLeader(ObservedLeader),
    /// The leader record has this controller's name. The leader key must be read, which shows its
    /// lease: see [`Candidate::evaluate_leader_key`].
    OwnName(OwnNameListed),
}

/// A leader that is another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedLeader {
    /// The name of the leader.
    pub controller_name: String,
    /// The leader's term.
    pub term: u64,
    /// A watch of the leader key from this revision misses no change of it.
    pub watch_after: u64,
}

/// What a list showed besides a leader record with this controller's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnNameListed {
    /// The revision at which the listed leader key was written.
    mod_revision: u64,
    watermark_completeness: WatermarkCompleteness,
}

/// The conclusion from a read of the leader key, after a list showed this controller's name in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderKeyOutcome {
    /// This process won this term. It did not receive the response to the election.
    OwnTerm(LeaderTerm),
    /// The leader is an earlier process of this controller, or this process in a term that it gave
    /// up. Its lease can be revoked.
    EndedTerm(LeaderKey),
    /// Another controller leads by now.
    OtherLeader(ObservedLeader),
    /// The key has changed since the list, which must be read again.
    Changed,
    /// The record can't be read, or its key has no lease.
    Unusable,
}

impl Candidate {
    /// Creates the candidate of a process. `nonce` is a random number, different for each process.
    pub fn new(controller_name: &str, nonce: u64) -> Self {
        Self { controller_name: controller_name.to_owned(), nonce }
    }

    /// Returns the record that this candidate writes in an election for the next term.
    pub fn leader_record(&self, leaderless_state: &LeaderlessState) -> LeaderRecord {
        LeaderRecord {
            controller_name: self.controller_name.clone(),
            term: leaderless_state.next_term(),
            nonce: self.nonce,
        }
    }

    /// Ends the term that this candidate led, if any: from now on its leader record counts as that
    /// of an ended process. `nonce` is a new random number.
    pub fn end_term(&mut self, nonce: u64) {
        self.nonce = nonce;
    }

    /// Evaluates `keys`, the keys below `lead/` at the store's revision `revision`.
    pub fn evaluate_listing(&self, keys: &[ListedKeyValue], revision: u64) -> ListingOutcome {
        let listed = keys.iter().find(|pair| pair.key == LEADER_KEY);
        let record =
            |pair: &ListedKeyValue| serde_json::from_value::<LeaderRecord>(pair.value.clone()).ok();
        let Some((pair, record)) = listed.and_then(|pair| Some((pair, record(pair)?))) else {
            return ListingOutcome::Leaderless(LeaderlessState::read(keys));
        };
        if record.controller_name == self.controller_name {
            return ListingOutcome::OwnName(OwnNameListed {
                mod_revision: pair.mod_revision,
                watermark_completeness: WatermarkCompleteness::read(keys),
            });
        }
        ListingOutcome::OtherLeader(ObservedLeader {
            controller_name: record.controller_name,
            term: record.term,
            watch_after: revision,
        })
    }

    /// Evaluates `answer`, the answer to a read of the leader key (`None`: the key does not exist)
    /// that was sent after the list `listed` was received. Who leads, with which revision and
    /// lease, is concluded from this answer alone.
    pub fn evaluate_leader_key(
        &self,
        listed: &OwnNameListed,
        answer: Option<KeyValue>,
    ) -> LeaderKeyOutcome {
        let Some(pair) = answer else { return LeaderKeyOutcome::Changed };
        let Some(key) = LeaderKey::from_read(pair) else { return LeaderKeyOutcome::Unusable };
        let record = key.record();
        if record.controller_name != self.controller_name {
            return LeaderKeyOutcome::OtherLeader(ObservedLeader {
                controller_name: record.controller_name.clone(),
                term: record.term,
                watch_after: key.mod_revision(),
            });
        }
        if record.nonce != self.nonce {
            return LeaderKeyOutcome::EndedTerm(key);
        }
        // The list tells about the start watermarks of this term only if it showed the same key.
        if key.mod_revision() != listed.mod_revision {
            return LeaderKeyOutcome::Changed;
        }
        LeaderKeyOutcome::OwnTerm(LeaderTerm::new(key, listed.watermark_completeness))
    }
}

#[cfg(test)]
mod tests;
