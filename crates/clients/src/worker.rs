use crate::HttpClient;
use hookway_constants as constants;
use hookway_wire::DirectOrders;
use hyper::Method;
use std::time::Duration;

/// A client of the workers, for commands that do not wait for a report. Only commands to stop are
/// sent this way: one that arrives minutes late stops an attempt that must be gone anyway, while a
/// start could run a task twice.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
}

impl Default for WorkerClient {
    fn default() -> Self {
        Self { http: HttpClient::new("0.0.0.0:0") }
    }
}

impl WorkerClient {
    /// Sends commands to the worker at `address`. Whether they arrived shows in its next report.
    pub async fn send(&self, address: &str, orders: &DirectOrders) {
        let Ok(body) = serde_json::to_vec(orders) else { return };
        let limit = Duration::from_millis(constants::WORKER_TIMEOUT_MS);
        match self.http.at(address).exchange(Method::POST, "/orders", Some(body), limit).await {
            Ok((status, _)) if status.is_success() => {}
            Ok((status, _)) => tracing::debug!("worker at {address}: {status}"),
            Err(e) => tracing::debug!("worker at {address}: {e}"),
        }
    }
}
