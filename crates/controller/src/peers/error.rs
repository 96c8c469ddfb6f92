//! Errors of exchanges with other controllers.

use super::connection::ConnectionError;

/// Why an exchange with another controller failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No controller has this name.
    #[error("unknown controller {name}")]
    Unknown {
        /// The name.
        name: String,
    },
    /// There was no response within the time limit.
    #[error("no response from {address} within the time limit")]
    Timeout {
        /// Address of the controller.
        address: String,
    },
    /// The request was not sent: the controller did not respond a moment ago.
    #[error("the controller at {address} does not respond at the moment")]
    CircuitOpen {
        /// Address of the controller.
        address: String,
    },
    /// The connection could not be established, or failed.
    #[error("{address}: {source}")]
    Connection {
        /// Address of the controller.
        address: String,
        /// What failed.
        source: ConnectionError,
    },
    /// The response does not belong to this kind of request.
    #[error("unexpected kind of response from {address}")]
    Mismatch {
        /// Address of the controller.
        address: String,
    },
    /// The controller does not lead.
    #[error("the controller at {address} does not lead")]
    NotLeading {
        /// Address of the controller.
        address: String,
    },
}
