//! The attempt of a gang.

use hookway_time::MonotonicTime;

/// The attempt in which the tasks of a gang run together. Jobs of other kinds leave it unused.
#[derive(Debug, Default)]
pub(super) struct GangState {
    /// Attempt number that all tasks share.
    pub attempt: Option<u64>,
    /// The attempt that an earlier leader was starting, from the replicated state.
    pub resumed_attempt: Option<u64>,
    /// Until then that attempt may be completed; set once all machines are reconciled.
    pub resume_deadline: Option<MonotonicTime>,
    /// The tasks found of that attempt wait for the other ones, which may be started.
    pub completing: bool,
    /// The attempt has lost a task or is being stopped: all of its tasks must be stopped.
    pub broken: bool,
}
