//! Client of the state service: reads, transactions, leases and watches.

use crate::http::{body_contains, quoted_body};
use crate::rate_limiter::PERMITS_PER_REQUEST;
use crate::{HttpClient, HttpError, HttpResponse, RateLimiter};
use hookway_constants as constants;
use hookway_time::whole_millis;
use hookway_wire::{
    CommitResponse, KeyPage, KeyValue, LeaseGrant, LeaseGrantRequest, Transaction, WatchResponse,
};
use hyper::{Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
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
const LIST_TIMEOUT_FACTOR: u32 = 2;
/// Body of requests whose path says it all.
const EMPTY_OBJECT: &[u8] = b"{}";
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
    /// The response has an unexpected HTTP status or body.
    #[error("unexpected answer {status}: {reason}")]
    Unexpected {
        /// HTTP status of the response; 0 if the request could not be encoded.
        status: u16,
        /// The start of the body, or what is wrong with it.
        reason: String,
    },
}

/// All keys with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The key-value pairs, in the order of their keys.
    pub pairs: Vec<KeyValue>,
    /// Revision of the store at the first page, so that a watch from there misses no change.
    pub revision: u64,
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
    pub fn with_queue_limit(self, queue_limit: Duration) -> Self {
        Self { queue_limit: Some(queue_limit), ..self }
    }

    /// Address of the state service (`host:port`).
    pub fn address(&self) -> &str {
        self.http.address()
    }

    /// Waits until the rate limiter admits a request.
    async fn acquire(&self) -> Result<(), StoreError> {
        let Some(limit) = self.queue_limit else {
            self.rate_limiter.acquire(PERMITS_PER_REQUEST).await;
            return Ok(());
        };
        if self.rate_limiter.acquire_within(PERMITS_PER_REQUEST, limit).await {
            Ok(())
        } else {
            Err(StoreError::TooMany)
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let response =
            self.http.exchange(method, path, body, timeout).await.map_err(StoreError::Unknown)?;
        match response.status {
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::TooMany),
            StatusCode::GONE => Err(StoreError::TooOld),
            _ => Ok(response),
        }
    }

    fn encode<T: Serialize>(request: &T) -> Result<Vec<u8>, StoreError> {
        serde_json::to_vec(request)
            .map_err(|error| StoreError::Unexpected { status: NOT_SENT, reason: error.to_string() })
    }

    fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
        serde_json::from_slice(&response.body).map_err(|error| StoreError::Unexpected {
            status: response.status.as_u16(),
            reason: format!("{error}: {}", quoted_body(&response.body)),
        })
    }

    /// The error for a response whose status is not one of those that the request may have.
    fn unexpected(response: &HttpResponse) -> StoreError {
        StoreError::Unexpected {
            status: response.status.as_u16(),
            reason: quoted_body(&response.body),
        }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but those of leases and watches.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.acquire().await?;
        let path = format!("/keys/{}", percent_encoded(key));
        let response = self.call(Method::GET, &path, None, constants::STORE_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Self::decode(&response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Reads all keys with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but those of leases and watches; the pages that were read are discarded.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut pairs: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let last_key = pairs.last().map(|pair| pair.key.as_str());
            let page = self.list_page(prefix, last_key).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.pairs.is_empty();
            pairs.extend(page.pairs);
            if !page.has_next || is_empty {
                return Ok(Listing { pairs, revision });
            }
        }
    }

    /// Reads the page of keys with a prefix that follows the key `after`; the first one if `None`.
    async fn list_page(&self, prefix: &str, after: Option<&str>) -> Result<KeyPage, StoreError> {
        self.acquire().await?;
        let mut path = format!("/keys?Prefix={}", percent_encoded(prefix));
        if let Some(after) = after {
            path.push_str(&format!("&After={}", percent_encoded(after)));
        }
        path.push_str(&format!("&Most={LIST_PAGE_KEYS}"));
        let timeout = constants::STORE_TIMEOUT * LIST_TIMEOUT_FACTOR;
        let response = self.call(Method::GET, &path, None, timeout).await?;
        if response.status != StatusCode::OK {
            return Err(Self::unexpected(&response));
        }
        Self::decode(&response)
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
        let response =
            self.call(Method::POST, "/commit", Some(body), constants::STORE_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Self::decode::<CommitResponse>(&response)
                .map(|commit| CommitOutcome::Applied(commit.revision)),
            StatusCode::CONFLICT => Self::decode::<CommitResponse>(&response)
                .map(|commit| CommitOutcome::PreconditionFailed(commit.failed)),
            StatusCode::BAD_REQUEST if body_contains(&response.body, NO_SUCH_LEASE) => {
                Err(StoreError::NoLease)
            }
            StatusCode::BAD_REQUEST => Err(StoreError::Rejected(quoted_body(&response.body))),
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Requests a lease that expires `ttl` after its last extension, and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]. After [`StoreError::Unknown`] a lease may exist that nobody extends; it expires.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.acquire().await?;
        let body = Self::encode(&LeaseGrantRequest { ttl_ms: whole_millis(ttl) })?;
        let response =
            self.call(Method::POST, "/grants", Some(body), constants::STORE_TIMEOUT).await?;
        match response.status {
            StatusCode::OK | StatusCode::CREATED => {
                Self::decode::<LeaseGrant>(&response).map(|grant| grant.lease_id)
            }
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Extends a lease by its time to live. The request takes its permit of the rate limiter without
    /// waiting, before all other requests.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoLease`] if the lease does not exist, else any [`StoreError`].
    pub async fn extend(&self, lease_id: u64) -> Result<(), StoreError> {
        let _ = self.rate_limiter.acquire_now(PERMITS_PER_REQUEST);
        let path = format!("/grants/{lease_id}/extend");
        let body = EMPTY_OBJECT.to_vec();
        let response =
            self.call(Method::POST, &path, Some(body), constants::EXTEND_TIMEOUT).await?;
        match response.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::NoLease),
            _ => Err(Self::unexpected(&response)),
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
        self.call(Method::DELETE, &path, None, constants::STORE_TIMEOUT).await?;
        Ok(())
    }

    /// Waits up to `wait` for changes of keys with a prefix after the revision `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooOld`] if that revision is compacted, else any [`StoreError`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.acquire().await?;
        let path = format!(
            "/watch?Prefix={}&After={after}&WaitMs={}",
            percent_encoded(prefix),
            whole_millis(wait)
        );
        let timeout = wait + constants::WATCH_GRACE;
        let response = self.call(Method::GET, &path, None, timeout).await?;
        match response.status {
            StatusCode::OK => Self::decode(&response),
            _ => Err(Self::unexpected(&response)),
        }
    }
}

/// A key or prefix as a URL spells it.
fn percent_encoded(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ENCODED_CHARACTERS)
}
