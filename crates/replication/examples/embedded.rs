//! A program of its own with a warm standby inside, and no hookway daemon: an active side publishes what it decided, a
//! standby follows, the active side falls silent, and the standby takes over step by step.
//!
//!     cargo run -p hookway-replication --example embedded

use hookway_replication::{
    Event, FailureDetector, Follower, MachineView, Promotion, Publisher, Stage, Step, TaskView,
};

const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Who leads is for the program to settle: by a lease in a store, as hookway does, or otherwise.
    let mut publisher = Publisher::new(OLD_TERM);
    let mut follower = Follower::new("standby");
    follower.learn_term(OLD_TERM);
    let mut detector = FailureDetector::default();
    let mut promotion = Promotion::default();

    let mut now = 0;
    for round in 0..20_u64 {
        now += 200;
        let task = format!("render/{round}");
        let machine = MachineView { name: "box-1", address: "127.0.0.1:9000", session: 1 };
        let tasks = [TaskView { task: &task, attempt: round, stage: Stage::Running }];
        publisher.show_machine(machine, tasks.into_iter());
        // The program carries these two messages, however it likes.
        let question = follower.request();
        let answer = publisher.answer(&question, now)?;
        follower.take(answer, now)?;
        detector.heard(now);
        promotion.on(Event::LeaderHeard, now)?;
    }
    println!("at {now} ms the copy has {} tasks", follower.state().task_count());

    while !detector.suspects(now) {
        now += 100;
    }
    assert_eq!(promotion.on(Event::Silence, now)?, Step::Look);
    println!("at {now} ms the active side is suspected; nothing follows but a look");

    now += 3_000;
    promotion.on(Event::LeaseEnded, now)?;
    assert_eq!(promotion.on(Event::Elected { term: NEW_TERM }, now + 20)?, Step::ReadRecords);
    assert!(!promotion.may_decide(NEW_TERM), "what the store has was not read yet");
    assert_eq!(promotion.on(Event::RecordsRead { term: NEW_TERM }, now + 40)?, Step::Lead);
    let copy = follower.usable(NEW_TERM, now + 40)?;
    println!("at {} ms the standby leads term {NEW_TERM}; its copy names:", now + 40);
    for (name, machine) in &copy.machines {
        println!("  {name} at {}: {:?}", machine.address, machine.tasks());
    }
    Ok(())
}
