//! The client of one other controller: its idle connections, the circuit breaker, and the frame
//! version of the controller.

use super::PeerError;
use super::connection::{ConnectionError, receive, send};
use super::messages::{PeerRequest, PeerResponse};
use crate::circuit_breaker::CircuitBreaker;
use crate::frame::FrameVersion;
use hookway_constants as constants;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// The client of one other controller, with a pool of idle connections.
#[derive(Debug)]
pub(super) struct Peer {
    name: String,
    address: String,
    idle_connections: Mutex<Vec<TcpStream>>,
    breaker: Mutex<CircuitBreaker>,
    /// The frame version in the last response; `None` before the first.
    version: Mutex<Option<FrameVersion>>,
}

impl Peer {
    /// Creates the client of the controller `name` at `address`.
    pub(super) fn new(name: String, address: String) -> Self {
        Self {
            name,
            address,
            idle_connections: Mutex::default(),
            breaker: Mutex::default(),
            version: Mutex::default(),
        }
    }

    /// Returns the address of the controller.
    pub(super) fn address(&self) -> String {
        self.address.clone()
    }

    /// Returns the frame version in the last response; `None` before the first.
    pub(super) fn version(&self) -> Option<FrameVersion> {
        *self.version.lock().ok()?
    }

    /// Whether the circuit breaker allows a request. Every exchange updates the breaker, also one
    /// that did not ask it first: a successful renewal of the shard lease closes it.
    pub(super) fn allows_request(&self) -> bool {
        self.breaker.lock().map_or(true, |mut breaker| breaker.allows_request())
    }

    /// Sends a request and receives the response within the `time_limit`. Updates the circuit
    /// breaker.
    pub(super) async fn exchange(
        &self,
        request: &PeerRequest,
        time_limit: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let response = match tokio::time::timeout(time_limit, self.send_and_receive(request)).await
        {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) => Err(PeerError::Connection { address: self.address(), source }),
            Err(_) => Err(PeerError::Timeout { address: self.address() }),
        };
        if let Ok(mut breaker) = self.breaker.lock() {
            breaker.record(response.is_err());
        }
        response
    }

    async fn send_and_receive(
        &self,
        request: &PeerRequest,
    ) -> Result<PeerResponse, ConnectionError> {
        // An idle connection may have failed since its last use. The request is then sent again
        // over a new one, which is safe because every kind of request may be received twice.
        if let Some(mut stream) = self.take_idle_connection()
            && let Ok(response) = self.exchange_over(&mut stream, request).await
        {
            self.keep_idle_connection(stream);
            return Ok(response);
        }
        let mut stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        let response = self.exchange_over(&mut stream, request).await?;
        self.keep_idle_connection(stream);
        Ok(response)
    }

    async fn exchange_over(
        &self,
        stream: &mut TcpStream,
        request: &PeerRequest,
    ) -> Result<PeerResponse, ConnectionError> {
        send(stream, request).await?;
        let response = receive(stream).await?;
        self.record_version(response.version);
        Ok(response.message)
    }

    fn record_version(&self, version: FrameVersion) {
        let Ok(mut last) = self.version.lock() else { return };
        if last.replace(version) != Some(version) {
            tracing::info!(peer = self.name, version = version.0, "frame version of a controller");
        }
    }

    fn take_idle_connection(&self) -> Option<TcpStream> {
        self.idle_connections.lock().ok()?.pop()
    }

    fn keep_idle_connection(&self, stream: TcpStream) {
        let Ok(mut idle) = self.idle_connections.lock() else { return };
        if idle.len() < constants::MAX_IDLE_PEER_CONNECTIONS {
            idle.push(stream);
        }
    }
}
