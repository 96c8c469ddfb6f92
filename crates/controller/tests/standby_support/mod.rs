//! Failovers to a standby that has a copy of the previous leader's cluster state.
#![allow(dead_code, reason = "each test file uses only some of these items")]
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_constants as constants;
use hookway_controller::cluster_state::{ClusterState, RestoredHints};
use hookway_controller::networks::Networks;
use hookway_replication::{Publisher, ReplicatedState};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{JobId, TaskState};

/// The term of the leader elected by [`fail_over`].
pub const SECOND_TERM: u64 = 1 + constants::TOKENS_PER_TERM;

/// Returns the copy of a standby that has applied every entry.
pub fn standby_copy(cluster: &mut ClusterState) -> ReplicatedState {
    let mut publisher = Publisher::new(cluster.term());
    cluster.publish_all(&mut publisher);
    publisher.state().clone()
}

/// Replaces the leader by one of the second term, elected 5 s later, that starts from `copy`.
pub fn fail_over(harness: &mut LeaderHarness, copy: &ReplicatedState) -> RestoredHints {
    let store = std::mem::take(&mut harness.store);
    *harness = LeaderHarness::with_term(store, SECOND_TERM, harness.now + ms(5_000));
    harness.cluster.apply_replicated_state(copy, &Networks::default(), harness.now)
}

/// Delivers the due state probes to these workers and their responses to the leader, and returns the number of probes.
/// A machine without a worker in `workers` does not respond.
pub fn respond_to_probes(harness: &mut LeaderHarness, workers: &mut [ScriptedWorker]) -> usize {
    let probes = harness.cluster.take_state_probes(harness.now);
    for probe in &probes {
        let name = &probe.machine;
        match workers.iter_mut().find(|worker| worker.machine_name() == name) {
            Some(worker) => harness.answer_probe(worker),
            None => harness.cluster.apply_state_probe_outcome(name, None, harness.now),
        }
    }
    probes.len()
}

/// Runs four times one heartbeat of each worker and then a scheduling round.
pub fn run_four_rounds(harness: &mut LeaderHarness, workers: &mut [ScriptedWorker]) {
    let mut all_workers: Vec<&mut ScriptedWorker> = workers.iter_mut().collect();
    harness.run_four_rounds(&mut all_workers);
}

/// Returns workers `m-1`, `m-2` and so on in zone a whose tasks start by fetching their image.
pub fn fleet(machines: usize) -> Vec<ScriptedWorker> {
    (1..=machines)
        .map(|n| {
            let mut worker = small_worker(&format!("m-{n}"), "a");
            worker.state_after_start = TaskState::FetchingImage;
            worker
        })
        .collect()
}

/// Returns a leader, four workers, the leader's copy, and the id of a gang of four tasks: two tasks were
/// started when the copy was taken, the other two are only placed.
pub fn partially_placed_gang() -> (LeaderHarness, Vec<ScriptedWorker>, ReplicatedState, JobId) {
    let mut harness = LeaderHarness::start();
    let mut workers = fleet(4);
    run_four_rounds(&mut harness, &mut workers);
    let id = harness.submit(job("req-000001", "group", 4));
    harness.advance(500);
    for worker in &mut workers[..2] {
        harness.heartbeat(worker);
    }
    assert_eq!(workers.iter().filter(|worker| !worker.unfinished_tasks().is_empty()).count(), 2);
    let copy = standby_copy(&mut harness.cluster);
    (harness, workers, copy, id)
}

/// Returns the attempt number of every task start on these workers.
pub fn attempts(workers: &[ScriptedWorker]) -> Vec<u64> {
    workers
        .iter()
        .flat_map(|worker| &worker.started_attempts)
        .map(|(_, attempt)| *attempt)
        .collect()
}
