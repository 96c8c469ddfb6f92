use crate::{Budget, HttpClient, HttpError};
use hookway_constants as constants;
use hookway_wire::{
    CommitResponse, KeyPage, KeyValue, LeaseGrant, LeaseGrantRequest, Transaction, WatchResponse,
};
use hyper::{Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Everything but letters, digits and what may stand in a key unescaped.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Why the state service did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Not carried out: an outage, or this node is being refused.
    #[error("the state service is not available")]
    Unavailable,
    /// Not carried out: above a rate limit.
    #[error("the state service is asked too often")]
    TooMany,
    /// Nothing is known: the request may have been carried out, or may be later.
    #[error("no answer from the state service: {0}")]
    Unknown(HttpError),
    /// The lease does not exist any more.
    #[error("the lease has ended")]
    NoLease,
    /// The watch asked for changes that are no longer kept.
    #[error("the revision is too old")]
    TooOld,
    /// Not carried out: the request is malformed, or larger than the state service takes.
    #[error("refused by the state service: {0}")]
    Rejected(String),
    /// An answer that makes no sense.
    #[error("unexpected answer {0}: {1}")]
    Unexpected(u16, String),
}

/// What became of a transaction that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied, at this revision.
    Applied(u64),
    /// Not applied: these conditions failed.
    PreconditionFailed(Vec<String>),
}

/// A client of the state service that stays within its share of the request rate.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    budget: Arc<Budget>,
    patience: Option<Duration>,
}

impl StoreClient {
    /// A client for `address` that makes at most `rate` requests a second.
    pub fn new(address: &str, rate: f64) -> Self {
        let budget = Arc::new(Budget::new(rate));
        Self { http: HttpClient::new(address), budget, patience: None }
    }

    /// The same, but what would wait longer than this for its turn is not asked at all
    /// ([`StoreError::TooMany`]).
    pub fn with_queue_limit(self, patience_ms: u64) -> Self {
        Self { patience: Some(Duration::from_millis(patience_ms)), ..self }
    }

    /// Waits for this request's turn.
    async fn acquire(&self) -> Result<(), StoreError> {
        match self.patience {
            None => self.budget.spend(1.0).await,
            Some(patience) if self.budget.spend_within(1.0, patience).await => {}
            Some(_) => return Err(StoreError::TooMany),
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit_ms: u64,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        let limit = Duration::from_millis(limit_ms);
        let (status, body) =
            self.http.exchange(method, path, body, limit).await.map_err(StoreError::Unknown)?;
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::TooMany),
            StatusCode::GONE => Err(StoreError::TooOld),
            _ => Ok((status, body)),
        }
    }

    fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
        serde_json::from_slice(body).map_err(|e| {
            StoreError::Unexpected(
                status.as_u16(),
                format!("{e}: {}", String::from_utf8_lossy(&body[..body.len().min(200)])),
            )
        })
    }

    fn unexpected(status: StatusCode, body: &[u8]) -> StoreError {
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        StoreError::Unexpected(status.as_u16(), text)
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.acquire().await?;
        let path = format!("/keys/{}", utf8_percent_encode(key, ESCAPED));
        let (status, body) =
            self.call(Method::GET, &path, None, constants::STORE_TIMEOUT_MS).await?;
        match status {
            StatusCode::OK => Self::read(status, &body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Reads all keys with a prefix, page by page, and a revision from before the first page: a
    /// watch from there misses nothing.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64), StoreError> {
        let mut all: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            self.acquire().await?;
            let mut path = format!("/keys?Prefix={}", utf8_percent_encode(prefix, ESCAPED));
            if let Some(last) = all.last() {
                path.push_str(&format!("&After={}", utf8_percent_encode(&last.key, ESCAPED)));
            }
            path.push_str("&Most=1000");
            let (status, body) =
                self.call(Method::GET, &path, None, constants::STORE_TIMEOUT_MS * 2).await?;
            if status != StatusCode::OK {
                return Err(Self::unexpected(status, &body));
            }
            let page: KeyPage = Self::read(status, &body)?;
            let revision = *first_revision.get_or_insert(page.revision);
            let empty = page.pairs.is_empty();
            all.extend(page.pairs);
            if !page.has_next || empty {
                return Ok((all, revision));
            }
        }
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        self.acquire().await?;
        let body = serde_json::to_vec(transaction)
            .map_err(|e| StoreError::Unexpected(0, e.to_string()))?;
        let (status, body) =
            self.call(Method::POST, "/commit", Some(body), constants::STORE_TIMEOUT_MS).await?;
        match status {
            StatusCode::OK => {
                let answer: CommitResponse = Self::read(status, &body)?;
                Ok(CommitOutcome::Applied(answer.revision))
            }
            StatusCode::CONFLICT => {
                let answer: CommitResponse = Self::read(status, &body)?;
                Ok(CommitOutcome::PreconditionFailed(answer.failed))
            }
            StatusCode::BAD_REQUEST if body.windows(13).any(|w| w == b"no such lease") => {
                Err(StoreError::NoLease)
            }
            StatusCode::BAD_REQUEST => {
                let why = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
                Err(StoreError::Rejected(why))
            }
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Asks for a lease.
    pub async fn grant(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        self.acquire().await?;
        let body = serde_json::to_vec(&LeaseGrantRequest { ttl_ms })
            .map_err(|e| StoreError::Unexpected(0, e.to_string()))?;
        let (status, body) =
            self.call(Method::POST, "/grants", Some(body), constants::STORE_TIMEOUT_MS).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => {
                Self::read::<LeaseGrant>(status, &body).map(|g| g.lease_id)
            }
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Extends a lease. Goes ahead of everything else: the budget is charged but never waited for.
    pub async fn extend(&self, lease_id: u64) -> Result<(), StoreError> {
        let _ = self.budget.take(1.0);
        let path = format!("/grants/{lease_id}/extend");
        let (status, body) = self
            .call(Method::POST, &path, Some(b"{}".to_vec()), constants::EXTEND_TIMEOUT_MS)
            .await?;
        match status {
            s if s.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::NoLease),
            _ => Err(Self::unexpected(status, &body)),
        }
    }

    /// Ends a lease.
    pub async fn release(&self, lease_id: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{lease_id}");
        self.call(Method::DELETE, &path, None, constants::STORE_TIMEOUT_MS).await.map(|_| ())
    }

    /// Waits for changes of keys with a prefix.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        self.acquire().await?;
        let path = format!(
            "/watch?Prefix={}&After={after}&WaitMs={wait_ms}",
            utf8_percent_encode(prefix, ESCAPED)
        );
        let limit = wait_ms + constants::WATCH_GRACE_MS;
        let (status, body) = self.call(Method::GET, &path, None, limit).await?;
        match status {
            StatusCode::OK => Self::read(status, &body),
            _ => Err(Self::unexpected(status, &body)),
        }
    }
}
