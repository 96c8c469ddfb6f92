//! Stand-ins for tests of hookway, written to the published protocol: a state service in memory and
//! a worker that does as it is told. Neither reads a clock.

mod store;
mod worker;

pub use store::MemoryStore;
pub use worker::ScriptedWorker;
