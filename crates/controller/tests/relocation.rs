//! Replicas of daemons that move so that a job finds room which only they hold.
//!
//! What happened (seed 2915 of the random days): replicas of two daemons filled m-14, the only machine of zone a, and
//! the cloud was at its limit with seven machines in zone b. A daemon that must spread had one replica in b and waited
//! for room in a without end, since a job preempts lower priorities only. Evidence: in every round from 202.6 s to
//! 259.9 s the job had one startable task and `placed_per_zone [0, 1]`, m-14 was schedulable with 0 CPUs free and the
//! replicas req-000017/0, /1 and req-000018/0, /1 on it, and the machines of b ran tasks of lower priority that those
//! replicas could have preempted.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod harness;

use harness::{LeaderHarness, daemon, job, running, small_worker};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, JobId, JobSpec, Priority};

fn spread_daemon(id: &str, replicas: u32) -> JobSpec {
    JobSpec { spread: true, ..daemon(id, replicas) }
}

/// Number of attempts that two workers have started.
fn starts(workers: &[ScriptedWorker; 2]) -> usize {
    workers.iter().map(|worker| worker.started_attempts.len()).sum()
}

/// Four replicas of a daemon fill m-1, the only machine of zone a, and m-2 in zone b is empty.
fn full_zone() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(daemon("req-000001", 4));
    harness.run_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000001"), 4);
    let mut workers = [first, small_worker("m-2", "b")];
    harness.run_rounds_of(&mut workers, 2);
    (harness, workers)
}

/// `full_zone` with a daemon that must spread: one of its replicas runs on m-2, the other one waits.
fn waiting_spread_daemon() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let (mut harness, mut workers) = full_zone();
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 2);
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (0, 1));
    (harness, workers)
}

#[test]
fn spread_daemon_gets_room_of_replica_that_can_run_elsewhere() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    let before = starts(&workers);
    for _ in 0..40 {
        harness.run_rounds_of(&mut workers, 1);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert!(replicas >= 3, "at most one replica is away at a time, {replicas} run");
    }
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (1, 1));
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(starts(&workers), before + 2, "one replica moved, one started");
}

#[test]
fn moving_replica_preempts_lower_priority_where_it_goes() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000003", "array", 4) });
    harness.run_rounds_of(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000003"), 4);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!((running(&workers[0], "req-000002"), running(&workers[1], "req-000002")), (1, 1));
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(running(&workers[1], "req-000003"), 2, "no more tasks are stopped than must be");
}

#[test]
fn job_that_asks_for_the_zone_gets_room_there() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { zone: Some("a".into()), ..daemon("req-000002", 1) });
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!(running(&workers[0], "req-000002"), 1);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
}

/// A replica that must be where the others of its daemon are (seed 7319 of the random days).
#[test]
fn replica_bound_to_the_zone_of_others_gets_room_there() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { one_zone: true, ..daemon("req-000002", 1) });
    harness.submit(daemon("req-000001", 2));
    harness.submit(JobSpec { one_zone: true, ..daemon("req-000003", 2) });
    harness.run_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000003"), 1, "m-1 is full");
    let mut workers = [first, small_worker("m-2", "b")];
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000004", "array", 4) });
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!(running(&workers[0], "req-000003"), 2);
    let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
    assert_eq!(replicas, 2, "one of them moved");
    assert_eq!(running(&workers[1], "req-000004"), 3, "one task made room for it");
}

/// The same for a gang: all its tasks get room at once.
#[test]
fn gang_that_asks_for_the_zone_gets_room_of_several_replicas() {
    let (mut harness, mut workers) = full_zone();
    let gang = JobSpec {
        cpus: 1.0,
        priority: Priority::Production,
        zone: Some("a".into()),
        ..job("req-000002", "group", 2)
    };
    harness.submit(gang);
    for _ in 0..60 {
        harness.run_rounds_of(&mut workers, 1);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert!(replicas >= 3, "at most one replica is away at a time, {replicas} run");
    }
    assert_eq!(running(&workers[0], "req-000002"), 2);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (2, 2));
}

#[test]
fn replicas_without_room_elsewhere_stay() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(daemon("req-000003", 3));
    harness.run_rounds_of(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000003"), 3);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 3);
    assert_eq!(running(&workers[1], "req-000002"), 1, "m-2 is full");
    let before = starts(&workers);
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!(starts(&workers), before, "no replica is stopped for nothing");
    assert_eq!(running(&workers[0], "req-000001"), 4);
}

/// A replica may not leave a zone that its own constraints keep it in.
#[test]
fn replicas_bound_to_the_zone_stay() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { one_zone: true, ..daemon("req-000001", 2) });
    harness.submit(JobSpec { zone: Some("a".into()), ..daemon("req-000003", 2) });
    harness.run_rounds(&mut [&mut first]);
    assert_eq!(first.unfinished_tasks().len(), 4);
    let mut workers = [first, small_worker("m-2", "b")];
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!(workers[0].started_attempts.len(), 4, "no replica is stopped");
    assert_eq!(running(&workers[1], "req-000002"), 1);
}

/// Nothing is left to gain once every replica runs, over many rounds and failovers.
#[test]
fn replicas_do_not_move_to_and_fro() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    harness.run_rounds_of(&mut workers, 40);
    let before = starts(&workers);
    for term in 2..6 {
        let now = harness.now;
        harness = LeaderHarness::lead(harness.store.clone(), term, now);
        harness.run_rounds_of(&mut workers, 60);
    }
    assert_eq!(starts(&workers), before, "nothing moves any more");
    assert_eq!(running(&workers[0], "req-000002"), 1);
}

/// A leader that ends between the stop and the start leaves a replica that its successor starts.
#[test]
fn replica_stopped_by_earlier_leader_runs_again() {
    let (mut harness, mut workers) = waiting_spread_daemon();
    for _ in 0..40 {
        harness.run_rounds_of(&mut workers, 1);
        if running(&workers[0], "req-000001") < 4 {
            break;
        }
    }
    assert_eq!(running(&workers[0], "req-000001"), 3, "a replica was stopped");
    let now = harness.now;
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, now);
    next.run_rounds_of(&mut workers, 60);
    assert_eq!(running(&workers[0], "req-000001") + running(&workers[1], "req-000001"), 4);
    assert_eq!(running(&workers[0], "req-000002") + running(&workers[1], "req-000002"), 2);
}

/// The job that waits is cancelled amid the move, at each moment: the replica is not lost, and the room is free again.
#[test]
fn cancellation_amid_move_leaves_no_room_held() {
    for rounds in 0..12 {
        let (mut harness, mut workers) = waiting_spread_daemon();
        harness.run_rounds_of(&mut workers, rounds);
        harness.cluster.cancel(&JobId::parse("req-000002").expect("an id"));
        harness.run_rounds_of(&mut workers, 12);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert_eq!(replicas, 4, "cancelled after {rounds} rounds");
        harness.submit(daemon("req-000004", 4));
        harness.run_rounds_of(&mut workers, 6);
        let others = running(&workers[0], "req-000004") + running(&workers[1], "req-000004");
        assert_eq!(others, 4, "cancelled after {rounds} rounds: all room is free again");
    }
}

/// The machine that the replica would go to is lost before the stop: the replica stays where it is.
#[test]
fn replica_stays_if_its_target_is_lost_before_the_stop() {
    let (mut harness, mut workers) = full_zone();
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000003", "array", 4) });
    harness.run_rounds_of(&mut workers, 3);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 3);
    // m-2 falls silent while its tasks are being stopped.
    for _ in 0..30 {
        harness.heartbeat(&mut workers[0]);
        harness.advance(500);
    }
    assert_eq!(
        running(&workers[0], "req-000001"),
        4,
        "no replica is stopped without room elsewhere"
    );
}

/// Where the team is at its limit, its own waiting work must not take what the moving replica gives up.
#[test]
fn moving_replica_keeps_its_part_of_the_teams_limit() {
    let mut harness = LeaderHarness::start();
    let mut first = small_worker("m-1", "a");
    harness.submit(JobSpec { team: "tight".into(), ..daemon("req-000001", 4) });
    harness.run_rounds(&mut [&mut first]);
    assert_eq!(running(&first, "req-000001"), 4, "the team is at its limit");
    let mut workers = [first, small_worker("m-2", "b")];
    harness.run_rounds_of(&mut workers, 2);
    let waiting = JobSpec { team: "tight".into(), cpus: 1.0, ..job("req-000003", "array", 8) };
    harness.submit(waiting);
    harness.submit(spread_daemon("req-000002", 2));
    harness.run_rounds_of(&mut workers, 40);
    assert_eq!((running(&workers[0], "req-000001"), running(&workers[1], "req-000001")), (3, 1));
    assert_eq!(running(&workers[0], "req-000002"), 1);
    assert_eq!(running(&workers[1], "req-000003"), 0, "the limit is used by the replicas");
}

/// A replica that ends by itself amid the move is restarted like any other.
#[test]
fn replica_that_ends_amid_move_runs_again() {
    for rounds in 0..12 {
        let (mut harness, mut workers) = waiting_spread_daemon();
        harness.run_rounds_of(&mut workers, rounds);
        let replica =
            workers[0].unfinished_tasks().into_iter().find(|t| t.starts_with("req-000001"));
        workers[0].end_task(&replica.expect("a replica on m-1"), ExitCause::Done);
        harness.run_rounds_of(&mut workers, 60);
        let replicas = running(&workers[0], "req-000001") + running(&workers[1], "req-000001");
        assert_eq!(replicas, 4, "ended after {rounds} rounds");
        assert_eq!(running(&workers[0], "req-000002"), 1, "ended after {rounds} rounds");
    }
}
