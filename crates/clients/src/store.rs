//! Client of the state service: reads, transactions, leases and watches.

use crate::http::{body_contains, quoted_body};
use crate::{HttpClient, HttpError, RateLimiter};
use hookway_constants as constants;
use hookway_time::whole_millis;
use hookway_wire::{
    CommitResponse, KeyPage, KeyValue, LeaseGrant, LeaseGrantRequest, Transaction, WatchResponse,
};
use hyper::{Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Characters of a key that are percent-encoded in a URL.
const ENCODED_CHARACTERS: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Keys in a page of a range read.
const LIST_PAGE_KEYS: u32 = 1_000;
/// Timeout of a page of a range read, as a multiple of that of other requests: pages are large.
const LIST_TIMEOUT_FACTOR: u64 = 2;
/// The text by which a 400 response to a transaction says that a lease does not exist.
const NO_SUCH_LEASE: &str = "no such lease";
/// Status in errors about a request that could not be encoded, and so has no response.
const NOT_SENT: u16 = 0;

/// Why a request to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Not executed: the service has an outage, or rejects this controller's requests.
    #[error("the state service is not available")]
    Unavailable,
    /// Not executed: above the rate limit of the service, or of this client ([`StoreClient::with_queue_limit`]).
    #[error("the state service is asked too often")]
    TooMany,
    /// The outcome is unknown: the request may have been executed, or may be later.
    #[error("no answer from the state service: {0}")]
    Unknown(HttpError),
    /// The lease has expired or was released.
    #[error("the lease has ended")]
    NoLease,
    /// The changes that the watch asked for are compacted.
    #[error("the revision is too old")]
    TooOld,
    /// Not executed: the request is invalid or too large. The response body, shortened.
    #[error("refused by the state service: {0}")]
    Rejected(String),
    /// The response has an unexpected HTTP status or body: the status and the reason.
    #[error("unexpected answer {0}: {1}")]
    Unexpected(u16, String),
}

/// The outcome of a transaction that has a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All operations were applied, at this revision.
    Applied(u64),
    /// No operation was applied: the preconditions on these keys failed.
    PreconditionFailed(Vec<String>),
}

/// A client of the state service that limits its request rate.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    rate_limiter: Arc<RateLimiter>,
    queue_limit: Option<Duration>,
}

impl StoreClient {
    /// Creates a client of `address` (`host:port`) that sends at most `requests_per_s` requests per second;
    /// requests above the rate wait.
    pub fn new(address: &str, requests_per_s: f64) -> Self {
        let rate_limiter = Arc::new(RateLimiter::new(requests_per_s));
        Self { http: HttpClient::new(address), rate_limiter, queue_limit: None }
    }

    /// Returns the client with a limit on the time that a request waits for the rate limiter: above it
    /// the request fails at once with [`StoreError::TooMany`].
    pub fn with_queue_limit(self, queue_limit_ms: u64) -> Self {
        Self { queue_limit: Some(Duration::from_millis(queue_limit_ms)), ..self }
    }

    /// Waits until the rate limiter admits a request.
    async fn acquire(&self) -> Result<(), StoreError> {
        match self.queue_limit {
            None => self.rate_limiter.acquire(1.0).await,
            Some(limit) if self.rate_limiter.acquire_within(1.0, limit).await => {}
            Some(_) => return Err(StoreError::TooMany),
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_ms: u64,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        let timeout = Duration::from_millis(timeout_ms);
        let (status, body) =
            self.http.exchange(method, path, body, timeout).await.map_err(StoreError::Unknown)?;
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::TooMany),
            StatusCode::GONE => Err(StoreError::TooOld),
            _ => Ok((status, body)),
        }
    }

    fn encode<T: Serialize>(request: &T) -> Result<Vec<u8>, StoreError> {
        serde_json::to_vec(request)
            .map_err(|error| StoreError::Unexpected(NOT_SENT, error.to_string()))
    }

    fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
        serde_json::from_slice(body).map_err(|error| {
            StoreError::Unexpected(status.as_u16(), format!("{error}: {}", quoted_body(body)))
        })
    }

    fn unexpected(status: StatusCode, body: &[u8]) -> StoreError {
        StoreError::Unexpected(status.as_u16(), quoted_body(body))
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but those of leases and watches.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.acquire().await?;
        let path = format!("/keys/{}", utf8_percent_encode(key, ENCODED_CHARACTERS));
        let (status, body) =
            self.call(Method::GET, &path, None, whole_millis(constants::STORE_TIMEOUT)).await?;
        match status {
            StatusCode::OK => Self::decode(status, &body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Reads all keys with a prefix, page by page. The revision is that of the first page, so that a
    /// watch from there misses no change.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but those of leases and watches; the pages that were read are discarded.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64), StoreError> {
        let mut all: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            self.acquire().await?;
            let mut path =
                format!("/keys?Prefix={}", utf8_percent_encode(prefix, ENCODED_CHARACTERS));
            if let Some(last) = all.last() {
                path.push_str(&format!(
                    "&After={}",
                    utf8_percent_encode(&last.key, ENCODED_CHARACTERS)
                ));
            }
            path.push_str(&format!("&Most={LIST_PAGE_KEYS}"));
            let timeout_ms = whole_millis(constants::STORE_TIMEOUT) * LIST_TIMEOUT_FACTOR;
            let (status, body) = self.call(Method::GET, &path, None, timeout_ms).await?;
            if status != StatusCode::OK {
                return Err(Self::unexpected(status, &body));
            }
            let page: KeyPage = Self::decode(status, &body)?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.pairs.is_empty();
            all.extend(page.pairs);
            if !page.has_next || is_empty {
                return Ok((all, revision));
            }
        }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; [`StoreError::NoLease`] if an operation attaches a key to a lease that does not
    /// exist.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        self.acquire().await?;
        let body = Self::encode(transaction)?;
        let (status, body) = self
            .call(Method::POST, "/commit", Some(body), whole_millis(constants::STORE_TIMEOUT))
            .await?;
        match status {
            StatusCode::OK => {
                let response: CommitResponse = Self::decode(status, &body)?;
                Ok(CommitOutcome::Applied(response.revision))
            }
            StatusCode::CONFLICT => {
                let response: CommitResponse = Self::decode(status, &body)?;
                Ok(CommitOutcome::PreconditionFailed(response.failed))
            }
            StatusCode::BAD_REQUEST if body_contains(&body, NO_SUCH_LEASE) => {
                Err(StoreError::NoLease)
            }
            StatusCode::BAD_REQUEST => Err(StoreError::Rejected(quoted_body(&body))),
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Requests a lease of `ttl_ms` milliseconds and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]. After [`StoreError::Unknown`] a lease may exist that nobody extends; it expires.
    pub async fn grant(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        self.acquire().await?;
        let body = Self::encode(&LeaseGrantRequest { ttl_ms })?;
        let (status, body) = self
            .call(Method::POST, "/grants", Some(body), whole_millis(constants::STORE_TIMEOUT))
            .await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => {
                Self::decode::<LeaseGrant>(status, &body).map(|grant| grant.lease_id)
            }
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Extends a lease by its time to live. The request takes its permit of the rate limiter without
    /// waiting, before all other requests.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoLease`] if the lease does not exist, else any [`StoreError`].
    pub async fn extend(&self, lease_id: u64) -> Result<(), StoreError> {
        let _ = self.rate_limiter.acquire_now(1.0);
        let path = format!("/grants/{lease_id}/extend");
        let (status, body) = self
            .call(
                Method::POST,
                &path,
                Some(b"{}".to_vec()),
                whole_millis(constants::EXTEND_TIMEOUT),
            )
            .await?;
        match status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::NoLease),
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Releases a lease, so that its keys are deleted. Does not use the rate limiter.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], [`StoreError::TooMany`], [`StoreError::TooOld`] or
    /// [`StoreError::Unknown`]; other statuses count as success.
    pub async fn release(&self, lease_id: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{lease_id}");
        self.call(Method::DELETE, &path, None, whole_millis(constants::STORE_TIMEOUT))
            .await
            .map(|_| ())
    }

    /// Waits up to `wait_ms` milliseconds for changes of keys with a prefix after the revision `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooOld`] if that revision is compacted, else any [`StoreError`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        self.acquire().await?;
        let path = format!(
            "/watch?Prefix={}&After={after}&WaitMs={wait_ms}",
            utf8_percent_encode(prefix, ENCODED_CHARACTERS)
        );
        let timeout_ms = wait_ms + whole_millis(constants::WATCH_GRACE);
        let (status, body) = self.call(Method::GET, &path, None, timeout_ms).await?;
        match status {
            StatusCode::OK => Self::decode(status, &body),
            _ => Err(Self::unexpected(status, &body)),
        }
    }
}
