//! What the log is made of.

use crate::state::{JobHints, PlacedTask};
use serde::{Deserialize, Serialize};

/// One change of a leader's picture. Every entry names what it changes and what that is afterwards, so an entry
/// that is applied twice changes nothing.
///
/// The places of the variants and the order of their fields are a format: new ones come last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A machine, or its worker's address or session, is new.
    Machine {
        /// Its name.
        name: String,
        /// Where its worker listens.
        address: String,
        /// Its worker's session.
        session: u64,
    },
    /// A machine is gone, with all tasks on it.
    MachineGone {
        /// Its name.
        name: String,
    },
    /// A task was placed on a machine, or came further there.
    Task {
        /// The machine.
        machine: String,
        /// The task and how far it has come.
        task: PlacedTask,
    },
    /// A task left its machine.
    TaskGone {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// Its attempt.
        attempt: u64,
    },
    /// What is known of a job beside its records.
    Job {
        /// Its id.
        id: String,
        /// What is known.
        hints: JobHints,
    },
    /// A job is over.
    JobGone {
        /// Its id.
        id: String,
    },
}
