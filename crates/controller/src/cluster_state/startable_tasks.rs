//! Which tasks of a job may be started, and why.

use super::{ClusterState, Job, JobOrigin};
use crate::settings::Team;
use hookway_time::MonotonicTime;

/// Why tasks of a job may be started, if it has any to start: no other attempt of these tasks can
/// be on any machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartReason {
    /// The job was accepted in this term: no earlier leader has started any of its tasks.
    AcceptedInThisTerm,
    /// Every task that an earlier leader may have started is known.
    Reconciled,
    /// Some machines are not reconciled, but the indexes of the tasks are at or above the start
    /// watermark of the earlier leaders: none of these has started them.
    AboveWatermark,
}

impl Job {
    /// Returns why tasks of the job may be started. `is_reconciled`: whether all machines are
    /// reconciled.
    pub(super) fn start_reason(&self, is_reconciled: bool) -> StartReason {
        match self.origin {
            JobOrigin::ThisTerm => StartReason::AcceptedInThisTerm,
            JobOrigin::EarlierTerm if is_reconciled => StartReason::Reconciled,
            JobOrigin::EarlierTerm => StartReason::AboveWatermark,
        }
    }

    /// Returns the lowest task index that may be started for this reason.
    pub(super) fn first_startable_index(&self, reason: StartReason) -> u32 {
        match reason {
            StartReason::AcceptedInThisTerm | StartReason::Reconciled => 0,
            StartReason::AboveWatermark => self.start_watermark.never_started_from(),
        }
    }
}

impl ClusterState {
    /// Returns the number of tasks of a job that may be started at `now`.
    pub(super) fn startable_task_count(&self, job: &Job, now: MonotonicTime) -> u32 {
        let team = self.config.platform.teams.get(job.team);
        let has_limit = team.is_some_and(Team::has_limit);
        // Until all machines are reconciled, a task of a job from an earlier term may be on a
        // machine that has not sent a heartbeat. So may tasks that use an unknown part of a team's
        // quota.
        let is_reconciled = self.is_reconciled(now);
        let is_quota_uncertain = has_limit && (!is_reconciled || self.unknown_job_tasks > 0);
        if is_quota_uncertain || now < job.backoff_until {
            return 0;
        }
        let startable = startable_if_reconciled(job);
        // Tasks at or above the start watermark were never started, so they are on none of those
        // machines. But where a job's tasks must be together, or must not all be together, tasks
        // that may be on those machines decide where the others may start: then none is started.
        let first_startable_index = job.first_startable_index(job.start_reason(is_reconciled));
        if first_startable_index == 0 {
            return startable;
        }
        if job.spec.is_gang() || job.has_zone_constraint() {
            return 0;
        }
        startable.min(job.placeable.range(first_startable_index..).count() as u32)
    }
}

/// Returns the number of tasks that may be started if all machines are reconciled.
fn startable_if_reconciled(job: &Job) -> u32 {
    if !job.is_active() {
        return 0;
    }
    let placeable = job.placeable.len() as u32;
    if job.spec.is_gang() {
        // A new attempt starts only with all tasks unplaced: tasks of an earlier attempt stay
        // placed until they exit.
        let is_unstarted = job.placed_attempts == 0 && placeable == job.spec.tasks;
        let resuming = job.gang.resuming && !job.gang.broken;
        return if is_unstarted || resuming { placeable } else { 0 };
    }
    if job.is_crash_looping() {
        placeable.min(1).saturating_sub(job.placed_attempts)
    } else {
        placeable
    }
}
