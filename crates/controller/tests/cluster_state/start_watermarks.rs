//! Start watermarks: they tell a new leader which tasks no earlier leader can have started.

use crate::harness::{LeaderHarness, at, job, small_worker, test_config};
use hookway_controller::leadership::WatermarkCompleteness;
use hookway_controller::records::LEADER_KEY;
use hookway_testkit::MemoryStore;
use hookway_wire::ExitCause;

#[test]
fn never_started_tasks_do_not_wait_for_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let (mut reachable, mut partitioned) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 300));
    harness.run_four_rounds(&mut [&mut reachable, &mut partitioned]);
    let queued = harness.submit(job("req-000002", "group", 1));
    // The leader is partitioned together with m-2; the task on m-1 completes.
    let partitioned_task: u32 = partitioned.unfinished_tasks()[0]
        .rsplit('/')
        .next()
        .expect("a number")
        .parse()
        .expect("a number");
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(30_000));
    reachable.end_task(&reachable.unfinished_tasks()[0].clone(), ExitCause::Done);
    let mut idle = small_worker("m-3", "a");
    next.run_four_rounds(&mut [&mut reachable, &mut idle]);
    assert!(!next.cluster.is_reconciled(next.now), "m-2 may still run task {partitioned_task}");
    let started_tasks: Vec<String> =
        reachable.unfinished_tasks().into_iter().chain(idle.unfinished_tasks()).collect();
    assert_eq!(started_tasks.len(), 2, "each reachable machine gets a task: {started_tasks:?}");
    assert!(
        started_tasks.contains(&format!("{queued}/0")),
        "a gang that was never started does not wait"
    );
    let array_task = started_tasks
        .iter()
        .find(|task| task.starts_with("req-000001/"))
        .expect("a task of the array");
    let index: u32 = array_task.rsplit('/').next().expect("a number").parse().expect("a number");
    assert!(index >= 32, "{index} is below the start watermark: it may run on m-2");
}

#[test]
fn missing_watermarks_make_all_tasks_wait_for_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let mut partitioned = small_worker("m-2", "b");
    harness.submit(job("req-000001", "array", 300));
    harness.run_four_rounds(&mut [&mut partitioned]);
    // A leader of version 0.1.0 may have started any of the tasks without storing a watermark.
    let lead = |mut store: MemoryStore, term: u64, stored: WatermarkCompleteness, now| {
        let mod_revision = store.put(LEADER_KEY, serde_json::json!({ "term": term }));
        LeaderHarness::with_leadership(test_config(), store, (term, mod_revision), stored, now)
    };
    let mut next = lead(harness.store.clone(), 2, WatermarkCompleteness::Absent, at(30_000));
    let mut idle = small_worker("m-3", "a");
    next.run_four_rounds(&mut [&mut idle]);
    assert_eq!(idle.started_attempts, [], "without watermarks any task may run on m-2");
    // The leader after that one reads from the store that any task may have been started.
    let mut third = lead(next.store.clone(), 3, WatermarkCompleteness::Complete, at(33_000));
    let mut idle = small_worker("m-4", "a");
    third.run_four_rounds(&mut [&mut idle]);
    assert_eq!(idle.started_attempts, []);
}

/// Guards against delayed final states: thousands of one-task jobs arrive within a minute or two, and a
/// watermark record for each job used up the write rate limit, for which final states wait too. Small jobs
/// therefore share records that tell the next leader which tasks may have been started.
#[test]
fn small_jobs_share_watermark_record_that_next_leader_reads() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.heartbeat(&mut worker);
    for n in 0..100 {
        harness.submit(job(&format!("req-{n:06}"), "array", 1));
    }
    harness.run_four_rounds(&mut [&mut worker]);
    let started_tasks: Vec<String> = worker.unfinished_tasks();
    assert_eq!(started_tasks.len(), 1, "the machine has capacity for one task");
    let watermark_records = harness.store.list("m/");
    assert_eq!(watermark_records.len(), 1, "{watermark_records:?}");
    assert!(watermark_records[0].value["jobs"].as_array().is_some_and(|jobs| jobs.len() < 100));
    // The next leader can't reach the machine: its task waits, the others need not.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 5_000, at(20_000));
    let mut other = small_worker("m-2", "a");
    for _ in 0..3 {
        next.heartbeat(&mut other);
        next.advance(500);
    }
    assert_eq!(other.unfinished_tasks().len(), 1, "a task that no leader has started");
    assert_ne!(other.unfinished_tasks(), started_tasks);
    // The record is deleted when all of its jobs have finished.
    let mut harness = LeaderHarness::with_term(harness.store.clone(), 9_000, at(40_000));
    for _ in 0..300 {
        harness.heartbeat(&mut worker);
        for task in worker.unfinished_tasks() {
            worker.end_task(&task, ExitCause::Done);
        }
        harness.heartbeat(&mut worker);
        harness.advance(300);
    }
    assert_eq!(harness.store.list("j/").len(), 0);
    let remaining = harness.store.list("m/");
    assert!(remaining.len() <= 1, "only the record that still gets new jobs stays: {remaining:?}");
}

/// An unreadable shared record may contain any small job.
#[test]
fn unreadable_watermark_record_counts_small_jobs_as_started() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.heartbeat(&mut worker);
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut worker]);
    let mut store = harness.store.clone();
    store.put("m/shared-0", serde_json::json!({ "jobs": 7 }));
    let mut next = LeaderHarness::with_term(store, 5_000, at(20_000));
    let mut other = small_worker("m-2", "a");
    for _ in 0..3 {
        next.heartbeat(&mut other);
        next.advance(500);
    }
    assert_eq!(other.unfinished_tasks().len(), 0, "the task may run on the unreachable machine");
}
