//! Loopback addresses for processes that a test starts.

use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// A loopback address that the system assigns to no other socket while this value exists.
///
/// Its socket is bound but does not listen. The system therefore never assigns the port to a socket that asks for any
/// free one, while a process that names the port can listen on it, also again after a restart. Without the bound
/// socket, the port could be assigned to any other socket before the process listens.
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
