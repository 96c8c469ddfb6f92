//! A follower: a standby's copy of the leader's cluster state, kept up to date by entries and images.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::image::{ImageAssembly, ImageChunk, ImageError};
use crate::message::{FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress};
use crate::metrics::FollowerMetrics;
use crate::position::Position;
use crate::state::{ApplyError, ReplicatedState};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use std::time::Duration;

/// Why a response was rejected. A response of another term, or one that does not continue the copy, is ignored;
/// after any other error the copy is not trusted any more, and the follower requests an image.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FollowError {
    /// The response is of an earlier term than the leader's.
    #[error("response of term {found}, but term {known} is known")]
    OldTerm {
        /// Term of the response.
        found: u64,
        /// Term of the leader according to the state service.
        known: u64,
    },
    /// The response is of a later term than the state service has recorded.
    #[error("response of term {found}, but the leader's term is {known}")]
    FutureTerm {
        /// Term of the response.
        found: u64,
        /// Term of the leader according to the state service.
        known: u64,
    },
    /// The entries do not continue the copy.
    #[error("entries after {found}, but the copy is at {expected:?}")]
    Gap {
        /// Position of the copy.
        expected: Option<Position>,
        /// Position before the first entry.
        found: Position,
    },
    /// The response is inconsistent: its content is after the end of the log that it names, or of another term.
    #[error("entries up to {last}, but the log ends at {end}")]
    Inconsistent {
        /// Position of the last entry.
        last: Position,
        /// End of the log.
        end: Position,
    },
    /// An entry cannot be applied to the copy.
    #[error("entry {index}: {source}")]
    Entry {
        /// Index of the entry in the log.
        index: u64,
        /// Reason.
        source: ApplyError,
    },
    /// The digest of a range of the copy differs from the leader's.
    #[error("range {range} differs from the leader's at {position}")]
    Diverged {
        /// Index of the range.
        range: u32,
        /// Position of the digest.
        position: Position,
    },
    /// A chunk of an image is invalid.
    #[error("image: {0}")]
    Image(#[from] ImageError),
}

/// The effect of a response on the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowOutcome {
    /// This number of new entries was applied; 0 if the response is delayed or duplicated.
    EntriesApplied(usize),
    /// A chunk of an image was stored.
    ImageChunkStored,
    /// The last chunk of an image was received, and the image replaced the copy.
    ImageApplied {
        /// If the previous copy had diverged: the first machines and jobs that were wrong in it.
        differing: Vec<String>,
    },
}

impl FollowError {
    /// Whether the copy is still valid: the response says nothing about it.
    fn keeps_copy(&self) -> bool {
        matches!(self, Self::OldTerm { .. } | Self::FutureTerm { .. } | Self::Gap { .. })
    }
}

/// Why a new leader cannot use a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UnusableCopy {
    /// There is no copy.
    #[error("no copy")]
    Empty,
    /// The copy is not of an earlier term than the new leader's: the term of the copy.
    #[error("the copy is of term {0}, which is not earlier")]
    NotEarlier(u64),
    /// The copy differs from the leader's state.
    #[error("the copy has diverged")]
    Diverged,
    /// The leader's last response is too old: its age.
    #[error("the copy is {} ms old", whole_millis(*.0))]
    Stale(Duration),
}

/// A standby's copy of the leader's cluster state.
#[derive(Debug)]
pub struct Follower {
    name: String,
    state: ReplicatedState,
    position: Option<Position>,
    assembly: Option<ImageAssembly>,
    /// Term of the leader according to the state service.
    term: u64,
    /// The copy is known to be wrong. It is kept to name the differences once an image has been received.
    diverged: bool,
    /// Time of the leader's last response.
    last_response_at: Option<MonotonicTime>,
    metrics: FollowerMetrics,
}

impl Follower {
    /// Creates a follower without a copy. `name` is that of its controller.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: ReplicatedState::default(),
            position: None,
            assembly: None,
            term: 0,
            diverged: false,
            last_response_at: None,
            metrics: FollowerMetrics::default(),
        }
    }

    /// The next request to the leader.
    pub fn request(&self) -> FollowRequest {
        let progress = match (&self.assembly, self.position) {
            (Some(assembly), _) => FollowerProgress::ReceivingImage {
                position: assembly.position,
                next_chunk: assembly.next_chunk,
            },
            (None, Some(position)) if !self.diverged => FollowerProgress::Through(position),
            _ => FollowerProgress::Empty,
        };
        FollowRequest { follower: self.name.clone(), progress }
    }

    /// Records the term of the leader according to the state service. Responses of other terms are rejected from
    /// now on.
    pub fn observe_term(&mut self, term: u64) {
        if term != self.term {
            self.term = term;
            self.assembly = None;
        }
    }

    /// Applies the leader's response at `now`.
    ///
    /// # Errors
    ///
    /// A [`FollowError`]; see there for its effect on the copy.
    pub fn handle_response(
        &mut self,
        response: FollowResponse,
        now: MonotonicTime,
    ) -> Result<FollowOutcome, FollowError> {
        let end = response.end;
        let (found, known) = (end.term, self.term);
        if found < known {
            return Err(FollowError::OldTerm { found, known });
        }
        if found > known {
            return Err(FollowError::FutureTerm { found, known });
        }
        self.last_response_at = Some(now);
        let outcome = match response.body {
            FollowResponseBody::Entries { after, entries, digest } => {
                self.apply_entries(end, after, entries, digest)
            }
            FollowResponseBody::ImageChunk(chunk) => self.add_image_chunk(end, chunk),
        };
        match &outcome {
            Ok(_) => self.metrics.record_lag(self.lag_entries(end), now),
            Err(error) if error.keeps_copy() => {}
            Err(_) => {
                self.metrics.resyncs += 1;
                self.assembly = None;
                self.diverged = true;
            }
        }
        outcome
    }

    /// Number of entries that the copy is behind the end of the log.
    fn lag_entries(&self, end: Position) -> u64 {
        match self.position.filter(|p| p.term == end.term && !self.diverged) {
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
        let gap = FollowError::Gap { expected: self.position, found: after };
        let Some(position) = self.position.filter(|p| p.term == after.term && !self.diverged)
        else {
            return Err(gap);
        };
        // A delayed or duplicated response begins with entries that were applied before.
        let applied = position.index.checked_sub(after.index).ok_or(gap)?;
        let count = entries.len();
        let last_index = after.index.checked_add(count as u64);
        let last = Position { index: last_index.unwrap_or(u64::MAX), ..after };
        if last_index.is_none() || after.term != end.term || last.index > end.index {
            return Err(FollowError::Inconsistent { last, end });
        }
        if last.index < position.index {
            return Ok(FollowOutcome::EntriesApplied(0));
        }
        let applied = usize::try_from(applied).unwrap_or(usize::MAX);
        for (previous_index, entry) in (after.index..).zip(entries).skip(applied) {
            let index = previous_index + 1;
            self.state.apply(entry).map_err(|source| FollowError::Entry { index, source })?;
        }
        self.position = Some(last);
        if let Some(expected) = digest
            && RangeDigest::of(&self.state, expected.range) != Some(expected)
        {
            return Err(FollowError::Diverged { range: expected.range, position: last });
        }
        Ok(FollowOutcome::EntriesApplied(count.saturating_sub(applied)))
    }

    fn add_image_chunk(
        &mut self,
        end: Position,
        chunk: ImageChunk,
    ) -> Result<FollowOutcome, FollowError> {
        let position = chunk.position;
        if position.term != end.term || position.index > end.index {
            return Err(FollowError::Inconsistent { last: position, end });
        }
        if self.is_duplicate(&chunk) {
            return Ok(FollowOutcome::EntriesApplied(0));
        }
        // The first chunk of another image: the leader could not continue the previous one.
        let mut assembly = match self.assembly.take().filter(|assembly| assembly.matches(&chunk)) {
            Some(assembly) => assembly,
            None => ImageAssembly::begin(&chunk)?,
        };
        let Some(state) = assembly.add(chunk)? else {
            self.assembly = Some(assembly);
            return Ok(FollowOutcome::ImageChunkStored);
        };
        let same_term = self.position.is_some_and(|p| p.term == position.term);
        let differing = if self.diverged && same_term {
            self.state.differing(&state, constants::REPLICATION_MAX_NAMED_DIFFERENCES)
        } else {
            Vec::new()
        };
        self.state = state;
        self.position = Some(position);
        self.diverged = false;
        self.metrics.images += 1;
        Ok(FollowOutcome::ImageApplied { differing })
    }

    /// Whether a chunk was received before, or the copy is at least as recent as its image.
    fn is_duplicate(&self, chunk: &ImageChunk) -> bool {
        match &self.assembly {
            Some(assembly) => assembly.matches(chunk) && chunk.index < assembly.next_chunk,
            None => {
                let image = chunk.position;
                let covers = |copy: Position| copy.term == image.term && copy >= image;
                !self.diverged && self.position.is_some_and(covers)
            }
        }
    }

    /// Position of the copy; `None` without a copy.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The copy, whether it is usable or not.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Metrics of this follower.
    pub fn metrics(&self) -> &FollowerMetrics {
        &self.metrics
    }

    /// Returns the copy for this controller as the new leader of `term`. It is a hint and proves nothing.
    ///
    /// # Errors
    ///
    /// An [`UnusableCopy`] that says why the copy cannot be used.
    pub fn usable(&self, term: u64, now: MonotonicTime) -> Result<&ReplicatedState, UnusableCopy> {
        let position = self.position.ok_or(UnusableCopy::Empty)?;
        if self.diverged {
            return Err(UnusableCopy::Diverged);
        }
        if position.term >= term {
            return Err(UnusableCopy::NotEarlier(position.term));
        }
        let age =
            self.last_response_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age > constants::REPLICATION_STALE {
            return Err(UnusableCopy::Stale(age));
        }
        Ok(&self.state)
    }
}
