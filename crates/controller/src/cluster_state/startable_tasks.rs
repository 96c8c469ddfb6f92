//! Which tasks of a job may be started, and why.

use super::{ClusterState, Job, JobOrigin};
use crate::settings::Team;
use hookway_time::MonotonicTime;

/// Why tasks of a job that has any to start may be started: no other attempt of them can be anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartGround {
    /// The job was accepted in this term: no earlier leader has started any of it.
    AcceptedInThisTerm,
    /// Every task that an earlier leader may have started is known.
    Reconciled,
    /// Some machines are not reconciled, but the tasks lie above the start watermark of the earlier
    /// leaders.
    AboveWatermark,
}

impl Job {
    /// Why tasks of the job may be started, if all machines are reconciled or not.
    pub(super) fn start_ground(&self, reconciled: bool) -> StartGround {
        match self.origin {
            JobOrigin::ThisTerm => StartGround::AcceptedInThisTerm,
            JobOrigin::EarlierTerm if reconciled => StartGround::Reconciled,
            JobOrigin::EarlierTerm => StartGround::AboveWatermark,
        }
    }

    /// The lowest index of a task that may be started on this ground.
    pub(super) fn first_startable(&self, ground: StartGround) -> u32 {
        match ground {
            StartGround::AcceptedInThisTerm | StartGround::Reconciled => 0,
            StartGround::AboveWatermark => self.start_watermark.never_started_from(),
        }
    }
}

impl ClusterState {
    /// Number of tasks of a job that may be started at `now`.
    pub(super) fn startable_now(&self, job: &Job, now: MonotonicTime) -> u32 {
        let team = self.config.platform.teams.get(job.team);
        let has_quota = team.is_some_and(Team::limited);
        // Until all machines are reconciled, a task of an inherited job may be on a machine that has
        // not sent a heartbeat; so may tasks that use up an unknown part of a team's quota.
        let reconciled = self.reconciled(now);
        let quota_uncertain = has_quota && (!reconciled || self.unknown_tasks > 0);
        if quota_uncertain || now < job.backoff_until {
            return 0;
        }
        let startable = startable(job);
        // Tasks from the start watermark on were never started, so they are on none of those machines.
        // But where a job's tasks must be together, or may not all be, the tasks that may be there
        // decide where others may start.
        let first_startable = job.first_startable(job.start_ground(reconciled));
        if first_startable == 0 {
            return startable;
        }
        if job.spec.is_gang() || job.bound_to_zones() {
            return 0;
        }
        startable.min(job.unplaced.range(first_startable..).count() as u32)
    }
}

/// Number of tasks that may be started once all machines are reconciled.
fn startable(job: &Job) -> u32 {
    if !job.is_active() {
        return 0;
    }
    let unplaced = job.unplaced.len() as u32;
    if job.spec.is_gang() {
        // Tasks of an earlier attempt stay where they are until they exit.
        let whole = job.placed == 0 && unplaced == job.spec.tasks;
        let completing = job.gang.completing && !job.gang.broken;
        return if whole || completing { unplaced } else { 0 };
    }
    if job.is_crash_looping() { unplaced.min(1).saturating_sub(job.placed) } else { unplaced }
}
