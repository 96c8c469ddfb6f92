use crate::scheduling_queue::awaits_first_start;
use crate::{ClusterSnapshot, MachineView, PlacedTaskView, Resources};
use hookway_constants as constants;

/// Tasks to stop so that a job finds room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preemption {
    /// The job that the room is for.
    pub job: usize,
    /// Machines to keep for it until it starts.
    pub machines: Vec<usize>,
    /// Tasks to stop: machine and the caller's number.
    pub victims: Vec<(usize, u64)>,
}

/// What stopping a task throws away, in CPU seconds; work that saves loses next to nothing.
fn loss(cluster: &ClusterSnapshot, held: &PlacedTaskView) -> f64 {
    let job = &cluster.jobs[held.job];
    let seconds = if job.checkpoints { held.elapsed.min(5.0) } else { held.elapsed };
    // A gang loses all its tasks with one.
    let tasks = if job.gang { f64::from(job.tasks) } else { 1.0 };
    // A job that would be late for it loses more than its work; one that is late anyway does not.
    let again = cluster.now + job.task_time();
    let weight = match job.deadline {
        Some(due) if cluster.now > due => constants::LATE_VICTIM_WEIGHT,
        Some(due) if again > due => constants::TIGHT_VICTIM_WEIGHT,
        _ => 1.0,
    };
    (1.0 + seconds) * held.request.cpus.max(0.1) * tasks * weight
}

fn may_preempt(cluster: &ClusterSnapshot, job: usize, held: &PlacedTaskView) -> bool {
    let (mine, other) = (&cluster.jobs[job], &cluster.jobs[held.job]);
    if other.priority < mine.priority {
        return true;
    }
    // A team gets its guarantee from what others run beyond theirs.
    if mine.team == other.team {
        return false;
    }
    let covered = cluster.teams.get(mine.team).is_some_and(|t| t.guarantee_covers(&mine.request));
    covered && cluster.teams.get(other.team).is_some_and(|t| t.exceeds_guarantee())
}

/// The cheapest set of tasks whose end makes room for so many tasks of `job` on `machine`.
fn preemption_on_machine(
    cluster: &ClusterSnapshot,
    job: usize,
    machine: &MachineView,
    tasks: u32,
) -> Option<(f64, Vec<u64>)> {
    let need = cluster.jobs[job].request.times(tasks);
    let mut room = machine.free;
    for held in machine.placed_tasks.iter().filter(|h| h.terminating) {
        room.add(&held.request);
    }
    let mut candidates: Vec<(f64, &PlacedTaskView)> = machine
        .placed_tasks
        .iter()
        .filter(|h| !h.terminating && may_preempt(cluster, job, h))
        .map(|h| (loss(cluster, h), h))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    // A machine without the image keeps the job waiting for the fetch.
    let mut cost = crate::placement::fetch_time(cluster, &cluster.jobs[job], machine) * need.cpus;
    let mut victims = Vec::new();
    let mut saving: f64 = 0.0;
    for (price, held) in candidates {
        if room.fits(&need) {
            break;
        }
        room.add(&held.request);
        cost += price;
        saving = saving.max(constants::PREEMPTION_DELAY_S + cluster.jobs[held.job].checkpoint_time);
        victims.push(held.id);
    }
    // The job waits for the stop to arrive, and for what saves to have saved.
    cost += saving * need.cpus;
    room.fits(&need).then_some((cost, victims))
}

/// Whether a gang should rather push work aside on machines that hold its image than wait for a
/// fetch that costs `cost` CPU seconds of waiting places.
pub(crate) fn worth_preempting(cluster: &ClusterSnapshot, job_index: usize, cost: f64) -> bool {
    let taken = vec![false; cluster.machines.len()];
    preemption_for(cluster, job_index, cluster.jobs[job_index].startable, &taken, true)
        .is_some_and(|(price, found)| !found.victims.is_empty() && price < cost)
}

/// The cheaper of two ways to make room: on machines that hold the image, or on any. A gang starts
/// together, so the longest fetch keeps all of its places waiting.
fn cheapest_preemption(
    cluster: &ClusterSnapshot,
    job_index: usize,
    tasks: u32,
    taken: &[bool],
) -> Option<Preemption> {
    let job = &cluster.jobs[job_index];
    let any = preemption_for(cluster, job_index, tasks, taken, false);
    if !job.gang {
        return any.map(|(_, found)| found);
    }
    let warm = preemption_for(cluster, job_index, tasks, taken, true);
    let fetch = |found: &Preemption| {
        let longest = |h: &usize| crate::placement::fetch_time(cluster, job, &cluster.machines[*h]);
        found.machines.iter().map(longest).fold(0.0, f64::max)
    };
    let whole = job.request.cpus * f64::from(tasks);
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
pub fn preempt(cluster: &ClusterSnapshot) -> Vec<Preemption> {
    // A look at all that runs is worth it only where something may be pushed aside at all.
    let held = cluster.machines.iter().flat_map(|h| &h.placed_tasks);
    let lowest = held.map(|h| cluster.jobs[h.job].priority).min();
    let guaranteed = cluster.teams.iter().any(|t| t.guarantee.0 > 0.0 || t.guarantee.1 > 0.0);
    let mut waiting: Vec<usize> = (0..cluster.jobs.len())
        .filter(|i| {
            let job = &cluster.jobs[*i];
            let short = if job.gang { job.startable == job.tasks } else { awaits_first_start(job) };
            // One batch of stops at a time: machines that are being cleared for it stay kept.
            let clearing = cluster.machines.iter().any(|h| h.reserved_for == Some(*i));
            job.startable > 0
                && !job.crash_looping
                && (guaranteed || lowest.is_some_and(|priority| priority < job.priority))
                && short
                && !clearing
                && cluster.now - job.waiting_since >= constants::PREEMPT_AFTER_MS as f64 / 1000.0
        })
        .collect();
    waiting.sort_by(|a, b| {
        let (a, b) = (&cluster.jobs[*a], &cluster.jobs[*b]);
        crate::scheduling_queue::first_start_order(a, b, cluster.now)
    });
    let mut taken: Vec<bool> = vec![false; cluster.machines.len()];
    let mut all = preempt_for_deadlines(cluster);
    for job_index in waiting {
        let job = &cluster.jobs[job_index];
        let tasks = if job.needs_all_tasks_at_once() { job.startable } else { 1 };
        let team_allows =
            cluster.teams.get(job.team).is_none_or(|t| t.remaining_tasks(&job.request) >= tasks);
        if !team_allows {
            all.extend(preempt_for_quota(cluster, job_index, tasks));
            continue;
        }
        let mut found = cheapest_preemption(cluster, job_index, tasks, &taken);
        if found.is_none() && job.daemon {
            // Some replicas are better than none.
            found = cheapest_preemption(cluster, job_index, 1, &taken);
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

/// Resources for arrays that fall short of what their deadlines need, taken from backfill: work of lower priority
/// that nobody is in a hurry for and that can save. What runs for minutes would keep a burst of short tasks
/// waiting past its deadlines.
fn preempt_for_deadlines(cluster: &ClusterSnapshot) -> Vec<Preemption> {
    let now = cluster.now;
    let backfill = |held: &PlacedTaskView| {
        let job = &cluster.jobs[held.job];
        let ran = constants::BACKFILL_MIN_RUN_S
            .max(constants::BACKFILL_MIN_CHECKPOINTS * job.checkpoint_time);
        (crate::scheduling_queue::has_no_objective(job) && job.checkpoints && held.elapsed >= ran)
            .then_some(job.priority)
    };
    // What each machine will have free, and what could be stopped there.
    let mut room: Vec<Resources> = Vec::new();
    let mut stops: Vec<Vec<&PlacedTaskView>> = Vec::new();
    for machine in &cluster.machines {
        let mut free = machine.free;
        let usable = machine.schedulable && !machine.booting && machine.reserved_for.is_none();
        for held in machine.placed_tasks.iter().filter(|h| h.terminating) {
            free.add(&held.request);
        }
        room.push(free);
        let held = machine
            .placed_tasks
            .iter()
            .filter(|h| usable && !h.terminating && backfill(h).is_some());
        stops.push(held.collect());
    }
    if stops.iter().all(Vec::is_empty) {
        return Vec::new();
    }
    let mut waiting: Vec<(f64, usize)> = (0..cluster.jobs.len())
        .filter_map(|i| Some((cluster.jobs[i].deadline?, i)))
        .filter(|(_, i)| {
            let job = &cluster.jobs[*i];
            !job.gang
                && !job.crash_looping
                && job.startable > 0
                && !crate::scheduling_queue::is_late(job, now)
        })
        .collect();
    waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut all = Vec::new();
    for (due, job_index) in waiting {
        let job = &cluster.jobs[job_index];
        let mut short = crate::scheduling_queue::min_tasks_or_estimate(job, now, due)
            .saturating_sub(job.placed)
            .min(job.startable);
        let mut found = Preemption { job: job_index, machines: vec![], victims: vec![] };
        let team = cluster.teams.get(job.team);
        short = team.map_or(short, |t| short.min(t.remaining_tasks(&job.request)));
        // Machines that hold the image first.
        for warm in [true, false] {
            for (i, machine) in cluster.machines.iter().enumerate() {
                let misses = !machine.images.contains(&job.image);
                let closed = misses == warm
                    || !job.allows(machine.machine_type, machine.zone, machine.spot)
                    || !job.may_use_zone(machine.zone)
                    || machine.excluded_by.contains(&job_index);
                while short > 0 && !closed {
                    if room[i].fits(&job.request) {
                        room[i].subtract(&job.request);
                        short -= 1;
                        continue;
                    }
                    let lower = |h: &&PlacedTaskView| cluster.jobs[h.job].priority < job.priority;
                    let Some(at) = stops[i].iter().position(lower) else { break };
                    let held = stops[i].swap_remove(at);
                    room[i].add(&held.request);
                    found.victims.push((i, held.id));
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
fn preempt_for_quota(
    cluster: &ClusterSnapshot,
    job_index: usize,
    tasks: u32,
) -> Option<Preemption> {
    let job = &cluster.jobs[job_index];
    let mut team = cluster.teams.get(job.team)?.clone();
    let mut candidates: Vec<(f64, usize, &PlacedTaskView)> = Vec::new();
    for (i, machine) in cluster.machines.iter().enumerate() {
        for held in &machine.placed_tasks {
            let other = &cluster.jobs[held.job];
            if other.team != job.team {
                continue;
            }
            if held.terminating {
                team.used.subtract(&held.request);
            } else if other.priority < job.priority {
                candidates.push((loss(cluster, held), i, held));
            }
        }
    }
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut found = Preemption { job: job_index, machines: vec![], victims: vec![] };
    for (_, machine, held) in candidates {
        if team.remaining_tasks(&job.request) >= tasks {
            break;
        }
        team.used.subtract(&held.request);
        found.victims.push((machine, held.id));
    }
    (team.remaining_tasks(&job.request) >= tasks && !found.victims.is_empty()).then_some(found)
}

/// What room for one task more than planned costs on each machine, with the tasks to stop; cheapest first.
fn preemption_candidates(
    cluster: &ClusterSnapshot,
    job_index: usize,
    zone: Option<usize>,
    taken: &[bool],
    planned: &[u32],
    warm: bool,
) -> Vec<(f64, usize, Vec<u64>)> {
    let job = &cluster.jobs[job_index];
    let mut picks: Vec<(f64, usize, Vec<u64>)> = Vec::new();
    for (i, machine) in cluster.machines.iter().enumerate() {
        let tasks = planned[i] + 1;
        let closed = taken[i]
            || !machine.schedulable
            || machine.booting
            || machine.reserved_for.is_some_and(|k| k != job_index)
            || machine.excluded_by.contains(&job_index)
            || zone.is_some_and(|z| z != machine.zone)
            || !job.allows(machine.machine_type, machine.zone, machine.spot)
            || !machine.total.fits(&job.request.times(tasks))
            || (warm && crate::placement::fetch_time(cluster, job, machine) > 0.0);
        if !closed
            && let Some((price, victims)) =
                preemption_on_machine(cluster, job_index, machine, tasks)
        {
            picks.push((price, i, victims));
        }
    }
    picks.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    picks
}

fn preemption_for(
    cluster: &ClusterSnapshot,
    job_index: usize,
    tasks: u32,
    taken: &[bool],
    warm: bool,
) -> Option<(f64, Preemption)> {
    let job = &cluster.jobs[job_index];
    let mut zones: Vec<Option<usize>> = vec![None];
    if job.one_zone {
        zones = (0..job.placed_per_zone.len()).map(Some).collect();
    }
    let mut best: Option<(f64, Preemption)> = None;
    for zone in zones {
        let mut cost = 0.0;
        let mut found = Preemption { job: job_index, machines: vec![], victims: vec![] };
        let mut planned = vec![0u32; cluster.machines.len()];
        let mut per_zone = job.placed_per_zone.clone();
        let mut left = tasks;
        // One task's victims on each machine; further ones of a daemon there only if that is not enough.
        let passes = if job.daemon { tasks } else { 1 };
        for _ in 0..passes {
            let picks = preemption_candidates(cluster, job_index, zone, taken, &planned, warm);
            let before = left;
            for (price, machine, victims) in picks {
                if left == 0 {
                    break;
                }
                let zone = cluster.machines[machine].zone;
                if per_zone.get(zone).copied().unwrap_or(0) >= job.max_tasks_per_zone {
                    continue;
                }
                cost += price;
                // Whatever else fits on the machine once it is clear goes there too.
                let free = cluster.machines[machine]
                    .free
                    .capacity_for(&job.request)
                    .saturating_sub(planned[machine]);
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
