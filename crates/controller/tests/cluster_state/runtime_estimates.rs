//! Runtime estimates: tasks that run for too long, or longer than their machine will exist.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use crate::support::workers;
use hookway_testkit::ScriptedWorker;
use hookway_wire::ExitCause;

#[test]
fn task_exceeding_five_times_mean_runtime_moves_to_other_machine() {
    let mut harness = LeaderHarness::start();
    let (mut good, mut slow) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 7));
    harness.run_rounds(&mut [&mut good, &mut slow]);
    let stuck = slow.unfinished_tasks()[0].clone();
    for _ in 0..40 {
        harness.run_rounds(&mut [&mut good, &mut slow]);
        if let Some(task) = good.unfinished_tasks().first().cloned() {
            good.end_task(&task, ExitCause::Done);
        }
    }
    assert!(good.started_attempts.iter().any(|(t, _)| *t == stuck), "after five times the mean");
    assert_eq!(slow.unfinished_tasks().len(), 0);
    assert_eq!(slow.started_attempts.len(), 1, "the machine takes nothing more");
    // A task that runs long on every machine is moved once, not repeatedly.
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 7));
    for _ in 0..80 {
        harness.run_rounds(&mut [&mut one, &mut two]);
        for worker in [&mut one, &mut two] {
            if let Some(task) =
                worker.unfinished_tasks().first().filter(|t| !t.ends_with("/0")).cloned()
            {
                worker.end_task(&task, ExitCause::Done);
            }
        }
    }
    let long =
        |w: &ScriptedWorker| w.started_attempts.iter().filter(|(t, _)| t.ends_with("/0")).count();
    assert_eq!(long(&one) + long(&two), 2);
}

#[test]
fn task_exceeding_interruption_notice_moves_to_other_machine() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 8));
    // Four tasks of 20 s give the runtime estimate.
    for n in 0..4 {
        for _ in 0..10 {
            harness.run_rounds(&mut [&mut w]);
        }
        assert!(w.end_task(&format!("req-000001/{n}"), ExitCause::Done));
        harness.heartbeat(&mut w);
    }
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.unfinished_tasks(), ["req-000001/4"]);
    w.set_interruption_notice(30.0);
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.unfinished_tasks(), ["req-000001/4"], "it can end in time");
    w.set_interruption_notice(8.0);
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.unfinished_tasks(), [] as [&str; 0]);
    let mut other = small_worker("m-2", "a");
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(other.unfinished_tasks(), ["req-000001/4"]);
}

#[test]
fn tasks_started_before_failover_do_not_affect_mean_runtime() {
    let mut harness = LeaderHarness::start();
    let mut workers = workers(1..=6, "a");
    harness.submit(job("req-000001", "array", 6));
    for _ in 0..10 {
        harness.run_rounds_all(&mut workers);
    }
    // A new leader sees five of them complete after a second; they had run for twenty seconds before.
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, harness.now + ms(1_000));
    next.run_rounds_all(&mut workers);
    for worker in &mut workers[..5] {
        let task = worker.unfinished_tasks()[0].clone();
        worker.end_task(&task, ExitCause::Done);
    }
    for _ in 0..10 {
        next.run_rounds_all(&mut workers);
    }
    assert_eq!(
        workers[5].unfinished_tasks().len(),
        1,
        "the sixth is no longer than the others were"
    );
    assert_eq!(workers.iter().map(|w| w.started_attempts.len()).sum::<usize>(), 6);
}
