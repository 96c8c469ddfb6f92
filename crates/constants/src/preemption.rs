//! Preemption, relocation, and reservations for gangs.

use std::time::Duration;

/// Time that a job waits for resources to become free before it preempts other jobs.
pub const PREEMPTION_WAIT: Duration = Duration::from_millis(200);
/// Assumed time until a stop has taken effect and the resources are free, s: one and a half heartbeat intervals.
pub const ASSUMED_STOP_DURATION_S: f64 = 3.0;
/// Weight of the work lost by preempting a task of a job that is late already. Below 1, since the deadline is missed
/// in any case.
pub const LATE_VICTIM_WEIGHT: f64 = 0.5;
/// Weight of the work lost by preempting a task of a job that would become late by it. Above 1, to spare such jobs.
pub const DEADLINE_VICTIM_WEIGHT: f64 = 3.0;
/// Minimum run time of a checkpointing backfill task before it is preempted for a deadline, s. Backfill must not be
/// stopped repeatedly without progress.
pub const BACKFILL_MIN_RUN_S: f64 = 20.0;
/// Minimum run time of a checkpointing backfill task before it is preempted for a deadline, as a multiple of its
/// checkpoint time. The longer of this and `BACKFILL_MIN_RUN_S` applies.
pub const BACKFILL_MIN_CHECKPOINTS: f64 = 5.0;
/// Time that a gang waits before machines are reserved for it. Long enough for tasks to end by themselves, short
/// against the time that users wait for a gang to start.
pub const GANG_RESERVATION_DELAY: Duration = Duration::from_millis(5_000);
/// Time that a gang waits before its reservations end, if the schedulable and booting machines could not hold it.
/// Longer than most boot times; shorter than the 90 s in which users expect other jobs of the gang's team to start.
pub const MAX_GANG_RESERVATION_WAIT: Duration = Duration::from_millis(60_000);
/// Time from the end of reconciliation that a new leader tries to resume a gang of which only some tasks were
/// started in an earlier term. Then the gang is restarted, since workers end tasks that wait too long for the rest of
/// their gang.
pub const GANG_RESUME_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time that the machines of victims stay reserved for the beneficiary: as long as a stop may take before it is
/// repeated.
pub const PREEMPTED_MACHINE_RESERVATION: Duration = super::STOP_TIMEOUT;
/// Time that a job waits before replicas of daemons are moved for it. A stop takes effect within this time, so
/// replicas are not moved where the tasks in the way are ending already.
pub const RELOCATION_WAIT: Duration = Duration::from_millis(3_000);
/// Maximum number of replicas that are being moved at the same time. Each is unavailable from its stop to its start.
/// If the leader fails in the meantime, the next leader has to place this many at once, which takes one round of
/// direct dispatches.
pub const MAX_MOVING_REPLICAS: usize = 8;
/// Time limit of each step of a relocation: clearing the machine that a replica moves to, and stopping the replica. As
/// long as a stop may take before it is repeated.
pub const RELOCATION_STEP_TIMEOUT: Duration = super::STOP_TIMEOUT;
