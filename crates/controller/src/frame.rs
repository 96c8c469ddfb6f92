//! Frames between controllers: a message as `bincode`, then the version of the sender's formats.
//!
//! Builds before versions were named wrote the message alone, and ignore what follows it; a frame of theirs is
//! of version 0. So each version reads what the others write, as long as
//!
//! - a message keeps its place in its enum and its fields keep their order, for ever;
//! - new messages come last in their enum, and go only to controllers whose frames name a version that has them;
//! - whatever else a frame is to say follows the version, where older builds ignore it.

use hookway_constants as constants;
use serde::{Deserialize, Serialize};

/// The version of the formats that a controller writes and reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct FrameVersion(pub u32);

/// The first version whose controllers answer standbys (`PeerRequest::Follow`).
pub const REPLICATION: FrameVersion = FrameVersion(2);

/// The version of this build.
pub const CURRENT: FrameVersion = FrameVersion(2);

/// Why a frame can't be written or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The message can't be written.
    #[error("can't be written: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are no message that this build knows.
    #[error("can't be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<{ constants::PEER_FRAME_LIMIT }>()
}

/// A message with the version of this build.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut body = bincode::serde::encode_to_vec(message, config())?;
    body.extend(bincode::serde::encode_to_vec(CURRENT, config())?);
    Ok(body)
}

/// A message, and the version of the build that wrote it.
pub fn decode<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<(T, FrameVersion), FrameError> {
    let (message, read) = bincode::serde::decode_from_slice(body, config())?;
    let rest = body.get(read..).unwrap_or_default();
    if rest.is_empty() {
        return Ok((message, FrameVersion::default()));
    }
    let (version, _) = bincode::serde::decode_from_slice(rest, config())?;
    Ok((message, version))
}
