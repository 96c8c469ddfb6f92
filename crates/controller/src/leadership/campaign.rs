//! What a candidate reads from the store before an election, and the transaction that wins it.

use super::leader_key::LeaderKey;
use super::term::LeaderTerm;
use crate::records::{COMPLETE_WATERMARKS_KEY, LEADER_KEY, LEADER_TERM_KEY, LeaderRecord};
use hookway_constants as constants;
use hookway_wire::{ListedKeyValue, Operation, Precondition, Transaction};
use std::fmt;

/// Whether the start watermarks that the leaders of earlier terms stored are complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatermarkCompleteness {
    /// Every task that may have been started has an index below the durable watermark of its job.
    /// Also the case before the first term, when no task can have been started.
    Complete,
    /// No leader has recorded complete watermarks yet.
    Absent,
    /// Complete watermarks were recorded for an earlier term, but not for the last one.
    Outdated,
}

impl WatermarkCompleteness {
    /// Derives the completeness of the watermarks from `keys`, the keys below `lead/`.
    ///
    /// A leader that did not receive the response to its election reads the keys after the
    /// election. The result is the same as before it: the election marked the watermarks of its own
    /// term as complete only if those of all earlier terms were.
    pub fn read(keys: &[ListedKeyValue]) -> Self {
        let value = |key: &str| keys.iter().find(|pair| pair.key == key).map(|pair| &pair.value);
        match (value(LEADER_TERM_KEY), value(COMPLETE_WATERMARKS_KEY)) {
            (term, marker) if term == marker => Self::Complete,
            (_, None) => Self::Absent,
            (_, Some(_)) => Self::Outdated,
        }
    }
}

impl fmt::Display for WatermarkCompleteness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::Absent => "absent",
            Self::Outdated => "outdated",
        })
    }
}

/// Returns the last fencing token of the term that begins with the token `term`.
pub fn last_fencing_token(term: u64) -> u64 {
    term + constants::TOKENS_PER_TERM - 1
}

/// The contents of the keys below `lead/` while there is no leader. An election builds on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderlessState {
    /// The highest fencing token of all terms so far; 0 before the first term.
    last_fencing_token: u64,
    /// The revision at which `lead/term` was last written; 0 if the key does not exist.
    term_revision: u64,
    /// Whether the start watermarks of all terms so far are complete.
    pub watermark_completeness: WatermarkCompleteness,
}

impl LeaderlessState {
    /// Parses `keys`, the keys below `lead/`. Assumes that there is no leader.
    pub fn read(keys: &[ListedKeyValue]) -> Self {
        let term = keys.iter().find(|pair| pair.key == LEADER_TERM_KEY);
        Self {
            last_fencing_token: term.and_then(|pair| pair.value.as_u64()).unwrap_or(0),
            term_revision: term.map_or(0, |pair| pair.mod_revision),
            watermark_completeness: WatermarkCompleteness::read(keys),
        }
    }

    /// Returns the term that the next election begins, which is also its first fencing token.
    pub fn next_term(&self) -> u64 {
        self.last_fencing_token + 1
    }

    /// Returns the election with this leader record. Its transaction writes the record, attached to
    /// the lease `lease_id`, and reserves all fencing tokens of the term by writing the last one to
    /// `lead/term`.
    ///
    /// If the start watermarks are complete, the transaction marks them as complete for the new
    /// term too: they stay complete, because no task is started before its watermark is durable.
    /// Otherwise only the new leader can make them complete, after its election.
    ///
    /// # Errors
    ///
    /// Fails if the leader record can't be serialized.
    pub fn election(
        &self,
        record: LeaderRecord,
        lease_id: u64,
    ) -> Result<Election, serde_json::Error> {
        let last_fencing_token = serde_json::json!(last_fencing_token(self.next_term()));
        let preconditions = vec![
            Precondition { key: LEADER_KEY.into(), mod_revision: 0 },
            Precondition { key: LEADER_TERM_KEY.into(), mod_revision: self.term_revision },
        ];
        let mut operations = vec![
            Operation::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(&record)?,
                lease_id: Some(lease_id),
            },
            Operation::put(LEADER_TERM_KEY, last_fencing_token.clone()),
        ];
        if self.watermark_completeness == WatermarkCompleteness::Complete {
            operations.push(Operation::put(COMPLETE_WATERMARKS_KEY, last_fencing_token));
        }
        Ok(Election {
            transaction: Transaction { preconditions, operations },
            record,
            lease_id,
            watermark_completeness: self.watermark_completeness,
        })
    }
}

/// An election that a candidate takes part in.
#[derive(Debug, Clone, PartialEq)]
pub struct Election {
    transaction: Transaction,
    record: LeaderRecord,
    lease_id: u64,
    watermark_completeness: WatermarkCompleteness,
}

impl Election {
    /// Returns the transaction that wins the election if the store applies it.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns the term that the election has begun. `mod_revision` is the revision in the store's
    /// confirmation that it applied the transaction.
    pub fn won_at(self, mod_revision: u64) -> LeaderTerm {
        let key = LeaderKey::from_election(self.record, self.lease_id, mod_revision);
        LeaderTerm::new(key, self.watermark_completeness)
    }
}
