//! Wire formats of hookway: the JSON messages exchanged with users, workers, the cloud, the store and
//! operators.
//!
//! The names that the protocol uses are in `serde` attributes; the Rust names are the standard terms.
//! Parsing is strict: a field of the wrong type or out of range is rejected. Unknown fields are
//! ignored, as the protocol requires.

mod cloud;
mod job;
mod replication;
mod store;
mod worker;

pub use cloud::*;
pub use job::*;
pub use replication::*;
pub use store::*;
pub use worker::*;

use serde::{Deserialize, Serialize};

/// The body of every error response.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ErrorBody {
    /// Why the request was rejected, as a text for the client.
    pub error: String,
}
