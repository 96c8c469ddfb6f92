//! Records through which a controller asks the leader for the statuses of jobs.

use hookway_wire::{JobId, JobStatus};
use serde::{Deserialize, Serialize};

/// The value of `q/<controller>`: the last question of a controller that can't reach the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuestionRecord {
    /// Random number that distinguishes the question from all others.
    pub question: u64,
    /// The jobs whose status is asked for.
    pub jobs: Vec<JobId>,
}

/// The value of `a/<controller>`: the leader's answer to a question of that controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswerRecord {
    /// The number of the question.
    pub question: u64,
    /// The proven statuses of jobs in the question, at a time after it was written. Jobs whose
    /// status the leader can't prove are missing.
    pub statuses: Vec<JobStatus>,
}
