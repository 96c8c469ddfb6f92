//! What goes between a follower and the leader. The follower asks; one answer under way at a time.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::image::ImagePiece;
use crate::position::Position;
use serde::{Deserialize, Serialize};

/// What a follower has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// Nothing that it trusts.
    Nothing,
    /// Everything up to this position.
    Through(Position),
    /// Pieces of the image of this position, up to but not including that one.
    Pieces(Position, u32),
}

/// A follower asks for what it lacks. What it has is its acknowledgement of everything before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Its name.
    pub follower: String,
    /// What it has.
    pub held: Held,
}

/// What a leader sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowBody {
    /// The entries after a position, as many as one message holds.
    Entries {
        /// That position.
        after: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The digest of a range once these entries are applied, now and then.
        digest: Option<RangeDigest>,
    },
    /// The next piece of an image.
    Piece(ImagePiece),
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// Where the leader's log ends. Its term is the leader's.
    pub end: Position,
    /// What the follower lacks.
    pub body: FollowBody,
}
