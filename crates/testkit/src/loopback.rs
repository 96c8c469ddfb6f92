//! HTTP servers on loopback.

use salvo::conn::TcpListener;
use salvo::prelude::*;

/// Starts to serve on a free port until the test ends. Returns the address (`host:port`).
pub(crate) async fn serve(router: Router) -> std::io::Result<String> {
    let acceptor = TcpListener::new("127.0.0.1:0")
        .try_bind()
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let address = acceptor.local_addr()?.to_string();
    tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    Ok(address)
}
