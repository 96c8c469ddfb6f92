use crate::{HttpClient, HttpError};
use hookway_wire::{ErrorBody, JobId, JobStatus};
use hyper::{Method, StatusCode};
use std::time::Duration;

/// How long a user waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Why a user's request did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// No answer.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The service refused.
    #[error("{0}: {1}")]
    Refused(u16, String),
    /// An answer that makes no sense.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// A user's client of the service.
#[derive(Debug, Clone)]
pub struct ApiClient {
    http: HttpClient,
}

impl ApiClient {
    /// A client for a controller or load balancer at `address`.
    pub fn new(address: &str) -> Self {
        Self { http: HttpClient::new(address) }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<JobStatus, ApiError> {
        let (status, body) = self.http.exchange(method, path, body, PATIENCE).await?;
        if status == StatusCode::OK || status == StatusCode::CREATED {
            return serde_json::from_slice(&body).map_err(|e| ApiError::Unreadable(e.to_string()));
        }
        let why = serde_json::from_slice::<ErrorBody>(&body)
            .map(|e| e.error)
            .unwrap_or_else(|_| String::from_utf8_lossy(&body).into_owned());
        Err(ApiError::Refused(status.as_u16(), why))
    }

    /// Submits a job, given as JSON.
    pub async fn submit(&self, job: Vec<u8>) -> Result<JobStatus, ApiError> {
        self.ask(Method::POST, "/api/jobs", Some(job)).await
    }

    /// Asks for a job's state.
    pub async fn status(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        self.ask(Method::GET, &format!("/api/jobs/{job}"), None).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        self.ask(Method::POST, &format!("/api/jobs/{job}/withdraw"), Some(b"{}".to_vec())).await
    }
}
