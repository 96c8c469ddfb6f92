//! Gangs of which the previous leader started only some tasks: how a new leader completes or restarts
//! them, with and without a copy of the previous leader's cluster state.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod harness;
mod standby_support;

use harness::{LeaderHarness, job};
use hookway_constants as constants;
use hookway_replication::ReplicatedState;
use hookway_testkit::ScriptedWorker;
use hookway_time::whole_millis;
use hookway_wire::{ExitCause, JobState, TaskState};
use standby_support::{
    attempts, fail_over, fleet, partially_placed_gang, respond_to_probes, run_four_rounds,
    standby_copy,
};

#[test]
fn partially_placed_gang_is_completed_under_same_attempt() {
    let (mut harness, mut workers, copy, id) = partially_placed_gang();
    let restored = fail_over(&mut harness, &copy);
    assert_eq!((restored.addresses, restored.gangs), (4, 1), "{restored}");
    assert_eq!(respond_to_probes(&mut harness, &mut workers), 4, "every machine is probed at once");
    assert!(harness.cluster.is_reconciled(harness.now));
    run_four_rounds(&mut harness, &mut workers);
    let attempts = attempts(&workers);
    assert_eq!(
        attempts.len(),
        4,
        "the other two tasks are started, and no task twice: {attempts:?}"
    );
    assert!(attempts.iter().all(|attempt| *attempt == attempts[0]), "{attempts:?}");
    for worker in &mut workers {
        worker.set_all_task_states(TaskState::Running);
    }
    run_four_rounds(&mut harness, &mut workers);
    assert_eq!(harness.job_state(&id), JobState::Running);
}

/// Without a copy the new leader can't tell a gang that is being started from one that has lost tasks.
#[test]
fn partially_placed_gang_without_copy_restarts() {
    let (mut harness, mut workers, _, _) = partially_placed_gang();
    fail_over(&mut harness, &ReplicatedState::default());
    run_four_rounds(&mut harness, &mut workers);
    run_four_rounds(&mut harness, &mut workers);
    let attempts = attempts(&workers);
    assert_eq!(attempts.len(), 6, "two tasks of the first attempt, four of the next: {attempts:?}");
    assert_ne!(attempts.first(), attempts.last());
}

#[test]
fn gang_that_ran_and_lost_a_task_restarts_under_new_attempt() {
    let (mut harness, mut workers, _, _) = partially_placed_gang();
    run_four_rounds(&mut harness, &mut workers);
    for worker in &mut workers {
        worker.set_all_task_states(TaskState::Running);
    }
    run_four_rounds(&mut harness, &mut workers);
    let copy = standby_copy(&mut harness.cluster);
    let task = workers[3].unfinished_tasks().remove(0);
    workers[3].end_task(&task, ExitCause::Error);
    fail_over(&mut harness, &copy);
    run_four_rounds(&mut harness, &mut workers);
    run_four_rounds(&mut harness, &mut workers);
    let attempts = attempts(&workers);
    assert_ne!(
        attempts.first(),
        attempts.last(),
        "the gang restarts under a new attempt: {attempts:?}"
    );
}

#[test]
fn gang_not_completable_in_time_is_stopped_for_restart() {
    let (mut harness, mut workers, copy, _) = partially_placed_gang();
    // Two machines are deleted, so the other tasks of the gang can't be placed.
    workers.truncate(2);
    fail_over(&mut harness, &copy);
    for deleted in ["m-3", "m-4"] {
        harness.cluster.scale_in_finished(&[deleted.to_owned()], harness.now);
    }
    run_four_rounds(&mut harness, &mut workers);
    assert_eq!(workers[0].unfinished_tasks().len(), 1, "not stopped before the time limit");
    harness.advance(whole_millis(constants::GANG_RESUME_TIMEOUT));
    run_four_rounds(&mut harness, &mut workers);
    assert!(
        workers.iter().all(|worker| worker.unfinished_tasks().is_empty()),
        "stopped after the time limit, so that the whole gang restarts"
    );
}

/// The missing task of a gang may run on an unreachable machine: it starts on no other machine before that
/// one is reconciled.
#[test]
fn gang_is_not_completed_while_tasks_may_run_on_unreachable_machine() {
    let mut harness = LeaderHarness::start();
    let mut workers = fleet(4);
    run_four_rounds(&mut harness, &mut workers);
    harness.submit(job("req-000001", "group", 3));
    harness.advance(500);
    for worker in &mut workers {
        harness.heartbeat(worker);
    }
    let copy = standby_copy(&mut harness.cluster);
    let has_task = |worker: &ScriptedWorker| !worker.unfinished_tasks().is_empty();
    let unreachable = workers.iter().position(has_task).expect("a task of the gang");
    let unreachable = workers.remove(unreachable);
    fail_over(&mut harness, &copy);
    run_four_rounds(&mut harness, &mut workers);
    let started_tasks = attempts(&workers).len();
    assert_eq!(started_tasks, 2, "the idle machine gets no task");
    assert!(!harness.cluster.is_reconciled(harness.now));
    run_four_rounds(&mut harness, &mut workers);
    assert_eq!(
        attempts(&workers).len(),
        started_tasks,
        "the third task may run on {}",
        unreachable.machine_name()
    );
}
