//! What a campaign for leadership reads from the state service, and the transaction that wins it.

use crate::records::{COMPLETE_WATERMARKS_KEY, LEADER_KEY, LEADER_TERM_KEY, LeaderRecord};
use hookway_constants as constants;
use hookway_wire::{KeyValue, Operation, Precondition, Transaction};
use std::fmt;

/// What the state service says about the start watermarks that the leaders before a term kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredWatermarks {
    /// Every task that may have been started lies below a durable watermark.
    Complete,
    /// No leader has made them complete yet.
    Absent,
    /// They were complete in an earlier term than the last one.
    Outdated,
}

impl StoredWatermarks {
    /// What the keys below `lead/` say. A leader that lost the response to its election reads them
    /// afterwards: the election wrote the marker of its own term only if the records before were
    /// complete.
    pub fn read(keys: &[KeyValue]) -> Self {
        let value = |key: &str| keys.iter().find(|pair| pair.key == key).map(|pair| &pair.value);
        match (value(LEADER_TERM_KEY), value(COMPLETE_WATERMARKS_KEY)) {
            (term, marker) if term == marker => Self::Complete,
            (_, None) => Self::Absent,
            (_, Some(_)) => Self::Outdated,
        }
    }
}

impl fmt::Display for StoredWatermarks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::Absent => "absent",
            Self::Outdated => "outdated",
        })
    }
}

/// The last fencing token of a term.
pub fn last_token(term: u64) -> u64 {
    term + constants::TOKENS_PER_TERM - 1
}

/// The state that a campaign starts from: nobody leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vacancy {
    /// The highest fencing token of all terms so far.
    last_token: u64,
    /// The revision of `lead/term`; 0: the key does not exist.
    term_revision: u64,
    /// Whether the start watermarks of all terms so far are complete.
    pub stored_watermarks: StoredWatermarks,
}

impl Vacancy {
    /// The vacancy that the keys below `lead/` describe.
    pub fn read(keys: &[KeyValue]) -> Self {
        let term = keys.iter().find(|pair| pair.key == LEADER_TERM_KEY);
        Self {
            last_token: term.and_then(|pair| pair.value.as_u64()).unwrap_or(0),
            term_revision: term.map_or(0, |pair| pair.mod_revision),
            stored_watermarks: StoredWatermarks::read(keys),
        }
    }

    /// The term that follows.
    pub fn next_term(&self) -> u64 {
        self.last_token + 1
    }

    /// The transaction that wins the election: it writes the leader record and reserves the fencing
    /// tokens of the term, which `lead/term` records up to the last one. If the start watermarks are
    /// complete they stay so, as no start precedes its watermark; otherwise only the new leader can
    /// make them complete, after its election.
    ///
    /// # Errors
    ///
    /// The record can't be serialized.
    pub fn election(
        &self,
        leader: &LeaderRecord,
        lease_id: u64,
    ) -> Result<Transaction, serde_json::Error> {
        let last_token = serde_json::json!(last_token(self.next_term()));
        let preconditions = vec![
            Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
            Precondition { key: LEADER_TERM_KEY.into(), mod_revision: self.term_revision },
        ];
        let mut operations = vec![
            Operation::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(leader)?,
                lease_id: Some(lease_id),
            },
            Operation::put(LEADER_TERM_KEY, last_token.clone()),
        ];
        if self.stored_watermarks == StoredWatermarks::Complete {
            operations.push(Operation::put(COMPLETE_WATERMARKS_KEY, last_token));
        }
        Ok(Transaction { preconditions, operations })
    }
}
