//! Sends and receives messages over TCP. Each message is a frame, preceded by the frame's length in
//! four bytes (big endian).

use crate::frame::{self, Frame, FrameError};
use hookway_constants as constants;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Why a frame could not be sent or received.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection could not be established, or failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The frame could not be encoded or decoded.
    #[error("frame: {0}")]
    Frame(#[from] FrameError),
    /// A received frame exceeds `MAX_PEER_FRAME_BYTES`, or the length of a frame to send doesn't fit
    /// in four bytes.
    #[error("a frame exceeds the maximum length")]
    TooLong,
}

/// Sends a message, with the frame version of this build.
pub(super) async fn send<T: Serialize>(
    stream: &mut TcpStream,
    message: &T,
) -> Result<(), ConnectionError> {
    let body = frame::encode(message)?;
    let length = u32::try_from(body.len()).map_err(|_| ConnectionError::TooLong)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Receives a message and the frame version of the build that sent it.
pub(super) async fn receive<T: for<'de> Deserialize<'de>>(
    stream: &mut TcpStream,
) -> Result<Frame<T>, ConnectionError> {
    let length = stream.read_u32().await? as usize;
    if length > constants::MAX_PEER_FRAME_BYTES {
        return Err(ConnectionError::TooLong);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}
