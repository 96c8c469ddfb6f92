//! A publisher and a follower that exchange messages in memory.

use hookway_replication::{
    FollowError, FollowOutcome, Follower, MachineView, Publisher, Stage, TaskView,
};
use hookway_time::MonotonicTime;

pub const TERM: u64 = 4_097;

/// A reading of the clock.
pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

pub fn machine(name: &str) -> MachineView<'_> {
    MachineView { name, address: "127.0.0.1:9000", incarnation: 1 }
}

pub fn running(task: &str, attempt: u64) -> TaskView<'_> {
    TaskView { task, attempt, stage: Stage::Running }
}

/// A leader with so many machines, each with a task.
pub fn leader(machines: usize) -> Publisher {
    let mut publisher = Publisher::new(TERM);
    for n in 0..machines {
        let (name, task) = (format!("m-{n}"), format!("req-000001/{n}"));
        publisher.publish_machine(machine(&name), [running(&task, n as u64)].into_iter());
    }
    publisher
}

pub fn follower() -> Follower {
    let mut follower = Follower::new("worker-1");
    follower.observe_term(TERM);
    follower
}

/// One request and its response.
pub fn exchange(
    follower: &mut Follower,
    publisher: &mut Publisher,
    now: MonotonicTime,
) -> Result<FollowOutcome, FollowError> {
    let response = publisher.respond(&follower.request(), now).expect("a response");
    follower.handle_response(response, now)
}

/// Asks until the follower has everything.
pub fn catch_up(follower: &mut Follower, publisher: &mut Publisher, now: MonotonicTime) {
    for _ in 0..1_000 {
        exchange(follower, publisher, now).expect("taken");
        if follower.position() == Some(publisher.end()) {
            return assert_eq!(follower.state(), publisher.state());
        }
    }
    panic!("the follower is at {:?} of {}", follower.position(), publisher.end());
}
