//! A whole state in pieces, for a follower that the log does not reach.

use crate::position::Position;
use crate::state::ReplicatedState;
use hookway_constants as constants;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Why an image can't be made or taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ImageError {
    /// It is longer than any may be.
    #[error("an image of {0} bytes")]
    TooLong(u64),
    /// A piece does not continue what came before.
    #[error("piece {found} of an image where piece {expected} is due")]
    OutOfOrder {
        /// The one that is due.
        expected: u32,
        /// The one that came.
        found: u32,
    },
    /// A piece is empty, longer than any may be, or longer than the image.
    #[error("a piece of {0} bytes")]
    PieceLength(usize),
    /// The bytes do not give the digest.
    #[error("the image does not have its digest")]
    Digest,
    /// The bytes are no state.
    #[error("the image can't be read: {0}")]
    Unreadable(String),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<{ constants::REPLICATION_IMAGE_LIMIT }>()
}

/// One piece of an image.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImagePiece {
    /// Where in the log the image was made.
    pub position: Position,
    /// Which piece, counted from 0.
    pub number: u32,
    /// Length of the whole image.
    pub length: u64,
    /// Digest of the whole image.
    pub digest: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A state as it was at one position.
#[derive(Debug)]
pub(crate) struct Image {
    pub position: Position,
    /// When it was made, ms.
    pub made_at: u64,
    digest: u64,
    bytes: Vec<u8>,
}

impl Image {
    pub fn new(state: &ReplicatedState, position: Position, now: u64) -> Result<Self, ImageError> {
        let bytes = bincode::serde::encode_to_vec(state, config())
            .map_err(|e| ImageError::Unreadable(e.to_string()))?;
        if bytes.len() > constants::REPLICATION_IMAGE_LIMIT {
            return Err(ImageError::TooLong(bytes.len() as u64));
        }
        Ok(Self { position, made_at: now, digest: xxh3_64(&bytes), bytes })
    }

    /// A piece; `None` past the last one.
    pub fn piece(&self, number: u32) -> Option<ImagePiece> {
        let bytes = self.bytes.chunks(constants::REPLICATION_PIECE_BYTES).nth(number as usize)?;
        Some(ImagePiece {
            position: self.position,
            number,
            length: self.bytes.len() as u64,
            digest: self.digest,
            bytes: bytes.to_vec(),
        })
    }
}

/// An image of which some pieces have come.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub position: Position,
    pub next: u32,
    length: u64,
    digest: u64,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Begins with the first piece.
    pub fn begin(piece: &ImagePiece) -> Result<Self, ImageError> {
        if piece.length > constants::REPLICATION_IMAGE_LIMIT as u64 {
            return Err(ImageError::TooLong(piece.length));
        }
        let (length, digest) = (piece.length, piece.digest);
        Ok(Self { position: piece.position, next: 0, length, digest, bytes: Vec::new() })
    }

    /// Whether a piece is of this image.
    pub fn matches(&self, piece: &ImagePiece) -> bool {
        let whole = (piece.position, piece.length, piece.digest);
        whole == (self.position, self.length, self.digest)
    }

    /// Adds a piece. The state, once all have come.
    pub fn add(&mut self, piece: ImagePiece) -> Result<Option<ReplicatedState>, ImageError> {
        if piece.number != self.next {
            return Err(ImageError::OutOfOrder { expected: self.next, found: piece.number });
        }
        let length = piece.bytes.len();
        let left = self.length - self.bytes.len() as u64;
        let fits = length <= constants::REPLICATION_PIECE_BYTES && length as u64 <= left;
        if length == 0 || !fits {
            return Err(ImageError::PieceLength(length));
        }
        self.bytes.extend(piece.bytes);
        self.next += 1;
        if (self.bytes.len() as u64) < self.length {
            return Ok(None);
        }
        if xxh3_64(&self.bytes) != self.digest {
            return Err(ImageError::Digest);
        }
        let (state, read) = bincode::serde::decode_from_slice(&self.bytes, config())
            .map_err(|e| ImageError::Unreadable(e.to_string()))?;
        if read != self.bytes.len() {
            return Err(ImageError::Unreadable("more bytes than a state".into()));
        }
        Ok(Some(state))
    }
}
