//! The state of a gang's attempt.

use hookway_time::MonotonicTime;

/// The attempt in which the tasks of a gang run together. Jobs of other kinds leave it unused.
#[derive(Debug, Default)]
pub(super) struct GangState {
    /// Attempt number that all tasks share; `None` while no task of the gang is placed.
    pub attempt: Option<u64>,
    /// The attempt that an earlier leader was starting, according to the replicated state.
    pub resumed_attempt: Option<u64>,
    /// Time until which the missing tasks of that attempt may be started. Set once reconciliation
    /// has ended and the attempt is found to be resumable.
    pub resume_deadline: Option<MonotonicTime>,
    /// Whether the attempt is being resumed: the tasks found of it wait for the other ones, so
    /// those may be started.
    pub resuming: bool,
    /// Whether the attempt has lost a task or is being stopped, so that all of its tasks must be
    /// stopped.
    pub broken: bool,
}
