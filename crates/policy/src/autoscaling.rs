use crate::placement::{could_ever_hold, smallest_request};
use crate::{ClusterSnapshot, MachineView, Resources, desired_tasks};

/// A type, zone and kind of machine that can be rented now.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineOffer {
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
pub struct ScaleOut {
    /// Index of the offer.
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// What a fleet round found.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to rent.
    pub scale_out: Vec<ScaleOut>,
    /// Machines that wanted work has a use for.
    pub needed: Vec<bool>,
}

/// How many machines are wanted. Wanted work is laid out over the free room of the machines there
/// are and those that are booting; what finds none is laid out over the cheapest offers.
pub fn plan_scaling(cluster: &ClusterSnapshot, offers: &[MachineOffer]) -> ScalingPlan {
    let mut free: Vec<Resources> = cluster.machines.iter().map(|h| h.free).collect();
    let mut plan = ScalingPlan { scale_out: vec![], needed: vec![false; cluster.machines.len()] };
    // Machines that this plan rents, with the room that is left on them.
    let mut rented: Vec<(usize, Resources)> = Vec::new();
    let mut used: Vec<Resources> = cluster.teams.iter().map(|t| t.used).collect();
    let zones = cluster.machines.iter().map(|h| h.zone).chain(offers.iter().map(|o| o.zone));
    let zones = zones.max().map_or(0, |last| last + 1);
    let least = smallest_request(&cluster.jobs);
    let mut by_price = machines_with_capacity_by_price(cluster, &least);
    for job_index in jobs_to_scale_for(cluster) {
        let job = &cluster.jobs[job_index];
        let lead = provisioning_time(cluster, job_index);
        let mut short =
            desired_tasks(job, cluster.now, lead).saturating_sub(job.placed).min(job.startable);
        if let Some(team) = cluster.teams.get(job.team) {
            let mut then = team.clone();
            then.used = used[job.team];
            short = short.min(then.remaining_tasks(&job.request));
            for _ in 0..short {
                used[job.team].add(&job.request);
            }
        }
        by_price.retain(|i| free[*i].fits(&least));
        let mut open =
            tasks_allowed_per_zone(cluster, job_index, zones, short, &by_price, &free, offers);
        for &i in &by_price {
            let machine = &cluster.machines[i];
            if short == 0 {
                break;
            }
            if !may_use(cluster, job_index, machine) {
                continue;
            }
            let n = free[i].capacity_for(&job.request).min(short).min(open[machine.zone]);
            if n > 0 {
                plan.needed[i] = true;
                for _ in 0..n {
                    free[i].subtract(&job.request);
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
                let n = room.capacity_for(&job.request).min(short).min(open[o.zone]);
                for _ in 0..n {
                    room.subtract(&job.request);
                }
                short -= n;
                open[o.zone] -= n;
            }
        }
        while short > 0 {
            let Some((offer, per_machine)) =
                cheapest_offer(cluster, job_index, short, offers, &open)
            else {
                break;
            };
            let machine_type = &cluster.machine_types[offers[offer].machine_type];
            let n = per_machine.min(short).min(open[offers[offer].zone]);
            open[offers[offer].zone] -= n;
            let mut room = Resources::of_machine_type(machine_type);
            for _ in 0..n {
                room.subtract(&job.request);
            }
            short -= n;
            rented.push((offer, room));
            match plan.scale_out.iter_mut().find(|r| r.offer == offer) {
                Some(rent) => rent.count += 1,
                None => plan.scale_out.push(ScaleOut { offer, count: 1 }),
            }
            if rented.len() >= 64 {
                return plan;
            }
        }
    }
    scale_out_for_crash_looping_arrays(cluster, offers, zones, &mut plan);
    plan
}

/// Machines with room for some task. Work is laid out on cheap ones first, so that dear ones are those to return.
fn machines_with_capacity_by_price(cluster: &ClusterSnapshot, least: &Resources) -> Vec<usize> {
    let mut by_price: Vec<usize> =
        (0..cluster.machines.len()).filter(|i| cluster.machines[*i].free.fits(least)).collect();
    by_price.sort_by(|a, b| {
        let (a, b) = (&cluster.machines[*a], &cluster.machines[*b]);
        let later = |machine: &MachineView| (machine.booting, machine.placed_tasks.is_empty());
        later(a).cmp(&later(b)).then(a.cpu_price().total_cmp(&b.cpu_price()))
    });
    by_price
}

/// The jobs that machines may be rented for, in their order. Nothing is rented for a job that fails wherever it is
/// tried, unless no machines are left that could try it: what failed by bad luck must not wait for ever. One gang
/// at a time; one machine for all others ([`scale_out_for_crash_looping_arrays`]).
fn jobs_to_scale_for(cluster: &ClusterSnapshot) -> Vec<usize> {
    let stranded = (0..cluster.jobs.len()).find(|j| {
        let job = &cluster.jobs[*j];
        job.crash_looping && job.gang && job.startable > 0 && !could_ever_hold(cluster, *j)
    });
    let mut order: Vec<usize> = (0..cluster.jobs.len())
        .filter(|j| !cluster.jobs[*j].crash_looping || Some(*j) == stranded)
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&cluster.jobs[*a], &cluster.jobs[*b]);
        b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
    });
    order
}

/// One machine for jobs that fail wherever they are tried, where none is left or coming that could try them.
fn scale_out_for_crash_looping_arrays(
    cluster: &ClusterSnapshot,
    offers: &[MachineOffer],
    zones: usize,
    plan: &mut ScalingPlan,
) {
    for job_index in
        (0..cluster.jobs.len()).filter(|j| cluster.jobs[*j].crash_looping && !cluster.jobs[*j].gang)
    {
        let job = &cluster.jobs[job_index];
        let fits = |h: &MachineView| may_use(cluster, job_index, h) && h.total.fits(&job.request);
        let coming = plan.scale_out.iter().map(|r| &offers[r.offer]);
        let mut coming = coming.filter(|o| job.allows(o.machine_type, o.zone, o.spot));
        if job.startable == 0 || coming.next().is_some() || cluster.machines.iter().any(fits) {
            continue;
        }
        let open = vec![1; zones];
        if let Some((offer, _)) = cheapest_offer(cluster, job_index, 1, offers, &open) {
            plan.scale_out.push(ScaleOut { offer, count: 1 });
        }
    }
}

fn may_use(cluster: &ClusterSnapshot, job: usize, machine: &MachineView) -> bool {
    (machine.schedulable || machine.booting)
        && machine.reserved_for.is_none_or(|k| k == job)
        && !machine.excluded_by.contains(&job)
        && cluster.jobs[job].allows(machine.machine_type, machine.zone, machine.spot)
}

/// How many more tasks of a job each zone may hold. Without this a gang that must spread, or be together,
/// is thought to fit where it never will, and nothing is rented for it.
fn tasks_allowed_per_zone(
    cluster: &ClusterSnapshot,
    job_index: usize,
    zones: usize,
    short: u32,
    machines: &[usize],
    free: &[Resources],
    offers: &[MachineOffer],
) -> Vec<u32> {
    let job = &cluster.jobs[job_index];
    let here = |zone: usize| job.placed_per_zone.get(zone).copied().unwrap_or(0);
    let mut open: Vec<u32> =
        (0..zones).map(|z| job.max_tasks_per_zone.saturating_sub(here(z))).collect();
    if !job.one_zone || job.tasks <= 1 {
        return open;
    }
    // In one zone: where it is; else where there is room for all of a gang, or a good part of an array; else
    // where more can be rented.
    let room = |zone: usize| -> u32 {
        let there = machines.iter().filter(|i| cluster.machines[**i].zone == zone);
        there
            .filter(|i| may_use(cluster, job_index, &cluster.machines[**i]))
            .fold(0, |n: u32, i| n.saturating_add(free[*i].capacity_for(&job.request)))
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
fn provisioning_time(cluster: &ClusterSnapshot, job_index: usize) -> f64 {
    let job = &cluster.jobs[job_index];
    let fastest = cluster
        .machine_types
        .iter()
        .enumerate()
        .filter(|(i, _)| job.machine_types.get(*i).copied().unwrap_or(false))
        .map(|(_, f)| f.boot_s + f.fetch_s(job.image_gb))
        .fold(f64::INFINITY, f64::min);
    if fastest.is_finite() { fastest } else { 0.0 }
}

/// The offer with the lowest price for the tasks it would take; and how many a machine takes.
fn cheapest_offer(
    cluster: &ClusterSnapshot,
    job_index: usize,
    short: u32,
    offers: &[MachineOffer],
    open: &[u32],
) -> Option<(usize, u32)> {
    let job = &cluster.jobs[job_index];
    let mut best: Option<(f64, usize, u32)> = None;
    for (i, offer) in offers.iter().enumerate() {
        if !job.allows(offer.machine_type, offer.zone, offer.spot) || open[offer.zone] == 0 {
            continue;
        }
        let machine_type = cluster.machine_types.get(offer.machine_type)?;
        let fits = Resources::of_machine_type(machine_type).capacity_for(&job.request);
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
