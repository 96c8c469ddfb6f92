//! In production a task was started on two machines. Its job had been accepted while nobody led. The leader of
//! term 4097 did not know how far its predecessors had started tasks: 0.02 s after its election it logged
//! "cluster state loaded term=4097 cluster=30 jobs, 77 machines (0 up), 0 tasks placed; CPUs: 0 up, 0 placed,
//! 0 waited for", although the 14 tasks of that job, two CPUs each, had never been started and would have been
//! waited for by a leader that knows it. So it took every inherited task as started, and took that assumption for
//! a durable watermark: it started task 3 at 33.53 s, in the second in which the store began to refuse it, and was
//! killed at 34 s. Its election had written already that watermarks are recorded. The leader of term 16385
//! believed that, found no record of the job, and loaded "39 jobs, 77 machines (0 up), 0 tasks placed; CPUs: 0 up,
//! 0 placed, 382 waited for": it took the job's tasks as never started and started task 3 elsewhere within a second,
//! before the machine that ran it had reported.

use crate::harness::{ElectionResponse, LeaderHarness, at, job, small_worker};
use hookway_controller::leadership::{StoredWatermarks, Vacancy};
use hookway_controller::records::LEADER_PREFIX;
use hookway_testkit::{MemoryStore, ScriptedWorker};

/// A store with a job of 14 tasks that no leader has started, and one registered machine without tasks.
fn store_with_waiting_job() -> (MemoryStore, ScriptedWorker) {
    let mut first = LeaderHarness::elect(MemoryStore::default(), ElectionResponse::Received, at(0));
    let mut worker = small_worker("m-1", "a");
    first.run_rounds(&mut [&mut worker]);
    first.submit(job("req-000001", "array", 14));
    (first.store, worker)
}

/// What a leader starts on an idle machine while the other machines are silent.
fn started_on_idle_machine(leader: &mut LeaderHarness) -> Vec<String> {
    let mut idle = small_worker("m-2", "a");
    leader.run_rounds(&mut [&mut idle]);
    idle.unfinished_tasks()
}

#[test]
fn task_started_by_leader_whose_writes_are_refused_is_not_started_by_next_leader() {
    let (store, mut worker) = store_with_waiting_job();
    let mut second = LeaderHarness::elect(store, ElectionResponse::Lost, at(10_000));
    second.writes_refused = true;
    second.run_rounds(&mut [&mut worker]);
    let running = worker.unfinished_tasks();
    let mut third = LeaderHarness::elect(second.store, ElectionResponse::Received, at(20_000));
    let started = started_on_idle_machine(&mut third);
    assert!(!third.cluster.reconciled(third.now), "the first machine has not reported");
    assert!(
        running.iter().all(|task| !started.contains(task)),
        "{started:?} started while {running:?} run elsewhere"
    );
}

/// The same election without a start: tasks that an earlier leader started without a watermark must not become
/// known as never started because a leader in between ended before it wrote anything.
#[test]
fn watermarks_missing_before_a_short_term_are_still_missing_after_it() {
    let (mut store, mut worker) = store_with_waiting_job();
    // A leader of a version without watermarks starts a task, and its term is recorded.
    let mut older = LeaderHarness::elect(store.clone(), ElectionResponse::Received, at(5_000));
    older.run_rounds(&mut [&mut worker]);
    let running = worker.unfinished_tasks();
    assert_eq!(running.len(), 1, "one task fills the machine");
    store.put("lead/term", serde_json::json!(2 * hookway_constants::TOKENS_PER_TERM));
    assert_eq!(
        Vacancy::read(&store.list(LEADER_PREFIX)).stored_watermarks,
        StoredWatermarks::Outdated
    );
    let mut short = LeaderHarness::elect(store, ElectionResponse::Received, at(10_000));
    short.writes_refused = true;
    assert!(started_on_idle_machine(&mut short).is_empty(), "no machine is reconciled");
    let mut next = LeaderHarness::elect(short.store, ElectionResponse::Received, at(20_000));
    let started = started_on_idle_machine(&mut next);
    assert!(!next.cluster.reconciled(next.now), "the first machine has not reported");
    assert_eq!(started, Vec::<String>::new(), "{running:?} runs on the silent machine");
}
