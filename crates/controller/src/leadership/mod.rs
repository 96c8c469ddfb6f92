//! Leader election: a leased key in the store ensures that there is at most one leader at a time.
//!
//! The key `lead/now` is attached to the leader's lease and names the leader; the value of
//! `lead/term` only grows. One transaction writes both keys. Its preconditions are that there is no
//! leader and that `lead/term` has not changed since the candidate read it.
//!
//! A candidate whose election got no response reads the leader key. Whether it leads, and with which
//! revision and lease, comes from one answer of the store ([`LeaderKey`]).
//!
//! The leader measures its lease on its own monotonic clock, from before the request that granted
//! or extended the lease was sent, and subtracts clock drift and a safety margin. After this
//! computed expiry it neither answers heartbeats as the leader nor makes decisions until an
//! extension succeeds. After an outage of the store all leases have their full length again, so the
//! leader can often continue its term.

mod campaign;
mod candidate;
mod clock;
mod election;
mod leader_key;
mod lease;
mod resignation;
mod term;

pub use campaign::{Election, LeaderlessState, WatermarkCompleteness, last_fencing_token};
pub use candidate::{Candidate, LeaderKeyOutcome, ListingOutcome, ObservedLeader, OwnNameListed};
pub use clock::{Clock, wall_clock};
pub use election::{ElectionActor, ElectionActorConfig};
pub use leader_key::LeaderKey;
pub use lease::{LeadershipLease, lease_expiry};
pub use resignation::Resignation;
pub use term::{LeaderTerm, LeadershipView};
