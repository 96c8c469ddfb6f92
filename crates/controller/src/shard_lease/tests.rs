use super::*;
use crate::clock_drift::drift;
use crate::settings::PeerController;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::{Command, Heartbeat, JobId, TaskState, TaskStatus};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(30);
const WORKER_LEASE: Duration = Duration::from_secs(22);

/// Returns the reading of a monotonic clock at `millis`.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates the record of a leader in zone a, with lessees in zones b and c. Zone d has no
/// controller.
fn lessor(elected_at: MonotonicTime) -> ShardLessor {
    let peers = [("one", "b"), ("two", "c")].map(|(name, zone)| PeerController {
        name: name.to_owned(),
        zone: zone.to_owned(),
        address: String::new(),
    });
    let zones = ["a", "b", "c", "d"].map(str::to_owned);
    ShardLessor::new("a", &peers, &zones, LEASE, elected_at)
}

/// Returns the heartbeat of a worker that runs one task.
fn heartbeat(zone: &str, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine: "m-1".into(),
        address: "127.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: zone.into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token,
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

/// Renews the shard lease in term 5; the request and the response take no time.
fn renew_shard_lease(lessor: &mut ShardLessor, lessee: &mut ShardLessee, now: MonotonicTime) {
    let lease = lessor.respond_to_renewal(5, &lessee.renewal(now), LEASE, now).unwrap();
    lessee.apply_renewal_response(lease, now, now);
}

#[test]
fn connected_shard_lessee_delays_lease_expiry_by_at_most_one_renewal_interval() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    for now in (0..60_000).step_by(1_000) {
        renew_shard_lease(&mut lessor, &mut lessee, at(now));
    }
    assert!(lessor.worker_lease_expired(
        "b",
        at(59_000).saturating_sub(WORKER_LEASE).saturating_sub(ms(1_000)),
        WORKER_LEASE,
        at(59_000)
    ));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(59_000).saturating_sub(WORKER_LEASE) + ms(1),
        WORKER_LEASE,
        at(59_000)
    ));
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 5), at(59_500), |_| false),
        None,
        "no extension while the leader is reachable"
    );
}

#[test]
fn partitioned_shard_lessee_extends_leases_and_leader_accounts_for_it() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    for now in [0, 1_000, 2_000] {
        renew_shard_lease(&mut lessor, &mut lessee, at(now));
    }
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 7), at(5_000), |_| false),
        None,
        "no extension while a failover may be in progress"
    );
    assert_eq!(
        lessee
            .extend_worker_lease(&heartbeat("b", 7), at(11_000), |_| false)
            .map(|extension| extension.response.fencing_token),
        Some(7)
    );
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("c", 7), at(11_000), |_| false),
        None,
        "a machine outside its shard gets no extension"
    );
    let later_token = 5 + constants::TOKENS_PER_TERM;
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", later_token), at(11_000), |_| false),
        None,
        "a worker with a token of a later leader gets no extension"
    );
    assert!(lessee.extend_worker_lease(&heartbeat("b", 7), at(31_900), |_| false).is_some());
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 7), at(32_000), |_| false),
        None,
        "its shard lease has expired"
    );
    // The leader last answered the worker at 1 s and the lessee at 2 s.
    assert!(!lessor.worker_lease_expired("b", at(1_000), WORKER_LEASE, at(32_000) + WORKER_LEASE));
    assert!(lessor.worker_lease_expired("b", at(1_000), WORKER_LEASE, at(32_100) + WORKER_LEASE));
    // Once reconnected, the lessee reports its last lease extension.
    renew_shard_lease(&mut lessor, &mut lessee, at(40_000));
    renew_shard_lease(&mut lessor, &mut lessee, at(41_000));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(1_000),
        WORKER_LEASE,
        at(31_900) + WORKER_LEASE.saturating_sub(ms(1))
    ));
}

/// A shard lessee that knows the durable final state of a job stops the job's tasks while the
/// leader is unreachable. The extension names the time until which its response may be sent.
#[test]
fn shard_lessee_stops_tasks_of_finished_jobs_and_starts_none() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    renew_shard_lease(&mut lessor, &mut lessee, at(1_000));
    renew_shard_lease(&mut lessor, &mut lessee, at(2_000));
    let mut heartbeat = heartbeat("b", 7);
    let mut other_task = heartbeat.tasks[0].clone();
    other_task.task = "req-000002/4".into();
    let ended_task =
        TaskStatus { state: TaskState::Ended, attempt: 9, ..heartbeat.tasks[0].clone() };
    heartbeat.tasks.extend([other_task, ended_task]);
    let is_finished = |id: &JobId| id.as_str() == "req-000001";
    let extension = lessee.extend_worker_lease(&heartbeat, at(15_000), is_finished).unwrap();
    let stop = Command::Kill { task: "req-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!((extension.response.fencing_token, extension.response.commands), (7, vec![stop]));
    assert_eq!(extension.valid_until, (at(2_000) + LEASE).saturating_sub(drift(LEASE)));
}

#[test]
fn new_leader_assumes_earlier_shard_leases_until_lessees_drop_them() {
    let mut lessor = lessor(at(100_000));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(100_000),
        WORKER_LEASE,
        at(100_000) + LEASE + WORKER_LEASE
    ));
    assert!(lessor.worker_lease_expired(
        "b",
        at(100_000),
        WORKER_LEASE,
        at(100_100) + LEASE + WORKER_LEASE
    ));
    assert!(
        lessor.worker_lease_expired("a", at(100_000), WORKER_LEASE, at(100_000) + WORKER_LEASE),
        "the leader's own zone has no lessee"
    );
    assert!(
        !lessor.worker_lease_expired("", at(100_000), WORKER_LEASE, at(100_000) + WORKER_LEASE),
        "a machine whose zone is unknown may be in any shard"
    );
    assert!(
        !lessor.worker_lease_expired("d", at(100_000), WORKER_LEASE, at(100_000) + WORKER_LEASE),
        "any controller may have led earlier and held the shard of a zone without a controller"
    );
    let mut lessee = ShardLessee::new("one", 1, ms(8_000));
    lessee.lease_own_shard(1, vec!["b".into()], LEASE, at(90_000));
    assert!(lessee.extend_worker_lease(&heartbeat("b", 1), at(99_000), |_| false).is_some());
    renew_shard_lease(&mut lessor, &mut lessee, at(101_000));
    assert_eq!(
        lessee.extend_worker_lease(&heartbeat("b", 1), at(115_000), |_| false),
        None,
        "the lessee dropped the lease of the earlier leader"
    );
    renew_shard_lease(&mut lessor, &mut lessee, at(102_000));
    for now in (103_000..125_000).step_by(1_000) {
        renew_shard_lease(&mut lessor, &mut lessee, at(now));
    }
    assert!(lessor.worker_lease_expired("b", at(100_000), WORKER_LEASE, at(124_500)));
}

#[test]
fn renewals_that_are_delayed_or_of_ended_processes_do_not_prove_expiry() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    let first_renewal = lessee.renewal(at(500));
    for now in [1_000, 2_000, 3_000] {
        renew_shard_lease(&mut lessor, &mut lessee, at(now));
    }
    let late_renewal = lessee.renewal(at(3_500));
    assert!(lessee.extend_worker_lease(&heartbeat("b", 5), at(20_000), |_| false).is_some());
    // Delayed renewals neither end the shard lease nor prove that no worker lease was extended
    // since.
    for delayed in [&first_renewal, &late_renewal] {
        lessor.respond_to_renewal(5, delayed, LEASE, at(30_000));
        assert!(!lessor.worker_lease_expired(
            "b",
            at(1_000),
            WORKER_LEASE,
            at(1_000) + WORKER_LEASE + ms(5_000)
        ));
    }
    // A renewal of the process that ends now. It arrives after the new process has acknowledged a
    // lease.
    let renewal_of_ended_process = lessee.renewal(at(21_000));
    // The controller restarts. Its earlier process may have extended worker leases until then.
    let mut next_process = ShardLessee::new("one", 2, ms(8_000));
    let first_response =
        lessor.respond_to_renewal(5, &next_process.renewal(at(1_000)), LEASE, at(36_000)).unwrap();
    assert_eq!(
        first_response.lease_ms, 0,
        "no shard lease before it has acknowledged a response of this term"
    );
    next_process.apply_renewal_response(first_response, at(1_000), at(1_000));
    lessor.respond_to_renewal(5, &next_process.renewal(at(2_000)), LEASE, at(37_000));
    assert!(!lessor.worker_lease_expired(
        "b",
        at(1_000),
        WORKER_LEASE,
        at(37_000) + WORKER_LEASE.saturating_sub(ms(5_000))
    ));
    let lease =
        lessor.respond_to_renewal(5, &next_process.renewal(at(2_500)), LEASE, at(38_000)).unwrap();
    next_process.apply_renewal_response(lease, at(2_500), at(2_500));
    lessor.respond_to_renewal(5, &renewal_of_ended_process, LEASE, at(39_000));
    assert!(next_process.extend_worker_lease(&heartbeat("b", 5), at(30_000), |_| false).is_some());
    assert!(
        !lessor.worker_lease_expired("b", at(1_000), WORKER_LEASE, at(38_000) + LEASE),
        "the new process still holds the shard lease"
    );
}

#[test]
fn controller_without_leader_contact_does_not_redirect_workers_to_leader() {
    let mut lessor = lessor(at(0));
    let mut without_lease = ShardLessee::new("three", 9, ms(4_000));
    assert!(
        without_lease.leader_reachable(at(3_999)),
        "a new process assumes that the leader is reachable"
    );
    assert!(!without_lease.leader_reachable(at(4_000)));
    // Another controller of its zone holds the shard lease. A response of the leader that grants no
    // lease still proves contact.
    renew_shard_lease(&mut lessor, &mut ShardLessee::new("one", 1, ms(4_000)), at(9_000));
    without_lease.apply_renewal_response(
        ShardLease { term: 5, granted_at_ms: 1, zones: vec![], lease_ms: 0 },
        at(10_000),
        at(10_000),
    );
    assert!(without_lease.leader_reachable(at(13_999)));
    assert!(!without_lease.leader_reachable(at(14_000)));
    assert_eq!(
        without_lease.extend_worker_lease(&heartbeat("b", 5), at(14_000), |_| false),
        None,
        "without a shard lease it extends no worker lease"
    );
}

/// Guards against a shard lease taken from an answer of another term: the response to a renewal is on its way while this
/// controller wins a term of its own. The response names the term that granted the lease.
#[test]
fn shard_lease_response_that_arrives_after_own_election_grants_nothing() {
    let (mut lessor, mut lessee) = (lessor(at(0)), ShardLessee::new("one", 1, ms(8_000)));
    renew_shard_lease(&mut lessor, &mut lessee, at(0));
    let renewal = lessee.renewal(at(1_000));
    let granted = lessor.respond_to_renewal(5, &renewal, LEASE, at(1_000)).unwrap();
    assert_ne!(granted.lease_ms, 0, "the response grants a lease");
    lessee.leadership_won(5 + constants::TOKENS_PER_TERM);
    lessee.apply_renewal_response(granted, at(1_000), at(1_500));
    let extension = lessee.extend_worker_lease(&heartbeat("b", 5), at(11_000), |_| false);
    assert_eq!(extension, None, "the granting term is over");
}
