//! A seeded model of controllers, workers, users and the network between them (`world`). Every start and
//! every answer is checked against the rules, and once the troubles are over every job must come to its end.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod world;

use world::{Counts, World};

/// Plays a day to its end.
fn day(seed: u64) -> Counts {
    println!("seed {seed}");
    if std::env::var("HOOKWAY_MODEL_LOG").is_ok() {
        let log = tracing_subscriber::fmt().without_time().with_max_level(tracing::Level::DEBUG);
        let _ = log.with_writer(std::io::stdout).with_target(false).try_init();
    }
    let mut world = World::new(seed);
    world.play();
    for spec in &world.jobs {
        let id = &spec.name_id;
        assert!(world.over(id), "seed {seed}: {id} has no end\n{}", world.describe(id));
    }
    world.counts
}

#[test]
fn no_rule_is_broken_and_no_job_is_forgotten_on_random_days() {
    // More of them by hand: `HOOKWAY_MODEL_SEEDS=2000..3000 cargo test --release --test model`.
    let seeds = std::env::var("HOOKWAY_MODEL_SEEDS").ok();
    let span = seeds.as_deref().and_then(|s| s.split_once(".."));
    let (from, to) =
        span.map_or((0, 60), |(a, b)| (a.parse().expect("a seed"), b.parse().expect("a seed")));
    let days: Vec<Counts> = (from..to).map(day).collect();
    let all = days.iter().fold(Counts::default(), Counts::and);
    println!("{all:?}");
    // The days brought about what they are for.
    assert!(all.starts > 5_000 && all.tight_starts > 300 && all.bound_starts > 1_000, "{all:?}");
    assert!(all.terms > 4 * days.len() && all.resumed_terms > 5, "{all:?}");
    assert!(all.errors > 300 && all.greeted > 100 && all.kept > 50, "{all:?}");
    assert!(all.withdrawn > 100 && all.withdrawn_without_leader > 30, "{all:?}");
    assert!(all.stopped_by_holders > 0 && all.asked > 100_000, "{all:?}");
}
