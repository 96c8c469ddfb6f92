//! Unreachable machines: which of them the leader deletes, as proof that their tasks have ended, and
//! which it keeps.

use crate::harness::{LeaderHarness, at, job, listed_machine, small_worker};
use crate::support::{busy_zone, deleted_machines};
use hookway_controller::cluster_state::ScalingAction;
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ListedMachine, MachineState};

#[test]
fn single_unreachable_machine_is_deleted_and_task_moves_before_lease_expiry() {
    let (mut harness, mut workers) = busy_zone(5);
    let unreachable = workers.remove(0);
    let lost_task = unreachable.unfinished_tasks()[0].clone();
    let names = deleted_machines(&mut harness, &mut workers, 12_000);
    assert_eq!(names, ["m-1"], "the machine is deleted before its worker lease expires");
    let mut idle = small_worker("m-9", "a");
    harness.run_four_rounds(&mut [&mut idle]);
    assert_eq!(
        idle.unfinished_tasks(),
        [] as [&str; 0],
        "no restart before the cloud has confirmed the deletion"
    );
    harness.cluster.scale_in_finished(&names, harness.now);
    harness.run_four_rounds(&mut [&mut idle]);
    assert_eq!(idle.unfinished_tasks(), [lost_task]);
}

#[test]
fn machines_unreachable_together_are_not_deleted() {
    let (mut harness, mut workers) = busy_zone(5);
    workers.drain(..2);
    assert_eq!(deleted_machines(&mut harness, &mut workers, 12_000), [] as [&str; 0]);
}

#[test]
fn gradual_partition_deletes_no_machine() {
    let (mut harness, mut workers) = busy_zone(12);
    // The workers send heartbeats in turn, one every 200 ms, until the partition has reached all of them.
    for _ in 0..3 {
        for worker in &mut workers {
            harness.heartbeat(worker);
            harness.advance(200);
        }
    }
    assert_eq!(deleted_machines(&mut harness, &mut [], 12_000), [] as [&str; 0]);
}

#[test]
fn unreachable_machine_that_recovers_before_deletion_is_kept() {
    let (mut harness, mut workers) = busy_zone(5);
    let mut unreachable = workers.remove(0);
    let names = deleted_machines(&mut harness, &mut workers, 12_000);
    harness.cluster.scale_in_failed(&names);
    harness.heartbeat(&mut unreachable);
    workers.push(unreachable);
    assert_eq!(deleted_machines(&mut harness, &mut workers, 4_000), [] as [&str; 0]);
}

/// Fails over while only the workers of zone a send heartbeats, and returns the machines that the new
/// leader requests to delete within `millis` ms.
fn deleted_after_failover(reachable: usize, partitioned: usize, millis: u64) -> Vec<String> {
    let mut harness = LeaderHarness::start();
    let zone = |count: usize, from: usize, zone: &str| -> Vec<ScriptedWorker> {
        (from..from + count).map(|n| small_worker(&format!("m-{n}"), zone)).collect()
    };
    let (mut zone_a, mut zone_b) = (zone(reachable, 1, "a"), zone(partitioned, 50, "b"));
    harness.submit(job("req-000001", "array", (reachable + partitioned + 1) as u32));
    harness.run_four_rounds(&mut zone_a.iter_mut().chain(zone_b.iter_mut()).collect::<Vec<_>>());
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(30_000));
    let listed: Vec<ListedMachine> = zone_a
        .iter_mut()
        .chain(zone_b.iter_mut())
        .map(|worker| worker.heartbeat())
        .map(|heartbeat| ListedMachine {
            zone: heartbeat.zone,
            ..listed_machine(&heartbeat.machine, MachineState::Running, 60.0)
        })
        .collect();
    next.cluster.machines_listed(&listed, next.now, next.now);
    // From a zone of more than four machines one heartbeat still arrives: it was sent before the partition.
    if partitioned > 4 {
        next.heartbeat(&mut zone_b[0]);
    }
    deleted_machines(&mut next, &mut zone_a, millis)
}

#[test]
fn partitioned_zone_keeps_its_machines_after_failover() {
    let none = [] as [&str; 0];
    assert_eq!(
        deleted_after_failover(12, 6, 60_000),
        none,
        "a partitioned zone keeps its machines"
    );
    assert_eq!(deleted_after_failover(12, 1, 12_000), none, "a zone with one machine keeps it");
}

#[test]
fn partitioned_zone_keeps_its_machines_and_gets_no_scale_out() {
    let mut harness = LeaderHarness::start();
    let mut zone_a: Vec<ScriptedWorker> =
        (1..7).map(|n| small_worker(&format!("m-{n}"), "a")).collect();
    let mut zone_b: Vec<ScriptedWorker> =
        (7..10).map(|n| small_worker(&format!("m-{n}"), "b")).collect();
    harness.run_four_rounds(&mut zone_a.iter_mut().chain(zone_b.iter_mut()).collect::<Vec<_>>());
    harness.submit(job("req-000001", "array", 40));
    // Demand for many more machines arrives while zone b is unreachable, for longer than its leases.
    let mut scale_out_zones = Vec::new();
    for second in 0..60 {
        for worker in &mut zone_a {
            harness.heartbeat(worker);
        }
        harness.advance(1_000);
        for action in harness.cluster.autoscaling_round(harness.now) {
            match action {
                ScalingAction::ScaleOut(request) => {
                    harness.cluster.scale_out_finished(&request, None, harness.now);
                    if second > 4 {
                        scale_out_zones.push(request.zone.clone());
                    }
                }
                ScalingAction::ScaleIn(names) => panic!("{names:?} deleted"),
            }
        }
    }
    assert!(!scale_out_zones.is_empty());
    assert!(scale_out_zones.iter().all(|zone| zone == "a"), "{scale_out_zones:?}");
    zone_b.iter_mut().for_each(ScriptedWorker::expire_lease);
    harness.run_four_rounds_of_all(&mut zone_b);
    assert!(
        zone_b.iter().all(|worker| worker.unfinished_tasks().len() == 1),
        "each machine gets a task once it is reachable again"
    );
}
