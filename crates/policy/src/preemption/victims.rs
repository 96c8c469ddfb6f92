//! Which tasks have to leave one machine for a job, and what that costs.

use crate::relocation::MovableReplicas;
use crate::{PlacedTaskView, SchedulingSnapshot};
use hookway_constants as constants;

/// Assumed maximum of the run time that a checkpointing task loses when it is stopped, s: the time since its last
/// checkpoint.
const MAX_UNSAVED_S: f64 = 5.0;

/// Minimum number of CPUs in the cost of a victim, so that stopping a task that requests no CPUs has a cost too.
const MIN_VICTIM_CPUS: f64 = 0.1;

/// Which tasks may leave a machine for a job.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Displaceable<'a> {
    /// Tasks that the job may preempt.
    Preemptible,
    /// Tasks that the job may preempt, and replicas that other machines can take.
    PreemptibleOrMovable(&'a MovableReplicas),
}

impl Displaceable<'_> {
    /// Whether a task may leave its machine for a job.
    fn includes(
        self,
        cluster: &SchedulingSnapshot,
        job_index: usize,
        machine_index: usize,
        task: &PlacedTaskView,
    ) -> bool {
        let machine = &cluster.machines[machine_index];
        may_preempt(cluster, job_index, task)
            || match self {
                Self::Preemptible => false,
                Self::PreemptibleOrMovable(movable) => {
                    movable.includes(task, machine, machine_index)
                }
            }
    }
}

/// The tasks of one machine to preempt for a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MachineVictims {
    /// Lost work and waiting time of the job, CPU seconds.
    pub cost: f64,
    /// Victims by their `id` in [`PlacedTaskView`].
    pub tasks: Vec<u64>,
}

/// Returns the weighted work lost by stopping a task, in CPU seconds. A checkpointing task loses only the work since
/// its last checkpoint.
pub(super) fn lost_work(cluster: &SchedulingSnapshot, task: &PlacedTaskView) -> f64 {
    let job = &cluster.jobs[task.job];
    let seconds = if job.writes_checkpoints {
        task.running_time.min(MAX_UNSAVED_S)
    } else {
        task.running_time
    };
    // Stopping one task of a gang stops all of them.
    let tasks = if job.is_gang { f64::from(job.tasks) } else { 1.0 };
    // Making a job late is worse than the lost work alone; a job that is late already can't miss its deadline again.
    let restarted_end = cluster.now + job.task_time();
    let weight = match job.deadline {
        Some(deadline) if cluster.now > deadline => constants::LATE_VICTIM_WEIGHT,
        Some(deadline) if restarted_end > deadline => constants::DEADLINE_VICTIM_WEIGHT,
        _ => 1.0,
    };
    (1.0 + seconds) * task.request.cpus.max(MIN_VICTIM_CPUS) * tasks * weight
}

/// Whether a job may preempt a task: either the job has the higher priority; or it would stay within its team's
/// guarantee, and the task belongs to another team that exceeds its own guarantee.
pub(crate) fn may_preempt(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    task: &PlacedTaskView,
) -> bool {
    let (job, victim) = (&cluster.jobs[job_index], &cluster.jobs[task.job]);
    if victim.priority < job.priority {
        return true;
    }
    if job.team == victim.team {
        return false;
    }
    let team = cluster.teams.get(job.team);
    let is_guaranteed = team.is_some_and(|team| team.guarantee_covers(&job.request));
    let victim_team = cluster.teams.get(victim.team);
    is_guaranteed && victim_team.is_some_and(|team| team.exceeds_guarantee())
}

/// A task that could be stopped.
struct Candidate<'a> {
    /// Whether the task is a replica that would move to another machine. Replicas move only if preemption is not
    /// enough.
    is_movable: bool,
    /// Work lost by stopping the task, CPU seconds.
    lost_work: f64,
    task: &'a PlacedTaskView,
}

/// Chooses tasks to stop on a machine so that `tasks` tasks of a job fit there: preempted ones before moved replicas,
/// and among these first those that lose the least work. `None` if stopping all displaceable tasks is not enough.
pub(crate) fn victims_on_machine(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    machine_index: usize,
    tasks: u32,
    displaceable: Displaceable<'_>,
) -> Option<MachineVictims> {
    let (job, machine) = (&cluster.jobs[job_index], &cluster.machines[machine_index]);
    let request = job.request.times(tasks);
    let mut free = machine.free_after_terminations();
    let mut candidates: Vec<Candidate> = machine
        .placed_tasks
        .iter()
        .filter(|task| {
            !task.terminating && displaceable.includes(cluster, job_index, machine_index, task)
        })
        .map(|task| Candidate {
            is_movable: !may_preempt(cluster, job_index, task),
            lost_work: lost_work(cluster, task),
            task,
        })
        .collect();
    candidates
        .sort_by(|a, b| a.is_movable.cmp(&b.is_movable).then(a.lost_work.total_cmp(&b.lost_work)));
    // On a machine without the image, the job waits for the fetch.
    let mut cost = cluster.fetch_time(job, machine) * request.cpus;
    let mut victims = Vec::new();
    let mut longest_stop: f64 = 0.0;
    for Candidate { lost_work, task, .. } in candidates {
        if free.can_hold(&request) {
            break;
        }
        free.add(&task.request);
        cost += lost_work;
        let stop = constants::ASSUMED_STOP_DURATION_S + cluster.jobs[task.job].checkpoint_time;
        longest_stop = longest_stop.max(stop);
        victims.push(task.id);
    }
    // The job waits until the victims have been told to stop and have written their checkpoints.
    cost += longest_stop * request.cpus;
    free.can_hold(&request).then_some(MachineVictims { cost, tasks: victims })
}
