//! Reading and writing frames: a length in four bytes (big endian), then the frame.

use super::PeerError;
use crate::frame::{self, FrameVersion};
use hookway_constants as constants;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(super) async fn send<T: Serialize>(
    stream: &mut TcpStream,
    message: &T,
) -> Result<(), PeerError> {
    let body = frame::encode(message)?;
    let length = u32::try_from(body.len()).map_err(|_| PeerError::TooLong)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Receives a message, and the version of the build that sent it.
pub(super) async fn receive<T: for<'de> Deserialize<'de>>(
    stream: &mut TcpStream,
) -> Result<(T, FrameVersion), PeerError> {
    let length = stream.read_u32().await? as usize;
    if length > constants::PEER_FRAME_LIMIT {
        return Err(PeerError::TooLong);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}
