use crate::{Budget, HttpClient, HttpError};
use hookway_constants as constants;
use hookway_wire::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
};
use hyper::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Why the cloud did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Not carried out: asked too often, or in trouble.
    #[error("the cloud is not available ({0})")]
    Unavailable(u16),
    /// Nothing is known: the request may have been carried out, or may be later.
    #[error("no answer from the cloud: {0}")]
    Unknown(HttpError),
    /// An answer that makes no sense.
    #[error("unexpected answer {0}: {1}")]
    Unexpected(u16, String),
}

/// The answer to a rental.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScaleOutOutcome {
    /// These machines were rented.
    Rented(Vec<String>),
    /// None is to be had.
    NoCapacity,
}

/// A client of the cloud that stays within its share of the request rate.
#[derive(Debug, Clone)]
pub struct CloudClient {
    http: HttpClient,
    budget: Arc<Budget>,
}

impl CloudClient {
    /// A client for `address` that makes at most `rate` requests a second.
    pub fn new(address: &str, rate: f64) -> Self {
        Self { http: HttpClient::new(address), budget: Arc::new(Budget::new(rate)) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(StatusCode, bytes::Bytes), CloudError> {
        self.budget.spend(1.0).await;
        let limit = Duration::from_millis(constants::CLOUD_TIMEOUT_MS);
        let (status, body) =
            self.http.exchange(method, path, body, limit).await.map_err(CloudError::Unknown)?;
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(CloudError::Unavailable(status.as_u16()));
        }
        Ok((status, body))
    }

    fn odd(status: StatusCode, body: &[u8]) -> CloudError {
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        match status {
            StatusCode::SERVICE_UNAVAILABLE => CloudError::Unavailable(status.as_u16()),
            _ => CloudError::Unexpected(status.as_u16(), text),
        }
    }

    /// The machine types with their current prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let (status, body) = self.call(Method::GET, "/flavors", None).await?;
        if status != StatusCode::OK {
            return Err(Self::odd(status, &body));
        }
        serde_json::from_slice::<MachineTypes>(&body)
            .map(|f| f.machine_types)
            .map_err(|e| CloudError::Unexpected(200, e.to_string()))
    }

    /// Rents machines. The same request may be repeated after an unknown outcome.
    pub async fn rent(&self, request: &ScaleOutRequest) -> Result<ScaleOutOutcome, CloudError> {
        let body =
            serde_json::to_vec(request).map_err(|e| CloudError::Unexpected(0, e.to_string()))?;
        let (status, body) = self.call(Method::POST, "/rentals", Some(body)).await?;
        match status {
            StatusCode::OK => serde_json::from_slice::<MachineNames>(&body)
                .map(|h| ScaleOutOutcome::Rented(h.machines))
                .map_err(|e| CloudError::Unexpected(200, e.to_string())),
            StatusCode::SERVICE_UNAVAILABLE if body.windows(11).any(|w| w == b"no capacity") => {
                Ok(ScaleOutOutcome::NoCapacity)
            }
            _ => Err(Self::odd(status, &body)),
        }
    }

    /// Deletes machines. Once this returns `Ok`, they and all that was on them are gone.
    pub async fn delete(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { machines: machines.to_vec() })
            .map_err(|e| CloudError::Unexpected(0, e.to_string()))?;
        let (status, body) = self.call(Method::POST, "/rentals/delete", Some(body)).await?;
        if status == StatusCode::OK { Ok(()) } else { Err(Self::odd(status, &body)) }
    }

    /// The whole machine list.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let mut path = format!("/rentals?Most={}", constants::LIST_PAGE);
            if let Some(last) = all.last() {
                path.push_str(&format!("&After={}", last.id));
            }
            let (status, body) = self.call(Method::GET, &path, None).await?;
            if status != StatusCode::OK {
                return Err(Self::odd(status, &body));
            }
            let page: MachineList = serde_json::from_slice(&body)
                .map_err(|e| CloudError::Unexpected(200, e.to_string()))?;
            let empty = page.machines.is_empty();
            all.extend(page.machines);
            if !page.has_next || empty {
                return Ok(all);
            }
        }
    }
}
