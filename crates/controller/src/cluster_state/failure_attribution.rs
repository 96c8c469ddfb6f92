//! Whose fault an error is.
//!
//! One job that fails on many machines is the job's fault, many jobs that fail on one machine are the
//! machine's. A job with a mistake is tried again with growing pauses, one task at a time, and neither
//! condemns machines nor takes anything from jobs that work; one that met a faulty machine goes on
//! elsewhere at once.

use super::{ClusterState, CordonReason, Job, JobKey, Machine};
use hookway_constants as constants;

impl Job {
    /// It failed, and nothing speaks for it: no task has completed, and not more of them run than there
    /// are machines that it failed on.
    pub fn is_crash_looping(&self) -> bool {
        let tries =
            if self.spec.needs_all_tasks_at_once() { constants::GANG_MAX_FAILURES } else { 1 };
        self.consecutive_failures >= tries && self.unproven()
    }

    /// Nothing shows that it can run at all.
    fn unproven(&self) -> bool {
        self.completed == 0 && self.running as usize <= self.failed_machines.len()
    }

    /// How much an error of this job says against the machine that it happened on.
    fn failure_weight(&self) -> f64 {
        if !self.unproven() {
            return 1.0;
        }
        // On one machine only, so far: it may be either's fault.
        if self.failed_machines.len() == 1 { constants::UNPROVEN_JOB_WEIGHT } else { 0.0 }
    }

    /// Machines that it should not be tried on again, out of so many: the last ones that it failed on, and
    /// never so many that too few are left.
    pub fn excludes_machine(&self, name: &str, machines: usize) -> bool {
        let most = machines / 2;
        self.failed_machines.iter().rev().take(most).any(|machine| machine == name)
    }

    /// A task of it, placed at `since`, has failed on a machine. Errors of tasks that were placed before the
    /// last error count with that one: they are one try.
    fn record_failure(&mut self, machine: &str, since: u64, now: u64) {
        if !self.failed_machines.iter().any(|h| h == machine) {
            if self.failed_machines.len() >= constants::MAX_FAILED_MACHINES {
                self.failed_machines.pop_front();
            }
            self.failed_machines.push_back(machine.to_owned());
        }
        if self.consecutive_failures > 0 && since <= self.last_failure_at {
            return;
        }
        if self.spec.is_daemon()
            && now >= self.last_failure_at + constants::REPLICA_FAILURE_MEMORY_MS
        {
            self.consecutive_failures = 0;
        }
        self.last_failure_at = now;
        self.consecutive_failures += 1;
        let proven = self.completed > 0 || self.spec.is_daemon() && !self.unproven();
        if proven && self.consecutive_failures < constants::PROVEN_JOB_MAX_FAILURES {
            return;
        }
        let pause = constants::FAILURE_BACKOFF_MS << (self.consecutive_failures - 1).min(10);
        let pause = pause.min(constants::FAILURE_BACKOFF_MAX_MS);
        // Jobs that were submitted together with the same mistake shall not all come back together.
        let spread = |sum: u64, byte: u8| sum.wrapping_mul(31).wrapping_add(u64::from(byte));
        let spread = self.id.as_str().bytes().fold(u64::from(self.consecutive_failures), spread);
        let jitter = pause / 4 * (spread % 100) / 100;
        self.backoff_until = now + pause + jitter;
        if self.is_crash_looping() {
            self.add_note(format!(
                "failed on {} machines and ran on none; next try in {} s",
                self.failed_machines.len(),
                (pause + jitter) / 1000
            ));
        }
    }

    /// A replica of a daemon said that it is done. It runs again, and if it ended at once, after a pause.
    pub(super) fn replica_completed(
        &mut self,
        machine: &str,
        running_since: Option<u64>,
        placed_at: u64,
        now: u64,
    ) {
        let ran_ms = running_since.map_or(0, |since| now.saturating_sub(since));
        if ran_ms < constants::REPLICA_STEADY_MS {
            self.record_failure(machine, placed_at, now);
        }
    }
}

impl ClusterState {
    /// A daemon of which a replica has run for a while works, whatever failed before: it has no completed tasks
    /// that would show it.
    pub(super) fn reset_steady_daemons(&mut self, now: u64) {
        let failed = |job: &Job| job.spec.is_daemon() && job.consecutive_failures > 0;
        if !self.jobs.values().any(failed) {
            return;
        }
        let steady = |since: &u64| now >= since + constants::REPLICA_STEADY_MS;
        for held in self.machines.values().flat_map(|machine| &machine.placed_tasks) {
            let Some(job) = held.job.and_then(|key| self.jobs.get_mut(&key)) else { continue };
            if failed(job) && held.running_since.as_ref().is_some_and(steady) {
                job.consecutive_failures = 0;
                job.failed_machines.clear();
            }
        }
    }

    /// A task of job `key`, placed at `since`, has failed on a machine.
    pub(super) fn attribute_failure(&mut self, name: &str, key: JobKey, since: u64, now: u64) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.record_failure(name, since, now);
        let proven = job.failure_weight() >= 1.0;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if !machine.failed_jobs.contains(&key) {
            machine.failed_jobs.push(key);
        }
        if proven {
            machine.backoff_until =
                machine.backoff_until.max(now + constants::REJECTED_START_BACKOFF_MS);
        }
        let blamed = |machine: &Machine| -> f64 {
            machine
                .failed_jobs
                .iter()
                .filter_map(|k| self.jobs.get(k))
                .map(Job::failure_weight)
                .sum()
        };
        let faulty =
            self.machines.get(name).is_some_and(|h| blamed(h) >= constants::FAULTY_MACHINE_WEIGHT);
        let Some(machine) =
            self.machines.get_mut(name).filter(|h| faulty && h.cordon_reason.is_none())
        else {
            return;
        };
        tracing::info!("machine {name}: faulty, to be returned");
        machine.cordon_reason = Some(CordonReason::Faulty);
    }
}
