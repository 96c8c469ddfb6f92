//! Relocation: replicas of daemons move to other machines to free resources for another job.
//!
//! These tests guard against a job that waits forever (simulation with random faults, seed 2915): replicas of two
//! daemons filled the only machine of zone a, and the cloud could provide no more machines. A daemon that must spread
//! had one replica in zone b and waited for capacity in zone a, since a job preempts only lower priorities.
//! The machines of zone b ran tasks of lower priority that the replicas in zone a could have preempted.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod harness;

use harness::{LeaderHarness, daemon, job, running, small_worker};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, JobId, JobSpec, Priority};

/// A daemon whose replicas must be spread over the zones.
fn spread_daemon(id: &str, replicas: u32) -> JobSpec {
    JobSpec { must_spread: true, ..daemon(id, replicas) }
}

/// Returns the number of attempts that both workers have started.
fn starts(workers: &[ScriptedWorker; 2]) -> usize {
    workers.iter().map(|worker| worker.started_attempts.len()).sum()
}

/// Returns a leader and two machines: four replicas of a daemon fill m-1, the only machine of zone a, and
/// m-2 in zone b is empty.
fn full_zone() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(daemon("req-000001", 4));
    harness.run_four_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000001"), 4);
    let mut workers = [first, small_worker("m-2", "b")];
    harness.run_rounds(&mut workers, 2);
    (harness, workers)
}

/// Extends `full_zone` with a daemon of two replicas that must spread: one runs on m-2, the other waits for
/// capacity in zone a.
fn waiting_spread_daemon() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let (mut harness, mut workers) = full_zone();
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 2);
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (0, 1));
    (harness, workers)
}

#[test]
fn spread_daemon_gets_capacity_of_replica_that_can_run_elsewhere() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    let before = starts(&workers);
    for _ in 0..40 {
        harness.run_rounds(&mut workers, 1);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert!(replicas >= 3, "at most one replica is stopped at a time, {replicas} run");
    }
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (1, 1));
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(starts(&workers), before + 2, "one replica was relocated, one started");
}

#[test]
fn relocated_replica_preempts_lower_priority_on_target_machine() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000003", "array", 4) });
    harness.run_rounds(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000003"), 4);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 40);
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (1, 1));
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(running(&workers[1], "req-000003"), 2, "no more tasks are stopped than necessary");
}

#[test]
fn job_bound_to_full_zone_gets_capacity_of_relocated_replica() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { zone: Some("a".into()), ..daemon("req-000002", 1) });
    harness.run_rounds(&mut workers, 40);
    assert_eq!(running(&workers[0], "req-000002"), 1);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
}

/// A replica must run in the same zone as the other replicas of its daemon (simulation with random faults, seed 7319).
#[test]
fn replica_bound_to_zone_of_its_daemon_gets_capacity_there() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { needs_one_zone: true, ..daemon("req-000002", 1) });
    harness.submit(daemon("req-000001", 2));
    harness.submit(JobSpec { needs_one_zone: true, ..daemon("req-000003", 2) });
    harness.run_four_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000003"), 1, "m-1 is full");
    let mut workers = [first, small_worker("m-2", "b")];
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000004", "array", 4) });
    harness.run_rounds(&mut workers, 40);
    assert_eq!(running(&workers[0], "req-000003"), 2);
    let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
    assert_eq!(replicas, 2, "both still run");
    assert_eq!(
        running(&workers[1], "req-000004"),
        3,
        "one task was preempted for the relocated replica"
    );
}

/// A gang needs capacity for all of its tasks at the same time, so several replicas are relocated.
#[test]
fn gang_bound_to_full_zone_gets_capacity_of_several_replicas() {
    let (mut harness, mut workers) = full_zone();
    let gang = JobSpec {
        cpus: 1.0,
        priority: Priority::Production,
        zone: Some("a".into()),
        ..job("req-000002", "group", 2)
    };
    harness.submit(gang);
    for _ in 0..60 {
        harness.run_rounds(&mut workers, 1);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert!(replicas >= 3, "at most one replica is stopped at a time, {replicas} run");
    }
    assert_eq!(running(&workers[0], "req-000002"), 2);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (2, 2));
}

#[test]
fn replicas_without_capacity_elsewhere_are_not_relocated() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(daemon("req-000003", 3));
    harness.run_rounds(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000003"), 3);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000002"), 1, "m-2 is full");
    let before = starts(&workers);
    harness.run_rounds(&mut workers, 40);
    assert_eq!(starts(&workers), before, "no replica is stopped that can't run elsewhere");
    assert_eq!(running(&workers[0], "req-000001"), 4);
}

/// A replica is not relocated out of a zone to which its own constraints bind it.
#[test]
fn replicas_bound_to_their_zone_are_not_relocated() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { needs_one_zone: true, ..daemon("req-000001", 2) });
    harness.submit(JobSpec { zone: Some("a".into()), ..daemon("req-000003", 2) });
    harness.run_four_rounds(&mut [&mut first]);
    assert_eq!(first.unfinished_tasks().len(), 4);
    let mut workers = [first, small_worker("m-2", "b")];
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 40);
    assert_eq!(workers[0].started_attempts.len(), 4, "no replica is stopped");
    assert_eq!(running(&workers[1], "req-000002"), 1);
}

/// Once every replica runs, no relocation begins, over many rounds and failovers.
#[test]
fn replicas_are_not_relocated_back_and_forth() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    harness.run_rounds(&mut workers, 40);
    let before = starts(&workers);
    for term in 2..6 {
        let now = harness.now;
        harness = LeaderHarness::with_term(harness.store.clone(), term, now);
        harness.run_rounds(&mut workers, 60);
    }
    assert_eq!(starts(&workers), before, "no replica is relocated again");
    assert_eq!(running(&workers[0], "req-000002"), 1);
}

/// A leader that fails between the stop and the start of a relocated replica leaves it to the next leader,
/// which starts the replica like any other.
#[test]
fn replica_stopped_by_earlier_leader_runs_again() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    for _ in 0..40 {
        harness.run_rounds(&mut workers, 1);
        if running(&workers[0], "req-000001") < 4 {
            break;
        }
    }
    assert_eq!(running(&workers[0], "req-000001"), 3, "a replica was stopped");
    let now = harness.now;
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, now);
    next.run_rounds(&mut workers, 60);
    assert_eq!(running(&workers[0], "req-000001") + running(&workers[1], "req-000001"), 4);
    assert_eq!(running(&workers[0], "req-000002") + running(&workers[1], "req-000002"), 2);
}

/// The waiting job is cancelled after 0 to 11 rounds, and thus in different steps of the relocation: the replica
/// is not lost, and the capacity held for the relocation is released.
#[test]
fn cancellation_during_relocation_releases_held_capacity() {
    for rounds in 0..12 {
        let (mut harness, mut workers) = waiting_spread_daemon();
        harness.run_rounds(&mut workers, rounds);
        harness.cluster.cancel(&JobId::parse("req-000002").expect("an id"));
        harness.run_rounds(&mut workers, 12);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert_eq!(replicas, 4, "cancelled after {rounds} rounds");
        harness.submit(daemon("req-000004", 4));
        harness.run_rounds(&mut workers, 6);
        let others = running(&workers[0], "req-000004") + running(&workers[1], "req-000004");
        assert_eq!(others, 4, "cancelled after {rounds} rounds: all capacity is released");
    }
}

/// The target machine is lost before the replica is stopped: the replica stays on its machine.
#[test]
fn replica_stays_if_its_target_is_lost_before_the_stop() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000003", "array", 4) });
    harness.run_rounds(&mut workers, 3);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 3);
    // m-2 becomes unreachable while its tasks are being stopped.
    for _ in 0..30 {
        harness.heartbeat(&mut workers[0]);
        harness.advance(500);
    }
    assert_eq!(
        running(&workers[0], "req-000001"),
        4,
        "no replica is stopped without capacity elsewhere"
    );
}

/// While a replica of a team at its quota is relocated, other tasks of the team must not use the part of the
/// quota that the stopped replica frees.
#[test]
fn relocated_replica_keeps_its_part_of_team_quota() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { team: "tight".into(), ..daemon("req-000001", 4) });
    harness.run_four_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000001"), 4, "the team is at its quota");
    let mut workers = [first, small_worker("m-2", "b")];
    harness.run_rounds(&mut workers, 2);
    let waiting = JobSpec { team: "tight".into(), cpus: 1.0, ..job("req-000003", "array", 8) };
    harness.submit(waiting);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds(&mut workers, 40);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(running(&workers[0], "req-000002"), 1);
    assert_eq!(running(&workers[1], "req-000003"), 0, "the replicas use the quota");
}

/// A replica that ends by itself during its relocation is restarted like any other.
#[test]
fn replica_that_ends_during_relocation_runs_again() {
    for rounds in 0..12 {
        let (mut harness, mut workers) = waiting_spread_daemon();
        harness.run_rounds(&mut workers, rounds);
        let replica =
            workers[0].unfinished_tasks().into_iter().find(|t| t.starts_with("req-000001"));
        workers[0].end_task(&replica.expect("a replica on m-1"), ExitCause::Done);
        harness.run_rounds(&mut workers, 60);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert_eq!(replicas, 4, "ended after {rounds} rounds");
        assert_eq!(running(&workers[0], "req-000002"), 1, "ended after {rounds} rounds");
    }
}
