//! The scheduling policy of hookway as pure functions: the minimum task count of a job, the scheduling queue,
//! placement (bin packing), preemption, relocation of replicas, and autoscaling.
//!
//! Nothing here reads a clock or does I/O. Times are seconds since an origin that the caller chooses. Machines, jobs,
//! teams and machine types are identified by their index in the [`SchedulingSnapshot`] that the caller passes, zones by
//! an index that the caller assigns. The entry points are [`place`], which runs a scheduling round, [`preempt`],
//! [`relocate`] and [`plan_scaling`].

mod autoscaling;
mod feasibility;
mod min_tasks;
mod placement;
mod preemption;
mod relocation;
mod resources;
mod scheduling_queue;
mod snapshot;
#[cfg(test)]
mod test_support;

pub use autoscaling::{MachineOffer, ScaleOut, ScalingPlan, plan_scaling};
pub use feasibility::{Infeasible, check_feasible};
pub use min_tasks::{desired_tasks, min_tasks, should_rewrite_min_tasks};
pub use placement::{Placement, QuotaReservation, RoundOutcome, place};
pub use preemption::{PlacedTaskRef, Preemption, preempt};
pub use relocation::{Relocation, RelocationLimits, ReplicaMove, relocate};
pub use resources::Resources;
pub use scheduling_queue::{QueueEntry, scheduling_queue};
pub use snapshot::{JobView, MachineView, PlacedTaskView, Quota, SchedulingSnapshot, TeamView};
