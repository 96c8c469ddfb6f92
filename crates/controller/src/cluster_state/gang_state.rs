//! The state of a gang's attempt.

use hookway_time::MonotonicTime;

/// The attempt in which the tasks of a gang run together. Jobs of other kinds leave it unused.
#[derive(Debug, Default)]
pub(super) struct GangState {
    /// Attempt number that all tasks share; `None` while no task of the gang is placed.
    pub attempt: Option<u64>,
    /// The attempt that an earlier leader was starting, according to the replicated state.
    pub resumed_attempt: Option<u64>,
    /// Time until which that attempt may be completed; set after all machines are reconciled.
    pub resume_deadline: Option<MonotonicTime>,
    /// Whether the tasks found of that attempt wait for the other ones, so that those may be
    /// started.
    pub completing: bool,
    /// Whether the attempt has lost a task or is being stopped, so that all of its tasks must be
    /// stopped.
    pub broken: bool,
}
