//! Errors of exchanges with other controllers.

use super::connection::ConnectionError;

/// Why an exchange with another controller failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No controller has this name.
    #[error("unknown controller {name}")]
    UnknownController {
        /// The name that was looked up.
        name: String,
    },
    /// There was no response within the time limit.
    #[error("no response from {address} within the time limit")]
    Timeout {
        /// Address of the controller.
        address: String,
    },
    /// The request was not sent, because the circuit breaker is open: a request has failed, and
    /// none has succeeded since.
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
        /// Why the connection, or a frame on it, failed.
        source: ConnectionError,
    },
    /// The response is of a kind that does not belong to the request.
    #[error("unexpected kind of response from {address}")]
    UnexpectedResponse {
        /// Address of the controller.
        address: String,
    },
    /// The controller declined a request that only the leader answers: it does not lead, or does
    /// not know the controller that sent the request.
    #[error("the controller at {address} does not lead")]
    NotLeading {
        /// Address of the controller.
        address: String,
    },
}
