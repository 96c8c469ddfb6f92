//! A seeded model of controllers, workers, users and the network between them (`world`). Every start and
//! every answer is checked against the rules, and once the troubles are over every job must come to its end.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod world;

use world::{Counts, Meeting, World};

/// Plays a day to its end.
fn day(seed: u64, mut world: World) -> Counts {
    println!("seed {seed}");
    if std::env::var("HOOKWAY_MODEL_LOG").is_ok() {
        let log = tracing_subscriber::fmt().without_time().with_max_level(tracing::Level::DEBUG);
        let _ = log.with_writer(std::io::stdout).with_target(false).try_init();
    }
    world.play();
    for spec in &world.jobs {
        let id = &spec.id;
        assert!(world.over(id), "seed {seed}: {id} has no end\n{}", world.describe(id));
    }
    world.counts
}

/// The seeds to play. More of them by hand: `HOOKWAY_MODEL_SEEDS=2000..3000 cargo test --release --test model`.
fn seeds(as_a_rule: u64) -> std::ops::Range<u64> {
    let wanted = std::env::var("HOOKWAY_MODEL_SEEDS").ok();
    let span = wanted.as_deref().and_then(|s| s.split_once(".."));
    let number = |s: &str| s.parse().expect("a seed");
    span.map_or(0..as_a_rule, |(from, to)| number(from)..number(to))
}

fn meeting(meeting: Meeting) -> Counts {
    let days: Vec<Counts> = seeds(12).map(|seed| day(seed, World::with(meeting, seed))).collect();
    days.iter().fold(Counts::default(), Counts::and)
}

/// The tasks of jobs that were cancelled in the gap are gone in time all the same: `check_cancelled`.
#[test]
fn tasks_that_were_cancelled_in_the_gap_go_in_time() {
    let all = meeting(Meeting::Gap);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.kept > 50, "{all:?}");
    assert!(all.stopped_by_holders > 20, "the old leader was told: {all:?}");
}

#[test]
fn tasks_that_were_cancelled_in_the_gap_go_in_time_if_nobody_can_tell_the_old_leader() {
    let all = meeting(Meeting::GapApart);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.kept > 50, "{all:?}");
}

#[test]
fn tasks_that_were_cancelled_in_the_gap_go_in_time_in_a_zone_that_is_cut_off() {
    let all = meeting(Meeting::GapZone);
    println!("{all:?}");
    assert!(all.cancelled_without_leader > 20 && all.kept > 50, "{all:?}");
}

/// No block is leased while a task of a cancelled job may be anywhere.
#[test]
fn tasks_that_only_a_holder_can_reach_go_in_time() {
    let all = meeting(Meeting::Holder);
    println!("{all:?}");
    assert!(all.cancelled > 50, "{all:?}");
}

#[test]
fn no_rule_is_broken_and_no_job_is_forgotten_on_random_days() {
    let days: Vec<Counts> = seeds(60).map(|seed| day(seed, World::new(seed))).collect();
    let all = days.iter().fold(Counts::default(), Counts::and);
    println!("{all:?}");
    // The days brought about what they are for.
    assert!(all.starts > 5_000 && all.tight_starts > 300 && all.bound_starts > 1_000, "{all:?}");
    assert!(all.terms > 4 * days.len() && all.resumed_terms > 5, "{all:?}");
    assert!(all.errors > 300 && all.greeted > 100 && all.kept > 50, "{all:?}");
    assert!(all.cancelled > 100 && all.cancelled_without_leader > 30, "{all:?}");
    assert!(all.stopped_by_holders > 0 && all.asked > 100_000, "{all:?}");
    assert!(all.replica_starts > 300 && all.replicas_in_place > 50, "{all:?}");
    assert!(all.small_rosters > 500, "{all:?}");
    assert!(all.warm_starts > 10, "{all:?}");
}

/// New leaders with copies of every age, while the old ones end or stand still amid gangs.
#[test]
fn no_rule_is_broken_where_standbys_take_over_amid_gangs() {
    let days: Vec<Counts> = seeds(30).map(|seed| day(seed, World::with_standbys(seed))).collect();
    let all = days.iter().fold(Counts::default(), Counts::and);
    println!("{all:?}");
    assert!(all.warm_starts > 50 && all.completed_gangs > 5, "{all:?}");
    assert!(all.refused_answers > 50, "{all:?}");
}

/// Standbys whose questions reach the leader and whom its answers don't reach: they lag, suspect it and lead cold.
#[test]
fn no_rule_is_broken_where_links_between_controllers_are_cut_one_way() {
    let days: Vec<Counts> =
        seeds(12).map(|seed| day(seed, World::with_one_way_cuts(seed))).collect();
    let all = days.iter().fold(Counts::default(), Counts::and);
    println!("{all:?}");
    assert!(all.one_way_cuts > 50 && all.warm_starts > 20, "{all:?}");
}
