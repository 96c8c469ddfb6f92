//! Seeded days of a simulated cluster (`simulation`): controllers, workers, users and the network between
//! them. Every start and every response is checked against the invariants, and after the faults every job
//! must finish.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod simulation;

use simulation::{EventCounts, FaultScenario, Simulation};

/// Runs a day to its end.
fn run_seed(seed: u64, mut simulation: Simulation) -> EventCounts {
    println!("seed {seed}");
    if std::env::var("HOOKWAY_MODEL_LOG").is_ok() {
        let log = tracing_subscriber::fmt().without_time().with_max_level(tracing::Level::DEBUG);
        let _ = log.with_writer(std::io::stdout).with_target(false).try_init();
    }
    simulation.run();
    for spec in &simulation.jobs {
        let id = &spec.id;
        assert!(
            simulation.has_final_state(id),
            "seed {seed}: {id} has no end\n{}",
            simulation.describe(id)
        );
    }
    simulation.counts
}

/// The seeds to run. More of them by hand: `HOOKWAY_MODEL_SEEDS=2000..3000 cargo test --release --test
/// simulated_days`.
fn seeds(as_a_rule: u64) -> std::ops::Range<u64> {
    let wanted = std::env::var("HOOKWAY_MODEL_SEEDS").ok();
    let span = wanted.as_deref().and_then(|s| s.split_once(".."));
    let number = |s: &str| s.parse().expect("a seed");
    span.map_or(0..as_a_rule, |(from, to)| number(from)..number(to))
}

fn scenario(kind: FaultScenario) -> EventCounts {
    let days: Vec<EventCounts> =
        seeds(12).map(|seed| run_seed(seed, Simulation::with_scenario(kind, seed))).collect();
    days.iter().fold(EventCounts::default(), EventCounts::and)
}

/// A cancellation is confirmed while the state service refuses the leader: `check_cancelled` holds
/// nevertheless.
#[test]
fn tasks_cancelled_while_leader_is_refused_are_removed_within_limit() {
    let all = scenario(FaultScenario::LeaderRefused);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.lessee_extensions > 50, "{all:?}");
    assert!(all.stopped_by_lessees > 20, "the old leader learned of it: {all:?}");
}

#[test]
fn tasks_cancelled_while_leader_is_isolated_are_removed_within_limit() {
    let all = scenario(FaultScenario::LeaderIsolated);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.lessee_extensions > 50, "{all:?}");
}

#[test]
fn cancelled_tasks_in_partitioned_leader_zone_are_removed_within_limit() {
    let all = scenario(FaultScenario::LeaderZonePartitioned);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.lessee_extensions > 50, "{all:?}");
}

/// While a task of a cancelled job may run anywhere, shard leases end within the cancellation limit.
#[test]
fn cancelled_tasks_reachable_only_by_shard_lessee_are_removed_within_limit() {
    let all = scenario(FaultScenario::OnlyLesseeReachable);
    println!("{all:?}");
    assert!(all.cancelled > 50, "{all:?}");
}

#[test]
fn random_faults_violate_no_invariant_and_every_job_finishes() {
    let days: Vec<EventCounts> =
        seeds(60).map(|seed| run_seed(seed, Simulation::new(seed))).collect();
    let all = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{all:?}");
    // The days contained the events that they are meant to test.
    assert!(
        all.starts > 5_000 && all.quota_bound_starts > 300 && all.zone_bound_starts > 1_000,
        "{all:?}"
    );
    assert!(all.terms > 4 * days.len() && all.resumed_terms > 5, "{all:?}");
    assert!(all.errors > 300 && all.probes_answered > 100 && all.lessee_extensions > 50, "{all:?}");
    assert!(all.cancelled > 100 && all.cancelled_without_leader > 30, "{all:?}");
    assert!(all.stopped_by_lessees > 0 && all.status_queries > 100_000, "{all:?}");
    assert!(all.replica_starts > 300 && all.replicas_in_place > 50, "{all:?}");
    assert!(all.divided_registry_records > 500, "{all:?}");
    assert!(all.warm_starts > 10, "{all:?}");
}

/// New leaders with copies of every age, while the old ones crash or freeze with partially placed gangs.
#[test]
fn standby_failover_amid_gangs_violates_no_invariant() {
    let days: Vec<EventCounts> =
        seeds(30).map(|seed| run_seed(seed, Simulation::with_standbys(seed))).collect();
    let all = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{all:?}");
    assert!(all.warm_starts > 50 && all.completed_gangs > 5, "{all:?}");
    assert!(all.refused_answers > 50, "{all:?}");
}

/// Standbys whose requests reach the leader and whom its responses don't reach: they lag, suspect it and
/// start cold.
#[test]
fn one_way_controller_partitions_violate_no_invariant() {
    let days: Vec<EventCounts> =
        seeds(12).map(|seed| run_seed(seed, Simulation::with_one_way_partitions(seed))).collect();
    let all = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{all:?}");
    assert!(all.one_way_partitions > 50 && all.warm_starts > 20, "{all:?}");
}
