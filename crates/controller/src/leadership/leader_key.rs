//! The leader key as the store holds it.

use crate::records::LeaderRecord;
use hookway_wire::{KeyValue, Precondition};

/// The leader record with the revision and the lease of its key, all from one answer of the store.
///
/// Record, revision and lease of two answers must not be combined: between the two, the lease may
/// end and another controller may be elected. So a value is created from a single read of the key
/// ([`from_read`](Self::from_read)), or by an election from the store's confirmation of its
/// transaction, which wrote record and lease ([`Election::won_at`](super::Election::won_at)).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderKey {
    record: LeaderRecord,
    mod_revision: u64,
    lease_id: u64,
}

impl LeaderKey {
    /// Returns the leader key according to a read of it; `None` if the record is unreadable or
    /// without a lease. A list of keys does not show leases, so none of its items will do.
    pub fn from_read(pair: KeyValue) -> Option<Self> {
        let record = serde_json::from_value(pair.value).ok()?;
        Some(Self { record, mod_revision: pair.mod_revision, lease_id: pair.lease_id? })
    }

    /// Returns the leader key that a confirmed election wrote at `mod_revision`.
    pub(super) fn from_election(record: LeaderRecord, lease_id: u64, mod_revision: u64) -> Self {
        Self { record, mod_revision, lease_id }
    }

    /// Returns the record of the leader.
    pub fn record(&self) -> &LeaderRecord {
        &self.record
    }

    /// Returns the revision at which the key was written.
    pub fn mod_revision(&self) -> u64 {
        self.mod_revision
    }

    /// Returns the id of the lease that the key is attached to. The store never assigns it again,
    /// and deletes the key when the lease ends.
    pub fn lease_id(&self) -> u64 {
        self.lease_id
    }

    /// Returns the precondition that the key has not changed since.
    pub fn unchanged(&self) -> Precondition {
        let key = crate::records::LEADER_KEY.to_owned();
        Precondition { key, mod_revision: self.mod_revision }
    }
}
