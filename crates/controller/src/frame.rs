//! Frames between controllers: a message encoded with `bincode`, followed by the version of the
//! sender's formats.
//!
//! Builds before version 1 send the message alone, and ignore what follows the message in the
//! frames that they receive. Their frames count as version 0. Every version can read the frames of
//! every other version, because all of them follow these rules:
//!
//! - The position of a variant in its enum and the order of fields never change.
//! - New variants come last in their enum, and are sent only to a controller whose frames have a
//!   version that includes them.
//! - Additional data of a frame comes after the version, where older builds ignore it.

use hookway_constants as constants;
use serde::{Deserialize, Serialize};

/// The version of the message formats that a build writes and reads. Later versions are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct FrameVersion(pub u32);

/// The first version whose controllers answer standbys (`PeerRequest::Follow`).
pub const FIRST_REPLICATION_VERSION: FrameVersion = FrameVersion(2);

/// The version of the formats that this build writes.
pub const CURRENT_VERSION: FrameVersion = FrameVersion(2);

/// A decoded frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame<T> {
    /// The message, without its version.
    pub message: T,
    /// The version of the build that encoded the message; 0 if the frame has none.
    pub version: FrameVersion,
}

/// Why a frame can't be written or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The message can't be encoded.
    #[error("can't be written: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a message that this build knows, or exceed the maximum length.
    #[error("can't be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<{ constants::MAX_PEER_FRAME_BYTES }>()
}

/// Encodes a message and the version of this build as a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = bincode::serde::encode_to_vec(message, config())?;
    frame.extend(bincode::serde::encode_to_vec(CURRENT_VERSION, config())?);
    Ok(frame)
}

/// Decodes a frame. Data after the version is ignored.
pub fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<Frame<T>, FrameError> {
    let (message, message_length) = bincode::serde::decode_from_slice(frame, config())?;
    let rest = frame.get(message_length..).unwrap_or_default();
    if rest.is_empty() {
        return Ok(Frame { message, version: FrameVersion::default() });
    }
    let (version, _) = bincode::serde::decode_from_slice(rest, config())?;
    Ok(Frame { message, version })
}
