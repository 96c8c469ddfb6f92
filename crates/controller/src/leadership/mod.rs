//! Leader election: a leased key in the store ensures that there is at most one leader at a time.
//!
//! The key `lead/now` is attached to the leader's lease and names the leader; the value of
//! `lead/term` only grows. One transaction writes both keys. Its preconditions are that there is no
//! leader and that `lead/term` has not changed since the candidate read it.
//!
//! The leader measures its lease on its own monotonic clock, from before the request that granted
//! or extended the lease was sent, and subtracts clock drift and a safety margin. After this
//! computed expiry it neither answers heartbeats as the leader nor makes decisions until an
//! extension succeeds. After an outage of the store all leases have their full length again, so the
//! leader can often continue its term.

mod campaign;
mod clock;
mod election;
mod lease;
mod term;

pub use campaign::{LeaderlessState, WatermarkCompleteness, last_fencing_token};
pub use clock::{Clock, wall_clock};
pub use election::{ElectionActor, ElectionActorConfig};
pub use lease::{LeadershipLease, lease_expiry};
pub use term::{LeaderTerm, LeadershipView};
