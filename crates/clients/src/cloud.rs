//! Client of the cloud: machine types, scale out, scale in and the machine list.

use crate::http::body_contains;
use crate::json::{JsonError, Page, decode, decode_ok, encode, read_pages, unexpected};
use crate::rate_limiter::PERMITS_PER_REQUEST;
use crate::{HttpClient, HttpError, HttpResponse, RateLimiter};
use hookway_constants as constants;
use hookway_wire::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
};
use hyper::{Method, StatusCode};
use std::sync::Arc;

/// The text by which a 503 response says that the cloud has no machines left, rather than an outage.
const NO_CAPACITY: &str = "no capacity";

/// Why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Not executed, because of an outage or the rate limit: the HTTP status.
    #[error("the cloud is unavailable (status {0})")]
    Unavailable(u16),
    /// The outcome is unknown: the request may have been executed, or may be later.
    #[error("no response from the cloud: {0}")]
    Unknown(HttpError),
    /// The response has an unexpected HTTP status or body.
    #[error("unexpected response of the cloud (status {status}): {reason}")]
    Unexpected {
        /// HTTP status of the response.
        status: u16,
        /// The start of the body, or what is wrong with it.
        reason: String,
    },
    /// The request could not be encoded, so it was not sent.
    // Logs have had this text with status 0 since before the variant existed.
    #[error("unexpected response of the cloud (status 0): {reason}")]
    NotEncoded {
        /// Why not.
        reason: String,
    },
}

impl From<JsonError> for CloudError {
    fn from(error: JsonError) -> Self {
        match error {
            JsonError::Encoding(error) => Self::NotEncoded { reason: error.to_string() },
            JsonError::Status { status: StatusCode::SERVICE_UNAVAILABLE, .. } => {
                Self::Unavailable(StatusCode::SERVICE_UNAVAILABLE.as_u16())
            }
            JsonError::Status { status, quoted_body } => {
                Self::Unexpected { status: status.as_u16(), reason: quoted_body }
            }
            JsonError::Body { status, error, .. } => {
                Self::Unexpected { status: status.as_u16(), reason: error.to_string() }
            }
        }
    }
}

/// The outcome of a scale-out request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScaleOutOutcome {
    /// Machines with these names were created.
    Created(Vec<String>),
    /// The cloud has no capacity for this machine type in this zone.
    NoCapacity,
}

/// A client of the cloud that limits its request rate.
#[derive(Debug, Clone)]
pub struct CloudClient {
    http: HttpClient,
    rate_limiter: Arc<RateLimiter>,
}

impl CloudClient {
    /// Creates a client of `address` (`host:port`) that sends at most `requests_per_s` requests per second.
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
            .map_err(CloudError::Unknown)?;
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            return Err(CloudError::Unavailable(response.status.as_u16()));
        }
        Ok(response)
    }

    /// Returns all machine types with their current prices.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`].
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response = self.call(Method::GET, "/flavors", None).await?;
        Ok(decode_ok::<MachineTypes>(&response)?.machine_types)
    }

    /// Creates machines.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]. After [`CloudError::Unknown`] the same request may be repeated: it is idempotent
    /// by its id.
    pub async fn scale_out(
        &self,
        request: &ScaleOutRequest,
    ) -> Result<ScaleOutOutcome, CloudError> {
        let body = encode(request)?;
        let response = self.call(Method::POST, "/rentals", Some(body)).await?;
        match response.status {
            StatusCode::OK => {
                let names: MachineNames = decode(&response)?;
                Ok(ScaleOutOutcome::Created(names.machines))
            }
            StatusCode::SERVICE_UNAVAILABLE if body_contains(&response.body, NO_CAPACITY) => {
                Ok(ScaleOutOutcome::NoCapacity)
            }
            _ => Err(unexpected(&response).into()),
        }
    }

    /// Deletes machines. After `Ok` the machines are gone, and all tasks on them.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]. After [`CloudError::Unknown`] the same request may be repeated.
    pub async fn delete(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = encode(&MachineNames { machines: machines.to_vec() })?;
        let response = self.call(Method::POST, "/rentals/delete", Some(body)).await?;
        if response.status == StatusCode::OK { Ok(()) } else { Err(unexpected(&response).into()) }
    }

    /// Returns all machines, read page by page.
    ///
    /// # Errors
    ///
    /// Any [`CloudError`]; the pages that were read are discarded.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        Ok(read_pages(|after| self.machine_page(after)).await?.machines)
    }

    /// Reads the page of the machine list that follows the machine `after`; the first one if `None`.
    async fn machine_page(&self, after: Option<String>) -> Result<MachineList, CloudError> {
        let mut path = format!("/rentals?Most={}", constants::LIST_PAGE);
        if let Some(after) = after {
            path.push_str(&format!("&After={after}"));
        }
        let response = self.call(Method::GET, &path, None).await?;
        Ok(decode_ok(&response)?)
    }
}

impl Page for MachineList {
    type Item = ListedMachine;

    fn items(&mut self) -> &mut Vec<ListedMachine> {
        &mut self.machines
    }

    fn has_next(&self) -> bool {
        self.has_next
    }

    fn id(machine: &ListedMachine) -> &str {
        &machine.id
    }
}
