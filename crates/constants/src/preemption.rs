//! Preemption, relocation and reservations.

use std::time::Duration;

/// How long a job waits for resources to free up before it preempts others.
pub const PREEMPT_AFTER: Duration = Duration::from_millis(200);
/// Time until a stop has taken effect and the resources are free, s: one and a half heartbeat
/// intervals.
pub const PREEMPTION_DELAY_S: f64 = 3.0;
/// Weight of the work lost by preempting a task whose job is already late: below 1, since its deadline is missed in any
/// case.
pub const LATE_VICTIM_WEIGHT: f64 = 0.5;
/// Weight of the work lost by preempting a task whose job would become late by it: above 1, to spare such jobs.
pub const TIGHT_VICTIM_WEIGHT: f64 = 3.0;
/// Minimum run time of checkpointing backfill before it is preempted for a deadline, s: it must
/// not be stopped repeatedly without progress.
pub const BACKFILL_MIN_RUN_S: f64 = 20.0;
/// Minimum run time of such backfill, as a multiple of its time for a checkpoint; the longer one of both applies.
pub const BACKFILL_MIN_CHECKPOINTS: f64 = 5.0;
/// Machines are reserved for a gang that has waited this long: long enough for tasks to end by
/// themselves, short against the time that users wait for a gang to start.
pub const GANG_RESERVATION_DELAY: Duration = Duration::from_millis(5_000);
/// Nothing is reserved any more for a gang that has waited this long and that no machines up or
/// booting could hold. Above most boot times; below the 90 s in which users expect other jobs
/// of its team to start.
pub const GANG_RESERVATION_LIMIT: Duration = Duration::from_millis(60_000);
/// How long a new leader tries to complete a gang that an earlier one had started in part,
/// from the end of reconciliation. After it the gang is restarted: workers end tasks that wait too long
/// for the rest of their gang.
pub const GANG_RESUME_LIMIT: Duration = Duration::from_millis(5_000);
/// How long the machines of preempted tasks stay reserved for the job that they were stopped for: as
/// long as a stop may take before it is repeated.
pub const PREEMPTED_MACHINE_RESERVATION: Duration = super::STOP_TIMEOUT;
/// How long a job waits before replicas of daemons are moved for it: as long as a stop takes to show, so that tasks
/// which are ending already are not taken for an obstacle.
pub const RELOCATE_AFTER: Duration = Duration::from_millis(3_000);
/// Replicas that may be on the move at a time. Each is away for a stop and a start; if the leader ends meanwhile, its
/// successor has to place as many at once, which one round of direct dispatches does.
pub const MAX_REPLICAS_MOVING: usize = 8;
/// How long a step of a relocation may take, to clear the machine that a replica goes to or to stop the replica: as long
/// as a stop may take before it is repeated.
pub const RELOCATION_STEP_TIMEOUT: Duration = super::STOP_TIMEOUT;
