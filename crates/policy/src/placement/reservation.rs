//! Reservations of machines for waiting gangs.

use crate::{JobView, MachineView, Resources, SchedulingSnapshot};

/// Returns the resources of a machine that can become free for a job: all but those of daemons of the same or a higher
/// priority, whose replicas do not end by themselves and rank too high to be preempted.
fn obtainable_resources(
    cluster: &SchedulingSnapshot,
    job: &JobView,
    machine: &MachineView,
) -> Resources {
    let mut obtainable = machine.capacity;
    for task in &machine.placed_tasks {
        let other = &cluster.jobs[task.job];
        if other.is_daemon && other.priority >= job.priority && !task.terminating {
            obtainable.subtract(&task.request);
        }
    }
    obtainable
}

/// Whether the machines that are schedulable or booting could hold all tasks of a gang if nothing ran on them but
/// daemons of the same or a higher priority.
pub(crate) fn fleet_could_hold(cluster: &SchedulingSnapshot, job_index: usize) -> bool {
    let job = &cluster.jobs[job_index];
    let mut tasks_per_zone = vec![0u32; cluster.zone_count()];
    for machine in cluster.machines.iter().filter(|machine| machine.schedulable || machine.booting)
    {
        let allowed = job.allows(machine.machine_type, machine.zone, machine.is_spot);
        if allowed && !machine.excluded_jobs.contains(&job_index) {
            let tasks = obtainable_resources(cluster, job, machine).max_tasks(&job.request);
            let in_zone = &mut tasks_per_zone[machine.zone];
            *in_zone = in_zone.saturating_add(tasks).min(job.max_tasks_per_zone);
        }
    }
    let fitting = if job.needs_one_zone {
        tasks_per_zone.into_iter().max().unwrap_or(0)
    } else {
        tasks_per_zone.into_iter().fold(0, u32::saturating_add)
    };
    fitting >= job.tasks
}

/// Reserves the least used machines that together can hold a waiting gang. Returns `false`, and reserves none, if
/// there are not enough.
pub(super) fn reserve_machines(cluster: &mut SchedulingSnapshot, job_index: usize) -> bool {
    let candidates = reservation_candidates(cluster, job_index);
    let zones: Vec<Option<usize>> = if cluster.jobs[job_index].needs_one_zone {
        (0..cluster.zone_count()).map(Some).collect()
    } else {
        vec![None]
    };
    for zone in zones {
        if let Some(chosen) = choose_machines(cluster, job_index, zone, &candidates) {
            for index in chosen {
                cluster.machines[index].reserved_for = Some(job_index);
            }
            return true;
        }
    }
    false
}

/// Returns the machines that could be reserved for a job, least used first.
fn reservation_candidates(cluster: &SchedulingSnapshot, job_index: usize) -> Vec<usize> {
    let job = &cluster.jobs[job_index];
    let is_candidate = |machine: &MachineView| {
        machine.schedulable
            && !machine.booting
            && machine.eligible_for(job_index, job)
            && obtainable_resources(cluster, job, machine).can_hold(&job.request)
    };
    let mut candidates: Vec<usize> = (0..cluster.machines.len())
        .filter(|index| is_candidate(&cluster.machines[*index]))
        .collect();
    let used_share = |index: &usize| {
        let machine = &cluster.machines[*index];
        1.0 - machine.free.dominant_share_of(&machine.capacity)
    };
    candidates.sort_by(|a, b| used_share(a).total_cmp(&used_share(b)));
    candidates
}

/// Returns the first candidates that together can hold all startable tasks of a job, only from `zone` if one is given;
/// `None` if there are not enough.
fn choose_machines(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    zone: Option<usize>,
    candidates: &[usize],
) -> Option<Vec<usize>> {
    let job = &cluster.jobs[job_index];
    let mut tasks_per_zone = vec![0u32; cluster.zone_count()];
    let mut chosen = Vec::new();
    let mut tasks_left = job.startable;
    for &index in candidates {
        let machine = &cluster.machines[index];
        if tasks_left == 0 || zone.is_some_and(|zone| zone != machine.zone) {
            continue;
        }
        let allowed = job.max_tasks_per_zone.saturating_sub(tasks_per_zone[machine.zone]);
        let fitting = obtainable_resources(cluster, job, machine).max_tasks(&job.request);
        let tasks = fitting.min(tasks_left).min(allowed);
        if tasks > 0 {
            tasks_per_zone[machine.zone] += tasks;
            tasks_left -= tasks;
            chosen.push(index);
        }
    }
    (tasks_left == 0).then_some(chosen)
}
