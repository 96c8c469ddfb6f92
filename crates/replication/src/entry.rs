//! Entries of the replication log.

use crate::state::{PlacedTask, ReplicatedJob};
use serde::{Deserialize, Serialize};

/// A change of the leader's cluster state. Each entry holds the value after the change, not a difference.
///
/// The order of the variants and of their fields is a wire format: new variants are added at the end, and existing
/// ones keep their fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A machine was added, or the address or incarnation of its worker changed. The tasks on it are unchanged.
    Machine {
        /// Unique name of the machine.
        name: String,
        /// Address (`host:port`) of the machine's worker.
        address: String,
        /// Incarnation of the machine's worker.
        incarnation: u64,
    },
    /// A machine was removed, with all tasks on it.
    MachineRemoved {
        /// Unique name of the machine.
        name: String,
    },
    /// A task was placed on a machine, or its stage changed.
    Task {
        /// Name of the machine that the task is placed on.
        machine: String,
        /// The task and attempt, with the new stage.
        task: PlacedTask,
    },
    /// A task was removed from its machine.
    TaskRemoved {
        /// Name of the machine that the task was placed on.
        machine: String,
        /// Id of the task in the form `req-000412/3`.
        task: String,
        /// Number of the removed attempt.
        attempt: u64,
    },
    /// A job was added, or the part of its state that the leader keeps in memory only changed.
    Job {
        /// Id of the job in the form `req-000412`.
        id: String,
        /// The job's state after the change.
        job: ReplicatedJob,
    },
    /// A job was removed because the leader no longer publishes it.
    JobRemoved {
        /// Id of the job in the form `req-000412`.
        id: String,
    },
}
