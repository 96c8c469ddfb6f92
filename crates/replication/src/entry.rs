//! Entries of the replication log.

use crate::state::{PlacedTask, ReplicatedJob};
use serde::{Deserialize, Serialize};

/// A change of the leader's cluster state. Entries are idempotent: each one holds the value after the change.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A machine was added, or the address or incarnation of its worker changed.
    Machine {
        /// Name of the machine.
        name: String,
        /// Address (`host:port`) of its worker.
        address: String,
        /// Incarnation of its worker.
        incarnation: u64,
    },
    /// A machine was removed, with all tasks on it.
    MachineRemoved {
        /// Name of the machine.
        name: String,
    },
    /// A task was placed on a machine, or its stage changed.
    Task {
        /// Name of the machine.
        machine: String,
        /// The task with its new stage.
        task: PlacedTask,
    },
    /// A task was removed from its machine.
    TaskRemoved {
        /// Name of the machine.
        machine: String,
        /// Id of the task.
        task: String,
        /// Number of the attempt.
        attempt: u64,
    },
    /// The state of a job that no record holds changed.
    Job {
        /// Id of the job.
        id: String,
        /// The state after the change.
        job: ReplicatedJob,
    },
    /// A job ended.
    JobRemoved {
        /// Id of the job.
        id: String,
    },
}
