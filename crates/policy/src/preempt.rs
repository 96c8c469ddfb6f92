use crate::order::waits_unseen;
use crate::{HeldView, MachineView, Room, World};
use hookway_constants as constants;

/// Tasks to stop so that a job finds room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// The job that the room is for.
    pub job: usize,
    /// Machines to keep for it until it starts.
    pub machines: Vec<usize>,
    /// Tasks to stop: machine and the caller's number.
    pub victims: Vec<(usize, u64)>,
}

/// What stopping a task throws away, in CPU seconds; work that saves loses next to nothing.
fn loss(world: &World, held: &HeldView) -> f64 {
    let job = &world.jobs[held.job];
    let seconds = if job.saves { held.elapsed.min(5.0) } else { held.elapsed };
    // A gang loses all its tasks with one.
    let tasks = if job.gang { f64::from(job.tasks) } else { 1.0 };
    // A job that would be late for it loses more than its work; one that is late anyway does not.
    let again = world.now + job.task_time();
    let weight = match job.due {
        Some(due) if world.now > due => constants::LATE_VICTIM_WEIGHT,
        Some(due) if again > due => constants::TIGHT_VICTIM_WEIGHT,
        _ => 1.0,
    };
    (1.0 + seconds) * held.need.cpus.max(0.1) * tasks * weight
}

fn may_evict(world: &World, job: usize, held: &HeldView) -> bool {
    let (mine, other) = (&world.jobs[job], &world.jobs[held.job]);
    if other.priority < mine.priority {
        return true;
    }
    // A team gets its guarantee from what others run beyond theirs.
    if mine.team == other.team {
        return false;
    }
    let covered = world.teams.get(mine.team).is_some_and(|t| t.guarantee_covers(&mine.need));
    covered && world.teams.get(other.team).is_some_and(|t| t.beyond_guarantee())
}

/// The cheapest set of tasks whose end makes room for so many tasks of `job` on `machine`.
fn on_machine(
    world: &World,
    job: usize,
    machine: &MachineView,
    tasks: u32,
) -> Option<(f64, Vec<u64>)> {
    let need = world.jobs[job].need.times(tasks);
    let mut room = machine.free;
    for held in machine.held.iter().filter(|h| h.leaving) {
        room.give(&held.need);
    }
    let mut candidates: Vec<(f64, &HeldView)> = machine
        .held
        .iter()
        .filter(|h| !h.leaving && may_evict(world, job, h))
        .map(|h| (loss(world, h), h))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    // A machine without the image keeps the job waiting for the fetch.
    let mut cost = crate::place::fetch_time(world, &world.jobs[job], machine) * need.cpus;
    let mut victims = Vec::new();
    let mut saving: f64 = 0.0;
    for (price, held) in candidates {
        if room.fits(&need) {
            break;
        }
        room.give(&held.need);
        cost += price;
        saving = saving.max(constants::EVICTION_DELAY_S + world.jobs[held.job].save_time);
        victims.push(held.tag);
    }
    // The job waits for the stop to arrive, and for what saves to have saved.
    cost += saving * need.cpus;
    room.fits(&need).then_some((cost, victims))
}

/// Whether a gang should rather push work aside on machines that hold its image than wait for a
/// fetch that costs `cost` CPU seconds of waiting places.
pub(crate) fn worth_evicting(world: &World, job_ix: usize, cost: f64) -> bool {
    let taken = vec![false; world.machines.len()];
    evict_for(world, job_ix, world.jobs[job_ix].startable, &taken, true)
        .is_some_and(|(price, found)| !found.victims.is_empty() && price < cost)
}

/// The cheaper of two ways to make room: on machines that hold the image, or on any. A gang starts
/// together, so the longest fetch keeps all of its places waiting.
fn cheapest_eviction(world: &World, job_ix: usize, tasks: u32, taken: &[bool]) -> Option<Eviction> {
    let job = &world.jobs[job_ix];
    let any = evict_for(world, job_ix, tasks, taken, false);
    if !job.gang {
        return any.map(|(_, found)| found);
    }
    let warm = evict_for(world, job_ix, tasks, taken, true);
    let fetch = |found: &Eviction| {
        let longest = |h: &usize| crate::place::fetch_time(world, job, &world.machines[*h]);
        found.machines.iter().map(longest).fold(0.0, f64::max)
    };
    let whole = job.need.cpus * f64::from(tasks);
    match (warm, any) {
        (Some((cost, warm)), Some((other, any))) => {
            let dearer = cost > other + fetch(&any) * whole;
            Some(if dearer { any } else { warm })
        }
        (warm, any) => warm.or(any).map(|(_, found)| found),
    }
}

/// Finds room for waiting work that may push other work aside: work of higher priority, and work within
/// its team's guarantee. Only what the job needs at least is made room for: a gang whole, all replicas of a
/// daemon, an array one task a round.
pub fn evict(world: &World) -> Vec<Eviction> {
    // A look at all that runs is worth it only where something may be pushed aside at all.
    let held = world.machines.iter().flat_map(|h| &h.held);
    let lowest = held.map(|h| world.jobs[h.job].priority).min();
    let guaranteed = world.teams.iter().any(|t| t.guaranteed.0 > 0.0 || t.guaranteed.1 > 0.0);
    let mut waiting: Vec<usize> = (0..world.jobs.len())
        .filter(|i| {
            let job = &world.jobs[*i];
            let short = if job.gang { job.startable == job.tasks } else { waits_unseen(job) };
            // One batch of stops at a time: machines that are being cleared for it stay kept.
            let clearing = world.machines.iter().any(|h| h.kept_for == Some(*i));
            job.startable > 0
                && !job.doubtful
                && (guaranteed || lowest.is_some_and(|priority| priority < job.priority))
                && short
                && !clearing
                && world.now - job.waiting_since >= constants::PREEMPT_AFTER_MS as f64 / 1000.0
        })
        .collect();
    waiting.sort_by(|a, b| {
        let (a, b) = (&world.jobs[*a], &world.jobs[*b]);
        crate::order::who_starts_first(a, b, world.now)
    });
    let mut taken: Vec<bool> = vec![false; world.machines.len()];
    let mut all = evict_for_deadlines(world);
    for job_ix in waiting {
        let job = &world.jobs[job_ix];
        let tasks = if job.wants_all_at_once() { job.startable } else { 1 };
        let team_allows = world.teams.get(job.team).is_none_or(|t| t.allows(&job.need) >= tasks);
        if !team_allows {
            all.extend(evict_for_quota(world, job_ix, tasks));
            continue;
        }
        let mut found = cheapest_eviction(world, job_ix, tasks, &taken);
        if found.is_none() && job.daemon {
            // Some replicas are better than none.
            found = cheapest_eviction(world, job_ix, 1, &taken);
        }
        if let Some(found) = found.filter(|f| !f.victims.is_empty()) {
            for machine in &found.machines {
                taken[*machine] = true;
            }
            all.push(found);
        }
    }
    all
}

/// Room for arrays that fall short of what their deadlines need, taken from backfill: work of lower priority
/// that nobody is in a hurry for and that can save. What runs for minutes would keep a burst of short tasks
/// waiting past its deadlines.
fn evict_for_deadlines(world: &World) -> Vec<Eviction> {
    let now = world.now;
    let backfill = |held: &HeldView| {
        let job = &world.jobs[held.job];
        let ran = constants::BACKFILL_TURN_S.max(constants::BACKFILL_SAVES * job.save_time);
        (crate::order::unhurried(job) && job.saves && held.elapsed >= ran).then_some(job.priority)
    };
    // What each machine will have free, and what could be stopped there.
    let mut room: Vec<Room> = Vec::new();
    let mut stops: Vec<Vec<&HeldView>> = Vec::new();
    for machine in &world.machines {
        let mut free = machine.free;
        let usable = machine.open && !machine.booting && machine.kept_for.is_none();
        for held in machine.held.iter().filter(|h| h.leaving) {
            free.give(&held.need);
        }
        room.push(free);
        let held = machine.held.iter().filter(|h| usable && !h.leaving && backfill(h).is_some());
        stops.push(held.collect());
    }
    if stops.iter().all(Vec::is_empty) {
        return Vec::new();
    }
    let mut waiting: Vec<(f64, usize)> = (0..world.jobs.len())
        .filter_map(|i| Some((world.jobs[i].due?, i)))
        .filter(|(_, i)| {
            let job = &world.jobs[*i];
            !job.gang && !job.doubtful && job.startable > 0 && !crate::order::late(job, now)
        })
        .collect();
    waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut all = Vec::new();
    for (due, job_ix) in waiting {
        let job = &world.jobs[job_ix];
        let mut short =
            crate::order::least(job, now, due).saturating_sub(job.running).min(job.startable);
        let mut found = Eviction { job: job_ix, machines: vec![], victims: vec![] };
        let team = world.teams.get(job.team);
        short = team.map_or(short, |t| short.min(t.allows(&job.need)));
        // Machines that hold the image first.
        for warm in [true, false] {
            for (i, machine) in world.machines.iter().enumerate() {
                let misses = !machine.images.contains(&job.image);
                let closed = misses == warm
                    || !job.allows(machine.machine_type, machine.zone, machine.spot)
                    || !job.zone_open(machine.zone)
                    || machine.shunned_by.contains(&job_ix);
                while short > 0 && !closed {
                    if room[i].fits(&job.need) {
                        room[i].take(&job.need);
                        short -= 1;
                        continue;
                    }
                    let lower = |h: &&HeldView| world.jobs[h.job].priority < job.priority;
                    let Some(at) = stops[i].iter().position(lower) else { break };
                    let held = stops[i].swap_remove(at);
                    room[i].give(&held.need);
                    found.victims.push((i, held.tag));
                }
            }
        }
        if !found.victims.is_empty() {
            all.push(found);
        }
    }
    all
}

/// The team's own work of lower priority whose end brings its use far enough below its limit.
fn evict_for_quota(world: &World, job_ix: usize, tasks: u32) -> Option<Eviction> {
    let job = &world.jobs[job_ix];
    let mut team = world.teams.get(job.team)?.clone();
    let mut candidates: Vec<(f64, usize, &HeldView)> = Vec::new();
    for (i, machine) in world.machines.iter().enumerate() {
        for held in &machine.held {
            let other = &world.jobs[held.job];
            if other.team != job.team {
                continue;
            }
            if held.leaving {
                team.used.take(&held.need);
            } else if other.priority < job.priority {
                candidates.push((loss(world, held), i, held));
            }
        }
    }
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut found = Eviction { job: job_ix, machines: vec![], victims: vec![] };
    for (_, machine, held) in candidates {
        if team.allows(&job.need) >= tasks {
            break;
        }
        team.used.take(&held.need);
        found.victims.push((machine, held.tag));
    }
    (team.allows(&job.need) >= tasks && !found.victims.is_empty()).then_some(found)
}

/// What room for one task more than planned costs on each machine, with the tasks to stop; cheapest first.
fn picks(
    world: &World,
    job_ix: usize,
    zone: Option<usize>,
    taken: &[bool],
    planned: &[u32],
    warm: bool,
) -> Vec<(f64, usize, Vec<u64>)> {
    let job = &world.jobs[job_ix];
    let mut picks: Vec<(f64, usize, Vec<u64>)> = Vec::new();
    for (i, machine) in world.machines.iter().enumerate() {
        let tasks = planned[i] + 1;
        let closed = taken[i]
            || !machine.open
            || machine.booting
            || machine.kept_for.is_some_and(|k| k != job_ix)
            || machine.shunned_by.contains(&job_ix)
            || zone.is_some_and(|z| z != machine.zone)
            || !job.allows(machine.machine_type, machine.zone, machine.spot)
            || !machine.total.fits(&job.need.times(tasks))
            || (warm && crate::place::fetch_time(world, job, machine) > 0.0);
        if !closed && let Some((price, victims)) = on_machine(world, job_ix, machine, tasks) {
            picks.push((price, i, victims));
        }
    }
    picks.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    picks
}

fn evict_for(
    world: &World,
    job_ix: usize,
    tasks: u32,
    taken: &[bool],
    warm: bool,
) -> Option<(f64, Eviction)> {
    let job = &world.jobs[job_ix];
    let mut zones: Vec<Option<usize>> = vec![None];
    if job.one_zone {
        zones = (0..job.per_zone.len()).map(Some).collect();
    }
    let mut best: Option<(f64, Eviction)> = None;
    for zone in zones {
        let mut cost = 0.0;
        let mut found = Eviction { job: job_ix, machines: vec![], victims: vec![] };
        let mut planned = vec![0u32; world.machines.len()];
        let mut per_zone = job.per_zone.clone();
        let mut left = tasks;
        // One task's victims on each machine; further ones of a daemon there only if that is not enough.
        let passes = if job.daemon { tasks } else { 1 };
        for _ in 0..passes {
            let picks = picks(world, job_ix, zone, taken, &planned, warm);
            let before = left;
            for (price, machine, victims) in picks {
                if left == 0 {
                    break;
                }
                let zone = world.machines[machine].zone;
                if per_zone.get(zone).copied().unwrap_or(0) >= job.zone_cap {
                    continue;
                }
                cost += price;
                // Whatever else fits on the machine once it is clear goes there too.
                let free =
                    world.machines[machine].free.count(&job.need).saturating_sub(planned[machine]);
                let fits = free.max(1).min(left);
                left -= fits;
                planned[machine] += fits;
                if let Some(n) = per_zone.get_mut(zone) {
                    *n += fits;
                }
                if !found.machines.contains(&machine) {
                    found.machines.push(machine);
                }
                for victim in victims {
                    if !found.victims.contains(&(machine, victim)) {
                        found.victims.push((machine, victim));
                    }
                }
            }
            if left == 0 || left == before {
                break;
            }
        }
        if left == 0 && best.as_ref().is_none_or(|(b, _)| cost < *b) {
            best = Some((cost, found));
        }
    }
    best
}

#[cfg(test)]
mod tests;
