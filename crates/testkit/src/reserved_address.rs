//! Loopback addresses for processes that a test starts.

use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// A loopback address that the operating system assigns to no other socket while this value exists.
///
/// The value holds a socket that is bound but does not listen. The operating system therefore never assigns the port to
/// a socket that asks for any free port, but a process that names the port can listen on it, and again after a restart.
/// Without the bound socket, the port could be assigned to another socket before the process listens.
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves a free port on 127.0.0.1.
    ///
    /// # Errors
    ///
    /// An I/O error if no port is free.
    pub fn reserve() -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        // A listener can share the port with this socket only if both have set this option.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// Returns the address that the test's process is to listen on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
