//! Failure attribution: decides whether an error is due to the job or to the machine.
//!
//! A job that fails on many machines is faulty; a machine on which many jobs fail is faulty. A
//! faulty job is retried with growing backoff, one task at a time. It neither causes machines to be
//! cordoned nor takes resources from jobs that work. A job that is known to run is restarted
//! elsewhere, without backoff until several consecutive tries have failed.

use super::{ClusterState, CordonReason, Job, JobKey};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use std::time::Duration;

/// Maximum number of doublings of the backoff after failures, so that no number of failures makes
/// it overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// The jitter of a backoff is less than the backoff divided by this: enough to spread the retries
/// of jobs that fail together, and small compared with the backoff.
const JITTER_DIVISOR: u64 = 4;
/// Number of different jitter values.
const JITTER_STEPS: u64 = 100;

impl Job {
    /// Whether the job fails wherever it is tried: it has failed often enough in a row, no task has
    /// completed, and no more of its tasks run than there are machines that it failed on.
    pub fn is_crash_looping(&self) -> bool {
        let max_failures =
            if self.spec.needs_all_tasks_at_once() { constants::GANG_MAX_FAILURES } else { 1 };
        self.failures.consecutive >= max_failures && self.is_unproven()
    }

    /// Whether there is no evidence that the job can run at all.
    fn is_unproven(&self) -> bool {
        self.completed == 0 && self.running as usize <= self.failures.machines.len()
    }

    /// Returns the weight of a failure of this job as evidence that the machine is faulty, from 0
    /// to 1.
    fn failure_weight(&self) -> f64 {
        if !self.is_unproven() {
            return 1.0;
        }
        // While the job has failed on one machine only, either may be faulty.
        if self.failures.machines.len() == 1 { constants::UNPROVEN_JOB_WEIGHT } else { 0.0 }
    }

    /// Whether the job must not be retried on the machine `name` because it failed there. Only the
    /// newest failures exclude their machines, so that at most half of all `machines` are excluded.
    pub fn excludes_machine(&self, name: &str, machines: usize) -> bool {
        let max_excluded = machines / 2;
        self.failures.machines.iter().rev().take(max_excluded).any(|machine| machine == name)
    }

    /// Records that a task placed at `placed_at` failed on a machine, and starts a backoff if
    /// needed. Failures of tasks that were placed before the last counted failure belong to the
    /// same try and are not counted again.
    fn record_failure(&mut self, machine: &str, placed_at: MonotonicTime, now: MonotonicTime) {
        self.failures.add_machine(machine);
        if self.failures.consecutive > 0 && placed_at <= self.failures.last_at {
            return;
        }
        if self.spec.is_daemon()
            && now >= self.failures.last_at + constants::REPLICA_FAILURE_RESET_DELAY
        {
            self.failures.consecutive = 0;
        }
        self.failures.last_at = now;
        self.failures.consecutive += 1;
        let proven = self.completed > 0 || self.spec.is_daemon() && !self.is_unproven();
        if proven && self.failures.consecutive < constants::PROVEN_JOB_MAX_FAILURES {
            return;
        }
        let backoff = self.failure_backoff();
        self.backoff_until = now + backoff;
        if self.is_crash_looping() {
            self.add_note(format!(
                "failed on {} machines and ran on none; next try in {} s",
                self.failures.machines.len(),
                backoff.as_secs()
            ));
        }
    }

    /// Returns the time from the last failure until the job is retried.
    fn failure_backoff(&self) -> Duration {
        let doublings = (self.failures.consecutive - 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = constants::FAILURE_BACKOFF * (1 << doublings);
        let backoff = backoff.min(constants::FAILURE_BACKOFF_MAX);
        // Jobs with the same fault that were submitted together should not all be retried together.
        let add_byte = |sum: u64, byte: u8| sum.wrapping_mul(31).wrapping_add(u64::from(byte));
        let hash = self.id.as_str().bytes().fold(u64::from(self.failures.consecutive), add_byte);
        let max_jitter_ms = whole_millis(backoff) / JITTER_DIVISOR;
        let jitter_ms = max_jitter_ms * (hash % JITTER_STEPS) / JITTER_STEPS;
        backoff + Duration::from_millis(jitter_ms)
    }

    /// Records that a replica of a daemon exited with success. The replica is started again; if it
    /// exited early, that counts as a failure, and a backoff may delay the start.
    pub(super) fn record_replica_exit(
        &mut self,
        machine: &str,
        running_since: Option<MonotonicTime>,
        placed_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let ran =
            running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        if ran < constants::STABLE_REPLICA_RUN_TIME {
            self.record_failure(machine, placed_at, now);
        }
    }
}

impl ClusterState {
    /// Clears the failures of daemons with a stable replica, one that has run for
    /// [`constants::STABLE_REPLICA_RUN_TIME`]: a daemon has no completed tasks that would show that
    /// it works.
    pub(super) fn clear_failures_of_stable_daemons(&mut self, now: MonotonicTime) {
        let failed = |job: &Job| job.spec.is_daemon() && job.failures.consecutive > 0;
        if !self.jobs.values().any(failed) {
            return;
        }
        let stable = |since: &MonotonicTime| now >= *since + constants::STABLE_REPLICA_RUN_TIME;
        for placed in self.machines.values().flat_map(|machine| &machine.placed_tasks) {
            let Some(job) = placed.job.and_then(|key| self.jobs.get_mut(&key)) else { continue };
            if failed(job) && placed.running_since.as_ref().is_some_and(stable) {
                job.failures.clear();
            }
        }
    }

    /// Records that a task of job `key`, placed at `placed_at`, failed on a machine. Keeps new
    /// tasks off the machine for a while if the job is known to run elsewhere, and cordons the
    /// machine if enough jobs failed there.
    pub(super) fn attribute_failure(
        &mut self,
        name: &str,
        key: JobKey,
        placed_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.record_failure(name, placed_at, now);
        let machine_is_suspect = job.failure_weight() >= 1.0;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if !machine.failed_jobs.contains(&key) {
            machine.failed_jobs.push(key);
        }
        if machine_is_suspect {
            machine.back_off(now + constants::REJECTED_START_BACKOFF);
        }
        let weights = machine.failed_jobs.iter().filter_map(|key| self.jobs.get(key));
        let total_weight: f64 = weights.map(Job::failure_weight).sum();
        if total_weight >= constants::FAULTY_MACHINE_WEIGHT && machine.cordon(CordonReason::Faulty)
        {
            tracing::info!(machine = %name, reason = %CordonReason::Faulty, "machine cordoned");
        }
    }
}
