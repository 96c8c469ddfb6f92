//! Errors of exchanges with other controllers.

use crate::frame::FrameError;

/// Why an exchange with another controller failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No controller has this name.
    #[error("unknown controller")]
    Unknown,
    /// There was no response within the time limit.
    #[error("no response within the time limit")]
    Timeout,
    /// The request was not sent: the controller did not respond a moment ago.
    #[error("the controller does not respond at the moment")]
    CircuitOpen,
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// A frame could not be encoded or decoded.
    #[error("frame: {0}")]
    Frame(#[from] FrameError),
    /// A frame exceeds the maximum length.
    #[error("a frame exceeds the maximum length")]
    TooLong,
    /// The response does not belong to this kind of request.
    #[error("unexpected kind of response")]
    Mismatch,
    /// The controller does not lead.
    #[error("the controller does not lead")]
    NotLeading,
}
