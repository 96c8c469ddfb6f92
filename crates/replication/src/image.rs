//! State images: the whole replicated state, sent in chunks to a follower whose missing entries are no
//! longer in the log.

use crate::position::Position;
use crate::state::ReplicatedState;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Why an image cannot be made or applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ImageError {
    /// The image is larger than the limit: its size in bytes.
    #[error("an image of {0} bytes")]
    TooLarge(u64),
    /// A chunk is not the next one.
    #[error("chunk {found} of an image instead of chunk {expected}")]
    OutOfOrder {
        /// Index of the next chunk.
        expected: u32,
        /// Index of the received chunk.
        found: u32,
    },
    /// A chunk is empty, above the size limit, or exceeds the image: its size in bytes.
    #[error("an image chunk of {0} bytes")]
    ChunkLength(usize),
    /// The digest of the received bytes differs from that of the image.
    #[error("the digest of the image does not match")]
    DigestMismatch,
    /// The state cannot be encoded, or the bytes cannot be decoded: the reason.
    #[error("the image cannot be encoded or decoded: {0}")]
    Undecodable(String),
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<{ constants::REPLICATION_IMAGE_LIMIT }>()
}

/// A chunk of a state image.
///
/// The fields and their order are a wire format, which never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageChunk {
    /// Position of the log at which the image was made.
    pub position: Position,
    /// Index of the chunk, counted from 0.
    pub index: u32,
    /// Size of the whole image in bytes.
    pub image_bytes: u64,
    /// XXH3 digest of the whole image.
    pub image_digest: u64,
    /// The bytes of this chunk.
    pub bytes: Vec<u8>,
}

/// An encoded state as of one position of the log.
#[derive(Debug)]
pub(crate) struct Image {
    pub position: Position,
    /// When the image was made.
    pub made_at: MonotonicTime,
    digest: u64,
    bytes: Vec<u8>,
}

impl Image {
    /// Encodes a state.
    ///
    /// # Errors
    ///
    /// [`ImageError::TooLarge`] above the size limit, [`ImageError::Undecodable`] if it cannot be encoded.
    pub fn new(
        state: &ReplicatedState,
        position: Position,
        now: MonotonicTime,
    ) -> Result<Self, ImageError> {
        let bytes = bincode::serde::encode_to_vec(state, codec())
            .map_err(|error| ImageError::Undecodable(error.to_string()))?;
        if bytes.len() > constants::REPLICATION_IMAGE_LIMIT {
            return Err(ImageError::TooLarge(bytes.len() as u64));
        }
        Ok(Self { position, made_at: now, digest: xxh3_64(&bytes), bytes })
    }

    /// Returns a chunk; `None` after the last one.
    pub fn chunk(&self, index: u32) -> Option<ImageChunk> {
        let bytes = self.bytes.chunks(constants::REPLICATION_CHUNK_BYTES).nth(index as usize)?;
        Some(ImageChunk {
            position: self.position,
            index,
            image_bytes: self.bytes.len() as u64,
            image_digest: self.digest,
            bytes: bytes.to_vec(),
        })
    }
}

/// A partially received image.
#[derive(Debug)]
pub(crate) struct ImageAssembly {
    /// Position of the log at which the image was made.
    pub position: Position,
    /// Index of the next chunk.
    pub next_chunk: u32,
    image_bytes: u64,
    image_digest: u64,
    bytes: Vec<u8>,
}

impl ImageAssembly {
    /// Starts the assembly of the image that a chunk belongs to, without adding the chunk.
    ///
    /// # Errors
    ///
    /// [`ImageError::TooLarge`] above the size limit.
    pub fn begin(chunk: &ImageChunk) -> Result<Self, ImageError> {
        if chunk.image_bytes > constants::REPLICATION_IMAGE_LIMIT as u64 {
            return Err(ImageError::TooLarge(chunk.image_bytes));
        }
        Ok(Self {
            position: chunk.position,
            next_chunk: 0,
            image_bytes: chunk.image_bytes,
            image_digest: chunk.image_digest,
            bytes: Vec::new(),
        })
    }

    /// Whether a chunk belongs to this image.
    pub fn matches(&self, chunk: &ImageChunk) -> bool {
        chunk.position == self.position
            && chunk.image_bytes == self.image_bytes
            && chunk.image_digest == self.image_digest
    }

    /// Adds the next chunk. Returns the decoded state once the image is complete.
    ///
    /// # Errors
    ///
    /// Any [`ImageError`]; the assembly must then be discarded.
    pub fn add(&mut self, chunk: ImageChunk) -> Result<Option<ReplicatedState>, ImageError> {
        if chunk.index != self.next_chunk {
            let (expected, found) = (self.next_chunk, chunk.index);
            return Err(ImageError::OutOfOrder { expected, found });
        }
        let length = chunk.bytes.len();
        let missing = self.image_bytes - self.bytes.len() as u64;
        let fits = length <= constants::REPLICATION_CHUNK_BYTES && length as u64 <= missing;
        if length == 0 || !fits {
            return Err(ImageError::ChunkLength(length));
        }
        self.bytes.extend(chunk.bytes);
        self.next_chunk += 1;
        if (self.bytes.len() as u64) < self.image_bytes {
            return Ok(None);
        }
        if xxh3_64(&self.bytes) != self.image_digest {
            return Err(ImageError::DigestMismatch);
        }
        let (state, decoded_bytes) = bincode::serde::decode_from_slice(&self.bytes, codec())
            .map_err(|error| ImageError::Undecodable(error.to_string()))?;
        if decoded_bytes != self.bytes.len() {
            return Err(ImageError::Undecodable("trailing bytes after the state".into()));
        }
        Ok(Some(state))
    }
}
