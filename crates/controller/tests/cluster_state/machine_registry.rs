//! The machine registry in the store, and how the leader compares it with the cloud's list of machines.

use crate::harness::{LeaderHarness, at, job, listed_machine, ms, small_worker, test_config};
use crate::support::workers;
use hookway_controller::cluster_state::{CommitResult, longest_worker_lease};
use hookway_controller::records::REGISTRY_PREFIX;
use hookway_testkit::{MemoryStore, ScriptedWorker};
use hookway_wire::{ExitCause, MachineState, Operation};

#[test]
fn no_task_starts_before_machine_is_registered() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 1));
    let heartbeat = worker.heartbeat();
    let response = harness.cluster.handle_heartbeat(&heartbeat, harness.now).expect("a response");
    assert_eq!(response.commands, [], "no start before the registration is durable");
    worker.execute_response(&response);
    harness.commit_pending();
    assert!(harness.is_registered("m-1"));
    harness.now += ms(500);
    assert_eq!(
        harness.heartbeat(&mut worker),
        [],
        "no start before the job's start watermark is durable"
    );
    harness.now += ms(500);
    assert_eq!(harness.heartbeat(&mut worker).len(), 1);
}

#[test]
fn machine_deleted_without_leader_does_not_block_older_jobs() {
    let mut harness = LeaderHarness::start();
    let (mut reachable, mut deleted) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 2));
    harness.run_four_rounds(&mut [&mut reachable, &mut deleted]);
    let lost_task = deleted.unfinished_tasks()[0].clone();
    // The cloud deletes m-2 while no controller leads. The machine had been up for a long time, so the
    // first list without it proves its deletion.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(100_000));
    reachable.end_task(&reachable.unfinished_tasks()[0].clone(), ExitCause::Done);
    next.run_four_rounds(&mut [&mut reachable]);
    assert!(!next.cluster.is_reconciled(next.now));
    let listed = listed_machine("m-1", MachineState::Running, 100.0);
    next.cluster.machines_listed(&[listed], next.now, next.now);
    next.run_four_rounds(&mut [&mut reachable]);
    assert_eq!(reachable.unfinished_tasks(), [lost_task]);
}

#[test]
fn stale_cloud_list_does_not_remove_young_machine() {
    let mut harness = LeaderHarness::start();
    // A machine boots late in the term and gets a task.
    harness.now = at(300_000);
    let mut young = small_worker("m-9", "a");
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut young]);
    assert_eq!(young.unfinished_tasks().len(), 1);
    // The leader changes 2 s later; the first list does not contain the machine yet.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, harness.now + ms(2_000));
    next.cluster.machines_listed(&[], next.now, next.now);
    for _ in 0..4 {
        next.heartbeat(&mut small_worker("m-2", "b"));
        next.advance(500);
    }
    assert!(
        !next.cluster.is_reconciled(next.now),
        "a young machine that the list lacks is not treated as deleted"
    );
}

#[test]
fn new_leader_knows_cached_images_of_machines() {
    let mut harness = LeaderHarness::start();
    let (mut cold, mut warm) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut warm]);
    warm.end_task("req-000001/0", ExitCause::Done);
    harness.run_four_rounds(&mut [&mut cold, &mut warm]);
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(9_000));
    next.run_four_rounds(&mut [&mut cold, &mut warm]);
    next.submit(job("req-000002", "array", 1));
    next.run_four_rounds(&mut [&mut cold, &mut warm]);
    assert_eq!((cold.started_attempts.len(), warm.unfinished_tasks().len()), (0, 1));
}

#[test]
fn registry_records_are_shared_and_legacy_entries_migrated() {
    let mut store = MemoryStore::default();
    // Records that version 0.1.0 wrote: one per machine.
    store.put("r/m-1", serde_json::json!({ "term": 1, "at_ms": 999_000 }));
    store.put("i/m-1", serde_json::json!({ "images": [["img", 1.0]] }));
    let mut harness = LeaderHarness::with_term(store, 2, at(0));
    assert!(!harness.cluster.is_reconciled(at(0)), "m-1 of the legacy record may have tasks");
    let mut all_workers = workers(1..=60, "a");
    let mut refs: Vec<&mut ScriptedWorker> = all_workers.iter_mut().collect();
    harness.run_four_rounds(&mut refs);
    assert!((1..=60).all(|n| harness.is_registered(&format!("m-{n}"))));
    assert!(harness.store.list("r/").len() <= 2, "one record holds dozens of machines");
    assert!(harness.store.get("i/m-1").is_none() && harness.store.get("r/m-1").is_none());
    // The next leader knows every machine, and the cached image of the first.
    let next = LeaderHarness::with_term(harness.store.clone(), 3, at(50_000));
    assert_eq!(next.cluster.machine_count(), 60);
    let record = next.store.list("r/").remove(0).value;
    assert_eq!(record["images"][0][0], "img");
}

#[test]
fn unreadable_registry_record_number_is_not_reused_within_lease() {
    let mut store = MemoryStore::default();
    store.put("r/record-0", serde_json::json!({ "hosts": "from a later version" }));
    let mut harness = LeaderHarness::with_term(store, 1, at(0));
    let mut worker = small_worker("m-1", "a");
    harness.heartbeat(&mut worker);
    harness.heartbeat(&mut worker);
    assert!(harness.is_registered("m-1"));
    assert!(
        harness.store.get("r/record-0").is_some_and(|kv| kv.value["hosts"].is_string()),
        "the record stays until all worker leases have expired: it tells the next leader that there are \
         machines that it does not know"
    );
    // It is deleted once the worker leases of all machines that it may name have expired.
    harness.now = at(0) + longest_worker_lease(&test_config().platform) + ms(1);
    harness.heartbeat(&mut worker);
    harness.advance(1_000);
    harness.advance(1_000);
    assert!(harness.store.get("r/record-0").is_none_or(|kv| kv.value["hosts"].is_object()));
    assert!(harness.is_registered("m-1"));
}

/// Guards against an image hint that is taken for durable: the response to the commit of a registry record is lost, and
/// its transaction was applied or not. The hint is written again, and the next leader places by it.
#[test]
fn image_hint_whose_commit_response_is_lost_is_written_again() {
    for applied in [true, false] {
        let mut harness = LeaderHarness::start();
        let (mut cold, mut warm) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
        harness.submit(job("req-000001", "array", 1));
        let mut responses_lost = 0;
        for _ in 0..20 {
            harness.now += ms(500);
            let response = harness.cluster.handle_heartbeat(&warm.heartbeat(), harness.now);
            if let Some(response) = response {
                warm.execute_response(&response);
            }
            harness.cluster.scheduling_round(harness.now);
            let Some(commit) = harness.cluster.next_commit(harness.now) else { continue };
            let writes_image = |operation: &Operation| match operation {
                Operation::Put { key, value, .. } => {
                    key.starts_with(REGISTRY_PREFIX) && value.to_string().contains("img")
                }
                Operation::Delete { .. } => false,
            };
            let is_lost =
                responses_lost == 0 && commit.transaction.operations.iter().any(writes_image);
            responses_lost += usize::from(is_lost);
            let mut result = CommitResult::NotApplied;
            if applied || !is_lost {
                let revision = harness.store.commit(&commit.transaction).expect("one writer");
                result = CommitResult::Applied(revision);
            }
            if is_lost {
                result = harness.read_after_lost_response(&commit);
            }
            harness.cluster.apply_commit_outcome(commit, result, harness.now);
        }
        assert_eq!(responses_lost, 1, "a registry record with the image was written");
        warm.end_task("req-000001/0", ExitCause::Done);
        // The other machine shares the registry record: its registration would write the hint again.
        harness.run_four_rounds(&mut [&mut warm]);
        let mut next = LeaderHarness::with_term(harness.store.clone(), 2, harness.now + ms(9_000));
        next.run_four_rounds(&mut [&mut cold, &mut warm]);
        next.submit(job("req-000002", "array", 1));
        next.run_four_rounds(&mut [&mut cold, &mut warm]);
        assert_eq!((cold.started_attempts.len(), warm.unfinished_tasks().len()), (0, 1));
    }
}
