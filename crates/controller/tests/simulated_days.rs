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
            "seed {seed}: {id} has no final state\n{}",
            simulation.describe(id)
        );
    }
    simulation.counts
}

/// The seeds to run. More of them by hand: `HOOKWAY_MODEL_SEEDS=2000..3000 cargo test --release --test
/// simulated_days`.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    seeds_or(0..default_count)
}

/// `seeds`, with other defaults.
fn seeds_or(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let requested = std::env::var("HOOKWAY_MODEL_SEEDS").ok();
    let range = requested.as_deref().and_then(|range| range.split_once(".."));
    let number = |text: &str| text.parse().expect("a seed number");
    range.map_or(default, |(from, to)| number(from)..number(to))
}

fn scenario(kind: FaultScenario, default_days: u64) -> EventCounts {
    let days: Vec<EventCounts> = seeds(default_days)
        .map(|seed| run_seed(seed, Simulation::with_scenario(kind, seed)))
        .collect();
    days.iter().fold(EventCounts::default(), EventCounts::and)
}

/// Cancellations are confirmed while the state service refuses the leader: `check_cancelled` must hold.
#[test]
fn tasks_cancelled_while_leader_is_refused_are_removed_within_limit() {
    let totals = scenario(FaultScenario::LeaderRefused, 24);
    println!("{totals:?}");
    assert!(totals.cancelled_without_leader > 40 && totals.lessee_extensions > 100, "{totals:?}");
    assert!(
        totals.stopped_by_lessees > 40,
        "the old leader stops tasks as a shard lessee: {totals:?}"
    );
}

#[test]
fn tasks_cancelled_while_leader_is_isolated_are_removed_within_limit() {
    let totals = scenario(FaultScenario::LeaderIsolated, 12);
    println!("{totals:?}");
    assert!(totals.cancelled_without_leader > 20 && totals.lessee_extensions > 50, "{totals:?}");
}

#[test]
fn cancelled_tasks_in_partitioned_leader_zone_are_removed_within_limit() {
    let totals = scenario(FaultScenario::LeaderZonePartitioned, 12);
    println!("{totals:?}");
    assert!(totals.cancelled_without_leader > 20 && totals.lessee_extensions > 50, "{totals:?}");
}

/// While a task of a cancelled job may run, shard leases expire within the cancellation limit.
#[test]
fn cancelled_tasks_reachable_only_by_shard_lessee_are_removed_within_limit() {
    let totals = scenario(FaultScenario::OnlyLesseeReachable, 12);
    println!("{totals:?}");
    assert!(totals.cancelled > 50, "{totals:?}");
}

#[test]
fn random_faults_violate_no_invariant_and_every_job_finishes() {
    let days: Vec<EventCounts> =
        seeds_or(60..120).map(|seed| run_seed(seed, Simulation::new(seed))).collect();
    let totals = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{totals:?}");
    // The days contained the events that they are meant to test.
    assert!(
        totals.starts > 5_000
            && totals.quota_bound_starts > 300
            && totals.zone_bound_starts > 1_000,
        "{totals:?}"
    );
    assert!(totals.terms > 4 * days.len() && totals.resumed_terms > 5, "{totals:?}");
    assert!(
        totals.errors > 300 && totals.probe_responses > 100 && totals.lessee_extensions > 50,
        "{totals:?}"
    );
    assert!(totals.cancelled > 100 && totals.cancelled_without_leader > 30, "{totals:?}");
    assert!(totals.stopped_by_lessees > 0 && totals.status_queries > 100_000, "{totals:?}");
    assert!(totals.replica_starts > 300 && totals.replicas_in_place > 50, "{totals:?}");
    assert!(totals.divided_registry_records > 500, "{totals:?}");
    assert!(totals.warm_starts > 10, "{totals:?}");
}

/// Leaders crash or freeze with partially placed gangs; new leaders have standby copies of every age.
#[test]
fn standby_failover_amid_gangs_violates_no_invariant() {
    let days: Vec<EventCounts> =
        seeds_or(360..420).map(|seed| run_seed(seed, Simulation::with_standbys(seed))).collect();
    let totals = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{totals:?}");
    assert!(totals.warm_starts > 100 && totals.completed_gangs > 10, "{totals:?}");
    assert!(totals.refused_responses > 100, "{totals:?}");
}

/// Requests of standbys reach the leader, its responses do not reach them: they lag, suspect the leader and
/// start without a copy.
#[test]
fn one_way_controller_partitions_violate_no_invariant() {
    let days: Vec<EventCounts> =
        seeds(12).map(|seed| run_seed(seed, Simulation::with_one_way_partitions(seed))).collect();
    let totals = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{totals:?}");
    assert!(totals.one_way_partitions > 50 && totals.warm_starts > 20, "{totals:?}");
}

/// Responses to elections are lost, and new leaders end before their first writes are durable: what they assumed,
/// and what they started, must be known to the next one. Versions change in both directions. Seed 332 has a task on two
/// machines if an assumption counts as a durable watermark and every election writes the marker.
#[test]
fn election_faults_start_no_task_twice() {
    let days: Vec<EventCounts> = seeds_or(320..364)
        .map(|seed| run_seed(seed, Simulation::with_election_faults(seed)))
        .collect();
    let totals = days.iter().fold(EventCounts::default(), EventCounts::and);
    println!("{totals:?}");
    assert!(totals.lost_election_responses > 40 && totals.refused_terms > 40, "{totals:?}");
    assert!(totals.assumed_terms > 40, "{totals:?}");
}

/// Found by running more seeds by hand. A replica of a daemon that must spread moves from a machine that is drained as
/// slow; its room is free after 3.5 s and stays reserved for 4 s more, which is later than a replica may take.
#[test]
fn replica_moves_from_slow_machine_within_limit_amid_election_faults() {
    run_seed(62, Simulation::with_election_faults(62));
}

/// Found by running more seeds by hand. Replicas of two daemons fill the only machine of a zone, and the simulated cloud
/// gives no other one, since all but one of its eight machines are in the other zone: a third daemon, which must spread,
/// waits for room there.
#[test]
fn spread_daemon_gets_room_in_zone_that_shrank_to_one_machine() {
    run_seed(2915, Simulation::new(2915));
}

/// Found by running more seeds by hand. Replicas of other daemons fill the only machine of the zone in which a daemon has
/// one of its replicas, which must be together; tasks were stopped for the other one where it may not run.
#[test]
fn daemon_whose_replicas_are_together_gets_room_in_their_zone() {
    run_seed(7319, Simulation::new(7319));
}
