use crate::preemption::worth_preempting;
use crate::{
    ClusterSnapshot, JobView, MachineView, QueueEntry, Resources, TeamView, scheduling_queue,
};
use hookway_constants as constants;

/// Tasks of a job that are to start, one entry a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The job.
    pub job: usize,
    /// The machine of each task.
    pub machines: Vec<usize>,
}

/// What a round decided.
#[derive(Debug, Clone, Default)]
pub struct RoundOutcome {
    /// Tasks to start.
    pub placements: Vec<Placement>,
    /// What found no room of arrays' turns, in order.
    pub unplaced: Vec<QueueEntry>,
    /// What was set aside of teams' limits for gangs that wait.
    pub quota_reservations: Vec<(usize, Resources)>,
}

/// Time until a machine has a job's image, s; 0 if it is thought to hold it.
pub(crate) fn fetch_time(cluster: &ClusterSnapshot, job: &JobView, machine: &MachineView) -> f64 {
    if machine.images.contains(&job.image) {
        return 0.0;
    }
    cluster.machine_types.get(machine.machine_type).map_or(0.0, |f| f.fetch_s(job.image_gb))
}

/// How badly a machine suits a task; smaller is better. Seconds of image fetch (image locality, the
/// paper's data locality) plus what keeps whole machines free for work that needs them.
fn placement_cost(cluster: &ClusterSnapshot, job: &JobView, machine: &MachineView) -> f64 {
    let mut cost = constants::IMAGE_MISS_PENALTY * fetch_time(cluster, job, machine);
    // Fill machines that are in use before empty ones, small ones before large ones.
    let after = 1.0 - job.request.dominant_share_of(&machine.free).min(1.0);
    cost += constants::LOOSE_FIT_PENALTY_S * after;
    if machine.placed_tasks.is_empty() {
        cost += constants::EMPTY_MACHINE_PENALTY_S;
    }
    // Machines that a gang's task needs whole are left to gangs while others have room: what would
    // have to be stopped for them loses its work.
    if !job.gang && cluster.gang_requests.iter().any(|need| machine.total.fits(need)) {
        cost += constants::GANG_MACHINE_PENALTY_S;
    }
    // Dear machines last, so that they are the ones that fall idle and can be returned.
    let cheapest = cluster.cheapest_cpu_price;
    if cheapest > 0.0 {
        cost += constants::PRICE_PENALTY_S * (machine.cpu_price() / cheapest - 1.0).clamp(0.0, 4.0);
    }
    cost
}

fn usable(job_index: usize, job: &JobView, machine: &MachineView) -> bool {
    machine.schedulable
        && !machine.booting
        && machine.reserved_for.is_none_or(|k| k == job_index)
        && !machine.excluded_by.contains(&job_index)
        && job.allows(machine.machine_type, machine.zone, machine.spot)
        && machine.free.fits(&job.request)
        && job.may_use_zone(machine.zone)
}

/// The machines that the job could use, best first. What a task changes on its machine makes it a better
/// fit for the next one and leaves the others as they were, so one look at all of them is enough to place
/// any number of tasks.
fn machines_by_cost(
    cluster: &ClusterSnapshot,
    job_index: usize,
    zone: Option<usize>,
    candidates: &[usize],
) -> Vec<usize> {
    let job = &cluster.jobs[job_index];
    let mut fits: Vec<(f64, usize)> = candidates
        .iter()
        .map(|i| (*i, &cluster.machines[*i]))
        .filter(|(_, machine)| {
            zone.is_none_or(|z| z == machine.zone) && usable(job_index, job, machine)
        })
        .map(|(i, machine)| (placement_cost(cluster, job, machine), i))
        .collect();
    fits.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    fits.into_iter().map(|(_, i)| i).collect()
}

/// Puts a task of the job on a machine.
fn assign(cluster: &mut ClusterSnapshot, job_index: usize, machine: usize) {
    let need = cluster.jobs[job_index].request;
    let zone = cluster.machines[machine].zone;
    cluster.machines[machine].free.subtract(&need);
    let job = &mut cluster.jobs[job_index];
    if let Some(team) = cluster.teams.get_mut(job.team) {
        team.used.add(&need);
    }
    job.placed += 1;
    job.startable -= 1;
    if let Some(n) = job.placed_per_zone.get_mut(zone) {
        *n += 1;
    }
}

/// The least of each amount that any task that could start takes: a machine with less free takes none.
pub(crate) fn smallest_request(jobs: &[JobView]) -> Resources {
    let open = jobs.iter().filter(|j| j.startable > 0);
    let all = Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY };
    open.fold(all, |least, j| Resources {
        cpus: least.cpus.min(j.request.cpus),
        gpus: least.gpus.min(j.request.gpus),
        memory_gb: least.memory_gb.min(j.request.memory_gb),
    })
}

fn zones(cluster: &ClusterSnapshot) -> usize {
    cluster.machines.iter().map(|h| h.zone + 1).max().unwrap_or(0)
}

fn capacity_in_zone(cluster: &ClusterSnapshot, job_index: usize, zone: usize) -> u32 {
    let job = &cluster.jobs[job_index];
    cluster
        .machines
        .iter()
        .filter(|h| h.zone == zone && usable(job_index, job, h))
        .fold(0u32, |n, h| n.saturating_add(h.free.capacity_for(&job.request)))
}

/// Whether a gang that found room on these machines should rather wait a moment. It starts together,
/// so one missing image keeps all of it waiting: where machines that hold the image are being
/// cleared for it, or can be cleared at less cost, that is the earlier start.
fn prefers_preemption(cluster: &ClusterSnapshot, job_index: usize, machines: &[usize]) -> bool {
    let job = &cluster.jobs[job_index];
    let fetch = machines
        .iter()
        .map(|h| fetch_time(cluster, job, &cluster.machines[*h]))
        .fold(0.0, f64::max);
    if fetch <= 0.0 || job.crash_looping {
        return false;
    }
    // Machines are being cleared for it that all hold the image. Where some lack it, the gang waits for a
    // fetch in any case, and had better begin.
    let mut kept = cluster.machines.iter().filter(|h| h.reserved_for == Some(job_index)).peekable();
    let clearing = kept.peek().is_some() && kept.all(|h| fetch_time(cluster, job, h) <= 0.0);
    let whole = job.request.cpus * f64::from(job.tasks);
    clearing || worth_preempting(cluster, job_index, fetch * whole)
}

/// Places up to `tasks` tasks of an array, or all of a gang; the cluster is updated.
fn place_job(
    cluster: &mut ClusterSnapshot,
    job_index: usize,
    tasks: u32,
    candidates: &[usize],
) -> Vec<usize> {
    let job = &cluster.jobs[job_index];
    let team = cluster.teams.get(job.team).cloned().unwrap_or_default();
    let tasks = tasks.min(job.startable);
    let allowed = team.remaining_tasks(&job.request).min(tasks);
    if tasks == 0 || allowed == 0 || (job.gang && allowed < tasks) {
        return Vec::new();
    }
    let gang = job.gang;
    // A job that has to be in one zone: the one where most of it finds room, unless it is in one.
    let zone = if job.one_zone && job.placed_per_zone.iter().all(|n| *n == 0) {
        let best = (0..zones(cluster)).max_by_key(|z| capacity_in_zone(cluster, job_index, *z));
        if best.is_none() {
            return Vec::new();
        }
        best
    } else {
        None
    };
    // What has to be put back if a gang finds room for part of it only.
    let before = gang.then(|| (cluster.jobs[job_index].clone(), cluster.teams.clone()));
    let mut machines = Vec::new();
    for machine in machines_by_cost(cluster, job_index, zone, candidates) {
        while (machines.len() as u32) < allowed
            && usable(job_index, &cluster.jobs[job_index], &cluster.machines[machine])
        {
            assign(cluster, job_index, machine);
            machines.push(machine);
        }
        if machines.len() as u32 == allowed {
            break;
        }
    }
    if let Some((job, teams)) = before {
        // What was free before the gang was laid out, for a second look at it.
        let undo = |cluster: &mut ClusterSnapshot| {
            for machine in &machines {
                cluster.machines[*machine].free.add(&job.request);
            }
        };
        let whole = machines.len() as u32 == tasks;
        undo(cluster);
        let laid_out = std::mem::replace(&mut cluster.jobs[job_index], job);
        let used = std::mem::replace(&mut cluster.teams, teams);
        if !whole || prefers_preemption(cluster, job_index, &machines) {
            return Vec::new();
        }
        for machine in &machines {
            cluster.machines[*machine].free.subtract(&laid_out.request);
        }
        cluster.jobs[job_index] = laid_out;
        cluster.teams = used;
    }
    machines
}

/// One scheduling round: fills the machines' free room in the design's order. Quotas, zones and
/// allowed machines are kept to; the cluster is updated with what was placed.
pub fn place(cluster: &mut ClusterSnapshot) -> RoundOutcome {
    let mut placed = RoundOutcome::default();
    let mut room_kept = false;
    let capacity =
        cluster.machines.iter().filter(|h| h.schedulable && !h.booting).map(|h| h.total.cpus).sum();
    let least = smallest_request(&cluster.jobs);
    let mut candidates: Vec<usize> =
        (0..cluster.machines.len()).filter(|i| cluster.machines[*i].schedulable).collect();
    for turn in scheduling_queue(&cluster.jobs, cluster.now, capacity) {
        candidates.retain(|i| cluster.machines[*i].free.fits(&least));
        let machines = place_job(cluster, turn.job, turn.tasks, &candidates);
        let job = &cluster.jobs[turn.job];
        if !job.gang && (machines.len() as u32) < turn.tasks.min(job.startable) {
            let tasks = turn.tasks - machines.len() as u32;
            placed.unplaced.push(QueueEntry { tasks, ..turn });
        }
        if !machines.is_empty() {
            placed.placements.push(Placement { job: turn.job, machines });
            continue;
        }
        if !job.gang || turn.leftover || job.crash_looping {
            continue;
        }
        // A gang needs all at once, so arrays that take each bit that comes free would keep it
        // waiting for ever. What the first such gang of a team needs of the limit is set aside at
        // once, whatever it is waiting for (else what was stopped for it would start anew),
        // unless there are no machines that could hold all of it, however long it waits: it must not keep its
        // team's other work waiting for ever.
        let waited = cluster.now - job.waiting_since;
        if waited * 1000.0 >= constants::GANG_RESERVATION_LIMIT_MS as f64
            && !could_ever_hold(cluster, turn.job)
        {
            continue;
        }
        let whole = job.request.times(job.startable);
        let team_index = job.team;
        if placed.quota_reservations.iter().all(|(t, _)| *t != team_index)
            && let Some(team) = cluster.teams.get_mut(team_index)
        {
            let short = team.remaining_tasks(&whole) == 0;
            team.used.add(&whole);
            placed.quota_reservations.push((team_index, whole));
            if short {
                continue;
            }
        }
        // and machines, one gang at a time, once it has waited a while.
        if !room_kept && waited * 1000.0 >= constants::GANG_RESERVATION_DELAY_MS as f64 {
            room_kept = reserve_machines(cluster, turn.job);
        }
    }
    for (team, whole) in &placed.quota_reservations {
        cluster.teams[*team].used.subtract(whole);
    }
    placed
}

/// What a machine has for a job once all that ends by itself, or gives way to it, is gone: replicas of daemons
/// that are no lower in priority stay.
fn eventual_capacity(cluster: &ClusterSnapshot, job: &JobView, machine: &MachineView) -> Resources {
    let mut room = machine.total;
    for held in &machine.placed_tasks {
        let other = &cluster.jobs[held.job];
        if other.daemon && other.priority >= job.priority && !held.terminating {
            room.subtract(&held.request);
        }
    }
    room
}

/// Whether the machines that are up or booting could hold all of a gang if nothing but daemons were on them.
pub(crate) fn could_ever_hold(cluster: &ClusterSnapshot, job_index: usize) -> bool {
    let job = &cluster.jobs[job_index];
    let mut per_zone = vec![0u32; zones(cluster)];
    for machine in cluster.machines.iter().filter(|h| h.schedulable || h.booting) {
        let able = job.allows(machine.machine_type, machine.zone, machine.spot);
        if able && !machine.excluded_by.contains(&job_index) {
            let here = &mut per_zone[machine.zone];
            let room = eventual_capacity(cluster, job, machine);
            *here =
                here.saturating_add(room.capacity_for(&job.request)).min(job.max_tasks_per_zone);
        }
    }
    let most = if job.one_zone {
        per_zone.into_iter().max().unwrap_or(0)
    } else {
        per_zone.into_iter().fold(0, u32::saturating_add)
    };
    most >= job.tasks
}

/// Keeps machines for a waiting gang: those that would have room for it soonest.
fn reserve_machines(cluster: &mut ClusterSnapshot, job_index: usize) -> bool {
    let job = &cluster.jobs[job_index];
    let mut candidates: Vec<usize> = (0..cluster.machines.len())
        .filter(|i| {
            let h = &cluster.machines[*i];
            h.schedulable
                && !h.booting
                && h.reserved_for.is_none_or(|k| k == job_index)
                && !h.excluded_by.contains(&job_index)
                && job.allows(h.machine_type, h.zone, h.spot)
                && eventual_capacity(cluster, job, h).fits(&job.request)
        })
        .collect();
    let used =
        |i: &usize| 1.0 - cluster.machines[*i].free.dominant_share_of(&cluster.machines[*i].total);
    candidates.sort_by(|a, b| used(a).total_cmp(&used(b)));
    let options: Vec<Option<usize>> =
        if job.one_zone { (0..zones(cluster)).map(Some).collect() } else { vec![None] };
    for zone in options {
        let mut per_zone = vec![0u32; zones(cluster)];
        let mut chosen = Vec::new();
        let mut left = job.startable;
        for i in &candidates {
            let machine = &cluster.machines[*i];
            if left == 0 || zone.is_some_and(|z| z != machine.zone) {
                continue;
            }
            let open = job.max_tasks_per_zone.saturating_sub(per_zone[machine.zone]);
            let fits = eventual_capacity(cluster, job, machine)
                .capacity_for(&job.request)
                .min(left)
                .min(open);
            if fits > 0 {
                per_zone[machine.zone] += fits;
                left -= fits;
                chosen.push(*i);
            }
        }
        if left == 0 {
            for i in chosen {
                cluster.machines[i].reserved_for = Some(job_index);
            }
            return true;
        }
    }
    false
}

/// Whether a job can run at all: a task fits some allowed machine type (`types`, one entry each), and
/// its team's limit allows the `least` tasks that must run at a time, one of an array or all of a
/// gang. The error says why not.
pub fn check_feasible(
    types: &[bool],
    need: &Resources,
    least: u32,
    team: &TeamView,
) -> Result<(), String> {
    if !types.contains(&true) {
        return Err("a task fits no allowed machine type".into());
    }
    let fresh = TeamView { used: Resources::default(), ..team.clone() };
    if fresh.remaining_tasks(need) < least {
        return Err("the job needs more than its team's limit".into());
    }
    Ok(())
}

#[cfg(test)]
pub(crate) mod tests;
