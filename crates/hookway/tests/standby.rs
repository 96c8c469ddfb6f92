//! Failovers between controller processes on loopback after the leader was killed or paused, with test doubles of the
//! store, the cloud and the workers. Every task start is checked. Durations are not asserted, apart from timeouts.
//!
//! `HOOKWAY_TAKEOVERS=100` sets the number of failovers, whose durations are printed; `HOOKWAY_STANDBY=off` runs them
//! without warm standbys, for comparison.

mod loopback_cluster;

use loopback_cluster::{Cluster, MACHINES, wait_for};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// Number of failovers unless `HOOKWAY_TAKEOVERS` sets it.
const DEFAULT_FAILOVERS: usize = 4;
/// Maximum delay of commands that a leader sent before it was killed or paused.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

fn print_quantiles(name: &str, durations: &mut [Duration]) {
    durations.sort();
    let last = (durations.len() - 1) as f64;
    let quantile = |share: f64| durations[(last * share).round() as usize].as_millis();
    let (p50, p90, longest) = (quantile(0.5), quantile(0.9), quantile(1.0));
    println!("{name}: p50 {p50} ms, p90 {p90} ms, longest {longest} ms of {}", durations.len());
}

/// The leader is killed while a gang is partially started. The next leader must start the remaining tasks with the same
/// attempt number.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn standby_completes_partially_placed_gang_after_leader_is_killed() {
    let mut cluster = Cluster::start("gang").await;
    // After every machine has run a task, the leader and the standbys know all machines.
    let array = cluster.submit(1, "array", MACHINES as u32).await;
    cluster.wait_until_done(&array).await;
    let partitioned = MACHINES / 2..MACHINES;
    cluster.fleet.partition(partitioned.clone());
    let gang = cluster.submit(2, "group", MACHINES as u32).await;
    let started_before = wait_for("half of the gang", async || {
        let started = cluster.fleet.started_attempts(gang.as_str());
        (started.len() == MACHINES / 2).then_some(started)
    })
    .await;
    // Either standby may be elected, so both must have the gang's attempt number.
    let leader = cluster.leader_followed_by_all(MACHINES).await;
    cluster.controllers[leader].kill();
    cluster.fleet.end_partition(partitioned);
    let next = cluster.leader_other_than(Some(leader)).await;
    cluster.wait_until_done(&gang).await;
    let started = cluster.fleet.started_attempts(gang.as_str());
    assert_eq!(started.len(), MACHINES, "each task must start exactly once: {started:?}");
    assert!(
        started.iter().all(|(_, attempt)| *attempt == started_before[0].1),
        "all tasks must have the attempt number that the first leader chose: {started:?}"
    );
    cluster.assert_no_violations();
    cluster.controllers[leader].restart();
    cluster.wait_for_copy(next, 0).await;
}

/// While jobs run, the leader is repeatedly killed, or paused until after the failover. No task may run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_kills_and_pauses_of_leader_run_no_task_twice() {
    let failovers: usize = std::env::var("HOOKWAY_TAKEOVERS")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_FAILOVERS);
    let mut cluster = Cluster::start("takeovers").await;
    let (mut elections, mut first_starts) = (Vec::new(), Vec::new());
    for failover in 0..failovers {
        let leader = cluster.leader().await;
        let array = cluster.submit(2 * failover + 10, "array", 9).await;
        let gang = cluster.submit(2 * failover + 11, "group", 4).await;
        cluster.wait_for_copy(leader, 1).await;
        let paused = failover % 2 == 1;
        let failed_at = Instant::now();
        if paused {
            cluster.controllers[leader].signal(Signal::SIGSTOP);
        } else {
            cluster.controllers[leader].kill();
        }
        let next = cluster.leader_other_than(Some(leader)).await;
        elections.push(failed_at.elapsed());
        let first_start = cluster.first_start_after(failed_at + IN_FLIGHT_TIME).await;
        first_starts.push(first_start - failed_at);
        if paused && failover % 4 == 3 {
            // The process resumes only after the array is done, so that all its pending requests are stale.
            cluster.wait_until_done(&array).await;
        }
        if paused {
            cluster.controllers[leader].signal(Signal::SIGCONT);
        } else {
            cluster.controllers[leader].restart();
        }
        cluster.wait_until_done(&array).await;
        cluster.wait_until_done(&gang).await;
        cluster.wait_until_following(leader, next).await;
        cluster.assert_no_violations();
    }
    print_quantiles("to the next leader", &mut elections);
    print_quantiles("to its first start", &mut first_starts);
    for controller in &cluster.controllers {
        println!("{}: {:?}", controller.name, controller.replication_status().await);
    }
}
