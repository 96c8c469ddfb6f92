//! Replication snapshots: copies of the whole replicated state, sent in chunks to a follower whose missing
//! entries are no longer in the log.

use crate::position::Position;
use crate::state::ReplicatedState;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Why a snapshot cannot be taken or applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is larger than the limit. Holds its size in bytes.
    #[error(
        "the snapshot has {0} bytes, above the limit of {limit}",
        limit = constants::MAX_REPLICATION_SNAPSHOT_BYTES
    )]
    TooLarge(u64),
    /// A chunk is not the next missing one.
    #[error("chunk {found} of the snapshot instead of chunk {expected}")]
    OutOfOrder {
        /// Index of the chunk that the assembly needs next.
        expected: u32,
        /// Index of the received chunk.
        found: u32,
    },
    /// A chunk is empty, larger than the limit, or exceeds the snapshot. Holds its size in bytes.
    #[error("a chunk of {0} bytes is empty, above the limit or beyond the end of the snapshot")]
    ChunkLength(usize),
    /// The digest of the received bytes differs from the one that the chunks name.
    #[error("the digest of the snapshot does not match")]
    DigestMismatch,
    /// The state cannot be encoded. Holds the codec's reason.
    #[error("the state cannot be encoded: {0}")]
    Unencodable(String),
    /// The received bytes do not decode to a state. Holds the reason.
    #[error("the snapshot cannot be decoded: {0}")]
    Undecodable(String),
}

/// A chunk of a replication snapshot.
///
/// The fields and their order are a wire format, which never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Position of the log at which the snapshot was taken.
    pub position: Position,
    /// Index of the chunk, counted from 0.
    pub index: u32,
    /// Size of the whole encoded snapshot in bytes.
    pub snapshot_bytes: u64,
    /// XXH3 digest (64 bits) of the whole encoded snapshot.
    pub snapshot_digest: u64,
    /// The bytes of this chunk, from 1 to `MAX_REPLICATION_CHUNK_BYTES`.
    pub bytes: Vec<u8>,
}

/// A replication snapshot: the encoded state as of one position of the log.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub position: Position,
    pub taken_at: MonotonicTime,
    digest: u64,
    bytes: Vec<u8>,
}

impl Snapshot {
    /// Takes a snapshot of a state that is at `position` of the log.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::TooLarge`] if the encoded state exceeds the size limit, [`SnapshotError::Unencodable`] if the
    /// state cannot be encoded.
    pub fn new(
        state: &ReplicatedState,
        position: Position,
        now: MonotonicTime,
    ) -> Result<Self, SnapshotError> {
        let bytes = encode(state)?;
        let digest = xxh3_64(&bytes);
        Ok(Self { position, taken_at: now, digest, bytes })
    }

    /// Returns the chunk with an index; `None` after the last one.
    pub fn chunk(&self, index: u32) -> Option<SnapshotChunk> {
        let bytes =
            self.bytes.chunks(constants::MAX_REPLICATION_CHUNK_BYTES).nth(index as usize)?;
        Some(SnapshotChunk {
            position: self.position,
            index,
            snapshot_bytes: self.bytes.len() as u64,
            snapshot_digest: self.digest,
            bytes: bytes.to_vec(),
        })
    }
}

/// A partially received snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    /// Position of the log at which the snapshot was taken.
    pub position: Position,
    /// Index of the next missing chunk.
    pub next_chunk: u32,
    snapshot_bytes: u64,
    snapshot_digest: u64,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Starts the assembly of the snapshot that a chunk belongs to, without adding the chunk.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::TooLarge`] if the snapshot exceeds the size limit.
    pub fn begin(chunk: &SnapshotChunk) -> Result<Self, SnapshotError> {
        if chunk.snapshot_bytes > constants::MAX_REPLICATION_SNAPSHOT_BYTES as u64 {
            return Err(SnapshotError::TooLarge(chunk.snapshot_bytes));
        }
        Ok(Self {
            position: chunk.position,
            next_chunk: 0,
            snapshot_bytes: chunk.snapshot_bytes,
            snapshot_digest: chunk.snapshot_digest,
            bytes: Vec::new(),
        })
    }

    /// Whether a chunk belongs to this snapshot.
    pub fn matches(&self, chunk: &SnapshotChunk) -> bool {
        chunk.position == self.position
            && chunk.snapshot_bytes == self.snapshot_bytes
            && chunk.snapshot_digest == self.snapshot_digest
    }

    /// Adds the next chunk. Returns the decoded state once the snapshot is complete.
    ///
    /// # Errors
    ///
    /// Any [`SnapshotError`]; the assembly must then be discarded.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<ReplicatedState>, SnapshotError> {
        self.check_next(&chunk)?;
        self.bytes.extend(chunk.bytes);
        self.next_chunk += 1;
        if self.missing_bytes() > 0 {
            return Ok(None);
        }
        if xxh3_64(&self.bytes) != self.snapshot_digest {
            return Err(SnapshotError::DigestMismatch);
        }
        decode(&self.bytes).map(Some)
    }

    /// Checks that a chunk is the next one, and that its size fits the limit and the missing bytes.
    fn check_next(&self, chunk: &SnapshotChunk) -> Result<(), SnapshotError> {
        if chunk.index != self.next_chunk {
            return Err(SnapshotError::OutOfOrder {
                expected: self.next_chunk,
                found: chunk.index,
            });
        }
        let length = chunk.bytes.len();
        let is_too_long = length > constants::MAX_REPLICATION_CHUNK_BYTES;
        if length == 0 || is_too_long || length as u64 > self.missing_bytes() {
            return Err(SnapshotError::ChunkLength(length));
        }
        Ok(())
    }

    /// Returns the number of bytes that have not been received.
    fn missing_bytes(&self) -> u64 {
        self.snapshot_bytes - self.bytes.len() as u64
    }
}

/// Encodes a state; fails if the result exceeds the size limit.
fn encode(state: &ReplicatedState) -> Result<Vec<u8>, SnapshotError> {
    let bytes = bincode::serde::encode_to_vec(state, codec())
        .map_err(|error| SnapshotError::Unencodable(error.to_string()))?;
    if bytes.len() > constants::MAX_REPLICATION_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len() as u64));
    }
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Result<ReplicatedState, SnapshotError> {
    let (state, decoded_bytes) = bincode::serde::decode_from_slice(bytes, codec())
        .map_err(|error| SnapshotError::Undecodable(error.to_string()))?;
    if decoded_bytes != bytes.len() {
        return Err(SnapshotError::Undecodable("trailing bytes after the state".into()));
    }
    Ok(state)
}

/// Returns the codec of snapshots. Its limit prevents a forged length from allocating more memory than the largest
/// snapshot needs.
fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<{ constants::MAX_REPLICATION_SNAPSHOT_BYTES }>()
}
