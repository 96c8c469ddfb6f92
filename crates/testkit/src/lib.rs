//! Stand-ins for tests of hookway, written to the published protocol: a state service in memory, also
//! over HTTP on loopback, and a worker that does as it is told. None of them reads a clock.

mod server;
mod settings;
mod store;
mod worker;

pub use server::StoreServer;
pub use settings::{SETTINGS, machine_types};
pub use store::MemoryStore;
pub use worker::ScriptedWorker;
