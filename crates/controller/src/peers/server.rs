//! The server side of the protocol: accepts connections of other controllers and answers their
//! requests.

use super::connection::{receive, send};
use super::messages::{PeerRequest, PeerResponse};
use crate::networks::Networks;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, which prevents a busy loop while no socket is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers the requests of other controllers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request, without passing it on to a third controller.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = PeerResponse> + Send;
}

/// Answers requests on connections from `networks`, or from any address if `networks` is empty.
/// Runs until the process ends.
pub async fn serve<H: PeerHandler>(listener: TcpListener, handler: Arc<H>, networks: Networks) {
    loop {
        match listener.accept().await {
            Ok((_, address)) if !networks.allows(address.ip()) => {
                tracing::info!(%address, "connection refused: not from a controller network");
            }
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, handler.clone()))),
            Err(error) => {
                tracing::error!(%error, "accepting a controller connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the requests of one connection in the order of their arrival, until the connection fails
/// or is closed.
async fn serve_connection<H: PeerHandler>(mut stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    while let Ok(request) = receive::<PeerRequest>(&mut stream).await {
        let response = handler.handle(request.message).await;
        if send(&mut stream, &response).await.is_err() {
            break;
        }
    }
}
