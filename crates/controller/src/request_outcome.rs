//! The outcome of a user's request, before it becomes an HTTP response.

use crate::peer_job_status::PeerJobStatus;
use serde::{Deserialize, Serialize};

/// The outcome of a user's request. Controllers exchange it in frames, whose encoding goes by the
/// positions of variants and fields, so these positions never change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// This request has accepted the job. The state of the job.
    Accepted(PeerJobStatus),
    /// The job was accepted before. The state of the job.
    Known(PeerJobStatus),
    /// No job with this id was ever accepted.
    NotFound,
    /// The submission is invalid, or its job can never run.
    Rejected {
        /// The HTTP status code of the response: 400 or 422.
        status: u16,
        /// The reason given to the user.
        reason: String,
    },
    /// The request can't be decided at this time. The value is the reason given to the user, who
    /// should send the request again.
    Unavailable(String),
}

impl RequestOutcome {
    /// Creates an [`Unavailable`](Self::Unavailable) outcome with this reason.
    pub(crate) fn unavailable(reason: &str) -> Self {
        Self::Unavailable(reason.to_owned())
    }
}
