//! Setup functions that several modules share.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_testkit::ScriptedWorker;

/// Returns a leader and `count` workers in zone a, each with one running task.
pub fn busy_zone(count: usize) -> (LeaderHarness, Vec<ScriptedWorker>) {
    let mut harness = LeaderHarness::start();
    let names: Vec<String> = (1..=count).map(|n| format!("m-{n}")).collect();
    let mut workers: Vec<ScriptedWorker> =
        names.iter().map(|name| small_worker(name, "a")).collect();
    harness.submit(job("req-000001", "array", count as u32));
    harness.run_four_rounds_of_all(&mut workers);
    assert!(workers.iter().all(|worker| worker.unfinished_tasks().len() == 1));
    (harness, workers)
}

/// Returns the machines that the leader requests to delete within `millis` ms while only the
/// `reachable` workers send heartbeats.
pub fn deleted_machines(
    harness: &mut LeaderHarness,
    reachable: &mut [ScriptedWorker],
    millis: u64,
) -> Vec<String> {
    let end = harness.now + ms(millis);
    let mut names = Vec::new();
    while harness.now < end {
        for worker in reachable.iter_mut() {
            harness.heartbeat(worker);
        }
        harness.advance(1_000);
        names.extend(harness.requested_deletions());
    }
    names
}

/// Returns one worker for each of these numbers, on the machine `m-<n>` in `zone`.
pub fn workers(numbers: std::ops::RangeInclusive<usize>, zone: &str) -> Vec<ScriptedWorker> {
    numbers.map(|n| small_worker(&format!("m-{n}"), zone)).collect()
}
