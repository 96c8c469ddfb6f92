//! Preemption of backfill for arrays and daemons that would miss their deadlines.

use super::{PlacedTaskRef, Preemption};
use crate::scheduling_queue::{has_no_objective, is_late, min_tasks_or_estimate};
use crate::{PlacedTaskView, Resources, SchedulingSnapshot};
use hookway_constants as constants;

/// The free resources of the machines and the backfill that could be stopped on them, less what the plan has used
/// already.
struct Backfill<'a> {
    /// Per machine: unassigned resources, those of terminating tasks and of victims included.
    free: Vec<Resources>,
    /// Per machine: backfill tasks that could be stopped and are not victims yet.
    stoppable: Vec<Vec<&'a PlacedTaskView>>,
}

/// Preempts backfill for arrays and daemons that have fewer tasks placed than their deadlines require. Only tasks of
/// lower priority that write checkpoints are stopped. Without this preemption, backfill tasks that run for minutes
/// would make a burst of short tasks miss their deadlines.
pub(super) fn preempt_for_deadlines(cluster: &SchedulingSnapshot) -> Vec<Preemption> {
    let mut backfill = Backfill::of(cluster);
    if backfill.stoppable.iter().all(Vec::is_empty) {
        return Vec::new();
    }
    let mut preemptions = Vec::new();
    for waiting in waiting_jobs_by_deadline(cluster) {
        let preemption = backfill.preempt_for(cluster, waiting.job, waiting.deadline);
        if !preemption.victims.is_empty() {
            preemptions.push(preemption);
        }
    }
    preemptions
}

/// An array or a daemon that waits for resources, with its deadline.
struct WaitingJob {
    job: usize,
    deadline: f64,
}

/// Returns the waiting arrays and daemons that can still meet their deadlines, earliest deadline first.
fn waiting_jobs_by_deadline(cluster: &SchedulingSnapshot) -> Vec<WaitingJob> {
    let mut waiting: Vec<WaitingJob> = Vec::new();
    for (index, job) in cluster.jobs.iter().enumerate() {
        let Some(deadline) = job.deadline else { continue };
        if !job.is_gang && !job.crash_looping && job.startable > 0 && !is_late(job, cluster.now) {
            waiting.push(WaitingJob { job: index, deadline });
        }
    }
    waiting.sort_by(|a, b| a.deadline.total_cmp(&b.deadline).then(a.job.cmp(&b.job)));
    waiting
}

/// Whether a task is backfill that writes checkpoints and has run long enough to be stopped.
fn is_stoppable(cluster: &SchedulingSnapshot, task: &PlacedTaskView) -> bool {
    let job = &cluster.jobs[task.job];
    let min_run_time = constants::BACKFILL_MIN_RUN_S
        .max(constants::BACKFILL_MIN_CHECKPOINTS * job.checkpoint_time);
    has_no_objective(job) && job.writes_checkpoints && task.running_time >= min_run_time
}

impl<'a> Backfill<'a> {
    fn of(cluster: &'a SchedulingSnapshot) -> Self {
        let mut free = Vec::with_capacity(cluster.machines.len());
        let mut stoppable = Vec::with_capacity(cluster.machines.len());
        for machine in &cluster.machines {
            free.push(machine.free_after_terminations());
            let usable = machine.schedulable && !machine.booting && machine.reserved_for.is_none();
            let tasks = machine.placed_tasks.iter();
            let tasks = tasks
                .filter(|task| usable && !task.terminating && is_stoppable(cluster, task))
                .collect();
            stoppable.push(tasks);
        }
        Self { free, stoppable }
    }

    /// Assigns the tasks missing from the job's minimum to free resources, and chooses victims on machines where these
    /// do not suffice.
    fn preempt_for(
        &mut self,
        cluster: &SchedulingSnapshot,
        job_index: usize,
        deadline: f64,
    ) -> Preemption {
        let job = &cluster.jobs[job_index];
        let minimum = min_tasks_or_estimate(job, cluster.now, deadline);
        let mut missing = minimum.saturating_sub(job.placed).min(job.startable);
        if let Some(team) = cluster.teams.get(job.team) {
            missing = missing.min(team.remaining_tasks(&job.request));
        }
        let mut preemption = Preemption::for_job(job_index);
        // Try machines that hold the image first.
        for has_image in [true, false] {
            for (index, machine) in cluster.machines.iter().enumerate() {
                let usable = machine.images.contains(&job.image) == has_image
                    && job.allows(machine.machine_type, machine.zone, machine.is_spot)
                    && job.may_use_zone(machine.zone)
                    && !machine.excluded_jobs.contains(&job_index);
                while usable && missing > 0 {
                    if self.free[index].can_hold(&job.request) {
                        self.free[index].subtract(&job.request);
                        missing -= 1;
                        continue;
                    }
                    let lower_priority =
                        |task: &&PlacedTaskView| cluster.jobs[task.job].priority < job.priority;
                    let stoppable = &mut self.stoppable[index];
                    let Some(position) = stoppable.iter().position(lower_priority) else { break };
                    let task = stoppable.swap_remove(position);
                    self.free[index].add(&task.request);
                    preemption.victims.push(PlacedTaskRef { machine: index, task: task.id });
                }
            }
        }
        preemption
    }
}
