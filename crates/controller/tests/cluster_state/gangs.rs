//! Gangs: either all tasks run under the same attempt, or none runs.

use crate::harness::{LeaderHarness, at, job, ms, small_worker};
use hookway_wire::ExitCause;

#[test]
fn gang_with_refused_task_is_stopped_before_next_attempt() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "group", 2));
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!((worker_1.unfinished_tasks().len(), worker_2.unfinished_tasks().len()), (1, 1));
    let first_attempt = worker_1.started_attempts[0].1;
    assert_eq!(first_attempt, worker_2.started_attempts[0].1, "both tasks have the same attempt");
    let refused = worker_2.unfinished_tasks()[0].clone();
    worker_2.end_task(&refused, ExitCause::InsufficientResources);
    harness.heartbeat(&mut worker_2);
    harness.advance(500);
    assert_eq!(worker_2.started_attempts.len(), 1, "no next attempt while a task of this one runs");
    harness.heartbeat(&mut worker_1);
    assert_eq!(worker_1.unfinished_tasks().len(), 0, "the other task of the attempt is stopped");
    harness.now += ms(4_000);
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!((worker_1.unfinished_tasks().len(), worker_2.unfinished_tasks().len()), (1, 1));
    assert_ne!(worker_1.started_attempts[1].1, first_attempt, "the next attempt has a new number");
}

#[test]
fn gang_missing_tasks_after_failover_is_restarted_under_one_attempt() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "group", 2));
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(9_000));
    worker_2.expire_lease();
    next.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    next.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!((worker_1.unfinished_tasks().len(), worker_2.unfinished_tasks().len()), (1, 1));
    assert_eq!(
        worker_1.started_attempts.last().map(|start| start.1),
        worker_2.started_attempts.last().map(|start| start.1)
    );
    assert_eq!(worker_1.started_attempts.len(), 2);
}
