//! Stand-ins for tests of hookway, written to the published protocol: a state service in memory, also
//! over HTTP on loopback, a worker that does as it is told, and a fleet of such workers with their cloud over HTTP.
//! None but the fleet, and a state service that is told to let leases run out, reads a clock.

mod fleet;
mod serve;
mod server;
mod settings;
mod store;
mod worker;

pub use fleet::{Fleet, HistoryEvent, TaskEvent};
pub use server::StoreServer;
pub use settings::{SETTINGS, machine_types};
pub use store::MemoryStore;
pub use worker::ScriptedWorker;
