//! Client of the cloud: machine types, creation and deletion of machines, and the machine list.

use crate::http::{body_contains, quoted_body};
use crate::rate_limiter::PERMITS_PER_REQUEST;
use crate::{HttpClient, HttpError, HttpResponse, RateLimiter};
use hookway_constants as constants;
use hookway_wire::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Text in the body of a 503 response that reports missing capacity rather than an outage.
const NO_CAPACITY: &str = "no capacity";
/// Status in errors about requests that were not sent because they could not be encoded.
const NO_STATUS: u16 = 0;

/// Why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The request was not executed, because of an outage or the rate limit of the cloud. Holds the HTTP status.
    #[error("the cloud is unavailable (status {0})")]
    Unavailable(u16),
    /// The outcome is unknown: the request may have been executed, or may be later.
    #[error("no response from the cloud: {0}")]
    Indeterminate(HttpError),
    /// The response has an unexpected HTTP status or body.
    #[error("unexpected response of the cloud (status {status}): {reason}")]
    Unexpected {
        /// HTTP status of the response; 0 if the request could not be encoded.
        status: u16,
        /// The start of the response body, or why it cannot be decoded.
        reason: String,
    },
}

/// The outcome of a scale-out request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScaleOutOutcome {
    /// Machines with these names were created.
    Created(Vec<String>),
    /// The cloud has no capacity for this machine type in this zone.
    NoCapacity,
}

/// A client of the cloud that limits its request rate. Clones share the rate limit.
#[derive(Debug, Clone)]
pub struct CloudClient {
    http: HttpClient,
    rate_limiter: Arc<RateLimiter>,
}

impl CloudClient {
    /// Creates a client of the cloud at `address` (`host:port`) that sends at most `requests_per_s` requests per
    /// second; requests above the rate wait.
    pub fn new(address: &str, requests_per_s: f64) -> Self {
        let rate_limiter = Arc::new(RateLimiter::new(requests_per_s));
        Self { http: HttpClient::new(address), rate_limiter }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<HttpResponse, CloudError> {
        self.rate_limiter.acquire(PERMITS_PER_REQUEST).await;
        let response = self
            .http
            .exchange(method, path, body, constants::CLOUD_TIMEOUT)
            .await
            .map_err(CloudError::Indeterminate)?;
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            return Err(CloudError::Unavailable(response.status.as_u16()));
        }
        Ok(response)
    }

    /// Returns the error for a response with an unexpected status.
    fn unexpected(response: &HttpResponse) -> CloudError {
        let status = response.status.as_u16();
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            CloudError::Unavailable(status)
        } else {
            CloudError::Unexpected { status, reason: quoted_body(&response.body) }
        }
    }

    fn encode<T: Serialize>(request: &T) -> Result<Vec<u8>, CloudError> {
        serde_json::to_vec(request).map_err(|error| CloudError::Unexpected {
            status: NO_STATUS,
            reason: error.to_string(),
        })
    }

    fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
        serde_json::from_slice(&response.body).map_err(|error| CloudError::Unexpected {
            status: response.status.as_u16(),
            reason: error.to_string(),
        })
    }

    /// Returns all machine types with their current prices.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`].
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response = self.call(Method::GET, "/flavors", None).await?;
        if response.status != StatusCode::OK {
            return Err(Self::unexpected(&response));
        }
        Self::decode::<MachineTypes>(&response).map(|types| types.machine_types)
    }

    /// Creates machines of one type in one zone.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]. After [`CloudError::Indeterminate`] the same request may be repeated: its id makes it
    /// idempotent.
    pub async fn scale_out(
        &self,
        request: &ScaleOutRequest,
    ) -> Result<ScaleOutOutcome, CloudError> {
        let body = Self::encode(request)?;
        let response = self.call(Method::POST, "/rentals", Some(body)).await?;
        match response.status {
            StatusCode::OK => Self::decode::<MachineNames>(&response)
                .map(|names| ScaleOutOutcome::Created(names.machines)),
            StatusCode::SERVICE_UNAVAILABLE if body_contains(&response.body, NO_CAPACITY) => {
                Ok(ScaleOutOutcome::NoCapacity)
            }
            _ => Err(Self::unexpected(&response)),
        }
    }

    /// Deletes machines. After `Ok` neither the machines nor the tasks on them exist any more.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]. After [`CloudError::Indeterminate`] the same request may be repeated.
    pub async fn delete(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = Self::encode(&MachineNames { machines: machines.to_vec() })?;
        let response = self.call(Method::POST, "/rentals/delete", Some(body)).await?;
        if response.status == StatusCode::OK { Ok(()) } else { Err(Self::unexpected(&response)) }
    }

    /// Returns all machines, read page by page.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]. The pages that were already read are discarded.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let last_name = all.last().map(|machine| machine.name.as_str());
            let page = self.machine_page(last_name).await?;
            let is_empty = page.machines.is_empty();
            all.extend(page.machines);
            if !page.has_next || is_empty {
                return Ok(all);
            }
        }
    }

    /// Reads the page of the machine list that begins after the machine `after`; the first page if `None`.
    async fn machine_page(&self, after: Option<&str>) -> Result<MachineList, CloudError> {
        let mut path = format!("/rentals?Most={}", constants::MACHINE_LIST_PAGE_SIZE);
        if let Some(after) = after {
            path.push_str(&format!("&After={after}"));
        }
        let response = self.call(Method::GET, &path, None).await?;
        if response.status != StatusCode::OK {
            return Err(Self::unexpected(&response));
        }
        Self::decode(&response)
    }
}
