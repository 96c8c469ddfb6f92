//! Daemons: each replica runs until its job is cancelled, on one machine at a time, and is restarted
//! whatever ended its last attempt.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod harness;

use harness::{LeaderHarness, at, daemon, job, ms, small_worker, test_config};
use hookway_constants as constants;
use hookway_controller::cluster_state::longest_worker_lease;
use hookway_testkit::ScriptedWorker;
use hookway_time::whole_millis;
use hookway_wire::{Command, ExitCause, JobId, JobSpec, JobState};

/// Submits a daemon of one replica and runs rounds until the replica runs on the worker.
fn submit_running_daemon(harness: &mut LeaderHarness, worker: &mut ScriptedWorker) -> JobId {
    let id = harness.submit(daemon("req-000001", 1));
    harness.run_four_rounds(&mut [&mut *worker]);
    assert_eq!(worker.unfinished_tasks(), ["req-000001/0"]);
    id
}

/// Advances the clock by `millis` ms in steps of 1 s, with a heartbeat of the worker before each.
fn run_for(harness: &mut LeaderHarness, worker: &mut ScriptedWorker, millis: u64) {
    let end = harness.now + ms(millis);
    while harness.now < end {
        harness.heartbeat(worker);
        harness.advance(1_000);
    }
}

#[test]
fn ended_replica_restarts_for_every_cause_and_job_is_never_done() {
    for cause in [
        ExitCause::Done,
        ExitCause::Error,
        ExitCause::Stopped,
        ExitCause::UnknownJob,
        ExitCause::Other,
    ] {
        let mut harness = LeaderHarness::start();
        let mut worker = small_worker("m-1", "a");
        let id = submit_running_daemon(&mut harness, &mut worker);
        run_for(&mut harness, &mut worker, whole_millis(constants::STABLE_REPLICA_RUN_TIME));
        worker.end_task("req-000001/0", cause);
        for _ in 0..4 {
            harness.run_four_rounds(&mut [&mut worker]);
        }
        assert_eq!(worker.unfinished_tasks(), ["req-000001/0"], "after {cause:?}");
        assert_eq!(worker.heartbeat().tasks.len(), 1, "the earlier attempt is reaped");
        assert_eq!(harness.job_state(&id), JobState::Running);
        assert_eq!(
            harness.store.list("p/"),
            [],
            "the end of a replica is not recorded as a result"
        );
    }
}

#[test]
fn replica_restarts_write_no_records() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let id = submit_running_daemon(&mut harness, &mut worker);
    let before = harness.store.revision();
    for _ in 0..50 {
        run_for(&mut harness, &mut worker, whole_millis(constants::STABLE_REPLICA_RUN_TIME));
        worker.end_task("req-000001/0", ExitCause::Done);
        for _ in 0..2 {
            harness.heartbeat(&mut worker);
            harness.advance(500);
        }
    }
    harness.run_four_rounds(&mut [&mut worker]);
    assert!(worker.started_attempts.len() > 40);
    assert_eq!(harness.store.revision(), before, "a replica restart writes no record");
    harness.cluster.cancel(&id);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("withdrawn"));
    assert_eq!(worker.unfinished_tasks(), [""; 0]);
    let remaining: Vec<String> = harness.store.list("").into_iter().map(|kv| kv.key).collect();
    assert!(
        !remaining.iter().any(|key| key.starts_with("j/") || key.starts_with("p/")),
        "{remaining:?}"
    );
}

#[test]
fn replicas_ending_at_once_restart_with_growing_backoff() {
    for cause in [ExitCause::Done, ExitCause::Error] {
        let mut harness = LeaderHarness::start();
        let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
        harness.submit(daemon("req-000001", 3));
        let starts_within =
            |harness: &mut LeaderHarness, workers: &mut [&mut ScriptedWorker; 2], millis: u64| {
                let started = |workers: &[&mut ScriptedWorker; 2]| {
                    workers[0].started_attempts.len() + workers[1].started_attempts.len()
                };
                let (before, until) = (started(workers), harness.now + ms(millis));
                while harness.now < until {
                    for worker in workers.iter_mut() {
                        for task in worker.unfinished_tasks() {
                            worker.end_task(&task, cause);
                        }
                        harness.heartbeat(worker);
                    }
                    harness.advance(500);
                }
                started(workers) - before
            };
        let mut workers = [&mut worker_1, &mut worker_2];
        starts_within(&mut harness, &mut workers, 60_000);
        let late_starts = starts_within(&mut harness, &mut workers, 60_000);
        assert!(
            (1..=4).contains(&late_starts),
            "{late_starts} starts in the second minute, each attempt ended with {cause:?}"
        );
    }
}

#[test]
fn single_replica_error_does_not_delay_other_replicas() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(daemon("req-000001", 6));
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!(worker_1.unfinished_tasks().len() + worker_2.unfinished_tasks().len(), 6);
    let failed_replica = worker_1.unfinished_tasks()[0].clone();
    worker_1.end_task(&failed_replica, ExitCause::Error);
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!(
        worker_1.unfinished_tasks().len() + worker_2.unfinished_tasks().len(),
        6,
        "the failed replica restarts at once"
    );
}

#[test]
fn replica_on_lost_machine_restarts_only_after_lease_expiry() {
    let mut harness = LeaderHarness::start();
    let (mut lost, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    submit_running_daemon(&mut harness, &mut lost);
    harness.heartbeat(&mut other);
    let lease_expires_at = harness.now + longest_worker_lease(&test_config().platform);
    while harness.now + ms(1_000) < lease_expires_at {
        harness.heartbeat(&mut other);
        harness.advance(500);
        assert_eq!(
            other.unfinished_tasks(),
            [""; 0],
            "the replica may run on m-1 at {:?}",
            harness.now
        );
    }
    for _ in 0..10 {
        harness.heartbeat(&mut other);
        harness.advance(500);
    }
    assert_eq!(other.unfinished_tasks(), ["req-000001/0"]);
}

#[test]
fn replica_with_interruption_notice_moves_without_running_twice() {
    let mut harness = LeaderHarness::start();
    let (mut leaving, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    submit_running_daemon(&mut harness, &mut leaving);
    leaving.set_interruption_notice(60.0);
    for _ in 0..12 {
        for worker in [&mut leaving, &mut other] {
            harness.heartbeat(worker);
        }
        harness.advance(500);
        assert!(
            leaving.unfinished_tasks().len() + other.unfinished_tasks().len() <= 1,
            "the replica runs on one machine at most"
        );
    }
    assert_eq!(other.unfinished_tasks(), ["req-000001/0"]);
}

#[test]
fn new_leader_reconciles_replicas_and_starts_none_twice() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    let id = harness.submit(daemon("req-000001", 6));
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    let (before_1, before_2) = (worker_1.unfinished_tasks(), worker_2.unfinished_tasks());
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(30_000));
    next.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!((worker_1.unfinished_tasks(), worker_2.unfinished_tasks()), (before_1, before_2));
    assert_eq!(next.job_state(&id), JobState::Running);
    assert_eq!(worker_1.started_attempts.len() + worker_2.started_attempts.len(), 6);
}

#[test]
fn missing_replicas_preempt_lower_priority_tasks() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let lower_priority = JobSpec { cpus: 1.0, ..job("req-000002", "array", 4) };
    harness.submit(lower_priority);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 4, "the machine is full");
    harness.submit(daemon("req-000001", 2));
    harness.run_four_rounds(&mut [&mut worker]);
    let replicas =
        worker.unfinished_tasks().iter().filter(|task| task.starts_with("req-000001")).count();
    assert_eq!((replicas, worker.unfinished_tasks().len()), (2, 4));
}

#[test]
fn result_of_earlier_attempt_after_failover_ends_no_replica() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let id = submit_running_daemon(&mut harness, &mut worker);
    worker.end_task("req-000001/0", ExitCause::Done);
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(60_000));
    assert!(next.heartbeat(&mut worker).is_empty(), "the worker has not shown the new token");
    let commands = next.heartbeat(&mut worker);
    assert!(commands.iter().any(|command| matches!(command, Command::Reap { .. })), "{commands:?}");
    for _ in 0..4 {
        next.run_four_rounds(&mut [&mut worker]);
    }
    assert_eq!(worker.unfinished_tasks(), ["req-000001/0"]);
    assert_eq!(next.job_state(&id), JobState::Running);
}
