//! Failovers to a controller with a copy of the last leader's cluster state.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_constants as constants;
use hookway_controller::cluster_state::{ClusterState, WarmStart};
use hookway_controller::networks::Networks;
use hookway_replication::{Publisher, ReplicatedState};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{JobId, TaskState};

pub const SECOND_TERM: u64 = 1 + constants::TOKENS_PER_TERM;

/// The copy of a standby that is up to date.
pub fn copy_of(cluster: &mut ClusterState) -> ReplicatedState {
    let mut publisher = Publisher::new(cluster.term());
    cluster.publish_all(&mut publisher);
    publisher.state().clone()
}

/// Another controller is elected and has this copy.
pub fn fail_over(harness: &mut LeaderHarness, copy: &ReplicatedState) -> WarmStart {
    let store = std::mem::take(&mut harness.store);
    *harness = LeaderHarness::lead(store, SECOND_TERM, harness.now + ms(5_000));
    harness.cluster.warm_start(copy, &Networks::default(), harness.now)
}

/// Delivers the state probes of the new leader to these workers; the number of probes.
pub fn answer_probes(harness: &mut LeaderHarness, workers: &mut [ScriptedWorker]) -> usize {
    let asked = harness.cluster.take_state_probes(harness.now);
    for probe in &asked {
        let name = &probe.machine;
        let worker = workers.iter_mut().find(|w| w.name() == name);
        let token = harness.cluster.term();
        let report = worker.and_then(|w| {
            let session = w.incarnation();
            w.handle_direct_commands(&hookway_wire::DirectCommands {
                fencing_token: token,
                incarnation: session,
                commands: vec![],
            })
        });
        harness.cluster.state_probed(name, report, harness.now);
    }
    asked.len()
}

pub fn run_rounds(harness: &mut LeaderHarness, workers: &mut [ScriptedWorker]) {
    let mut all: Vec<&mut ScriptedWorker> = workers.iter_mut().collect();
    harness.run_rounds(&mut all);
}

pub fn fleet(machines: usize) -> Vec<ScriptedWorker> {
    (1..=machines)
        .map(|n| {
            let mut worker = small_worker(&format!("m-{n}"), "a");
            worker.first_state = TaskState::FetchingImage;
            worker
        })
        .collect()
}

/// Four machines and a gang of four: two of its tasks are on their machines when the leader crashes.
pub fn partially_placed_gang() -> (LeaderHarness, Vec<ScriptedWorker>, ReplicatedState, JobId) {
    let mut harness = LeaderHarness::start();
    let mut workers = fleet(4);
    run_rounds(&mut harness, &mut workers);
    let id = harness.submit(job("req-000001", "group", 4));
    harness.advance(500);
    for worker in &mut workers[..2] {
        harness.heartbeat(worker);
    }
    assert_eq!(workers.iter().filter(|w| !w.unfinished_tasks().is_empty()).count(), 2);
    let copy = copy_of(&mut harness.cluster);
    (harness, workers, copy, id)
}

pub fn attempts(workers: &[ScriptedWorker]) -> Vec<u64> {
    workers.iter().flat_map(|w| &w.started_attempts).map(|(_, attempt)| *attempt).collect()
}
