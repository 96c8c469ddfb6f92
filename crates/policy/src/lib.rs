//! The pure scheduling policy of hookway: what a job needs at least, whose turn it is, where a task
//! goes, who has to make room, and how many machines are wanted.
//!
//! Nothing here reads a clock or does I/O. Times are seconds on one scale that the caller chooses;
//! machines, jobs, zones and machine types are named by their index in the slices that the caller hands
//! over.

mod autoscaling;
mod min_tasks;
mod placement;
mod preemption;
mod resources;
mod scheduling_queue;
mod snapshot;

pub use autoscaling::{MachineOffer, ScaleOut, ScalingPlan, plan_scaling};
pub use min_tasks::{desired_tasks, min_tasks, min_tasks_need_rewrite};
pub use placement::{Placement, RoundOutcome, check_feasible, place};
pub use preemption::{Preemption, preempt};
pub use resources::Resources;
pub use scheduling_queue::{QueueEntry, scheduling_queue};
pub use snapshot::{ClusterSnapshot, JobView, MachineView, PlacedTaskView, TeamView};
