use super::cost::placement_cost;
use super::*;
use crate::test_support::{cluster, job, machine};
use crate::{Quota, TeamView, check_feasible};
use hookway_wire::Priority;

/// What [`machines_by_cost`] and filling machine after machine must come to: the best machine, looked for anew
/// for each task.
fn one_by_one(cluster: &mut ClusterSnapshot, job_index: usize, tasks: u32) -> Vec<usize> {
    let mut machines = Vec::new();
    for _ in 0..tasks {
        let job = &cluster.jobs[job_index];
        let open = |i: &usize| is_usable(job_index, job, &cluster.machines[*i]);
        let cost = |i: &usize| placement_cost(cluster, job, &cluster.machines[*i]);
        let best =
            (0..cluster.machines.len()).filter(open).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(machine) = best else { break };
        assign(cluster, job_index, machine);
        machines.push(machine);
    }
    machines
}

#[test]
fn batch_placement_equals_task_by_task_placement() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut machines: Vec<MachineView> =
            (0..40).map(|_| machine(rng.random_range(0..3))).collect();
        for h in &mut machines {
            h.free.cpus = f64::from(rng.random_range(0..5u8));
            h.images = (0..rng.random_range(0..3u32)).collect();
            h.spot = rng.random_range(0..3) == 0;
            h.price = f64::from(rng.random_range(1..4u8));
            h.schedulable = rng.random_range(0..5) > 0;
        }
        let tasks: u32 = rng.random_range(1..60);
        let spread = rng.random_range(0..3) == 0;
        let wanted = JobView {
            max_tasks_per_zone: if spread { tasks.div_ceil(2) } else { tasks },
            spot: rng.random_range(0..2) == 0,
            image: rng.random_range(0..3),
            ..job(f64::from(rng.random_range(1..3u8)), tasks)
        };
        let mut w = cluster(vec![wanted], machines);
        w.cheapest_cpu_price = 0.25;
        let mut same = w.clone();
        let all: Vec<usize> = (0..40).collect();
        assert_eq!(place_job(&mut w, 0, tasks, &all), one_by_one(&mut same, 0, tasks));
    }
}

#[test]
fn gang_without_resources_for_all_tasks_places_none() {
    let gang = JobView { gang: true, ..job(3.0, 3) };
    let mut w = cluster(vec![gang.clone()], vec![machine(0), machine(1)]);
    assert_eq!(place(&mut w).placements, []);
    assert_eq!(w.machines[0].free.cpus, 4.0, "nothing stays reserved");
    let mut w = cluster(vec![gang], vec![machine(0), machine(1), machine(2)]);
    assert_eq!(place(&mut w).placements[0].machines.len(), 3);
}

#[test]
fn one_zone_job_stays_in_one_zone_and_spread_job_within_zone_cap() {
    let one_zone = JobView { one_zone: true, gang: true, ..job(3.0, 2) };
    let mut w = cluster(vec![one_zone], vec![machine(0), machine(1), machine(1)]);
    assert_eq!(place(&mut w).placements[0].machines, [1, 2]);
    let spread = JobView { max_tasks_per_zone: 3, gang: true, ..job(1.0, 5) };
    let mut w = cluster(vec![spread.clone()], vec![machine(0), machine(0)]);
    assert_eq!(place(&mut w).placements, []);
    let mut w = cluster(vec![spread], vec![machine(0), machine(1)]);
    let placed = place(&mut w).placements.remove(0).machines;
    assert_eq!(placed.len(), 5);
    assert!(placed.iter().filter(|h| **h == 0).count() <= 3);
    assert!(placed.iter().filter(|h| **h == 1).count() <= 3);
}

#[test]
fn placement_respects_quota_zone_and_spot_constraints() {
    let mut w = cluster(vec![job(1.0, 10)], vec![machine(0), machine(1)]);
    w.teams[0].limit = Quota { cpus: 3.0, gpus: 0.0 };
    assert_eq!(place(&mut w).placements.iter().map(|p| p.machines.len()).sum::<usize>(), 3);
    let picky = JobView { zone: Some(1), spot: false, ..job(1.0, 10) };
    let spot = MachineView { spot: true, ..machine(1) };
    let mut w = cluster(vec![picky], vec![machine(0), spot, machine(1)]);
    let placed = place(&mut w).placements;
    assert!(placed.iter().flat_map(|p| &p.machines).all(|h| *h == 2));
    assert_eq!(placed.iter().map(|p| p.machines.len()).sum::<usize>(), 4);
}

#[test]
fn array_leaves_quota_and_resources_to_waiting_gang() {
    // The limit: 4 of 6 CPUs are in use, the gang needs 4; the array must not take the rest.
    let gang = JobView { gang: true, ..job(2.0, 2) };
    let array = JobView { placed: 4, completed: 1, mean_task_time: Some(9.0), ..job(1.0, 50) };
    let mut w = cluster(vec![gang.clone(), array.clone()], vec![machine(0), machine(1)]);
    w.teams[0].limit = Quota { cpus: 6.0, gpus: 0.0 };
    w.teams[0].used.cpus = 4.0;
    assert_eq!(place(&mut w).placements, []);
    // Resources: the gang needs 4 CPUs on each of two machines that have 1 free each.
    let gang = JobView { gang: true, ..job(4.0, 2) };
    let mut busy = [machine(0), machine(1)];
    for h in &mut busy {
        h.free.cpus = 1.0;
    }
    let mut w = cluster(vec![gang, array], busy.to_vec());
    w.now = 1.0;
    assert_eq!(place(&mut w).placements.len(), 1, "at first what is free is used");
    let mut w = cluster(w.jobs.clone(), busy.to_vec());
    w.now = 20.0;
    assert_eq!(place(&mut w).placements, [], "later it is kept for the gang");
}

#[test]
fn placement_prefers_machine_with_cached_image() {
    let warm = MachineView { images: vec![1], ..machine(1) };
    let mut w = cluster(vec![job(1.0, 1)], vec![machine(0), warm]);
    assert_eq!(place(&mut w).placements[0].machines, [1]);
}

#[test]
fn array_avoids_machines_that_gangs_need_while_others_have_resources() {
    let mut large = machine(0);
    large.total = Resources { cpus: 32.0, gpus: 0.0, memory_gb: 64.0 };
    large.free = large.total;
    let mut w = cluster(vec![job(1.0, 6)], vec![large, machine(1)]);
    w.gang_requests = vec![Resources { cpus: 30.0, gpus: 0.0, memory_gb: 50.0 }];
    let placed: Vec<usize> =
        place(&mut w).placements.into_iter().flat_map(|p| p.machines).collect();
    assert_eq!(placed, [1, 1, 1, 1, 0, 0], "the rest goes there all the same");
}

#[test]
fn gang_waits_for_draining_machines_only_if_all_have_its_image() {
    let gang = JobView { gang: true, ..job(3.0, 2) };
    let kept = |images: Vec<u32>, free: f64| {
        let mut h = MachineView { images, reserved_for: Some(0), ..machine(0) };
        h.free.cpus = free;
        h
    };
    // Two machines are free without the image, two that hold it are being cleared.
    let machines = vec![kept(vec![1], 0.0), kept(vec![1], 0.0), machine(0), machine(0)];
    let mut w = cluster(vec![gang.clone()], machines);
    assert_eq!(place(&mut w).placements, [], "they will be clear before a fetch is over");
    // One of the two that were cleared lacks it.
    let machines = vec![kept(vec![1], 4.0), kept(vec![], 4.0), machine(0)];
    let mut w = cluster(vec![gang], machines);
    assert_eq!(place(&mut w).placements.len(), 1, "the fetch may begin");
}

/// Capacity is not published: a gang can be accepted that no machines will ever hold. Its team's limit
/// must not be set aside for it for ever.
#[test]
fn infeasible_gang_stops_reserving_team_quota_after_time_limit() {
    let gang = JobView { gang: true, ..job(4.0, 3) };
    let array = JobView { placed: 2, completed: 1, mean_task_time: Some(9.0), ..job(1.0, 50) };
    let at = |now: f64, machines: Vec<MachineView>| {
        let mut w = cluster(vec![gang.clone(), array.clone()], machines);
        w.teams[0].limit = Quota { cpus: 14.0, gpus: 0.0 };
        w.teams[0].used.cpus = 2.0;
        w.now = now;
        place(&mut w).placements.iter().map(|p| p.machines.len()).sum::<usize>()
    };
    assert_eq!(at(30.0, vec![machine(0), machine(1)]), 0, "machines may be on their way");
    assert_eq!(at(70.0, vec![machine(0), machine(1)]), 8, "two hold two of three");
    let mut busy = machine(1);
    busy.free.cpus = 3.0;
    assert_eq!(at(70.0, vec![machine(0), machine(1), busy]), 0, "three could hold it");
}

#[test]
fn infeasible_request_is_rejected() {
    let team = TeamView { limit: Quota { cpus: 4.0, gpus: 0.0 }, ..TeamView::default() };
    let room = |cpus| Resources { cpus, gpus: 0.0, memory_gb: 1.0 };
    assert!(check_feasible(&[true], &room(3.0), 1, &team).is_ok());
    assert!(check_feasible(&[true], &room(5.0), 1, &team).is_err());
    assert!(check_feasible(&[true], &room(3.0), 2, &team).is_err(), "a gang of two");
    assert!(check_feasible(&[false], &room(1.0), 1, &team).is_err());
}

#[test]
fn no_machine_is_reserved_for_gang_blocked_by_daemons() {
    let daemon =
        JobView { daemon: true, priority: Priority::Production, startable: 0, ..job(1.0, 4) };
    let gang = JobView { gang: true, max_tasks_per_zone: 1, ..job(4.0, 2) };
    let mut full = machine(1);
    full.free = Resources::default();
    full.placed_tasks = (0..4)
        .map(|tag| crate::PlacedTaskView {
            id: tag,
            job: 0,
            request: job(1.0, 1).request,
            elapsed: 9.0,
            terminating: false,
        })
        .collect();
    let array = job(1.0, 4);
    let mut w = cluster(vec![daemon, gang, array], vec![machine(0), full]);
    w.now = 30.0;
    let placed = place(&mut w);
    let of_array =
        placed.placements.iter().filter(|p| p.job == 2).flat_map(|p| &p.machines).count();
    assert_eq!(of_array, 4, "the empty machine is not kept");
    // What is lower in priority gives way to the gang, so there is something to wait for.
    let low = JobView { daemon: true, priority: Priority::Low, startable: 0, ..job(1.0, 4) };
    w = ClusterSnapshot { jobs: vec![low, w.jobs[1].clone(), job(1.0, 4)], ..w };
    w.machines[0].free = w.machines[0].total;
    assert!(place(&mut w).placements.is_empty());
}
