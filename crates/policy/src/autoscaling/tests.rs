use super::*;
use crate::test_support::{cluster, job, machine};

#[test]
fn unplaced_demand_scales_out() {
    let snapshot = cluster(vec![job(1.0, 10)], vec![machine(0)]);
    let offers = [
        MachineOffer { machine_type: 0, zone: 0, is_spot: false, price: 1.0 },
        MachineOffer { machine_type: 0, zone: 1, is_spot: true, price: 0.3 },
    ];
    let plan = plan_scaling(&snapshot, &offers);
    assert_eq!(plan.needed, [true]);
    assert_eq!(
        plan.scale_out,
        [ScaleOut { offer: 1, count: 1 }],
        "10 tasks of 10 s within 20 s: 5 at a time, 4 fit on the existing machine"
    );
}

fn gang(tasks: u32) -> crate::JobView {
    crate::JobView { is_gang: true, ..job(3.0, tasks) }
}

/// Guards against a gang that waits indefinitely: it must spread over zones, and all idle machines are in one zone.
/// Found by the simulation.
#[test]
fn spread_gang_scales_out_in_other_zone() {
    let spread = crate::JobView { max_tasks_per_zone: 2, ..gang(3) };
    let snapshot = cluster(vec![spread], vec![machine(0), machine(0), machine(0)]);
    let offers =
        [0, 1].map(|zone| MachineOffer { machine_type: 0, zone, is_spot: false, price: 1.0 });
    assert_eq!(plan_scaling(&snapshot, &offers).scale_out, [ScaleOut { offer: 1, count: 1 }]);
}

#[test]
fn one_zone_gang_scales_out_by_missing_capacity_of_one_zone() {
    let one_zone = crate::JobView { needs_one_zone: true, ..gang(3) };
    let snapshot = cluster(vec![one_zone.clone()], vec![machine(0), machine(1), machine(1)]);
    let offers =
        [0, 1].map(|zone| MachineOffer { machine_type: 0, zone, is_spot: false, price: 1.0 });
    assert_eq!(plan_scaling(&snapshot, &offers).scale_out, [ScaleOut { offer: 1, count: 1 }]);
    // Zone 1 has more machines, but none can be added there, so two are added in zone 0.
    assert_eq!(plan_scaling(&snapshot, &offers[..1]).scale_out, [ScaleOut { offer: 0, count: 2 }]);
    let complete = cluster(vec![one_zone], vec![machine(0), machine(1), machine(1), machine(1)]);
    assert_eq!(plan_scaling(&complete, &offers).scale_out, []);
}

/// A one-zone array uses machines of one zone only; machines added in another zone would stay idle.
#[test]
fn one_zone_array_does_not_scale_out_in_second_zone() {
    let offers = [1].map(|zone| MachineOffer { machine_type: 0, zone, is_spot: false, price: 1.0 });
    let scaled_out = |tasks: u32| {
        let one_zone = crate::JobView { needs_one_zone: true, ..job(3.0, tasks) };
        let snapshot = cluster(vec![one_zone], vec![machine(0), machine(0)]);
        plan_scaling(&snapshot, &offers)
            .scale_out
            .iter()
            .map(|scale_out| scale_out.count)
            .sum::<u32>()
    };
    assert_eq!(
        scaled_out(8),
        0,
        "zone 0 has capacity for a quarter of the tasks, and nothing is added elsewhere"
    );
    assert!(scaled_out(60) > 10, "zone 0 has too little capacity, and zone 1 has an offer");
}

/// Guards against a job that waits indefinitely: it failed once through no fault of its own, then all machines were
/// lost, and none was ever added for it. Found by the simulation (seed 3502 with a partitioned zone).
#[test]
fn failed_job_scales_out_when_no_eligible_machine_remains() {
    let crash_looping = crate::JobView { crash_looping: true, startable: 1, ..job(3.0, 30) };
    let offers = [MachineOffer { machine_type: 0, zone: 0, is_spot: false, price: 1.0 }];
    let scaled_out = |jobs: Vec<crate::JobView>, machines| {
        plan_scaling(&cluster(jobs, machines), &offers).scale_out
    };
    let two_arrays = vec![crash_looping.clone(), crash_looping.clone()];
    assert_eq!(
        scaled_out(two_arrays, vec![]),
        [ScaleOut { offer: 0, count: 1 }],
        "one machine for all crash-looping arrays"
    );
    let mut busy = machine(0);
    busy.free = Resources::default();
    assert_eq!(
        scaled_out(vec![crash_looping.clone()], vec![busy]),
        [],
        "an existing machine could run the array once it has free resources"
    );
    let gang = crate::JobView { is_gang: true, startable: 3, ..crash_looping.clone() };
    let gang = crate::JobView { tasks: 3, unfinished: 3, max_tasks_per_zone: 3, ..gang };
    assert_eq!(scaled_out(vec![gang.clone()], vec![machine(0)]), [ScaleOut { offer: 0, count: 2 }]);
    assert_eq!(scaled_out(vec![gang], vec![machine(0), machine(0), machine(0)]), []);
    let backing_off = crate::JobView { startable: 0, ..crash_looping };
    assert_eq!(scaled_out(vec![backing_off], vec![]), [], "no task is startable during backoff");
}
