//! Gangs: all tasks run in one attempt or none does.

use crate::harness::{LeaderHarness, at, job, ms, small_worker};
use hookway_wire::ExitCause;

#[test]
fn gang_with_refused_task_is_stopped_before_next_attempt() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "group", 2));
    harness.run_rounds(&mut [&mut one, &mut two]);
    assert_eq!((one.unfinished_tasks().len(), two.unfinished_tasks().len()), (1, 1));
    let first = one.started_attempts[0].1;
    assert_eq!(first, two.started_attempts[0].1, "they share the attempt");
    let refused = two.unfinished_tasks()[0].clone();
    two.end_task(&refused, ExitCause::InsufficientResources);
    harness.heartbeat(&mut two);
    harness.advance(500);
    assert_eq!(two.started_attempts.len(), 1, "not while the other task is still there");
    harness.heartbeat(&mut one);
    assert_eq!(one.unfinished_tasks().len(), 0, "the rest of the attempt is stopped");
    harness.now += ms(4_000);
    harness.run_rounds(&mut [&mut one, &mut two]);
    assert_eq!((one.unfinished_tasks().len(), two.unfinished_tasks().len()), (1, 1));
    assert_ne!(one.started_attempts[1].1, first, "attempt numbers are never used twice");
}

#[test]
fn gang_missing_tasks_after_failover_is_restarted_under_one_attempt() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "group", 2));
    harness.run_rounds(&mut [&mut one, &mut two]);
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(9_000));
    two.expire_lease();
    next.run_rounds(&mut [&mut one, &mut two]);
    next.run_rounds(&mut [&mut one, &mut two]);
    assert_eq!((one.unfinished_tasks().len(), two.unfinished_tasks().len()), (1, 1));
    assert_eq!(one.started_attempts.last().map(|s| s.1), two.started_attempts.last().map(|s| s.1));
    assert_eq!(one.started_attempts.len(), 2);
}
