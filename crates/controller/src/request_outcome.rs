//! The outcome of a user's request, before it becomes an HTTP response.

use crate::job_snapshot::JobSnapshot;
use serde::{Deserialize, Serialize};

/// The outcome of a user's request. Controllers exchange it, so the positions of its variants and
/// fields in frames are fixed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The job was accepted by this request.
    Accepted(JobSnapshot),
    /// The state of a job that was accepted before.
    Known(JobSnapshot),
    /// No such job was ever accepted.
    NotFound,
    /// The request is invalid.
    Rejected {
        /// The HTTP status code.
        status: u16,
        /// The reason, for the user.
        reason: String,
    },
    /// The request can't be decided now, for this reason.
    Unavailable(String),
}

impl RequestOutcome {
    /// The request can't be decided now, for this reason.
    pub(crate) fn unavailable(reason: &str) -> Self {
        Self::Unavailable(reason.to_owned())
    }
}
