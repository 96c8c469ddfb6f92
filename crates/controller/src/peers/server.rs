//! The server side: accepts connections of other controllers and answers their requests.

use super::connection::{receive, send};
use super::messages::{PeerRequest, PeerResponse};
use crate::networks::Networks;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, so that a lack of sockets does not become a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Answers the requests of other controllers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request, from this controller's own knowledge.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerResponse> + Send;
}

/// Serves the other controllers: connections from `networks`, or from anywhere if that names none.
/// Runs until the process ends.
pub async fn serve<H: PeerHandler>(listener: TcpListener, handler: Arc<H>, networks: Networks) {
    loop {
        match listener.accept().await {
            Ok((_, address)) if !networks.allow(address.ip()) => {
                tracing::info!(%address, "connection refused: not from a controller network");
            }
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, handler.clone()))),
            Err(error) => {
                tracing::error!(%error, "accepting a controller connection failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Answers the requests of one connection in their order, until it fails or is closed.
async fn serve_connection<H: PeerHandler>(mut stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    while let Ok(request) = receive::<PeerRequest>(&mut stream).await {
        let response = handler.handle(request.message).await;
        if send(&mut stream, &response).await.is_err() {
            break;
        }
    }
}
