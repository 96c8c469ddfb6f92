use crate::preempt::worth_evicting;
use crate::{JobView, MachineView, Room, TeamView, Turn, World, turns};
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
pub struct Placed {
    /// Tasks to start.
    pub placements: Vec<Placement>,
    /// What found no room of arrays' turns, in order.
    pub left: Vec<Turn>,
    /// What was set aside of teams' limits for gangs that wait.
    pub reserved: Vec<(usize, Room)>,
}

/// Time until a machine has a job's image, s; 0 if it is thought to hold it.
pub(crate) fn fetch_time(world: &World, job: &JobView, machine: &MachineView) -> f64 {
    if machine.images.contains(&job.image) {
        return 0.0;
    }
    world.machine_types.get(machine.machine_type).map_or(0.0, |f| f.fetch_s(job.image_gb))
}

/// How badly a machine suits a task; smaller is better. Seconds of image fetch (image locality, the
/// paper's data locality) plus what keeps whole machines free for work that needs them.
fn badness(world: &World, job: &JobView, machine: &MachineView) -> f64 {
    let mut cost = constants::IMAGE_MISS_PENALTY * fetch_time(world, job, machine);
    // Fill machines that are in use before empty ones, small ones before large ones.
    let after = 1.0 - job.need.share_of(&machine.free).min(1.0);
    cost += constants::LOOSE_FIT_PENALTY_S * after;
    if machine.held.is_empty() {
        cost += constants::EMPTY_MACHINE_PENALTY_S;
    }
    // Machines that a gang's task needs whole are left to gangs while others have room: what would
    // have to be stopped for them loses its work.
    if !job.gang && world.gang_needs.iter().any(|need| machine.total.fits(need)) {
        cost += constants::GANG_MACHINE_PENALTY_S;
    }
    // Dear machines last, so that they are the ones that fall idle and can be returned.
    let cheapest = world.cheapest_cpu;
    if cheapest > 0.0 {
        cost += constants::PRICE_PENALTY_S * (machine.cpu_price() / cheapest - 1.0).clamp(0.0, 4.0);
    }
    cost
}

fn usable(job_ix: usize, job: &JobView, machine: &MachineView) -> bool {
    machine.open
        && !machine.booting
        && machine.kept_for.is_none_or(|k| k == job_ix)
        && !machine.shunned_by.contains(&job_ix)
        && job.allows(machine.machine_type, machine.zone, machine.spot)
        && machine.free.fits(&job.need)
        && job.zone_open(machine.zone)
}

/// The machines that the job could use, best first. What a task changes on its machine makes it a better
/// fit for the next one and leaves the others as they were, so one look at all of them is enough to place
/// any number of tasks.
fn by_fit(world: &World, job_ix: usize, zone: Option<usize>, roomy: &[usize]) -> Vec<usize> {
    let job = &world.jobs[job_ix];
    let mut fits: Vec<(f64, usize)> = roomy
        .iter()
        .map(|i| (*i, &world.machines[*i]))
        .filter(|(_, machine)| {
            zone.is_none_or(|z| z == machine.zone) && usable(job_ix, job, machine)
        })
        .map(|(i, machine)| (badness(world, job, machine), i))
        .collect();
    fits.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    fits.into_iter().map(|(_, i)| i).collect()
}

/// Puts a task of the job on a machine.
fn put(world: &mut World, job_ix: usize, machine: usize) {
    let need = world.jobs[job_ix].need;
    let zone = world.machines[machine].zone;
    world.machines[machine].free.take(&need);
    let job = &mut world.jobs[job_ix];
    if let Some(team) = world.teams.get_mut(job.team) {
        team.used.give(&need);
    }
    job.running += 1;
    job.startable -= 1;
    if let Some(n) = job.per_zone.get_mut(zone) {
        *n += 1;
    }
}

/// The least of each amount that any task that could start takes: a machine with less free takes none.
pub(crate) fn least_need(jobs: &[JobView]) -> Room {
    let open = jobs.iter().filter(|j| j.startable > 0);
    let all = Room { cpus: f64::INFINITY, gpus: f64::INFINITY, ram: f64::INFINITY };
    open.fold(all, |least, j| Room {
        cpus: least.cpus.min(j.need.cpus),
        gpus: least.gpus.min(j.need.gpus),
        ram: least.ram.min(j.need.ram),
    })
}

fn zones(world: &World) -> usize {
    world.machines.iter().map(|h| h.zone + 1).max().unwrap_or(0)
}

fn room_in(world: &World, job_ix: usize, zone: usize) -> u32 {
    let job = &world.jobs[job_ix];
    world
        .machines
        .iter()
        .filter(|h| h.zone == zone && usable(job_ix, job, h))
        .fold(0u32, |n, h| n.saturating_add(h.free.count(&job.need)))
}

/// Whether a gang that found room on these machines should rather wait a moment. It starts together,
/// so one missing image keeps all of it waiting: where machines that hold the image are being
/// cleared for it, or can be cleared at less cost, that is the earlier start.
fn better_cleared(world: &World, job_ix: usize, machines: &[usize]) -> bool {
    let job = &world.jobs[job_ix];
    let fetch =
        machines.iter().map(|h| fetch_time(world, job, &world.machines[*h])).fold(0.0, f64::max);
    if fetch <= 0.0 || job.doubtful {
        return false;
    }
    // Machines are being cleared for it that all hold the image. Where some lack it, the gang waits for a
    // fetch in any case, and had better begin.
    let mut kept = world.machines.iter().filter(|h| h.kept_for == Some(job_ix)).peekable();
    let clearing = kept.peek().is_some() && kept.all(|h| fetch_time(world, job, h) <= 0.0);
    let whole = job.need.cpus * f64::from(job.tasks);
    clearing || worth_evicting(world, job_ix, fetch * whole)
}

/// Places up to `tasks` tasks of an array, or all of a gang; the world is updated.
fn place_job(world: &mut World, job_ix: usize, tasks: u32, roomy: &[usize]) -> Vec<usize> {
    let job = &world.jobs[job_ix];
    let team = world.teams.get(job.team).cloned().unwrap_or_default();
    let tasks = tasks.min(job.startable);
    let allowed = team.allows(&job.need).min(tasks);
    if tasks == 0 || allowed == 0 || (job.gang && allowed < tasks) {
        return Vec::new();
    }
    let gang = job.gang;
    // A job that has to be in one zone: the one where most of it finds room, unless it is in one.
    let zone = if job.one_zone && job.per_zone.iter().all(|n| *n == 0) {
        let best = (0..zones(world)).max_by_key(|z| room_in(world, job_ix, *z));
        if best.is_none() {
            return Vec::new();
        }
        best
    } else {
        None
    };
    // What has to be put back if a gang finds room for part of it only.
    let before = gang.then(|| (world.jobs[job_ix].clone(), world.teams.clone()));
    let mut machines = Vec::new();
    for machine in by_fit(world, job_ix, zone, roomy) {
        while (machines.len() as u32) < allowed
            && usable(job_ix, &world.jobs[job_ix], &world.machines[machine])
        {
            put(world, job_ix, machine);
            machines.push(machine);
        }
        if machines.len() as u32 == allowed {
            break;
        }
    }
    if let Some((job, teams)) = before {
        // What was free before the gang was laid out, for a second look at it.
        let undo = |world: &mut World| {
            for machine in &machines {
                world.machines[*machine].free.give(&job.need);
            }
        };
        let whole = machines.len() as u32 == tasks;
        undo(world);
        let laid_out = std::mem::replace(&mut world.jobs[job_ix], job);
        let used = std::mem::replace(&mut world.teams, teams);
        if !whole || better_cleared(world, job_ix, &machines) {
            return Vec::new();
        }
        for machine in &machines {
            world.machines[*machine].free.take(&laid_out.need);
        }
        world.jobs[job_ix] = laid_out;
        world.teams = used;
    }
    machines
}

/// One scheduling round: fills the machines' free room in the design's order. Quotas, zones and
/// allowed machines are kept to; the world is updated with what was placed.
pub fn place(world: &mut World) -> Placed {
    let mut placed = Placed::default();
    let mut room_kept = false;
    let capacity =
        world.machines.iter().filter(|h| h.open && !h.booting).map(|h| h.total.cpus).sum();
    let least = least_need(&world.jobs);
    let mut roomy: Vec<usize> =
        (0..world.machines.len()).filter(|i| world.machines[*i].open).collect();
    for turn in turns(&world.jobs, world.now, capacity) {
        roomy.retain(|i| world.machines[*i].free.fits(&least));
        let machines = place_job(world, turn.job, turn.tasks, &roomy);
        let job = &world.jobs[turn.job];
        if !job.gang && (machines.len() as u32) < turn.tasks.min(job.startable) {
            let tasks = turn.tasks - machines.len() as u32;
            placed.left.push(Turn { tasks, ..turn });
        }
        if !machines.is_empty() {
            placed.placements.push(Placement { job: turn.job, machines });
            continue;
        }
        if !job.gang || turn.leftover || job.doubtful {
            continue;
        }
        // A gang needs all at once, so arrays that take each bit that comes free would keep it
        // waiting for ever. What the first such gang of a team needs of the limit is set aside at
        // once, whatever it is waiting for (else what was stopped for it would start anew),
        // unless there are no machines that could hold all of it, however long it waits: it must not keep its
        // team's other work waiting for ever.
        let waited = world.now - job.waiting_since;
        if waited * 1000.0 >= constants::GANG_HOPE_MS as f64 && !could_hold(world, turn.job) {
            continue;
        }
        let whole = job.need.times(job.startable);
        let team_ix = job.team;
        if placed.reserved.iter().all(|(t, _)| *t != team_ix)
            && let Some(team) = world.teams.get_mut(team_ix)
        {
            let short = team.allows(&whole) == 0;
            team.used.give(&whole);
            placed.reserved.push((team_ix, whole));
            if short {
                continue;
            }
        }
        // and machines, one gang at a time, once it has waited a while.
        if !room_kept && waited * 1000.0 >= constants::GANG_HOLD_AFTER_MS as f64 {
            room_kept = keep_room(world, turn.job);
        }
    }
    for (team, whole) in &placed.reserved {
        world.teams[*team].used.take(whole);
    }
    placed
}

/// What a machine has for a job once all that ends by itself, or gives way to it, is gone: replicas of daemons
/// that are no lower in priority stay.
fn room_in_the_end(world: &World, job: &JobView, machine: &MachineView) -> Room {
    let mut room = machine.total;
    for held in &machine.held {
        let other = &world.jobs[held.job];
        if other.daemon && other.priority >= job.priority && !held.leaving {
            room.take(&held.need);
        }
    }
    room
}

/// Whether the machines that are up or booting could hold all of a gang if nothing but daemons were on them.
pub(crate) fn could_hold(world: &World, job_ix: usize) -> bool {
    let job = &world.jobs[job_ix];
    let mut per_zone = vec![0u32; zones(world)];
    for machine in world.machines.iter().filter(|h| h.open || h.booting) {
        let able = job.allows(machine.machine_type, machine.zone, machine.spot);
        if able && !machine.shunned_by.contains(&job_ix) {
            let here = &mut per_zone[machine.zone];
            let room = room_in_the_end(world, job, machine);
            *here = here.saturating_add(room.count(&job.need)).min(job.zone_cap);
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
fn keep_room(world: &mut World, job_ix: usize) -> bool {
    let job = &world.jobs[job_ix];
    let mut candidates: Vec<usize> = (0..world.machines.len())
        .filter(|i| {
            let h = &world.machines[*i];
            h.open
                && !h.booting
                && h.kept_for.is_none_or(|k| k == job_ix)
                && !h.shunned_by.contains(&job_ix)
                && job.allows(h.machine_type, h.zone, h.spot)
                && room_in_the_end(world, job, h).fits(&job.need)
        })
        .collect();
    let used = |i: &usize| 1.0 - world.machines[*i].free.share_of(&world.machines[*i].total);
    candidates.sort_by(|a, b| used(a).total_cmp(&used(b)));
    let options: Vec<Option<usize>> =
        if job.one_zone { (0..zones(world)).map(Some).collect() } else { vec![None] };
    for zone in options {
        let mut per_zone = vec![0u32; zones(world)];
        let mut chosen = Vec::new();
        let mut left = job.startable;
        for i in &candidates {
            let machine = &world.machines[*i];
            if left == 0 || zone.is_some_and(|z| z != machine.zone) {
                continue;
            }
            let open = job.zone_cap.saturating_sub(per_zone[machine.zone]);
            let fits = room_in_the_end(world, job, machine).count(&job.need).min(left).min(open);
            if fits > 0 {
                per_zone[machine.zone] += fits;
                left -= fits;
                chosen.push(*i);
            }
        }
        if left == 0 {
            for i in chosen {
                world.machines[i].kept_for = Some(job_ix);
            }
            return true;
        }
    }
    false
}

/// Whether a job can run at all: a task fits some allowed machine type (`types`, one entry each), and
/// its team's limit allows the `least` tasks that must run at a time, one of an array or all of a
/// gang. The error says why not.
pub fn fits_somewhere(
    types: &[bool],
    need: &Room,
    least: u32,
    team: &TeamView,
) -> Result<(), String> {
    if !types.contains(&true) {
        return Err("a task fits no allowed machine type".into());
    }
    let fresh = TeamView { used: Room::default(), ..team.clone() };
    if fresh.allows(need) < least {
        return Err("the job needs more than its team's limit".into());
    }
    Ok(())
}

#[cfg(test)]
pub(crate) mod tests;
