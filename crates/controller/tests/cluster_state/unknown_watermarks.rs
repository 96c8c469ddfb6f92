//! Unknown start watermarks: a leader that can't tell which tasks earlier leaders have started.
//!
//! These tests guard against a task that runs on two machines, as happened in production. A job of 14
//! tasks had been accepted while no controller led. The leader of term 4097 could not tell which tasks
//! earlier leaders had started, assumed that all of them were, and treated this assumption as a durable
//! watermark: it started task 3 just as the store began to refuse its writes, and was killed within a
//! second. Its election had already recorded that all start watermarks are stored. The leader of term
//! 16385 relied on that, found no record for the job, concluded that none of its tasks had been started,
//! and started task 3 on another machine before the first one had sent a heartbeat.

use crate::harness::{ElectionResponse, LeaderHarness, at, job, ms, small_worker};
use hookway_controller::cluster_state::CommitResult;
use hookway_controller::leadership::{LeaderlessState, WatermarkCompleteness};
use hookway_controller::records::{
    COMPLETE_WATERMARKS_KEY, LEADER_PREFIX, LEGACY_COMPLETE_WATERMARKS_KEY,
};
use hookway_testkit::{MemoryStore, ScriptedWorker};

/// Returns a store with a job of 14 tasks that no leader has started, and the worker of one registered
/// machine without tasks.
fn store_with_waiting_job() -> (MemoryStore, ScriptedWorker) {
    let mut first =
        LeaderHarness::after_election(MemoryStore::default(), ElectionResponse::Received, at(0));
    let mut worker = small_worker("m-1", "a");
    first.run_four_rounds(&mut [&mut worker]);
    first.submit(job("req-000001", "array", 14));
    first.commit_pending();
    (first.store, worker)
}

/// Returns the tasks that a leader starts on a new idle machine while no other machine sends heartbeats.
fn started_on_idle_machine(leader: &mut LeaderHarness) -> Vec<String> {
    let mut idle = small_worker("m-2", "a");
    leader.run_four_rounds(&mut [&mut idle]);
    idle.unfinished_tasks()
}

#[test]
fn task_started_by_leader_whose_writes_are_refused_is_not_started_by_next_leader() {
    let (store, mut worker) = store_with_waiting_job();
    let mut second = LeaderHarness::after_election(store, ElectionResponse::Lost, at(10_000));
    second.writes_refused = true;
    second.run_four_rounds(&mut [&mut worker]);
    let running = worker.unfinished_tasks();
    let mut third =
        LeaderHarness::after_election(second.store, ElectionResponse::Received, at(20_000));
    let started = started_on_idle_machine(&mut third);
    assert!(!third.cluster.is_reconciled(third.now), "the first machine has sent no heartbeat");
    assert!(
        running.iter().all(|task| !started.contains(task)),
        "{started:?} started while {running:?} run elsewhere"
    );
    assert_eq!(running, Vec::<String>::new(), "no record of the second leader is durable");
    assert_eq!(started, ["req-000001/0"], "a task that no leader has started does not wait");
}

/// Guards against tasks that count as never started although a leader without watermarks started them: a
/// leader in between ended before it wrote anything.
#[test]
fn watermarks_missing_before_a_short_term_are_still_missing_after_it() {
    let (mut store, mut worker) = store_with_waiting_job();
    // A leader of a version without watermarks starts a task, and its term is recorded.
    let mut older =
        LeaderHarness::after_election(store.clone(), ElectionResponse::Received, at(5_000));
    older.run_four_rounds(&mut [&mut worker]);
    let running = worker.unfinished_tasks();
    assert_eq!(running.len(), 1, "the machine has capacity for one task");
    store.put("lead/term", serde_json::json!(2 * hookway_constants::TOKENS_PER_TERM));
    assert_eq!(
        LeaderlessState::read(&store.list(LEADER_PREFIX)).watermark_completeness,
        WatermarkCompleteness::Outdated
    );
    let mut short = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    short.writes_refused = true;
    assert!(started_on_idle_machine(&mut short).is_empty(), "no machine is reconciled");
    let mut next =
        LeaderHarness::after_election(short.store, ElectionResponse::Received, at(20_000));
    let started = started_on_idle_machine(&mut next);
    assert!(!next.cluster.is_reconciled(next.now), "the first machine has sent no heartbeat");
    assert_eq!(started, Vec::<String>::new(), "{running:?} runs on the unreachable machine");
}

/// Whether the marker key exists and names the last term: its value equals that of `lead/term`.
fn is_current(store: &MemoryStore, marker: &str) -> bool {
    let value = |key: &str| store.get(key).map(|pair| pair.value);
    value(marker).is_some() && value(marker) == value("lead/term")
}

/// Returns a store with a job of 14 tasks whose last leader had a version without
/// [`COMPLETE_WATERMARKS_KEY`].
fn store_of_older_version() -> (MemoryStore, ScriptedWorker) {
    let (mut store, worker) = store_with_waiting_job();
    store.put("lead/term", serde_json::json!(2 * hookway_constants::TOKENS_PER_TERM));
    (store, worker)
}

#[test]
fn assumed_watermark_allows_starts_only_once_it_is_durable() {
    let (store, mut worker) = store_of_older_version();
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    leader.writes_refused = true;
    leader.run_four_rounds(&mut [&mut worker]);
    assert!(leader.cluster.is_reconciled(leader.now));
    assert_eq!(leader.cluster.summary(leader.now).jobs_assumed_started, 1);
    assert_eq!(worker.started_attempts, [], "the assumption is not durable");
    assert!(!is_current(&leader.store, COMPLETE_WATERMARKS_KEY));
    leader.writes_refused = false;
    leader.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 1);
    assert_eq!(leader.cluster.summary(leader.now).jobs_assumed_started, 0);
}

/// Once all assumed watermarks are durable, both markers are written: the one that the next leader relies
/// on, and the one that a leader of the previous version relies on.
#[test]
fn leader_marks_watermarks_complete_once_assumptions_are_durable() {
    let (store, mut worker) = store_of_older_version();
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    for marker in [COMPLETE_WATERMARKS_KEY, LEGACY_COMPLETE_WATERMARKS_KEY] {
        assert!(
            !is_current(&leader.store, marker),
            "{marker} must not be written before the records"
        );
    }
    leader.run_four_rounds(&mut [&mut worker]);
    for marker in [COMPLETE_WATERMARKS_KEY, LEGACY_COMPLETE_WATERMARKS_KEY] {
        assert!(is_current(&leader.store, marker), "{marker}");
    }
    let new_job = leader.submit(job("req-000002", "array", 1));
    let mut next =
        LeaderHarness::after_election(leader.store, ElectionResponse::Received, at(20_000));
    assert_eq!(started_on_idle_machine(&mut next), [format!("{new_job}/0")]);
}

/// A record that the store rejects on its own is retried later, and does not delay other commits.
#[test]
fn marker_of_complete_watermarks_waits_for_rejected_record() {
    let (store, _unreachable_worker) = store_of_older_version();
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    leader.submit(job("req-000002", "array", 14));
    let mut rejections = 0;
    while let Some(commit) = leader.cluster.next_commit(leader.now) {
        let has_assumed_record = commit.keys().contains(&"m/req-000001".to_owned());
        let result = if has_assumed_record {
            rejections += 1;
            CommitResult::Rejected
        } else {
            CommitResult::Applied(leader.store.commit(&commit.transaction).expect("one leader"))
        };
        leader.cluster.apply_commit_outcome(commit, result, leader.now);
        leader.now += ms(300);
        assert!(
            !is_current(&leader.store, COMPLETE_WATERMARKS_KEY),
            "the rejected record is missing"
        );
        if rejections > 3 {
            break;
        }
    }
    assert!(rejections > 0);
    assert_eq!(leader.cluster.summary(leader.now).jobs_assumed_started, 1);
    leader.now += hookway_constants::REJECTED_RECORD_RETRY_DELAY;
    leader.commit_pending();
    assert_eq!(leader.cluster.summary(leader.now).jobs_assumed_started, 0);
    assert!(is_current(&leader.store, COMPLETE_WATERMARKS_KEY));
}

/// A lost election response does not make the watermarks unknown: the election transaction itself records
/// whether they were complete.
#[test]
fn lost_election_response_after_complete_term_delays_no_start() {
    let (store, _unreachable_worker) = store_with_waiting_job();
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Lost, at(10_000));
    assert_eq!(started_on_idle_machine(&mut leader), ["req-000001/0"]);
    assert!(!leader.cluster.is_reconciled(leader.now));
}

/// The previous version relies on `lead/marked`, which elections of this version do not write.
#[test]
fn first_commit_of_term_tells_older_version_that_watermarks_are_complete() {
    let (store, mut worker) = store_with_waiting_job();
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    assert!(is_current(&leader.store, COMPLETE_WATERMARKS_KEY));
    assert!(!is_current(&leader.store, LEGACY_COMPLETE_WATERMARKS_KEY));
    leader.heartbeat(&mut worker);
    assert!(is_current(&leader.store, LEGACY_COMPLETE_WATERMARKS_KEY));
}

/// A later version may have started tasks of a job that this version can't read and for which it therefore
/// writes no watermark.
#[test]
fn unreadable_job_keeps_watermarks_from_being_marked_complete() {
    let (mut store, mut worker) = store_of_older_version();
    store.put("j/req-000009", serde_json::json!({ "spec": "of a later version" }));
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    leader.run_four_rounds(&mut [&mut worker]);
    assert_eq!(leader.cluster.summary(leader.now).jobs_assumed_started, 0);
    assert!(!is_current(&leader.store, COMPLETE_WATERMARKS_KEY));
}

/// Guards against a task started on the strength of an assumption: if the scheduling record of a job is unreadable,
/// its watermark is only assumed, and was treated as durable.
#[test]
fn unreadable_scheduling_record_allows_starts_only_once_it_is_replaced() {
    let (mut store, mut worker) = store_with_waiting_job();
    store.put("m/req-000001", serde_json::json!({ "opened": "of a later version" }));
    let mut leader = LeaderHarness::after_election(store, ElectionResponse::Received, at(10_000));
    leader.writes_refused = true;
    leader.run_four_rounds(&mut [&mut worker]);
    assert!(leader.cluster.is_reconciled(leader.now));
    assert_eq!(worker.started_attempts, []);
    leader.writes_refused = false;
    leader.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 1);
    let record = leader.store.get("m/req-000001").map(|kv| kv.value["opened"].clone());
    assert_eq!(record, Some(14.into()));
}
