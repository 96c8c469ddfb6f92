//! Responses that are held back, as by a slow network.

use std::sync::Arc;
use tokio::sync::Notify;

/// A response that the server holds back until the test releases it.
#[derive(Debug, Clone, Default)]
pub struct HeldResponse {
    request_processed: Arc<Notify>,
    released: Arc<Notify>,
}

impl HeldResponse {
    /// Waits until the server has processed the request.
    pub async fn wait_until_processed(&self) {
        self.request_processed.notified().await;
    }

    /// Sends the response.
    pub fn release(&self) {
        self.released.notify_one();
    }

    /// Waits until the test releases the response.
    pub(super) async fn hold(&self) {
        self.request_processed.notify_one();
        self.released.notified().await;
    }
}
