//! Wire formats of hookway: everything that users, workers, the cloud and the state service see.
//!
//! Input is strict: a field with the wrong type or an impossible amount is refused; unknown fields
//! are ignored, as the protocol demands.

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

/// The body of every refusal.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ErrorBody {
    /// What is wrong, in plain words.
    pub error: String,
}
