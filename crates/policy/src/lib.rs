//! The pure scheduling policy of hookway: what a job needs at least, whose turn it is, where a task
//! goes, who has to make room, and how many machines are wanted.
//!
//! Nothing here reads a clock or does I/O. Times are seconds on one scale that the caller chooses;
//! machines, jobs, zones and machine types are named by their index in the slices that the caller hands
//! over.

mod fleet;
mod minimum;
mod order;
mod place;
mod preempt;
mod room;
mod view;

pub use fleet::{FleetPlan, Offer, Rent, plan_fleet};
pub use minimum::{minimum, needs_rewrite, wanted};
pub use order::{Turn, turns};
pub use place::{Placed, Placement, fits_somewhere, place};
pub use preempt::{Eviction, evict};
pub use room::Room;
pub use view::{HeldView, JobView, MachineView, TeamView, World};
