//! Messages between a follower and the leader. A follower sends one request at a time.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::image::ImageChunk;
use crate::position::Position;
use serde::{Deserialize, Serialize};

/// How much of the leader's state a follower has.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerProgress {
    /// No valid copy.
    Empty,
    /// All entries up to this position.
    Through(Position),
    /// The first chunks of a state image.
    ReceivingImage {
        /// Position of the log at which the image was made.
        position: Position,
        /// Index of the next chunk, counted from 0.
        next_chunk: u32,
    },
}

/// A follower's request for entries or for a chunk of an image. It acknowledges everything before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Name of the follower.
    pub follower: String,
    /// How much of the leader's state the follower has.
    pub progress: FollowerProgress,
}

/// The part of the leader's state in a response.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowResponseBody {
    /// The entries after a position, limited by the size of a message.
    Entries {
        /// Position before the first of the entries.
        after: Position,
        /// The entries, in the order of the log.
        entries: Vec<Entry>,
        /// Digest of one range of the state after these entries; `None` in most responses.
        digest: Option<RangeDigest>,
    },
    /// The next chunk of a state image.
    ImageChunk(ImageChunk),
}

/// The leader's response to a [`FollowRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowResponse {
    /// End of the leader's log. Its term is the leader's term.
    pub end: Position,
    /// The entries or the chunk that the follower needs next.
    pub body: FollowResponseBody,
}
