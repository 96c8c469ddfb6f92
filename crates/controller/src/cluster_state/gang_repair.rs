//! Gangs of which only some tasks are placed: the other tasks are started, or the placed ones
//! stopped.

use super::startable_tasks::StartReason;
use super::{ClusterState, Job, JobKey, TaskPlacement};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::collections::HashSet;

impl ClusterState {
    /// Stops gangs that lost a task. A gang of which only some tasks were found after a failover is
    /// stopped as well, unless these still wait for the other tasks and the resume deadline has not
    /// passed: then the others are started.
    pub(super) fn repair_gangs(&mut self, now: MonotonicTime) {
        let is_reconciled = self.is_reconciled(now);
        let resumable = if is_reconciled { self.resumable_gangs() } else { HashSet::new() };
        for (key, job) in self.jobs.iter_mut() {
            let is_partial = job.spec.is_gang()
                && job.is_active()
                && job.placed_attempts > 0
                && job.placements.contains(&TaskPlacement::Unplaced)
                && job.start_reason(is_reconciled) != StartReason::AboveWatermark;
            job.gang.resuming = is_partial
                && resumable.contains(key)
                && now
                    < *job.gang.resume_deadline.get_or_insert(now + constants::GANG_RESUME_TIMEOUT);
            if is_partial && !job.gang.resuming {
                self.has_pending_stops |= !job.gang.broken;
                job.gang.broken = true;
            }
        }
    }

    /// Returns the gangs with an attempt that an earlier leader was starting and this leader can
    /// resume: the tasks found of the attempt wait for the others, and none of them runs or is
    /// being stopped.
    fn resumable_gangs(&self) -> HashSet<JobKey> {
        let is_resumable = |job: &Job| {
            job.gang.resumed_attempt.is_some()
                && !job.placeable.is_empty()
                && job.gang.attempt == job.gang.resumed_attempt
                && job.orphaned_attempts.is_empty()
                && !job.gang.broken
        };
        let mut gangs: HashSet<JobKey> =
            self.jobs.iter().filter(|(_, job)| is_resumable(job)).map(|(key, _)| *key).collect();
        if gangs.is_empty() {
            return gangs;
        }
        for placed in self.machines.values().flat_map(|machine| &machine.placed_tasks) {
            if let Some(key) = placed.job
                && (!placed.phase.is_known_without_progress() || placed.stop_order.is_some())
            {
                gangs.remove(&key);
            }
        }
        gangs
    }
}
