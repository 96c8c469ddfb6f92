//! Leader election: at most one leader at a time, by a leased key in the state service.
//!
//! `lead/now` is attached to the leader's lease and names the leader; `lead/term` only grows. One
//! transaction writes both, on the preconditions that there is no leader and that the term is
//! unchanged since it was read.
//!
//! The leader computes the expiry of its lease from the time before each request was sent, on its
//! monotonic clock, and subtracts clock drift and a safety margin. After that expiry it answers no
//! heartbeat and makes no decision until an extension succeeds. After an outage of the state
//! service leases have their full length again, so the leader can often continue its term.

mod campaign;
mod clock;
mod election;
mod lease;
mod term;

pub use campaign::{StoredWatermarks, Vacancy, last_token};
pub use clock::{Clock, wall_clock};
pub use election::{Leadership, LeadershipConfig};
pub use lease::{LeadershipLease, lease_expiry};
pub use term::{LeaderTerm, LeadershipView};
