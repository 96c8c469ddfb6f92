//! Client of the store: reads, transactions, leases and watches.

use crate::http::{body_contains, quoted_body};
use crate::rate_limiter::PERMITS_PER_REQUEST;
use crate::{HttpClient, HttpError, HttpResponse, RateLimiter};
use hookway_constants as constants;
use hookway_time::whole_millis;
use hookway_wire::{
    CommitResponse, KeyPage, KeyValue, LeaseGrant, LeaseGrantRequest, ListedKeyValue, Transaction,
    WatchResponse,
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

/// Maximum number of keys in a page of a range read.
const LIST_PAGE_KEYS: u32 = 1_000;
/// Timeout of the request for a page, as a multiple of the timeout of other requests: pages are large.
const LIST_TIMEOUT_FACTOR: u32 = 2;
/// JSON body of requests that have no parameters besides those in the path.
const EMPTY_OBJECT: &[u8] = b"{}";
/// Text in the body of a 400 response to a transaction that attaches a key to a lease which does not exist.
const NO_SUCH_LEASE: &str = "no such lease";
/// Status in errors about requests that were not sent because they could not be encoded.
const NO_STATUS: u16 = 0;

/// Why a request to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The request was not executed: the store has an outage, or rejects this controller's requests.
    #[error("the state service is not available")]
    Unavailable,
    /// The request was not executed: it exceeds the rate limit of the store, or would wait too long for that of this
    /// client ([`StoreClient::with_queue_limit`]).
    #[error("the state service is asked too often")]
    RateLimited,
    /// The outcome is unknown: the request may have been executed, or may be later.
    #[error("no answer from the state service: {0}")]
    Indeterminate(HttpError),
    /// The lease does not exist: it has expired or was released.
    #[error("the lease has ended")]
    LeaseNotFound,
    /// The store has compacted the changes that the watch requested.
    #[error("the revision is too old")]
    RevisionCompacted,
    /// The request was not executed because it is invalid or too large. Holds the start of the response body.
    #[error("refused by the state service: {0}")]
    Rejected(String),
    /// The response has an unexpected HTTP status or body.
    #[error("unexpected answer {status}: {reason}")]
    Unexpected {
        /// HTTP status of the response; 0 if the request could not be encoded.
        status: u16,
        /// The start of the response body, or why it cannot be decoded.
        reason: String,
    },
}

/// The result of a range read: all keys with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The key-value pairs, sorted by key.
    pub pairs: Vec<ListedKeyValue>,
    /// Revision of the store at the read of the first page, so that a watch from this revision misses no change.
    pub revision: u64,
}

/// The outcome of a transaction that has a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All operations were applied; the store then had this revision.
    Applied(u64),
    /// No operation was applied: the preconditions on these keys failed.
    PreconditionFailed(Vec<String>),
}

/// A client of the store that limits its request rate. Clones share the rate limit.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    rate_limiter: Arc<RateLimiter>,
    queue_limit: Option<Duration>,
}

impl StoreClient {
    /// Creates a client of the store at `address` (`host:port`) that sends at most `requests_per_s` requests per
    /// second; requests above the rate wait.
    pub fn new(address: &str, requests_per_s: f64) -> Self {
        let rate_limiter = Arc::new(RateLimiter::new(requests_per_s));
        Self { http: HttpClient::new(address), rate_limiter, queue_limit: None }
    }

    /// Returns the client with a limit on the time that a request waits for the rate limiter. A request that
    /// would wait longer fails at once with [`StoreError::RateLimited`].
    pub fn with_queue_limit(self, queue_limit: Duration) -> Self {
        Self { queue_limit: Some(queue_limit), ..self }
    }

    /// Returns the address of the store (`host:port`).
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
            Err(StoreError::RateLimited)
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let response = self
            .http
            .exchange(method, path, body, timeout)
            .await
            .map_err(StoreError::Indeterminate)?;
        match response.status {
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::GONE => Err(StoreError::RevisionCompacted),
            _ => Ok(response),
        }
    }

    fn encode<T: Serialize>(request: &T) -> Result<Vec<u8>, StoreError> {
        serde_json::to_vec(request).map_err(|error| StoreError::Unexpected {
            status: NO_STATUS,
            reason: error.to_string(),
        })
    }

    fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
        serde_json::from_slice(&response.body).map_err(|error| StoreError::Unexpected {
            status: response.status.as_u16(),
            reason: format!("{error}: {}", quoted_body(&response.body)),
        })
    }

    /// Returns the error for a response with an unexpected status.
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
    /// Any [`StoreError`] except those of leases and watches.
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
    /// Any [`StoreError`] except those of leases and watches. The pages that were already read are discarded.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut pairs: Vec<ListedKeyValue> = Vec::new();
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

    /// Reads the page of keys with a prefix that begins after the key `after`; the first page if `None`.
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
    /// Any [`StoreError`]; [`StoreError::LeaseNotFound`] if an operation attaches a key to a lease that does not
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
                Err(StoreError::LeaseNotFound)
            }
            StatusCode::BAD_REQUEST => Err(StoreError::Rejected(quoted_body(&response.body))),
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Requests a lease that expires `ttl` after it was granted or last extended, and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]. After [`StoreError::Indeterminate`] a lease may exist whose id no controller knows; it
    /// expires, because none can extend it.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
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

    /// Extends a lease by its time to live. The request acquires a permit of the rate limiter without waiting,
    /// ahead of all waiting requests.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseNotFound`] if the lease does not exist, otherwise any other [`StoreError`].
    pub async fn extend_lease(&self, lease_id: u64) -> Result<(), StoreError> {
        let _ = self.rate_limiter.acquire_now(PERMITS_PER_REQUEST);
        let path = format!("/grants/{lease_id}/extend");
        let body = EMPTY_OBJECT.to_vec();
        let response =
            self.call(Method::POST, &path, Some(body), constants::LEASE_EXTENSION_TIMEOUT).await?;
        match response.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::LeaseNotFound),
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Releases a lease, so that its keys are deleted. The request bypasses the rate limiter.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], [`StoreError::RateLimited`], [`StoreError::RevisionCompacted`] or
    /// [`StoreError::Indeterminate`]; any other status of the response counts as success.
    pub async fn release_lease(&self, lease_id: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{lease_id}");
        self.call(Method::DELETE, &path, None, constants::STORE_TIMEOUT).await?;
        Ok(())
    }

    /// Waits up to `wait` for changes after the revision `after` of keys with a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError::RevisionCompacted`] if the store has compacted that revision, otherwise any other [`StoreError`].
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
        let timeout = wait + constants::WATCH_TIMEOUT_MARGIN;
        let response = self.call(Method::GET, &path, None, timeout).await?;
        match response.status {
            StatusCode::OK => Self::decode(&response),
            _ => Err(Self::unexpected(&response)),
        }
    }
}

/// Returns a key or prefix with percent-encoding, for a URL.
fn percent_encoded(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ENCODED_CHARACTERS)
}
