//! Failure attribution: failing jobs, slow and faulty machines.

use std::time::Duration;

/// Sum of failure weights from which a machine counts as faulty. Each job that failed there since
/// a task last completed there weighs 1 if it runs elsewhere, so two such jobs are needed.
pub const FAULTY_MACHINE_WEIGHT: f64 = 2.0;
/// Failure weight of a job that has failed on this machine only and run nowhere yet: the job or the machine may be
/// faulty.
pub const UNPROVEN_JOB_WEIGHT: f64 = 0.5;
/// Maximum number of machines kept per job on which it failed, newest ones. Enough to show that it fails on many.
pub const MAX_FAILED_MACHINES: usize = 16;
/// Consecutive failures from which a gang or a daemon counts as crash-looping: it needs many
/// machines and so meets a faulty one sooner.
pub const GANG_MAX_FAILURES: u32 = 3;
/// Consecutive failures after which a job with completed tasks backs off. A job without any backs off at the first,
/// since nothing shows that it can run.
pub const PROVEN_JOB_MAX_FAILURES: u32 = 3;
/// A daemon's replica that ran for this long counts as working: its end causes no backoff.
pub const REPLICA_STEADY: Duration = Duration::from_millis(30_000);
/// The failure count of a daemon is reset after this long without another failure, since a daemon
/// has no completed tasks that would reset it. Above the longest backoff with its jitter.
pub const REPLICA_FAILURE_MEMORY: Duration = Duration::from_millis(120_000);
/// Finished tasks from which the mean run time of a job is reliable enough to judge a machine by
/// it.
pub const RELIABLE_MEAN_TASKS: u32 = 4;
/// A task that took this many times the mean of its job was slow. Run times within a job differ by
/// half.
pub const SLOW_TASK_RATIO: f64 = 2.5;
/// Consecutive slow tasks after which a machine is cordoned.
pub const SLOW_TASKS: u32 = 2;
/// A task that has run for this many times the mean of its job is restarted elsewhere: finishing
/// it where it is would most likely take longer.
pub const STUCK_TASK_RATIO: f64 = 5.0;
/// First backoff after a failed task of a job; doubled for each further failure.
pub const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Upper bound of that backoff. Below `REPLICA_FAILURE_MEMORY`, which relies on it.
pub const FAILURE_BACKOFF_MAX: Duration = Duration::from_millis(45_000);
/// Maximum count of consecutive failures that a new leader adopts from its standby copy: the backoff has reached its
/// maximum before.
pub const MAX_RESUMED_FAILURES: u32 = 16;
/// Maximum number of ended jobs, and of deleted machines, that a leader keeps in memory to ignore late messages about
/// them. They cover days; messages are minutes late at most.
pub const BOUNDED_SET_SIZE: usize = 20_000;
/// Maximum number of notes for the user per job; the oldest ones are dropped.
pub const MAX_JOB_NOTES: usize = 6;
