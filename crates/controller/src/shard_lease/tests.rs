use super::*;
use crate::clock_drift::drift;
use crate::settings::PeerController;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::{Command, Heartbeat, JobId, TaskState, TaskStatus};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(30);
const WORKER: Duration = Duration::from_secs(22);

/// A reading of the clock, ms.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// A span, ms.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn lessor(won_at: MonotonicTime) -> ShardLessor {
    let siblings = [("one", "b"), ("two", "c")].map(|(name, zone)| PeerController {
        name: name.to_owned(),
        zone: zone.to_owned(),
        address: String::new(),
    });
    let zones = ["a", "b", "c", "d"].map(str::to_owned);
    ShardLessor::new("a", &siblings, &zones, LEASE, won_at)
}

fn heartbeat(zone: &str, token: u64) -> Heartbeat {
    Heartbeat {
        machine: "m-1".into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: zone.into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: token,
        interruption_notice_s: None,
        tasks: vec![hookway_wire::TaskStatus {
            task: "req-000001/0".into(),
            attempt: 1,
            state: TaskState::Running,
            cause: None,
            checkpointed: None,
        }],
    }
}

/// A renewal and its answer, without delay.
fn exchange(lessor: &mut ShardLessor, lessee: &mut ShardLessee, now: MonotonicTime) {
    let lease = lessor.renew(5, &lessee.renewal(now), LEASE, now).unwrap();
    lessee.lease_granted(lease, now, now);
}

#[test]
fn connected_shard_lessee_delays_lease_expiry_by_at_most_one_renewal() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    for now in (0..60_000).step_by(1_000) {
        exchange(&mut lessor, &mut lessee, at(now));
    }
    assert!(lessor.worker_lease_expired(
        "b",
        at(59_000).saturating_sub(WORKER).saturating_sub(ms(1_000)),
        WORKER,
        at(59_000)
    ));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(59_000).saturating_sub(WORKER) + ms(1),
        WORKER,
        at(59_000)
    ));
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 5), at(59_500), |_| false),
        None,
        "the leader is there"
    );
}

#[test]
fn partitioned_shard_lessee_extends_leases_and_leader_accounts_for_it() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    for now in [0, 1_000, 2_000] {
        exchange(&mut lessor, &mut lessee, at(now));
    }
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 7), at(5_000), |_| false),
        None,
        "a change of leader may be under way"
    );
    assert_eq!(
        lessee
            .extend_worker_lease(&heartbeat("b", 7), at(11_000), |_| false)
            .map(|k| k.response.fencing_token),
        Some(7)
    );
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("c", 7), at(11_000), |_| false),
        None,
        "not of its block"
    );
    let later = 5 + constants::TOKENS_PER_TERM;
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", later), at(11_000), |_| false),
        None,
        "a later leader commands it"
    );
    assert!(lessee.extend_worker_lease(&heartbeat("b", 7), at(31_900), |_| false).is_some());
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 7), at(32_000), |_| false),
        None,
        "its lease is over"
    );
    // The leader heard the worker last at 1 s, and the holder at 2 s.
    assert!(!lessor.worker_lease_expired("b", at(1_000), WORKER, at(32_000) + WORKER));
    assert!(lessor.worker_lease_expired("b", at(1_000), WORKER, at(32_100) + WORKER));
    // Back in touch it says when it answered last.
    exchange(&mut lessor, &mut lessee, at(40_000));
    exchange(&mut lessor, &mut lessee, at(41_000));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(1_000),
        WORKER,
        at(31_900) + WORKER.saturating_sub(ms(1))
    ));
}

/// A cancellation is a fact: a holder that has heard of it stops the tasks, whatever became of the leader;
/// and the answer says until when it may go out.
#[test]
fn shard_lessee_stops_tasks_of_finished_jobs_and_starts_none() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    exchange(&mut lessor, &mut lessee, at(1_000));
    exchange(&mut lessor, &mut lessee, at(2_000));
    let mut heartbeat = heartbeat("b", 7);
    let mut other = heartbeat.tasks[0].clone();
    other.task = "req-000002/4".into();
    let ended = TaskStatus { state: TaskState::Ended, attempt: 9, ..heartbeat.tasks[0].clone() };
    heartbeat.tasks.extend([other, ended]);
    let over = |id: &JobId| id.as_str() == "req-000001";
    let kept = lessee.extend_worker_lease(&heartbeat, at(15_000), over).unwrap();
    let stop = Command::Kill { task: "req-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!((kept.response.fencing_token, kept.response.commands), (7, vec![stop]));
    assert_eq!(kept.valid_until, (at(2_000) + LEASE).saturating_sub(drift(LEASE)));
}

#[test]
fn new_leader_counts_earlier_shard_leases_until_lessees_drop_them() {
    let mut lessor = lessor(at(100_000));
    assert!(!lessor.worker_lease_expired("b", at(100_000), WORKER, at(100_000) + LEASE + WORKER));
    assert!(lessor.worker_lease_expired("b", at(100_000), WORKER, at(100_100) + LEASE + WORKER));
    assert!(
        lessor.worker_lease_expired("a", at(100_000), WORKER, at(100_000) + WORKER),
        "its own zone"
    );
    assert!(
        !lessor.worker_lease_expired("", at(100_000), WORKER, at(100_000) + WORKER),
        "the zone is not known"
    );
    assert!(
        !lessor.worker_lease_expired("d", at(100_000), WORKER, at(100_000) + WORKER),
        "no controller in it"
    );
    let mut lessee = ShardLessee::new("one", 1, ms(8_000));
    lessee.hold_as_leader(1, vec!["b".into()], LEASE, at(90_000));
    assert!(lessee.extend_worker_lease(&heartbeat("b", 1), at(99_000), |_| false).is_some());
    exchange(&mut lessor, &mut lessee, at(101_000));
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 1), at(115_000), |_| false),
        None,
        "dropped with the news"
    );
    exchange(&mut lessor, &mut lessee, at(102_000));
    for now in (103_000..125_000).step_by(1_000) {
        exchange(&mut lessor, &mut lessee, at(now));
    }
    assert!(lessor.worker_lease_expired("b", at(100_000), WORKER, at(124_500)));
}

#[test]
fn delayed_renewals_and_those_of_dead_processes_prove_no_expiry() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    let first = lessee.renewal(at(500));
    for now in [1_000, 2_000, 3_000] {
        exchange(&mut lessor, &mut lessee, at(now));
    }
    let late = lessee.renewal(at(3_500));
    assert!(lessee.extend_worker_lease(&heartbeat("b", 5), at(20_000), |_| false).is_some());
    // Copies from before, long after: neither ends the lease nor vouches for the time since.
    for copy in [&first, &late] {
        lessor.renew(5, copy, LEASE, at(30_000));
        assert!(!lessor.worker_lease_expired(
            "b",
            at(1_000),
            WORKER,
            at(1_000) + WORKER + ms(5_000)
        ));
    }
    // So does a copy of a process that is gone, once a new one has echoed a stamp.
    let gone = lessee.renewal(at(21_000));
    // A new process: the earlier one may have answered until this one began.
    let mut next = ShardLessee::new("one", 2, ms(8_000));
    let hello = lessor.renew(5, &next.renewal(at(1_000)), LEASE, at(36_000)).unwrap();
    assert_eq!(hello.lease_ms, 0, "no lease before it has echoed a stamp");
    next.lease_granted(hello, at(1_000), at(1_000));
    lessor.renew(5, &next.renewal(at(2_000)), LEASE, at(37_000));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(1_000),
        WORKER,
        at(37_000) + WORKER.saturating_sub(ms(5_000))
    ));
    let lease = lessor.renew(5, &next.renewal(at(2_500)), LEASE, at(38_000)).unwrap();
    next.lease_granted(lease, at(2_500), at(2_500));
    lessor.renew(5, &gone, LEASE, at(39_000));
    assert!(next.extend_worker_lease(&heartbeat("b", 5), at(30_000), |_| false).is_some());
    assert!(
        !lessor.worker_lease_expired("b", at(1_000), WORKER, at(38_000) + LEASE),
        "it still holds its block"
    );
}

#[test]
fn controller_without_leader_contact_redirects_no_worker_to_it() {
    let mut lessor = lessor(at(0));
    let mut other = ShardLessee::new("three", 9, ms(4_000));
    assert!(other.leader_reachable(at(3_999)), "a process that has just begun knows no better");
    assert!(!other.leader_reachable(at(4_000)));
    // It holds no block, as another controller of its zone does; the leader's answer is word of it all the same.
    exchange(&mut lessor, &mut ShardLessee::new("one", 1, ms(4_000)), at(9_000));
    other.lease_granted(
        ShardLease { term: 5, granted_at_ms: 1, zones: vec![], lease_ms: 0 },
        at(10_000),
        at(10_000),
    );
    assert!(other.leader_reachable(at(13_999)));
    assert!(!other.leader_reachable(at(14_000)));
    assert_eq!(
        other.extend_worker_lease(&heartbeat("b", 5), at(14_000), |_| false),
        None,
        "it may not answer itself"
    );
}
