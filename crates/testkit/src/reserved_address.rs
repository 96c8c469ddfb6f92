//! Loopback addresses for processes that a test starts.

use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// A loopback address that no other socket is given while this value lives.
///
/// Its socket is bound but does not listen. The system therefore gives the port to nobody who asks for a free one, while
/// a process that names the port may listen on it, and again after a restart. A port that is only looked up and closed
/// again can be taken by any socket before the process listens.
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// The error of the system, if there is no free port.
    pub fn reserve() -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        // Listeners set this option too; only then may they share the port with this socket.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// The address to listen on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
