//! Job statuses through the store, for a controller that can't reach the leader directly.
//!
//! The connections between controllers may be refused for minutes while the store answers all of
//! them. Users whose connection stays at such a controller still have to learn whether their jobs
//! run, and only the leader can tell. The controller leaves a question in the store under a key of
//! its own; the leader watches these keys and answers under another one.
//!
//! - [`StatusRelay`] is the handle of the asking side, [`StatusRelayActor`] its actor.
//! - [`StatusResponder`] answers the questions while its controller leads.

mod asker;
mod responder;

pub use asker::{StatusRelay, StatusRelayActor};
pub use responder::StatusResponder;
