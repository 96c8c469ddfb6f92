//! Worker leases and shard leases: the time from which the leader may rely on their expiry.

use crate::harness::{LeaderHarness, at, job, ms, small_worker, test_config, timestamp};
use crate::support::busy_zone;
use hookway_controller::cluster_state::{CancelOutcome, longest_worker_lease};
use hookway_wire::{DirectCommands, ExitCause, JobId};

#[test]
fn heartbeat_of_expired_incarnation_is_ignored() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 1);
    let delayed = worker.heartbeat();
    for _ in 0..30 {
        harness.heartbeat(&mut other);
        harness.advance(600);
    }
    assert_eq!(
        other.unfinished_tasks(),
        ["req-000001/0"],
        "the unreachable machine's worker lease has expired"
    );
    // The delayed heartbeat arrives after the lease expired and still names the task.
    assert_eq!(harness.cluster.handle_heartbeat(&delayed, harness.now), None);
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(other.unfinished_tasks(), ["req-000001/0"]);
    worker.expire_lease();
    harness.run_four_rounds(&mut [&mut worker, &mut other]);
    assert_eq!(worker.unfinished_tasks().len(), 0);
}

#[test]
fn one_way_partitioned_machine_is_deleted_and_blocks_no_gang() {
    let mut harness = LeaderHarness::start();
    let (mut one_way, mut reachable) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.run_four_rounds(&mut [&mut reachable]);
    harness.submit(job("req-000001", "group", 2));
    harness.run_four_rounds(&mut [&mut one_way, &mut reachable]);
    assert_eq!(
        (one_way.unfinished_tasks().len(), reachable.unfinished_tasks().len()),
        (1, 1),
        "the gang runs on both machines"
    );
    // From here on no response reaches m-1, although its heartbeats arrive. The gang's tasks end on both
    // machines.
    let partitioned_at = harness.now;
    one_way.end_task("req-000001/0", ExitCause::GangMemberLost);
    one_way.end_task("req-000001/1", ExitCause::GangMemberLost);
    reachable.end_task("req-000001/0", ExitCause::GangMemberLost);
    reachable.end_task("req-000001/1", ExitCause::GangMemberLost);
    let mut third = small_worker("m-3", "a");
    for _ in 0..5 {
        harness.now += ms(500);
        let heartbeat = one_way.heartbeat();
        harness.cluster.handle_heartbeat(&heartbeat, harness.now);
        harness.commit_pending();
        harness.run_four_rounds(&mut [&mut reachable, &mut third]);
    }
    assert_eq!(
        (reachable.unfinished_tasks().len(), third.unfinished_tasks().len()),
        (1, 1),
        "the gang runs on the reachable machines"
    );
    // The lease of m-1 counts from the last response that its worker may have received, not from its
    // heartbeats.
    let mut deleted = Vec::new();
    while harness.now < partitioned_at + longest_worker_lease(&test_config().platform) + ms(6_000) {
        harness.now += ms(1_000);
        let heartbeat = one_way.heartbeat();
        harness.cluster.handle_heartbeat(&heartbeat, harness.now);
        harness.commit_pending();
        harness.run_four_rounds(&mut [&mut reachable, &mut third]);
        deleted.extend(harness.requested_deletions());
    }
    assert!(deleted.contains(&"m-1".to_owned()), "the one-way partitioned machine is deleted");
    assert!(!deleted.contains(&"m-2".to_owned()));
}

#[test]
fn task_on_one_way_partitioned_machine_stays_until_lease_expiry() {
    let mut harness = LeaderHarness::start();
    let (mut one_way, mut reachable) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut one_way]);
    assert_eq!(one_way.unfinished_tasks().len(), 1);
    let last_response_at = harness.now;
    let id = JobId::parse("req-000001").expect("an id");
    // The job is cancelled; no response reaches m-1.
    assert_eq!(harness.cluster.cancel(&id), CancelOutcome::Pending);
    harness.commit_pending();
    while harness.now < last_response_at + ms(20_000) {
        let heartbeat = one_way.heartbeat();
        harness.cluster.handle_heartbeat(&heartbeat, harness.now);
        harness.advance(1_000);
        harness.run_four_rounds(&mut [&mut reachable]);
    }
    assert_eq!(reachable.started_attempts, []);
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("withdrawn"));
}

#[test]
fn shard_lease_during_cancellation_expires_as_if_granted_at_request() {
    let (mut harness, mut workers) = busy_zone(3);
    let params = test_config().platform.workers;
    let full = ms(((params.cancel_s - params.lease_s) * 1000.0) as u64);
    let lease = harness.cluster.shard_lease_length(harness.now);
    assert!(
        lease > ms(0) && lease < full,
        "a shard lease plus a worker lease must fit within cancel_s"
    );
    let cancel_requested_at = harness.now;
    harness.cluster.update_clocks(timestamp(cancel_requested_at));
    harness.cluster.cancel(&JobId::parse("req-000001").expect("an id"));
    assert_eq!(
        harness.cluster.shard_lease_length(cancel_requested_at),
        lease,
        "unchanged at the time of the request"
    );
    harness.commit_pending();
    for elapsed in [ms(0), ms(1), ms(5_000), lease - ms(1), lease, lease + ms(1), 10 * lease] {
        let expires_at = cancel_requested_at
            + elapsed
            + harness.cluster.shard_lease_length(cancel_requested_at + elapsed);
        assert_eq!(
            expires_at,
            cancel_requested_at + lease.max(elapsed),
            "{elapsed:?} after the request"
        );
    }
    harness.run_four_rounds_of_all(&mut workers);
    assert_eq!(
        harness.cluster.shard_lease_length(harness.now),
        lease,
        "not shortened once the tasks have ended"
    );
    // Until every machine is reconciled, the next leader may not know all cancelled jobs.
    let next = LeaderHarness::with_term(harness.store.clone(), 2, harness.now + ms(1_000));
    assert_eq!(next.cluster.shard_lease_length(next.now), ms(0));
}

/// Guards against a placement that is dropped while its task still runs (found by the simulation). The response
/// to a state probe extends no lease, but the worker's incarnation, and its lease with it, may have begun
/// just before the probe, long after the last response of an earlier leader.
#[test]
fn lease_of_unknown_incarnation_counts_from_state_probe() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 2));
    harness.run_four_rounds(&mut [&mut worker]);
    let mut next = LeaderHarness::with_term(harness.store.clone(), 5_000, at(20_000));
    worker.expire_lease();
    next.now = at(30_000);
    let probe = DirectCommands { fencing_token: 5_000, incarnation: 2, commands: vec![] };
    let heartbeat = worker.execute_direct_commands(&probe);
    next.cluster.apply_state_probe_outcome("m-1", heartbeat, next.now);
    next.now += ms(500);
    next.advance(0);
    assert_eq!(next.cluster.take_direct_starts(next.now).len(), 1);
    // By now the lease that an earlier leader may have extended has expired, but the lease of the
    // incarnation has not.
    next.now = at(30_000) + (longest_worker_lease(&test_config().platform) - ms(200));
    next.advance(0);
    assert_eq!(
        next.cluster.summary(next.now).tasks,
        1,
        "the task may run until the incarnation's lease expires"
    );
    next.now += ms(1_000);
    next.advance(0);
    assert_eq!(next.cluster.summary(next.now).tasks, 0);
}

/// Guards against a worker lease that counts as expired too early (found by the simulation). A response was lost;
/// then the controller, unsure of its leadership lease, extended the worker's lease as a shard lessee;
/// then a heartbeat showed that the worker had not received the lost response, and the leader counted the
/// lease from before that response, ignoring the extension.
#[test]
fn lost_response_does_not_revoke_later_lease_extension() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut reachable) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut worker]);
    let task = worker.unfinished_tasks()[0].clone();
    harness.run_four_rounds(&mut [&mut reachable]);
    harness.submit(job("req-000002", "array", 1));
    harness.run_four_rounds(&mut [&mut reachable]);
    let last_heartbeat_at = harness.now;
    // This response is lost; the next heartbeat shows that, as it still lists the task to be reaped.
    harness.submit(job("req-000003", "array", 1));
    worker.end_task(&task, ExitCause::Error);
    harness.now += ms(2_000);
    let heartbeat = worker.heartbeat();
    let response = harness.cluster.handle_heartbeat(&heartbeat, harness.now).expect("a response");
    assert!(!response.commands.is_empty(), "the response reaps the failed task");
    harness.now += ms(8_000);
    let extended_at = harness.now;
    harness.cluster.record_worker_lease_extension("m-1", extended_at);
    harness.now += ms(4_000);
    let heartbeat = worker.heartbeat();
    harness.cluster.handle_heartbeat(&heartbeat, harness.now);
    let lease = longest_worker_lease(&test_config().platform);
    assert!(last_heartbeat_at + ms(2_000) + lease < extended_at + (lease - ms(500)));
    let mut late = worker.heartbeat();
    late.sequence += 1;
    assert!(
        harness.cluster.handle_heartbeat(&late, extended_at + (lease - ms(500))).is_some(),
        "the incarnation may live until the extended lease expires"
    );
}
