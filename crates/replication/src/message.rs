//! Messages between a follower and the leader. A follower sends one request at a time.

use crate::digest::RangeDigest;
use crate::entry::Entry;
use crate::position::Position;
use crate::snapshot::SnapshotChunk;
use serde::{Deserialize, Serialize};

/// How much of the leader's state a follower has received.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerProgress {
    /// The follower has no valid copy and needs a snapshot.
    Empty,
    /// The follower has applied all entries up to and including this position.
    Through(Position),
    /// The follower has received the first chunks of a replication snapshot.
    ReceivingSnapshot {
        /// Position of the log at which the snapshot was taken.
        position: Position,
        /// Index of the next missing chunk, counted from 0.
        next_chunk: u32,
    },
}

/// A follower's request for entries or for a snapshot chunk. Its progress acknowledges what the follower has received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Name of the follower's controller.
    pub follower: String,
    /// What the follower has received, and so what the leader sends next.
    pub progress: FollowerProgress,
}

/// The part of the leader's state in a response.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowResponseBody {
    /// The entries after a position, as many as fit into one message.
    Entries {
        /// Position that the first entry follows.
        after: Position,
        /// The entries, in the order of the log.
        entries: Vec<Entry>,
        /// Digest of one range of the state after these entries. `None` if entries remain to be sent, or the last
        /// digest was sent less than the digest interval ago.
        digest: Option<RangeDigest>,
    },
    /// The next chunk of a replication snapshot.
    SnapshotChunk(SnapshotChunk),
}

/// The leader's response to a [`FollowRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowResponse {
    /// Position of the last entry of the leader's log. Its term is the leader's term.
    pub end: Position,
    /// The entries or the snapshot chunk that the follower needs next.
    pub body: FollowResponseBody,
}
