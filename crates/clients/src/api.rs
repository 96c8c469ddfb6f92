//! Client of hookway's API, for users.

use crate::{HttpClient, HttpError, HttpResponse};
use hookway_wire::{ErrorBody, JobId, JobStatus};
use hyper::{Method, StatusCode};
use std::time::Duration;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request to the API failed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// There was no response, or the request was not sent.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The controller rejected the request.
    #[error("{status}: {reason}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// The reason in the response, or the whole body if it is not an error body.
        reason: String,
    },
    /// The body of the response is not a job status.
    #[error("unreadable answer: {0}")]
    InvalidResponse(String),
}

/// A client of hookway's API for users.
#[derive(Debug, Clone)]
pub struct ApiClient {
    http: HttpClient,
}

impl ApiClient {
    /// Creates a client of the controller or load balancer at `address` (`host:port`).
    pub fn new(address: &str) -> Self {
        Self { http: HttpClient::new(address) }
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<JobStatus, ApiError> {
        let HttpResponse { status, body } =
            self.http.exchange(method, path, body, REQUEST_TIMEOUT).await?;
        if status == StatusCode::OK || status == StatusCode::CREATED {
            return serde_json::from_slice(&body)
                .map_err(|error| ApiError::InvalidResponse(error.to_string()));
        }
        let reason = serde_json::from_slice::<ErrorBody>(&body)
            .map(|body| body.error)
            .unwrap_or_else(|_| String::from_utf8_lossy(&body).into_owned());
        Err(ApiError::Refused { status: status.as_u16(), reason })
    }

    /// Submits a job. `job` is the JSON of a [`JobSpec`](hookway_wire::JobSpec).
    ///
    /// # Errors
    ///
    /// Any [`ApiError`]; [`ApiError::Refused`] if the job is invalid or the controller cannot accept it.
    pub async fn submit(&self, job: Vec<u8>) -> Result<JobStatus, ApiError> {
        self.request(Method::POST, "/api/jobs", Some(job)).await
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Any [`ApiError`]; [`ApiError::Refused`] with status 404 if there is no such job.
    pub async fn status(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        self.request(Method::GET, &format!("/api/jobs/{job}"), None).await
    }

    /// Cancels a job and returns its status.
    ///
    /// # Errors
    ///
    /// Any [`ApiError`]; [`ApiError::Refused`] with status 404 if there is no such job.
    pub async fn cancel(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        self.request(Method::POST, &format!("/api/jobs/{job}/withdraw"), Some(b"{}".to_vec())).await
    }
}
