//! A program that embeds a warm standby without the hookway binary: a leader publishes its tasks, a follower copies
//! them, the leader stops responding, and the follower's controller becomes the leader phase by phase.
//!
//!     cargo run -p hookway-replication --example embedded

use hookway_replication::{
    FailoverAction, FailoverEvent, FailureDetector, Follower, Promotion, PublishedMachine,
    PublishedTask, Publisher, Stage,
};
use hookway_time::MonotonicTime;
use std::time::Duration;

const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // The embedding program elects the leader, for example with a lease in a store as hookway does.
    let mut publisher = Publisher::new(OLD_TERM);
    let mut follower = Follower::new("standby");
    follower.observe_term(OLD_TERM);
    let mut detector = FailureDetector::default();
    let mut promotion = Promotion::default();

    let mut now = MonotonicTime::ZERO;
    for round in 0..20_u64 {
        now += Duration::from_millis(200);
        let task = format!("render/{round}");
        let machine = PublishedMachine { name: "box-1", address: "127.0.0.1:9000", incarnation: 1 };
        let tasks = [PublishedTask { task: &task, attempt: round, stage: Stage::Running }];
        publisher.publish_machine(machine, tasks.into_iter());
        // The embedding program transports the request and the response.
        let request = follower.request();
        let response = publisher.respond(&request, now)?;
        follower.apply_response(response, now)?;
        detector.record_message(now);
        promotion.apply_event(FailoverEvent::LeaderResponded, now)?;
    }
    println!("at {} ms the copy has {} tasks", now.as_millis(), follower.state().task_count());

    while !detector.suspects(now) {
        now += Duration::from_millis(100);
    }
    let action = promotion.apply_event(FailoverEvent::LeaderSilent, now)?;
    assert_eq!(action, FailoverAction::ReadLeader);
    println!(
        "at {} ms the leader is suspected, so the leadership record has to be read",
        now.as_millis()
    );

    now += Duration::from_millis(3_000);
    promotion.apply_event(FailoverEvent::LeaseExpired, now)?;
    now += Duration::from_millis(20);
    let action = promotion.apply_event(FailoverEvent::Elected { term: NEW_TERM }, now)?;
    assert_eq!(action, FailoverAction::ReadRecords);
    assert!(!promotion.may_dispatch(NEW_TERM), "the records have not been read yet");
    now += Duration::from_millis(20);
    let action = promotion.apply_event(FailoverEvent::RecordsRead { term: NEW_TERM }, now)?;
    assert_eq!(action, FailoverAction::Lead);
    let copy = follower.usable_copy(NEW_TERM, now)?;
    println!(
        "at {} ms the standby is the leader of term {NEW_TERM}; its copy names:",
        now.as_millis()
    );
    for (name, machine) in &copy.machines {
        println!("  {name} at {}: {:?}", machine.address, machine.tasks());
    }
    Ok(())
}
