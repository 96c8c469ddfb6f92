//! Failure attribution: whether a job or a machine causes failures, and slow machines.

use std::time::Duration;

/// Sum of failure weights from which a machine counts as faulty. Each job that failed on the machine since a task last
/// completed there has weight 1 if it runs elsewhere, so two such jobs are needed.
pub const FAULTY_MACHINE_WEIGHT: f64 = 2.0;
/// Failure weight of a job that has failed on one machine only and has run nowhere yet: the job or the machine may be
/// faulty.
pub const UNPROVEN_JOB_WEIGHT: f64 = 0.5;
/// Number of machines, the most recent ones, that are remembered per job because it failed on them. Enough to show
/// that the job fails on many machines.
pub const MAX_FAILED_MACHINES: usize = 16;
/// Number of consecutive failures from which a gang or a daemon counts as crash-looping. An array counts from the
/// first failure; a gang or a daemon needs many machines and so is more likely to use a faulty one.
pub const GANG_MAX_FAILURES: u32 = 3;
/// Number of consecutive failures after which a job backs off although it is known to run, for example because tasks
/// of it have completed. Any other job backs off at the first failure, since nothing shows that it can run.
pub const PROVEN_JOB_MAX_FAILURES: u32 = 3;
/// A replica of a daemon that has run for this long counts as working: if it ends, the daemon does not back off.
pub const STABLE_REPLICA_RUN_TIME: Duration = Duration::from_millis(30_000);
/// Time without a failure after which the failure count of a daemon is reset, since a daemon has no completed tasks
/// that would reset it. Longer than the longest backoff with its jitter.
pub const REPLICA_FAILURE_RESET_DELAY: Duration = Duration::from_millis(120_000);
/// Number of completed tasks from which the mean run time of a job is reliable enough to detect slow machines and stuck
/// tasks.
pub const RELIABLE_MEAN_TASKS: u32 = 4;
/// A task counts as slow if its run time exceeds this many times the mean run time of its job. Run times within a job
/// differ by half.
pub const SLOW_TASK_RATIO: f64 = 2.5;
/// Number of consecutive slow tasks after which a machine is cordoned.
pub const MAX_CONSECUTIVE_SLOW_TASKS: u32 = 2;
/// A task that has run for more than this many times the mean run time of its job is restarted elsewhere: it would
/// most likely take longer to finish on its present machine.
pub const STUCK_TASK_RATIO: f64 = 5.0;
/// First backoff after a failed task of a job; it doubles with each further failure.
pub const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Upper bound of the backoff after failed tasks. Must stay below `REPLICA_FAILURE_RESET_DELAY`, also with its jitter.
pub const FAILURE_BACKOFF_MAX: Duration = Duration::from_millis(45_000);
/// Maximum count of consecutive failures that a new leader adopts from its standby copy. The backoff reaches its
/// maximum at a lower count.
pub const MAX_RESUMED_FAILURES: u32 = 16;
/// Maximum number of ended jobs, and of deleted machines, that a leader remembers to ignore late messages about them.
/// This many cover days, while messages are minutes late at most.
pub const MAX_REMEMBERED_NAMES: usize = 20_000;
/// Maximum number of notes in the status of a job; the oldest ones are dropped.
pub const MAX_JOB_NOTES: usize = 6;
