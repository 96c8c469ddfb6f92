//! Test doubles for tests of hookway, which follow the published protocol: a store in memory, the same store over HTTP
//! on loopback, a scripted worker, and a fleet of such workers with their cloud over HTTP.
//!
//! Apart from the waiting time of watches, only [`Fleet`] and [`StoreServer::expire_leases_by_clock`] depend on the
//! real clock.

mod bare_json;
mod fleet;
mod loopback;
mod reserved_address;
mod settings;
mod store;
mod store_server;
mod worker;

pub use fleet::{ControllerAddress, Fleet, FleetConfig, HistoryEvent, TaskEvent};
pub use reserved_address::ReservedAddress;
pub use settings::{PLATFORM_SETTINGS, machine_types};
pub use store::MemoryStore;
pub use store_server::{HeldResponse, StoreServer};
pub use worker::ScriptedWorker;
