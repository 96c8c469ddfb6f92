use bytes::Bytes;
use hookway_constants as constants;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Why an exchange gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No answer within the time limit. The request may have been carried out, or may be later.
    #[error("no answer in time")]
    Timeout,
    /// No connection came about, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection failed. The request may have been carried out.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The request could not be built.
    #[error("bad request: {0}")]
    Request(String),
}

/// A small HTTP client for one address, with connections that stay open.
#[derive(Debug, Clone)]
pub struct HttpClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client for `address` (`machine:port`).
    pub fn new(address: &str) -> Self {
        Self::keeping(address, 8, Duration::from_millis(constants::CLIENT_IDLE_MS))
    }

    /// A client that keeps at most `most` idle connections to each address, for `idle`.
    pub fn keeping(address: &str, most: usize, idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(constants::CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(most)
            .build(connector);
        Self { base: format!("http://{address}"), client }
    }

    /// A client for another address that shares this one's connections.
    pub fn at(&self, address: &str) -> Self {
        Self { base: format!("http://{address}"), client: self.client.clone() }
    }

    /// One exchange: the status and the body.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let mut request = Request::builder().method(method).uri(format!("{}{path}", self.base));
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|e| HttpError::Request(e.to_string()))?;
        let work = async {
            let response = self.client.request(request).await.map_err(|e| {
                let text = e.to_string();
                if e.is_connect() { HttpError::NotSent(text) } else { HttpError::Connection(text) }
            })?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|e| HttpError::Connection(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(limit, work).await.map_err(|_| HttpError::Timeout)?
    }
}
