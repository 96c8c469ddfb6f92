//! Start watermarks: which tasks no leader can have started.

use crate::harness::{LeaderHarness, at, job, small_worker, test_config, timestamp};
use hookway_controller::cluster_state::{ClusterState, LoadedState};
use hookway_controller::records::LEADER_KEY;
use hookway_testkit::{MemoryStore, machine_types};
use hookway_time::MonotonicTime;
use hookway_wire::{ExitCause, Precondition};

#[test]
fn never_started_tasks_do_not_wait_for_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let (mut reachable, mut partitioned) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 300));
    harness.run_rounds(&mut [&mut reachable, &mut partitioned]);
    let queued = harness.submit(job("req-000002", "group", 1));
    // The leader is partitioned together with m-2; the task on m-1 completes.
    let held: u32 = partitioned.unfinished_tasks()[0]
        .rsplit('/')
        .next()
        .expect("a number")
        .parse()
        .expect("a number");
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(30_000));
    reachable.end_task(&reachable.unfinished_tasks()[0].clone(), ExitCause::Done);
    let mut idle = small_worker("m-3", "a");
    next.run_rounds(&mut [&mut reachable, &mut idle]);
    assert!(!next.cluster.reconciled(next.now), "m-2 may still run {held}");
    let fresh: Vec<String> =
        reachable.unfinished_tasks().into_iter().chain(idle.unfinished_tasks()).collect();
    assert_eq!(fresh.len(), 2, "both machines have work: {fresh:?}");
    assert!(fresh.contains(&format!("{queued}/0")), "a gang of which nothing was started");
    let of_array = fresh.iter().find(|t| t.starts_with("req-000001/")).expect("an array's task");
    let index: u32 = of_array.rsplit('/').next().expect("a number").parse().expect("a number");
    assert!(index >= 32, "{index}: below the mark the old leader may have started it on m-2");
}

#[test]
fn missing_watermarks_make_all_tasks_wait_for_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let mut partitioned = small_worker("m-2", "b");
    harness.submit(job("req-000001", "array", 300));
    harness.run_rounds(&mut [&mut partitioned]);
    // A leader of version 0.1.0 may have started any of the tasks without a watermark.
    let loaded = |store: &MemoryStore, marked| LoadedState {
        jobs: store.list("j/"),
        scheduling: store.list("m/"),
        registry: store.list("r/"),
        has_start_watermarks: marked,
        ..LoadedState::default()
    };
    let mut store = harness.store.clone();
    let lead = |store: &mut MemoryStore, term: u64, marked: bool, now: MonotonicTime| {
        let stamp = store.put(LEADER_KEY, serde_json::json!({ "term": term }));
        let guard = Precondition { key: LEADER_KEY.into(), mod_revision: stamp };
        let loaded = loaded(store, marked);
        let elected = timestamp(now);
        let cluster =
            ClusterState::new(test_config(), term, guard, machine_types(), loaded, elected);
        LeaderHarness { cluster, store: store.clone(), now }
    };
    let mut next = lead(&mut store, 2, false, at(30_000));
    let mut idle = small_worker("m-3", "a");
    next.run_rounds(&mut [&mut idle]);
    assert_eq!(idle.started_attempts, [], "any task may be on m-2");
    // The leader after that one reads this from the state service.
    let mut store = next.store.clone();
    let mut third = lead(&mut store, 3, true, at(33_000));
    let mut idle = small_worker("m-4", "a");
    third.run_rounds(&mut [&mut idle]);
    assert_eq!(idle.started_attempts, []);
}

/// Thousands of one-task jobs arrive within a minute or two: a record for each used up the write budget that
/// all final states wait for. They share records, from which the next leader knows which tasks may have been
/// started.
#[test]
fn small_jobs_share_watermark_record_that_next_leader_reads() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.heartbeat(&mut w);
    for n in 0..100 {
        harness.submit(job(&format!("req-{n:06}"), "array", 1));
    }
    harness.run_rounds(&mut [&mut w]);
    let begun: Vec<String> = w.unfinished_tasks();
    assert_eq!(begun.len(), 1, "a task fills the machine");
    let marks = harness.store.list("m/");
    assert_eq!(marks.len(), 1, "{marks:?}");
    assert!(marks[0].value["jobs"].as_array().is_some_and(|jobs| jobs.len() < 100));
    // The machine is unreachable for the next leader: its task waits, the others need not.
    let mut next = LeaderHarness::lead(harness.store.clone(), 5_000, at(20_000));
    let mut other = small_worker("m-2", "a");
    for _ in 0..3 {
        next.heartbeat(&mut other);
        next.advance(500);
    }
    assert_eq!(other.unfinished_tasks().len(), 1, "something that no leader has started");
    assert_ne!(other.unfinished_tasks(), begun);
    // The record is deleted when all of its jobs have finished.
    let mut harness = LeaderHarness::lead(harness.store.clone(), 9_000, at(40_000));
    for _ in 0..300 {
        harness.heartbeat(&mut w);
        for task in w.unfinished_tasks() {
            w.end_task(&task, ExitCause::Done);
        }
        harness.heartbeat(&mut w);
        harness.advance(300);
    }
    assert_eq!(harness.store.list("j/").len(), 0);
    let left = harness.store.list("m/");
    assert!(left.len() <= 1, "but for the one that is being filled: {left:?}");
}

/// An unreadable watermark record may name any small job.
#[test]
fn unreadable_watermark_record_counts_small_jobs_as_started() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.heartbeat(&mut w);
    harness.submit(job("req-000001", "array", 1));
    harness.run_rounds(&mut [&mut w]);
    let mut store = harness.store.clone();
    store.put("m/shared-0", serde_json::json!({ "jobs": 7 }));
    let mut next = LeaderHarness::lead(store, 5_000, at(20_000));
    let mut other = small_worker("m-2", "a");
    for _ in 0..3 {
        next.heartbeat(&mut other);
        next.advance(500);
    }
    assert_eq!(other.unfinished_tasks().len(), 0, "it runs on a machine that is not heard");
}
