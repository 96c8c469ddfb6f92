//! A follower: the copy that a standby keeps of the leader's picture.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::image::{Assembly, ImageError, ImagePiece};
use crate::message::{FollowAnswer, FollowBody, FollowRequest, Held};
use crate::metrics::FollowMetrics;
use crate::position::Position;
use crate::state::{ApplyError, ReplicatedState};
use hookway_constants as constants;

/// Why an answer was refused. One of another term than the leader's, or that does not go on from the copy, is passed
/// over; after everything else the copy is not trusted any more, and the follower fetches an image.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FollowError {
    /// It comes from a leader of an earlier term.
    #[error("an answer of term {found}, and term {known} is known")]
    OldTerm {
        /// Its term.
        found: u64,
        /// The latest known one.
        known: u64,
    },
    /// It is of a term that the state service does not know of.
    #[error("an answer of term {found}, and the leader's is {known}")]
    FutureTerm {
        /// Its term.
        found: u64,
        /// The leader's.
        known: u64,
    },
    /// It does not go on from where the follower is.
    #[error("entries after {found}, and the copy is at {expected:?}")]
    Gap {
        /// Where the follower is.
        expected: Option<Position>,
        /// Where the entries begin.
        found: Position,
    },
    /// Entries lie beyond the end that the same message names, or are of another term.
    #[error("entries up to {last}, and the log ends at {end}")]
    Impossible {
        /// The last entry.
        last: Position,
        /// The end of the log.
        end: Position,
    },
    /// An entry does not fit the copy.
    #[error("entry {index}: {why}")]
    Entry {
        /// Its number.
        index: u64,
        /// Why.
        why: ApplyError,
    },
    /// The copy does not have the leader's digest.
    #[error("range {range} differs from the leader's at {position}")]
    Diverged {
        /// The range.
        range: u32,
        /// Where.
        position: Position,
    },
    /// A piece of an image is wrong.
    #[error("image: {0}")]
    Image(#[from] ImageError),
}

/// What an answer brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// So many entries that the copy lacked; none if the answer is late, or came before.
    Applied(usize),
    /// A piece of an image.
    Piece,
    /// The last piece. Names of machines and jobs that an earlier copy had wrong, if one was found to be.
    Image {
        /// The first of those.
        differing: Vec<String>,
    },
}

impl FollowError {
    /// Whether the copy is as good as before: the answer belongs elsewhere, and says nothing of the copy.
    fn spares_copy(&self) -> bool {
        matches!(self, Self::OldTerm { .. } | Self::FutureTerm { .. } | Self::Gap { .. })
    }
}

/// Why a copy can't help a new leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// There is none.
    #[error("no copy")]
    Empty,
    /// It is of a term that the new leader's does not come after.
    #[error("the copy is of term {0}, which is not earlier")]
    NotEarlier(u64),
    /// It was found to differ from its leader's.
    #[error("the copy has diverged")]
    Diverged,
    /// Its leader was heard too long ago.
    #[error("the copy is {0} ms old")]
    Stale(u64),
}

/// A standby's copy.
#[derive(Debug)]
pub struct Follower {
    name: String,
    state: ReplicatedState,
    position: Option<Position>,
    assembly: Option<Assembly>,
    /// The leader's term, as the state service has it.
    term: u64,
    /// The copy was found to differ; kept to tell what differs once an image has come.
    diverged: bool,
    /// When the leader last answered, ms.
    heard_at: Option<u64>,
    metrics: FollowMetrics,
}

impl Follower {
    /// With nothing yet.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: ReplicatedState::default(),
            position: None,
            assembly: None,
            term: 0,
            diverged: false,
            heard_at: None,
            metrics: FollowMetrics::default(),
        }
    }

    /// What it asks the leader.
    pub fn request(&self) -> FollowRequest {
        let held = match (&self.assembly, self.position) {
            (Some(assembly), _) => Held::Pieces(assembly.position, assembly.next),
            (None, Some(position)) if !self.diverged => Held::Through(position),
            _ => Held::Nothing,
        };
        FollowRequest { follower: self.name.clone(), held }
    }

    /// The state service says that the leader is of this term: whatever another one says is refused from now on.
    pub fn learn_term(&mut self, term: u64) {
        if term != self.term {
            self.term = term;
            self.assembly = None;
        }
    }

    /// Takes an answer, at `now`, ms.
    pub fn take(&mut self, answer: FollowAnswer, now: u64) -> Result<Progress, FollowError> {
        let end = answer.end;
        let (found, known) = (end.term, self.term);
        if found < known {
            return Err(FollowError::OldTerm { found, known });
        }
        if found > known {
            return Err(FollowError::FutureTerm { found, known });
        }
        self.heard_at = Some(now);
        let taken = match answer.body {
            FollowBody::Entries { after, entries, digest } => {
                self.take_entries(end, after, entries, digest)
            }
            FollowBody::Piece(piece) => self.take_piece(end, piece),
        };
        match &taken {
            Ok(_) => self.metrics.heard(self.behind(end), now),
            Err(error) if error.spares_copy() => {}
            Err(_) => {
                self.metrics.resyncs += 1;
                self.assembly = None;
                self.diverged = true;
            }
        }
        taken
    }

    /// Entries that the copy lacks.
    fn behind(&self, end: Position) -> u64 {
        match self.position.filter(|p| p.term == end.term && !self.diverged) {
            Some(position) => end.index.saturating_sub(position.index),
            None => end.index,
        }
    }

    fn take_entries(
        &mut self,
        end: Position,
        after: Position,
        entries: Vec<Entry>,
        digest: Option<RangeDigest>,
    ) -> Result<Progress, FollowError> {
        let gap = FollowError::Gap { expected: self.position, found: after };
        let Some(position) = self.position.filter(|p| p.term == after.term && !self.diverged)
        else {
            return Err(gap);
        };
        // A late answer, or a copy of one, begins with entries that were applied.
        let known = position.index.checked_sub(after.index).ok_or(gap)?;
        let count = entries.len();
        let index = after.index.checked_add(count as u64);
        let last = Position { index: index.unwrap_or(u64::MAX), ..after };
        if index.is_none() || after.term != end.term || last.index > end.index {
            return Err(FollowError::Impossible { last, end });
        }
        if last.index < position.index {
            return Ok(Progress::Applied(0));
        }
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for (before, entry) in (after.index..).zip(entries).skip(known) {
            let index = before + 1;
            self.state.apply(entry).map_err(|why| FollowError::Entry { index, why })?;
        }
        self.position = Some(last);
        if let Some(theirs) = digest
            && RangeDigest::of(&self.state, theirs.range) != Some(theirs)
        {
            return Err(FollowError::Diverged { range: theirs.range, position: last });
        }
        Ok(Progress::Applied(count.saturating_sub(known)))
    }

    fn take_piece(&mut self, end: Position, piece: ImagePiece) -> Result<Progress, FollowError> {
        let position = piece.position;
        if position.term != end.term || position.index > end.index {
            return Err(FollowError::Impossible { last: position, end });
        }
        if self.is_late(&piece) {
            return Ok(Progress::Applied(0));
        }
        // The first piece of another image: the leader could not go on with the one before.
        let mut assembly = match self.assembly.take().filter(|a| a.matches(&piece)) {
            Some(assembly) => assembly,
            None => Assembly::begin(&piece)?,
        };
        let Some(state) = assembly.add(piece)? else {
            self.assembly = Some(assembly);
            return Ok(Progress::Piece);
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
        Ok(Progress::Image { differing })
    }

    /// Whether a piece brings nothing: the copy has what its image has, or the piece itself was taken.
    fn is_late(&self, piece: &ImagePiece) -> bool {
        match &self.assembly {
            Some(assembly) => assembly.matches(piece) && piece.number < assembly.next,
            None => {
                let newer = |p: &Position| p.term == piece.position.term && *p >= piece.position;
                !self.diverged && self.position.as_ref().is_some_and(newer)
            }
        }
    }

    /// Where the copy is.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The copy as it is, usable or not.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// How far behind it is and was.
    pub fn metrics(&self) -> &FollowMetrics {
        &self.metrics
    }

    /// The copy, for the leader of `term` that won it at `now`, ms. It is a hint, however new it is.
    pub fn usable(&self, term: u64, now: u64) -> Result<&ReplicatedState, Unusable> {
        let position = self.position.ok_or(Unusable::Empty)?;
        if self.diverged {
            return Err(Unusable::Diverged);
        }
        if position.term >= term {
            return Err(Unusable::NotEarlier(position.term));
        }
        let age = self.heard_at.map_or(u64::MAX, |at| now.saturating_sub(at));
        if age > constants::REPLICATION_STALE_MS {
            return Err(Unusable::Stale(age));
        }
        Ok(&self.state)
    }
}
