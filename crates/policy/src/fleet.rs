use crate::place::{could_hold, least_need};
use crate::{MachineView, Room, World, wanted};

/// A type, zone and kind of machine that can be rented now.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Machine type.
    pub machine_type: usize,
    /// Zone.
    pub zone: usize,
    /// Spot or ordinary.
    pub spot: bool,
    /// Price per hour.
    pub price: f64,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq)]
pub struct Rent {
    /// Index of the offer.
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// What a fleet round found.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetPlan {
    /// Machines to rent.
    pub rent: Vec<Rent>,
    /// Machines that wanted work has a use for.
    pub needed: Vec<bool>,
}

/// How many machines are wanted. Wanted work is laid out over the free room of the machines there
/// are and those that are booting; what finds none is laid out over the cheapest offers.
pub fn plan_fleet(world: &World, offers: &[Offer]) -> FleetPlan {
    let mut free: Vec<Room> = world.machines.iter().map(|h| h.free).collect();
    let mut plan = FleetPlan { rent: vec![], needed: vec![false; world.machines.len()] };
    // Machines that this plan rents, with the room that is left on them.
    let mut rented: Vec<(usize, Room)> = Vec::new();
    let mut used: Vec<Room> = world.teams.iter().map(|t| t.used).collect();
    let zones = world.machines.iter().map(|h| h.zone).chain(offers.iter().map(|o| o.zone));
    let zones = zones.max().map_or(0, |last| last + 1);
    let least = least_need(&world.jobs);
    let mut by_price = roomy_machines_by_price(world, &least);
    for job_ix in jobs_to_rent_for(world) {
        let job = &world.jobs[job_ix];
        let lead = lead_time(world, job_ix);
        let mut short = wanted(job, world.now, lead).saturating_sub(job.running).min(job.startable);
        if let Some(team) = world.teams.get(job.team) {
            let mut then = team.clone();
            then.used = used[job.team];
            short = short.min(then.allows(&job.need));
            for _ in 0..short {
                used[job.team].give(&job.need);
            }
        }
        by_price.retain(|i| free[*i].fits(&least));
        let mut open = open_zones(world, job_ix, zones, short, &by_price, &free, offers);
        for &i in &by_price {
            let machine = &world.machines[i];
            if short == 0 {
                break;
            }
            if !takes(world, job_ix, machine) {
                continue;
            }
            let n = free[i].count(&job.need).min(short).min(open[machine.zone]);
            if n > 0 {
                plan.needed[i] = true;
                for _ in 0..n {
                    free[i].take(&job.need);
                }
                short -= n;
                open[machine.zone] -= n;
            }
        }
        for (offer, room) in &mut rented {
            let o = &offers[*offer];
            if short == 0 {
                break;
            }
            if job.allows(o.machine_type, o.zone, o.spot) {
                let n = room.count(&job.need).min(short).min(open[o.zone]);
                for _ in 0..n {
                    room.take(&job.need);
                }
                short -= n;
                open[o.zone] -= n;
            }
        }
        while short > 0 {
            let Some((offer, per_machine)) = cheapest(world, job_ix, short, offers, &open) else {
                break;
            };
            let machine_type = &world.machine_types[offers[offer].machine_type];
            let n = per_machine.min(short).min(open[offers[offer].zone]);
            open[offers[offer].zone] -= n;
            let mut room = Room::of_machine_type(machine_type);
            for _ in 0..n {
                room.take(&job.need);
            }
            short -= n;
            rented.push((offer, room));
            match plan.rent.iter_mut().find(|r| r.offer == offer) {
                Some(rent) => rent.count += 1,
                None => plan.rent.push(Rent { offer, count: 1 }),
            }
            if rented.len() >= 64 {
                return plan;
            }
        }
    }
    rent_for_failing_arrays(world, offers, zones, &mut plan);
    plan
}

/// Machines with room for some task. Work is laid out on cheap ones first, so that dear ones are those to return.
fn roomy_machines_by_price(world: &World, least: &Room) -> Vec<usize> {
    let mut by_price: Vec<usize> =
        (0..world.machines.len()).filter(|i| world.machines[*i].free.fits(least)).collect();
    by_price.sort_by(|a, b| {
        let (a, b) = (&world.machines[*a], &world.machines[*b]);
        let later = |machine: &MachineView| (machine.booting, machine.held.is_empty());
        later(a).cmp(&later(b)).then(a.cpu_price().total_cmp(&b.cpu_price()))
    });
    by_price
}

/// The jobs that machines may be rented for, in their order. Nothing is rented for a job that fails wherever it is
/// tried, unless no machines are left that could try it: what failed by bad luck must not wait for ever. One gang
/// at a time; one machine for all others ([`rent_for_failing_arrays`]).
fn jobs_to_rent_for(world: &World) -> Vec<usize> {
    let stranded = (0..world.jobs.len()).find(|j| {
        let job = &world.jobs[*j];
        job.doubtful && job.gang && job.startable > 0 && !could_hold(world, *j)
    });
    let mut order: Vec<usize> = (0..world.jobs.len())
        .filter(|j| !world.jobs[*j].doubtful || Some(*j) == stranded)
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&world.jobs[*a], &world.jobs[*b]);
        b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
    });
    order
}

/// One machine for jobs that fail wherever they are tried, where none is left or coming that could try them.
fn rent_for_failing_arrays(world: &World, offers: &[Offer], zones: usize, plan: &mut FleetPlan) {
    for job_ix in (0..world.jobs.len()).filter(|j| world.jobs[*j].doubtful && !world.jobs[*j].gang)
    {
        let job = &world.jobs[job_ix];
        let fits = |h: &MachineView| takes(world, job_ix, h) && h.total.fits(&job.need);
        let coming = plan.rent.iter().map(|r| &offers[r.offer]);
        let mut coming = coming.filter(|o| job.allows(o.machine_type, o.zone, o.spot));
        if job.startable == 0 || coming.next().is_some() || world.machines.iter().any(fits) {
            continue;
        }
        let open = vec![1; zones];
        if let Some((offer, _)) = cheapest(world, job_ix, 1, offers, &open) {
            plan.rent.push(Rent { offer, count: 1 });
        }
    }
}

fn takes(world: &World, job: usize, machine: &MachineView) -> bool {
    (machine.open || machine.booting)
        && machine.kept_for.is_none_or(|k| k == job)
        && !machine.shunned_by.contains(&job)
        && world.jobs[job].allows(machine.machine_type, machine.zone, machine.spot)
}

/// How many more tasks of a job each zone may hold. Without this a gang that must spread, or be together,
/// is thought to fit where it never will, and nothing is rented for it.
fn open_zones(
    world: &World,
    job_ix: usize,
    zones: usize,
    short: u32,
    machines: &[usize],
    free: &[Room],
    offers: &[Offer],
) -> Vec<u32> {
    let job = &world.jobs[job_ix];
    let here = |zone: usize| job.per_zone.get(zone).copied().unwrap_or(0);
    let mut open: Vec<u32> = (0..zones).map(|z| job.zone_cap.saturating_sub(here(z))).collect();
    if !job.one_zone || job.tasks <= 1 {
        return open;
    }
    // In one zone: where it is; else where there is room for all of a gang, or a good part of an array; else
    // where more can be rented.
    let room = |zone: usize| -> u32 {
        let there = machines.iter().filter(|i| world.machines[**i].zone == zone);
        there
            .filter(|i| takes(world, job_ix, &world.machines[**i]))
            .fold(0, |n: u32, i| n.saturating_add(free[*i].count(&job.need)))
    };
    let rentable = |zone: usize| {
        offers.iter().any(|o| o.zone == zone && job.allows(o.machine_type, o.zone, o.spot))
    };
    let best = (0..zones).max_by_key(|zone| {
        let room = room(*zone).min(short);
        let enough = if job.gang { short } else { short.div_ceil(4) };
        (here(*zone), room >= enough, rentable(*zone), room)
    });
    for (zone, open) in open.iter_mut().enumerate() {
        if Some(zone) != best {
            *open = 0;
        }
    }
    open
}

/// Time until a machine rented now could run the job's first task, s.
fn lead_time(world: &World, job_ix: usize) -> f64 {
    let job = &world.jobs[job_ix];
    let fastest = world
        .machine_types
        .iter()
        .enumerate()
        .filter(|(i, _)| job.machine_types.get(*i).copied().unwrap_or(false))
        .map(|(_, f)| f.boot_s + f.fetch_s(job.image_gb))
        .fold(f64::INFINITY, f64::min);
    if fastest.is_finite() { fastest } else { 0.0 }
}

/// The offer with the lowest price for the tasks it would take; and how many a machine takes.
fn cheapest(
    world: &World,
    job_ix: usize,
    short: u32,
    offers: &[Offer],
    open: &[u32],
) -> Option<(usize, u32)> {
    let job = &world.jobs[job_ix];
    let mut best: Option<(f64, usize, u32)> = None;
    for (i, offer) in offers.iter().enumerate() {
        if !job.allows(offer.machine_type, offer.zone, offer.spot) || open[offer.zone] == 0 {
            continue;
        }
        let machine_type = world.machine_types.get(offer.machine_type)?;
        let fits = Room::of_machine_type(machine_type).count(&job.need);
        if fits == 0 {
            continue;
        }
        let tasks = fits.min(short).min(open[offer.zone]);
        // Boot and image fetch are paid for too, spread over a nominal minute of work.
        let fetch = machine_type.fetch_s(job.image_gb);
        let overhead = 1.0 + (machine_type.boot_s + fetch) / 60.0;
        let price = offer.price * overhead / f64::from(tasks);
        if best.is_none_or(|(b, _, _)| price < b) {
            best = Some((price, i, fits));
        }
    }
    best.map(|(_, i, n)| (i, n))
}

#[cfg(test)]
mod tests;
