use super::cost::placement_cost;
use super::*;
use crate::test_support::{cluster, job, machine};
use crate::{Quota, TeamView, check_feasible};
use hookway_wire::Priority;

/// Reference implementation of [`place_job`] for arrays: ranks all machines again for each task.
fn place_task_by_task(
    cluster: &mut SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
) -> Vec<usize> {
    let mut machines = Vec::new();
    for _ in 0..tasks {
        let job = &cluster.jobs[job_index];
        let usable = |index: &usize| is_usable(job_index, job, &cluster.machines[*index]);
        let cost = |index: &usize| placement_cost(cluster, job, &cluster.machines[*index]);
        let best =
            (0..cluster.machines.len()).filter(usable).min_by(|a, b| cost(a).total_cmp(&cost(b)));
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
        for machine in &mut machines {
            machine.free.cpus = f64::from(rng.random_range(0..5u8));
            machine.images = (0..rng.random_range(0..3u32)).collect();
            machine.is_spot = rng.random_range(0..3) == 0;
            machine.price = f64::from(rng.random_range(1..4u8));
            machine.schedulable = rng.random_range(0..5) > 0;
        }
        let tasks: u32 = rng.random_range(1..60);
        let spread = rng.random_range(0..3) == 0;
        let array = JobView {
            max_tasks_per_zone: if spread { tasks.div_ceil(2) } else { tasks },
            allows_spot: rng.random_range(0..2) == 0,
            image: rng.random_range(0..3),
            ..job(f64::from(rng.random_range(1..3u8)), tasks)
        };
        let mut snapshot = cluster(vec![array], machines);
        snapshot.cheapest_cpu_price = 0.25;
        let mut reference = snapshot.clone();
        let candidates: Vec<usize> = (0..40).collect();
        let expected = place_task_by_task(&mut reference, 0, tasks);
        assert_eq!(place_job(&mut snapshot, 0, tasks, &candidates), expected);
    }
}

#[test]
fn gang_without_resources_for_all_tasks_places_none() {
    let gang = JobView { is_gang: true, ..job(3.0, 3) };
    let mut snapshot = cluster(vec![gang.clone()], vec![machine(0), machine(1)]);
    assert_eq!(place(&mut snapshot).placements, []);
    assert_eq!(
        snapshot.machines[0].free.cpus, 4.0,
        "the resources of the partially assigned gang are free again"
    );
    let mut snapshot = cluster(vec![gang], vec![machine(0), machine(1), machine(2)]);
    assert_eq!(place(&mut snapshot).placements[0].machines.len(), 3);
}

#[test]
fn one_zone_job_stays_in_one_zone_and_spread_job_within_zone_cap() {
    let one_zone = JobView { needs_one_zone: true, is_gang: true, ..job(3.0, 2) };
    let mut snapshot = cluster(vec![one_zone], vec![machine(0), machine(1), machine(1)]);
    assert_eq!(place(&mut snapshot).placements[0].machines, [1, 2]);
    let spread = JobView { max_tasks_per_zone: 3, is_gang: true, ..job(1.0, 5) };
    let mut snapshot = cluster(vec![spread.clone()], vec![machine(0), machine(0)]);
    assert_eq!(place(&mut snapshot).placements, []);
    let mut snapshot = cluster(vec![spread], vec![machine(0), machine(1)]);
    let placed = place(&mut snapshot).placements.remove(0).machines;
    assert_eq!(placed.len(), 5);
    assert!(placed.iter().filter(|index| **index == 0).count() <= 3);
    assert!(placed.iter().filter(|index| **index == 1).count() <= 3);
}

#[test]
fn placement_respects_quota_zone_and_spot_constraints() {
    let mut snapshot = cluster(vec![job(1.0, 10)], vec![machine(0), machine(1)]);
    snapshot.teams[0].limit = Quota { cpus: 3.0, gpus: 0.0 };
    assert_eq!(
        place(&mut snapshot)
            .placements
            .iter()
            .map(|placement| placement.machines.len())
            .sum::<usize>(),
        3
    );
    let constrained = JobView { zone: Some(1), allows_spot: false, ..job(1.0, 10) };
    let spot = MachineView { is_spot: true, ..machine(1) };
    let mut snapshot = cluster(vec![constrained], vec![machine(0), spot, machine(1)]);
    let placed = place(&mut snapshot).placements;
    assert!(placed.iter().flat_map(|placement| &placement.machines).all(|index| *index == 2));
    assert_eq!(placed.iter().map(|placement| placement.machines.len()).sum::<usize>(), 4);
}

#[test]
fn array_leaves_quota_and_resources_to_waiting_gang() {
    // Quota: 4 of the team's 6 CPUs are in use and the gang needs 4, so the array must not use the other 2.
    let gang = JobView { is_gang: true, ..job(2.0, 2) };
    let array = JobView { placed: 4, completed: 1, mean_task_time: Some(9.0), ..job(1.0, 50) };
    let mut snapshot = cluster(vec![gang.clone(), array.clone()], vec![machine(0), machine(1)]);
    snapshot.teams[0].limit = Quota { cpus: 6.0, gpus: 0.0 };
    snapshot.teams[0].used.cpus = 4.0;
    assert_eq!(place(&mut snapshot).placements, []);
    // Machines: the gang needs 4 CPUs on each of two machines that have 1 free each.
    let gang = JobView { is_gang: true, ..job(4.0, 2) };
    let mut busy = [machine(0), machine(1)];
    for machine in &mut busy {
        machine.free.cpus = 1.0;
    }
    let mut snapshot = cluster(vec![gang, array], busy.to_vec());
    snapshot.now = 1.0;
    assert_eq!(
        place(&mut snapshot).placements.len(),
        1,
        "before GANG_RESERVATION_DELAY the array uses free resources"
    );
    let mut snapshot = cluster(snapshot.jobs.clone(), busy.to_vec());
    snapshot.now = 20.0;
    assert_eq!(
        place(&mut snapshot).placements,
        [],
        "after GANG_RESERVATION_DELAY the machines are reserved for the gang"
    );
}

#[test]
fn placement_prefers_machine_with_cached_image() {
    let with_image = MachineView { images: vec![1], ..machine(1) };
    let mut snapshot = cluster(vec![job(1.0, 1)], vec![machine(0), with_image]);
    assert_eq!(place(&mut snapshot).placements[0].machines, [1]);
}

#[test]
fn array_avoids_machines_that_gangs_need_while_others_have_resources() {
    let mut large = machine(0);
    large.capacity = Resources { cpus: 32.0, gpus: 0.0, memory_gb: 64.0 };
    large.free = large.capacity;
    let mut snapshot = cluster(vec![job(1.0, 6)], vec![large, machine(1)]);
    snapshot.gang_requests = vec![Resources { cpus: 30.0, gpus: 0.0, memory_gb: 50.0 }];
    let placed: Vec<usize> = place(&mut snapshot)
        .placements
        .into_iter()
        .flat_map(|placement| placement.machines)
        .collect();
    assert_eq!(
        placed,
        [1, 1, 1, 1, 0, 0],
        "once the small machine is full, the array uses the large one"
    );
}

#[test]
fn gang_waits_for_reserved_machines_only_if_all_have_its_image() {
    let gang = JobView { is_gang: true, ..job(3.0, 2) };
    let reserved = |images: Vec<u32>, free: f64| {
        let mut machine = MachineView { images, reserved_for: Some(0), ..machine(0) };
        machine.free.cpus = free;
        machine
    };
    // Two machines without the image are free, two with the image are being cleared.
    let machines = vec![reserved(vec![1], 0.0), reserved(vec![1], 0.0), machine(0), machine(0)];
    let mut snapshot = cluster(vec![gang.clone()], machines);
    assert_eq!(
        place(&mut snapshot).placements,
        [],
        "the gang waits for the machines with the image"
    );
    // One of the two reserved machines lacks the image.
    let machines = vec![reserved(vec![1], 4.0), reserved(vec![], 4.0), machine(0)];
    let mut snapshot = cluster(vec![gang], machines);
    assert_eq!(
        place(&mut snapshot).placements.len(),
        1,
        "the gang has to fetch the image in any case, so it starts"
    );
}

/// Admission has no information on how many machines the cloud can provide, so it may accept a gang that never fits.
/// The quota of its team must not stay reserved for it indefinitely.
#[test]
fn infeasible_gang_stops_reserving_team_quota_after_time_limit() {
    let gang = JobView { is_gang: true, ..job(4.0, 3) };
    let array = JobView { placed: 2, completed: 1, mean_task_time: Some(9.0), ..job(1.0, 50) };
    let placed_tasks = |now: f64, machines: Vec<MachineView>| {
        let mut snapshot = cluster(vec![gang.clone(), array.clone()], machines);
        snapshot.teams[0].limit = Quota { cpus: 14.0, gpus: 0.0 };
        snapshot.teams[0].used.cpus = 2.0;
        snapshot.now = now;
        place(&mut snapshot)
            .placements
            .iter()
            .map(|placement| placement.machines.len())
            .sum::<usize>()
    };
    assert_eq!(
        placed_tasks(30.0, vec![machine(0), machine(1)]),
        0,
        "before MAX_GANG_RESERVATION_WAIT the quota stays reserved for the gang"
    );
    assert_eq!(
        placed_tasks(70.0, vec![machine(0), machine(1)]),
        8,
        "two machines cannot hold the gang of three: the array uses its quota"
    );
    let mut busy = machine(1);
    busy.free.cpus = 3.0;
    assert_eq!(
        placed_tasks(70.0, vec![machine(0), machine(1), busy]),
        0,
        "three machines could hold the gang: its quota stays reserved"
    );
}

#[test]
fn infeasible_request_is_rejected() {
    let team = TeamView { limit: Quota { cpus: 4.0, gpus: 0.0 }, ..TeamView::default() };
    let request = |cpus| Resources { cpus, gpus: 0.0, memory_gb: 1.0 };
    assert!(check_feasible(&[true], &request(3.0), 1, &team).is_ok());
    assert!(check_feasible(&[true], &request(5.0), 1, &team).is_err());
    assert!(
        check_feasible(&[true], &request(3.0), 2, &team).is_err(),
        "two tasks at a time exceed the limit"
    );
    assert!(check_feasible(&[false], &request(1.0), 1, &team).is_err());
}

#[test]
fn no_machine_is_reserved_for_gang_blocked_by_daemons() {
    let daemon =
        JobView { is_daemon: true, priority: Priority::Production, startable: 0, ..job(1.0, 4) };
    let gang = JobView { is_gang: true, max_tasks_per_zone: 1, ..job(4.0, 2) };
    let mut full_machine = machine(1);
    full_machine.free = Resources::default();
    full_machine.placed_tasks = (0..4)
        .map(|id| crate::PlacedTaskView {
            id,
            job: 0,
            request: job(1.0, 1).request,
            running_time: 9.0,
            terminating: false,
        })
        .collect();
    let array = job(1.0, 4);
    let mut snapshot = cluster(vec![daemon, gang, array], vec![machine(0), full_machine]);
    snapshot.now = 30.0;
    let outcome = place(&mut snapshot);
    let array_tasks = outcome
        .placements
        .iter()
        .filter(|placement| placement.job == 2)
        .flat_map(|placement| &placement.machines)
        .count();
    assert_eq!(array_tasks, 4, "the empty machine is not reserved for the gang");
    // Replicas of lower priority can be preempted for the gang, so the machines are reserved.
    let low_priority =
        JobView { is_daemon: true, priority: Priority::Low, startable: 0, ..job(1.0, 4) };
    snapshot = SchedulingSnapshot {
        jobs: vec![low_priority, snapshot.jobs[1].clone(), job(1.0, 4)],
        ..snapshot
    };
    snapshot.machines[0].free = snapshot.machines[0].capacity;
    assert!(place(&mut snapshot).placements.is_empty());
}
