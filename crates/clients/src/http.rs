//! HTTP client with timeouts and a connection pool, on which the other clients are built.

use bytes::Bytes;
use hookway_constants as constants;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Maximum number of idle connections to each address in the default pool.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum length of the part of an unexpected body that an error text quotes, in bytes.
const MAX_QUOTED_BYTES: usize = 200;

/// Returns the start of a response body, for an error text.
pub(crate) fn quoted_body(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(MAX_QUOTED_BYTES)]).into_owned()
}

/// Whether a response body contains a text.
pub(crate) fn body_contains(body: &[u8], text: &str) -> bool {
    body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// There was no response before the timeout. The request may have been executed, or may be later.
    #[error("no answer in time")]
    Timeout {
        /// Address of the server (`host:port`).
        address: String,
    },
    /// No connection was established, so the request was not sent.
    #[error("no connection: {reason}")]
    NotSent {
        /// Address of the server (`host:port`).
        address: String,
        /// Reason given by the HTTP library.
        reason: String,
    },
    /// The connection failed after it was established. The request may have been executed.
    #[error("connection failed: {reason}")]
    Connection {
        /// Address of the server (`host:port`).
        address: String,
        /// Reason given by the HTTP library.
        reason: String,
    },
    /// The request could not be built, so it was not sent.
    #[error("bad request: {reason}")]
    InvalidRequest {
        /// Address of the server (`host:port`).
        address: String,
        /// Reason given by the HTTP library.
        reason: String,
    },
}

/// A response whose body was read completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// The whole body of the response; empty if it has none.
    pub body: Bytes,
}

/// An HTTP client of one address that keeps idle connections in a pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client of `address` (`host:port`) with the default pool.
    pub fn new(address: &str) -> Self {
        Self::with_pool(address, MAX_IDLE_CONNECTIONS, constants::CLIENT_IDLE_TIMEOUT)
    }

    /// Creates a client that keeps at most `max_idle` idle connections to each address, each for at
    /// most `idle_timeout`.
    pub fn with_pool(address: &str, max_idle: usize, idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(constants::CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { address: address.to_owned(), client }
    }

    /// Returns a client of another address that shares this client's connection pool.
    pub fn with_address(&self, address: &str) -> Self {
        Self { address: address.to_owned(), client: self.client.clone() }
    }

    /// Returns the address of the server (`host:port`).
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request and reads the response.
    ///
    /// # Errors
    ///
    /// An [`HttpError`] if there is no response within `timeout`; its variants say whether the request may
    /// have been executed.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let request = self.build_request(method, path, body)?;
        tokio::time::timeout(timeout, self.send(request))
            .await
            .map_err(|_| HttpError::Timeout { address: self.address.clone() })?
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        request.body(Full::new(Bytes::from(body.unwrap_or_default()))).map_err(|error| {
            HttpError::InvalidRequest { address: self.address.clone(), reason: error.to_string() }
        })
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, HttpError> {
        let response = self.client.request(request).await.map_err(|error| {
            let (address, reason) = (self.address.clone(), error.to_string());
            if error.is_connect() {
                HttpError::NotSent { address, reason }
            } else {
                HttpError::Connection { address, reason }
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| HttpError::Connection {
            address: self.address.clone(),
            reason: error.to_string(),
        })?;
        Ok(HttpResponse { status, body: body.to_bytes() })
    }
}
