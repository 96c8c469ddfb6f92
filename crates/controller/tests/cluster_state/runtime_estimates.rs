//! Runtime estimates: tasks that run much longer than the mean, or longer than the interruption notice
//! of their spot machine.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use crate::support::workers;
use hookway_testkit::ScriptedWorker;
use hookway_wire::ExitCause;

#[test]
fn task_exceeding_five_times_mean_runtime_moves_to_other_machine() {
    let mut harness = LeaderHarness::start();
    let (mut healthy, mut slow) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 7));
    harness.run_four_rounds(&mut [&mut healthy, &mut slow]);
    let slow_task = slow.unfinished_tasks()[0].clone();
    for _ in 0..40 {
        harness.run_four_rounds(&mut [&mut healthy, &mut slow]);
        if let Some(task) = healthy.unfinished_tasks().first().cloned() {
            healthy.end_task(&task, ExitCause::Done);
        }
    }
    assert!(
        healthy.started_attempts.iter().any(|(task, _)| *task == slow_task),
        "the slow task is restarted after five times the mean"
    );
    assert_eq!(slow.unfinished_tasks().len(), 0);
    assert_eq!(slow.started_attempts.len(), 1, "the slow machine gets no other task");
    // A task that runs long on every machine is moved once, not repeatedly.
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 7));
    for _ in 0..80 {
        harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
        for worker in [&mut worker_1, &mut worker_2] {
            if let Some(task) =
                worker.unfinished_tasks().first().filter(|task| !task.ends_with("/0")).cloned()
            {
                worker.end_task(&task, ExitCause::Done);
            }
        }
    }
    let starts_of_long_task = |worker: &ScriptedWorker| {
        worker.started_attempts.iter().filter(|(task, _)| task.ends_with("/0")).count()
    };
    assert_eq!(starts_of_long_task(&worker_1) + starts_of_long_task(&worker_2), 2);
}

#[test]
fn task_exceeding_interruption_notice_moves_to_other_machine() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 8));
    // The first four tasks, of 20 s each, give the runtime estimate.
    for n in 0..4 {
        for _ in 0..10 {
            harness.run_four_rounds(&mut [&mut worker]);
        }
        assert!(worker.end_task(&format!("req-000001/{n}"), ExitCause::Done));
        harness.heartbeat(&mut worker);
    }
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks(), ["req-000001/4"]);
    worker.set_interruption_notice(30.0);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks(), ["req-000001/4"], "the task ends within the notice");
    worker.set_interruption_notice(8.0);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks(), [] as [&str; 0]);
    let mut other = small_worker("m-2", "a");
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(other.unfinished_tasks(), ["req-000001/4"]);
}

#[test]
fn tasks_started_before_failover_do_not_affect_mean_runtime() {
    let mut harness = LeaderHarness::start();
    let mut workers = workers(1..=6, "a");
    harness.submit(job("req-000001", "array", 6));
    for _ in 0..10 {
        harness.run_four_rounds_of_all(&mut workers);
    }
    // The new leader sees five tasks complete after a second; they ran for twenty seconds before the
    // failover.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, harness.now + ms(1_000));
    next.run_four_rounds_of_all(&mut workers);
    for worker in &mut workers[..5] {
        let task = worker.unfinished_tasks()[0].clone();
        worker.end_task(&task, ExitCause::Done);
    }
    for _ in 0..10 {
        next.run_four_rounds_of_all(&mut workers);
    }
    assert_eq!(workers[5].unfinished_tasks().len(), 1, "the sixth task is not treated as slow");
    assert_eq!(workers.iter().map(|worker| worker.started_attempts.len()).sum::<usize>(), 6);
}
