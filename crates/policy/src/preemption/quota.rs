//! Preemption within a team whose limit does not allow a job to start.

use super::victims::lost_work;
use super::{PlacedTaskRef, Preemption};
use crate::{PlacedTaskView, SchedulingSnapshot};

/// A task that could be stopped.
struct Candidate<'a> {
    /// Work lost by stopping the task, CPU seconds.
    lost_work: f64,
    machine: usize,
    task: &'a PlacedTaskView,
}

/// Chooses tasks of lower priority in the job's own team to stop, so that the team's limit allows `tasks` more tasks
/// of the job. Returns `None` if that is not possible, or if it is enough that terminating tasks end.
pub(super) fn preempt_for_quota(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
) -> Option<Preemption> {
    let job = &cluster.jobs[job_index];
    let mut team = cluster.teams.get(job.team)?.clone();
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, machine) in cluster.machines.iter().enumerate() {
        for task in &machine.placed_tasks {
            let other = &cluster.jobs[task.job];
            if other.team != job.team {
                continue;
            }
            if task.terminating {
                team.used.subtract(&task.request);
            } else if other.priority < job.priority {
                let lost_work = lost_work(cluster, task);
                candidates.push(Candidate { lost_work, machine: index, task });
            }
        }
    }
    candidates.sort_by(|a, b| a.lost_work.total_cmp(&b.lost_work));
    let mut preemption = Preemption::for_job(job_index);
    for Candidate { machine, task, .. } in candidates {
        if team.remaining_tasks(&job.request) >= tasks {
            break;
        }
        team.used.subtract(&task.request);
        preemption.victims.push(PlacedTaskRef { machine, task: task.id });
    }
    let within_limit = team.remaining_tasks(&job.request) >= tasks;
    (within_limit && !preemption.victims.is_empty()).then_some(preemption)
}
