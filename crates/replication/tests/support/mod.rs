//! A publisher and a follower that exchange messages in memory.

use hookway_replication::{
    FollowError, FollowOutcome, Follower, PublishedMachine, PublishedTask, Publisher, Stage,
};
use hookway_time::MonotonicTime;

/// Term of the leader that tests start with.
pub const TERM: u64 = 4_097;

/// Returns the reading of the monotonic clock at this time.
pub fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time_ms)
}

pub fn machine(name: &str) -> PublishedMachine<'_> {
    PublishedMachine { name, address: "127.0.0.1:9000", incarnation: 1 }
}

pub fn running(task: &str, attempt: u64) -> PublishedTask<'_> {
    PublishedTask { task, attempt, stage: Stage::Running }
}

/// Returns the publisher of a leader with this number of machines, each with one task.
pub fn leader(machines: usize) -> Publisher {
    let mut publisher = Publisher::new(TERM);
    for index in 0..machines {
        let (name, task) = (format!("m-{index}"), format!("req-000001/{index}"));
        publisher.publish_machine(machine(&name), [running(&task, index as u64)].into_iter());
    }
    publisher
}

pub fn follower() -> Follower {
    let mut follower = Follower::new("worker-1");
    follower.observe_term(TERM);
    follower
}

/// Sends one request of the follower and applies the response.
pub fn exchange(
    follower: &mut Follower,
    publisher: &mut Publisher,
    now: MonotonicTime,
) -> Result<FollowOutcome, FollowError> {
    let response = publisher.respond(&follower.request(), now).expect("the publisher responds");
    follower.apply_response(response, now)
}

/// Sends requests until the follower has applied all entries, and compares its state with the publisher's.
pub fn catch_up(follower: &mut Follower, publisher: &mut Publisher, now: MonotonicTime) {
    for _ in 0..1_000 {
        exchange(follower, publisher, now).expect("the response is valid");
        if follower.position() == Some(publisher.end()) {
            return assert_eq!(follower.state(), publisher.state());
        }
    }
    panic!("the follower stays at {:?} of {}", follower.position(), publisher.end());
}
