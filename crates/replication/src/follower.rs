//! A follower: a standby's copy of the leader's cluster state, kept up to date by entries and snapshots.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::message::{FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress};
use crate::metrics::FollowerMetrics;
use crate::position::Position;
use crate::snapshot::{SnapshotAssembly, SnapshotChunk, SnapshotError};
use crate::state::{ApplyError, ReplicatedState};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use std::cmp::Ordering;
use std::time::Duration;

/// Why a response was rejected. A response of another term, or one that does not continue the copy, leaves the copy
/// valid. After any other error the copy counts as diverged, and the follower requests a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FollowError {
    /// The response is of an earlier term than the current leader's.
    #[error("response of term {found}, but term {known} is known")]
    OldTerm {
        /// Term of the response.
        found: u64,
        /// Term of the leader according to the store.
        known: u64,
    },
    /// The response is of a later term than the one recorded in the store.
    #[error("response of term {found}, but the leader's term is {known}")]
    FutureTerm {
        /// Term of the response.
        found: u64,
        /// Term of the leader according to the store.
        known: u64,
    },
    /// The entries begin after the position of the copy, or there is no copy that they could continue.
    #[error("entries after {found}, but {}", describe_copy(expected))]
    Gap {
        /// Position of the copy; `None` without a copy.
        expected: Option<Position>,
        /// Position that the first entry follows.
        found: Position,
    },
    /// The response contradicts itself: its content lies beyond the end of the log that it names, or is of another
    /// term than that end.
    #[error("content up to {last}, but the log ends at {end}")]
    Inconsistent {
        /// Position of the last entry, or of the snapshot.
        last: Position,
        /// End of the leader's log according to the response.
        end: Position,
    },
    /// An entry cannot be applied to the copy.
    #[error("entry {position}: {source}")]
    Entry {
        /// Position of the entry in the log.
        position: Position,
        /// What the copy lacks.
        source: ApplyError,
    },
    /// The digest of a range of the copy differs from the leader's.
    #[error("range {range} differs from the leader's at {position}")]
    Diverged {
        /// Index of the range, counted from 0.
        range: u32,
        /// Position at which the digests were compared.
        position: Position,
    },
    /// A snapshot chunk is invalid.
    #[error("snapshot of {position}: {source}")]
    Snapshot {
        /// Position of the log at which the snapshot was taken.
        position: Position,
        /// Why the chunk is invalid.
        source: SnapshotError,
    },
}

impl FollowError {
    /// Whether the copy remains valid after the error, because the response says nothing about the copy.
    fn leaves_copy_valid(&self) -> bool {
        matches!(self, Self::OldTerm { .. } | Self::FutureTerm { .. } | Self::Gap { .. })
    }
}

fn describe_copy(position: &Option<Position>) -> String {
    match position {
        Some(position) => format!("the copy is at {position}"),
        None => "there is no copy".to_owned(),
    }
}

/// The effect of an accepted response on the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowOutcome {
    /// This number of new entries was applied; 0 if the response has no new ones, or was delayed or duplicated.
    EntriesApplied(usize),
    /// A snapshot chunk was stored; further chunks are missing.
    SnapshotChunkStored,
    /// The last chunk of a snapshot was received, and the snapshot has replaced the copy.
    SnapshotApplied {
        /// Machines and jobs that were wrong in a diverged copy, at most `MAX_REPLICATION_NAMED_DIFFERENCES` of them.
        /// Empty if the previous copy had not diverged, or was of another term.
        differing: Vec<String>,
    },
}

/// Why a new leader cannot use a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UnusableCopy {
    /// There is no copy: no snapshot has been received since the start, or the controller keeps no copy.
    #[error("no copy")]
    NoCopy,
    /// The copy is not of an earlier term than the new leader's. Holds the term of the copy.
    #[error("the copy is of term {0}, which is not earlier")]
    NotEarlier(u64),
    /// The copy is known to differ from the leader's state, or a response was invalid.
    #[error("the copy has diverged")]
    Diverged,
    /// The leader's last response is too old. Holds its age, or [`Duration::MAX`] without one.
    #[error("the copy is {} ms old", whole_millis(*.0))]
    Stale(Duration),
}

/// A standby's copy of the leader's cluster state.
#[derive(Debug)]
pub struct Follower {
    name: String,
    state: ReplicatedState,
    /// Position of the copy; `None` without a copy.
    position: Option<Position>,
    /// The snapshot that is being received, if any.
    assembly: Option<SnapshotAssembly>,
    /// Term of the leader according to the store; 0 before the first one is known.
    leader_term: u64,
    /// Whether the copy is known or suspected to be wrong. Such a copy is kept to name the differences once a snapshot
    /// has been received.
    diverged: bool,
    /// Time of the last response that was of the leader's term when it arrived.
    last_response_at: Option<MonotonicTime>,
    metrics: FollowerMetrics,
}

impl Follower {
    /// Creates a follower without a copy. `name` is the name of its controller.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: ReplicatedState::default(),
            position: None,
            assembly: None,
            leader_term: 0,
            diverged: false,
            last_response_at: None,
            metrics: FollowerMetrics::default(),
        }
    }

    /// Returns the next request to the leader.
    pub fn request(&self) -> FollowRequest {
        let progress = match (&self.assembly, self.position) {
            (Some(assembly), _) => FollowerProgress::ReceivingSnapshot {
                position: assembly.position,
                next_chunk: assembly.next_chunk,
            },
            (None, Some(position)) if !self.diverged => FollowerProgress::Through(position),
            _ => FollowerProgress::Empty,
        };
        FollowRequest { follower: self.name.clone(), progress }
    }

    /// Records the term of the leader according to the store. Responses of other terms are rejected from now on, and
    /// a partially received snapshot of another term is discarded.
    pub fn observe_term(&mut self, term: u64) {
        if term != self.leader_term {
            self.leader_term = term;
            self.assembly = None;
        }
    }

    /// Applies a response of the leader, received at `now`.
    ///
    /// # Errors
    ///
    /// A [`FollowError`], whose documentation says what happens to the copy.
    pub fn apply_response(
        &mut self,
        response: FollowResponse,
        now: MonotonicTime,
    ) -> Result<FollowOutcome, FollowError> {
        let end = response.end;
        self.check_term(end.term)?;
        self.last_response_at = Some(now);
        let outcome = match response.body {
            FollowResponseBody::Entries { after, entries, digest } => {
                self.apply_entries(end, after, entries, digest)
            }
            FollowResponseBody::SnapshotChunk(chunk) => self.add_snapshot_chunk(end, chunk),
        };
        match &outcome {
            Ok(_) => self.metrics.record_lag(self.lag_entries(end), now),
            Err(error) if error.leaves_copy_valid() => {}
            Err(_) => self.start_resync(),
        }
        outcome
    }

    /// Checks that the term of a response is the leader's term according to the store.
    fn check_term(&self, found: u64) -> Result<(), FollowError> {
        let known = self.leader_term;
        match found.cmp(&known) {
            Ordering::Less => Err(FollowError::OldTerm { found, known }),
            Ordering::Equal => Ok(()),
            Ordering::Greater => Err(FollowError::FutureTerm { found, known }),
        }
    }

    /// Marks the copy as diverged, so that the follower requests a snapshot.
    fn start_resync(&mut self) {
        self.metrics.resyncs += 1;
        self.assembly = None;
        self.diverged = true;
    }

    /// Returns the position of the copy if entries of `term` can continue it.
    fn continuable_position(&self, term: u64) -> Option<Position> {
        self.position.filter(|position| position.term == term && !self.diverged)
    }

    /// Returns the number of entries by which the copy is behind the end of the log.
    fn lag_entries(&self, end: Position) -> u64 {
        match self.continuable_position(end.term) {
            Some(position) => end.index.saturating_sub(position.index),
            None => end.index,
        }
    }

    fn apply_entries(
        &mut self,
        end: Position,
        after: Position,
        entries: Vec<Entry>,
        digest: Option<RangeDigest>,
    ) -> Result<FollowOutcome, FollowError> {
        let applied_before = self.applied_after(after)?;
        let last = last_position(after, entries.len(), end)?;
        let Some(new_entries) = entries.len().checked_sub(applied_before) else {
            // The response was delayed: its digest is of an older state than the copy.
            return Ok(FollowOutcome::EntriesApplied(0));
        };
        for (previous_index, entry) in (after.index..).zip(entries).skip(applied_before) {
            let position = Position { index: previous_index + 1, ..after };
            self.state.apply(entry).map_err(|source| FollowError::Entry { position, source })?;
        }
        self.position = Some(last);
        self.compare_digest(digest, last)?;
        Ok(FollowOutcome::EntriesApplied(new_entries))
    }

    /// Returns the number of entries after `after` that have already been applied. A delayed or duplicated response
    /// begins with such entries.
    fn applied_after(&self, after: Position) -> Result<usize, FollowError> {
        self.continuable_position(after.term)
            .and_then(|position| position.index.checked_sub(after.index))
            .map(|applied| usize::try_from(applied).unwrap_or(usize::MAX))
            .ok_or(FollowError::Gap { expected: self.position, found: after })
    }

    /// Compares one range of the copy, which is at `position`, with the leader's digest of it.
    fn compare_digest(
        &self,
        digest: Option<RangeDigest>,
        position: Position,
    ) -> Result<(), FollowError> {
        match digest {
            Some(expected) if RangeDigest::of(&self.state, expected.range) != Some(expected) => {
                Err(FollowError::Diverged { range: expected.range, position })
            }
            _ => Ok(()),
        }
    }

    fn add_snapshot_chunk(
        &mut self,
        end: Position,
        chunk: SnapshotChunk,
    ) -> Result<FollowOutcome, FollowError> {
        let position = chunk.position;
        if position.term != end.term || position.index > end.index {
            return Err(FollowError::Inconsistent { last: position, end });
        }
        if self.is_duplicate(&chunk) {
            return Ok(FollowOutcome::EntriesApplied(0));
        }
        let received =
            self.assemble(chunk).map_err(|source| FollowError::Snapshot { position, source })?;
        let Some(state) = received else { return Ok(FollowOutcome::SnapshotChunkStored) };
        let differing = self.differing_from(&state, position);
        self.state = state;
        self.position = Some(position);
        self.diverged = false;
        self.metrics.snapshots += 1;
        Ok(FollowOutcome::SnapshotApplied { differing })
    }

    /// Whether a chunk was received before, or the copy is at least as recent as the chunk's snapshot.
    fn is_duplicate(&self, chunk: &SnapshotChunk) -> bool {
        match &self.assembly {
            Some(assembly) => assembly.matches(chunk) && chunk.index < assembly.next_chunk,
            None => {
                let snapshot = chunk.position;
                self.continuable_position(snapshot.term).is_some_and(|copy| copy >= snapshot)
            }
        }
    }

    /// Adds a chunk to the snapshot that is being received. Returns the state once the snapshot is complete.
    fn assemble(&mut self, chunk: SnapshotChunk) -> Result<Option<ReplicatedState>, SnapshotError> {
        let current = self.assembly.take().filter(|assembly| assembly.matches(&chunk));
        let mut assembly = match current {
            Some(assembly) => assembly,
            // The first chunk of another snapshot: the leader no longer serves the previous one.
            None => SnapshotAssembly::begin(&chunk)?,
        };
        let state = assembly.add(chunk)?;
        if state.is_none() {
            self.assembly = Some(assembly);
        }
        Ok(state)
    }

    /// Returns the first machines and jobs in which a diverged copy differs from a snapshot of the same term. A
    /// snapshot of another term also differs for legitimate reasons.
    fn differing_from(&self, snapshot: &ReplicatedState, position: Position) -> Vec<String> {
        let same_term = self.position.is_some_and(|copy| copy.term == position.term);
        if !self.diverged || !same_term {
            return Vec::new();
        }
        self.state.differing(snapshot, constants::MAX_REPLICATION_NAMED_DIFFERENCES)
    }

    /// Returns the position of the copy; `None` without a copy.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the copy, whether it is usable or not; empty without a copy.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the replication lag and the counts of snapshots and resynchronizations.
    pub fn metrics(&self) -> &FollowerMetrics {
        &self.metrics
    }

    /// Returns the copy if this controller, as the new leader of `term`, may use it at `now`. The copy is a hint and
    /// proves nothing.
    ///
    /// # Errors
    ///
    /// An [`UnusableCopy`] that says why the copy cannot be used.
    pub fn usable_copy(
        &self,
        term: u64,
        now: MonotonicTime,
    ) -> Result<&ReplicatedState, UnusableCopy> {
        let position = self.position.ok_or(UnusableCopy::NoCopy)?;
        if self.diverged {
            return Err(UnusableCopy::Diverged);
        }
        if position.term >= term {
            return Err(UnusableCopy::NotEarlier(position.term));
        }
        let age =
            self.last_response_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age > constants::MAX_REPLICATION_COPY_AGE {
            return Err(UnusableCopy::Stale(age));
        }
        Ok(&self.state)
    }
}

/// Returns the position of the last of `count` entries that follow `after`. Fails if that position is beyond the end of
/// the log, or of another term than the end.
fn last_position(after: Position, count: usize, end: Position) -> Result<Position, FollowError> {
    let last_index = after.index.checked_add(count as u64);
    let last = Position { index: last_index.unwrap_or(u64::MAX), ..after };
    if last_index.is_none() || after.term != end.term || last.index > end.index {
        return Err(FollowError::Inconsistent { last, end });
    }
    Ok(last)
}
