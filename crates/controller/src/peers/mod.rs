//! The protocol between controllers: requests and responses in length-prefixed frames over TCP.
//!
//! A controller passes users' requests that it can't decide itself on to the others, renews its
//! shard lease at the leader, and follows the leader's replication log.

mod client;
mod connection;
mod error;
mod messages;
mod peer;
mod server;

pub use client::Peers;
pub use connection::ConnectionError;
pub use error::PeerError;
pub use messages::{PeerRequest, PeerResponse};
pub use server::{PeerHandler, serve};
