//! Concurrent faults, each brought about by itself: a leader or a shard lessee, a state service in memory, scripted
//! workers, and a clock that the test moves. docs/safety.md has the table of concurrent faults.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod harness;

use harness::{
    LeaderHarness, at, job, listed_machine, ms, one_running_task, small_worker, test_config,
};
use hookway_controller::cluster_state::{
    CancelOutcome, CommitResult, JobLookup, worker_lease_expiry,
};
use hookway_controller::records::scheduling_key;
use hookway_testkit::{MemoryStore, ScriptedWorker};
use hookway_wire::{Command, DirectCommands, ExitCause, JobId, JobState, MachineState};

/// A job with zone constraints.
fn bound_job(harness: &mut LeaderHarness, one_zone: bool, spread: bool, tasks: u32) -> JobId {
    let mut spec = job("req-000001", "array", tasks);
    (spec.one_zone, spec.spread) = (one_zone, spread);
    harness.submit(spec)
}

/// Jobs with zone constraints, arrays too, lose machines, and the leader changes: tasks that may still run on
/// unreconciled machines decide where others may start, also tasks that were certainly never started. Found
/// by code review, on 2026-12-02: the watermark let them start in any zone.
#[test]
fn one_zone_array_waits_for_unreachable_machines_of_its_zone() {
    let mut harness = LeaderHarness::start();
    let mut partitioned = small_worker("m-1", "a");
    bound_job(&mut harness, true, false, 300);
    harness.run_rounds(&mut [&mut partitioned]);
    assert_eq!(partitioned.unfinished_tasks().len(), 1, "its zone is a from now on");
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(30_000));
    let mut other = small_worker("m-2", "b");
    next.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "the job may be in zone a");
    let lease = worker_lease_expiry(&test_config().platform);
    while next.now < at(30_000) + lease {
        next.run_rounds(&mut [&mut other]);
    }
    next.run_rounds(&mut [&mut other]);
    assert_eq!(other.unfinished_tasks().len(), 1, "what was there is gone for sure");
}

#[test]
fn spread_array_waits_for_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let mut partitioned: Vec<ScriptedWorker> =
        (1..=20).map(|n| small_worker(&format!("m-{n}"), "a")).collect();
    let mut far = small_worker("m-99", "b");
    bound_job(&mut harness, false, true, 40);
    let mut all: Vec<&mut ScriptedWorker> = partitioned.iter_mut().collect();
    all.push(&mut far);
    harness.run_rounds(&mut all);
    assert_eq!(
        partitioned.iter().map(|w| w.unfinished_tasks().len()).sum::<usize>(),
        20,
        "half of it"
    );
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(30_000));
    let mut fresh = small_worker("m-100", "a");
    next.run_rounds(&mut [&mut far, &mut fresh]);
    assert_eq!(fresh.started_attempts, [], "half of the job may be in zone a");
}

/// The counterpart of the first test: without constraints, tasks above the watermark start at once.
#[test]
fn unconstrained_array_does_not_wait_for_never_started_tasks() {
    let mut harness = LeaderHarness::start();
    let mut partitioned = small_worker("m-1", "a");
    bound_job(&mut harness, false, false, 300);
    harness.run_rounds(&mut [&mut partitioned]);
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(30_000));
    let mut other = small_worker("m-2", "b");
    next.run_rounds(&mut [&mut other]);
    assert_eq!(other.unfinished_tasks().len(), 1);
}

/// An unreadable watermark record does not tell what was started; it was read as if nothing had been. Found
/// by code review, on 2026-12-02.
#[test]
fn unreadable_watermark_counts_job_as_started() {
    let mut harness = LeaderHarness::start();
    let mut partitioned = small_worker("m-1", "a");
    let id = harness.submit(job("req-000001", "array", 300));
    harness.run_rounds(&mut [&mut partitioned]);
    let mut store = harness.store.clone();
    assert!(store.get(&scheduling_key(&id)).is_some());
    store.put(&scheduling_key(&id), serde_json::json!({ "least": "of a later version" }));
    let mut next = LeaderHarness::lead(store, 2, at(30_000));
    let mut other = small_worker("m-2", "b");
    next.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "any of its tasks may be on m-1");
    partitioned.end_task(&partitioned.unfinished_tasks()[0].clone(), ExitCause::Done);
    next.run_rounds(&mut [&mut other, &mut partitioned]);
    assert!(!other.started_attempts.is_empty(), "all machines have reported");
}

/// No record is deleted of a job whose own record is unreadable.
#[test]
fn records_of_unreadable_job_are_kept() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let id = harness.submit(job("req-000001", "array", 300));
    harness.run_rounds(&mut [&mut worker]);
    let mut store = harness.store.clone();
    store.put(&format!("j/{id}"), serde_json::json!({ "spec": 7 }));
    let mut next = LeaderHarness::lead(store, 2, at(30_000));
    next.advance(1_000);
    assert!(next.store.get(&scheduling_key(&id)).is_some(), "a later version may read it");
}

/// Found by the simulation, on 2026-12-02: a transaction with a job's final state had no response; the state
/// service refused the next one, and the leader answered the job's state from memory again; then the first
/// one was applied, and other controllers answered the final state that they read.
#[test]
fn undetermined_final_state_is_not_answered_from_memory() {
    let (mut harness, _, id) = one_running_task();
    let cancelled = harness.cluster.cancel(&id);
    assert_eq!(cancelled, CancelOutcome::Pending);
    let first = harness.cluster.next_commit(harness.now).expect("the end");
    let late = first.transaction.clone();
    let result = harness.read_after_lost_response(&first);
    harness.cluster.committed(first, result, harness.now);
    assert_eq!(harness.cluster.status(&id), JobLookup::CommitInFlight);
    let second = harness.cluster.next_commit(harness.now).expect("once more");
    harness.cluster.committed(second, CommitResult::NotApplied, harness.now);
    harness.store.commit(&late).expect("carried out late");
    assert_eq!(harness.cluster.status(&id), JobLookup::CommitInFlight, "the store must be asked");
    harness.now += ms(1_000);
    harness.commit_pending();
    assert_eq!(harness.job_state(&id), JobState::Cancelled);
}

/// The counterpart: while a transaction was certainly not applied, the state is answered from memory.
#[test]
fn unapplied_final_state_keeps_running_state_in_memory() {
    let (mut harness, _, id) = one_running_task();
    harness.cluster.cancel(&id);
    let commit = harness.cluster.next_commit(harness.now).expect("the end");
    harness.cluster.committed(commit, CommitResult::NotApplied, harness.now);
    assert_eq!(harness.job_state(&id), JobState::Running);
}

/// Where a worker's lease is longer than the cancellation limit, no cancellation is confirmed before its
/// tasks are gone: an unreachable machine would keep them beyond the limit.
#[test]
fn cancellation_waits_for_tasks_when_worker_lease_exceeds_its_limit() {
    let mut config = test_config();
    config.platform.workers.cancel_s = config.platform.workers.lease_s - 4.0;
    let mut harness = LeaderHarness::lead_with(config, MemoryStore::default(), 1, at(0));
    let mut worker = small_worker("m-1", "a");
    let id = harness.submit(job("req-000001", "array", 1));
    harness.run_rounds(&mut [&mut worker]);
    assert_eq!(harness.cluster.cancel(&id), CancelOutcome::LeasesOutstanding);
    // The worker is partitioned; the user repeats the request.
    let report = worker.heartbeat();
    for _ in 0..5 {
        harness.advance(1_000);
        assert_eq!(harness.cluster.cancel(&id), CancelOutcome::LeasesOutstanding);
        assert_eq!(harness.stored_final_state(&id), None);
    }
    let stops = harness
        .cluster
        .handle_heartbeat(&report, harness.now)
        .expect("the leader answers")
        .commands;
    assert!(matches!(stops.as_slice(), [Command::Kill { .. }]), "{stops:?}");
    worker.end_task(&worker.unfinished_tasks()[0].clone(), ExitCause::Stopped);
    harness.heartbeat(&mut worker);
    harness.advance(100);
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("withdrawn"));
    // With the usual settings nothing waits.
    let mut harness = LeaderHarness::start();
    let id = harness.submit(job("req-000002", "array", 1));
    assert_eq!(harness.cluster.cancel(&id), CancelOutcome::Pending);
}

/// A delayed heartbeat reaches every controller just as a new leader begins: it is the first that the new
/// leader receives of the machine, and the task that it shows has moved since.
#[test]
fn delayed_heartbeat_received_first_by_new_leader_starts_no_task_twice() {
    let mut harness = LeaderHarness::start();
    let (mut left, mut right) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 1));
    let older = left.heartbeat();
    harness.run_rounds(&mut [&mut left]);
    assert_eq!(left.unfinished_tasks().len(), 1);
    let (old, empty) = (left.heartbeat(), right.heartbeat());
    // The task is refused there and runs elsewhere.
    left.end_task(&left.unfinished_tasks()[0].clone(), ExitCause::InsufficientResources);
    harness.run_rounds(&mut [&mut left, &mut right]);
    while right.unfinished_tasks().is_empty() {
        harness.run_rounds(&mut [&mut left, &mut right]);
    }
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, harness.now + ms(6_000));
    // Duplicates arrive first; their responses reach no worker.
    let mut idle = small_worker("m-3", "a");
    next.cluster.handle_heartbeat(&older, next.now);
    next.cluster.handle_heartbeat(&empty, next.now);
    for _ in 0..4 {
        next.run_rounds(&mut [&mut idle]);
        assert_eq!(idle.started_attempts, [], "it runs on m-2, which was not heard yet");
    }
    next.cluster.handle_heartbeat(&old, next.now);
    next.run_rounds(&mut [&mut idle]);
    assert_eq!(idle.started_attempts, []);
    next.run_rounds(&mut [&mut left, &mut right, &mut idle]);
    next.run_rounds(&mut [&mut left, &mut right, &mut idle]);
    let live: usize = [&left, &right, &idle].iter().map(|w| w.unfinished_tasks().len()).sum();
    assert_eq!(live, 1, "one machine has it");
    // The duplicate again, after newer heartbeats: it changes no state.
    assert_eq!(next.cluster.handle_heartbeat(&old, next.now), None);
}

/// A heartbeat is delayed until a new leader has acted, and then arrives there.
#[test]
fn delayed_heartbeat_after_new_leader_acted_changes_no_state() {
    let (harness, mut worker, _) = one_running_task();
    worker.end_task(&worker.unfinished_tasks()[0].clone(), ExitCause::Error);
    let held_back = worker.heartbeat();
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, harness.now + ms(6_000));
    // The state probe makes the worker report its tasks under the new fencing token.
    let probe =
        DirectCommands { fencing_token: 2, incarnation: worker.incarnation(), commands: vec![] };
    let told = worker.handle_direct_commands(&probe).expect("a higher token");
    next.cluster.machines_listed(
        &[listed_machine("m-1", MachineState::Running, 60.0)],
        next.now,
        next.now,
    );
    next.cluster.state_probed("m-1", Some(told), next.now);
    next.run_rounds(&mut [&mut worker]);
    next.now += ms(60_000);
    while worker.unfinished_tasks().is_empty() {
        next.run_rounds(&mut [&mut worker]);
    }
    let before = worker.started_attempts.len();
    assert_eq!(
        next.cluster.handle_heartbeat(&held_back, next.now),
        None,
        "it is older than what was heard"
    );
    for _ in 0..5 {
        next.run_rounds(&mut [&mut worker]);
    }
    assert_eq!((worker.unfinished_tasks().len(), worker.started_attempts.len()), (1, before));
}

/// New machines boot within two seconds while commits lag, and the leader ends: no task starts on a machine
/// before its registration is committed, and afterwards the next leader knows it, listed or not.
#[test]
fn machine_without_committed_registration_gets_no_task() {
    let mut harness = LeaderHarness::start();
    let (mut first, mut quick) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 300));
    harness.run_rounds(&mut [&mut first]);
    assert_eq!(first.unfinished_tasks().len(), 1, "the store knows that tasks may be started");
    // The commits of the new machine's entry have no response; they arrive late, after the end of the leader.
    let mut lost = Vec::new();
    for _ in 0..6 {
        let report = quick.heartbeat();
        let answer =
            harness.cluster.handle_heartbeat(&report, harness.now).expect("the leader answers");
        assert!(quick.handle_response(&answer));
        harness.now += ms(500);
        harness.cluster.scheduling_round(harness.now);
        assert_eq!(harness.cluster.take_direct_starts(harness.now), [], "nor straight");
        if let Some(commit) = harness.cluster.next_commit(harness.now) {
            lost.push(commit.transaction.clone());
            let result = harness.read_after_lost_response(&commit);
            harness.cluster.committed(commit, result, harness.now);
        }
    }
    assert!(!lost.is_empty());
    assert_eq!(quick.started_attempts, [], "the next leader would not know of it");
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, harness.now);
    for transaction in &lost {
        assert!(next.store.commit(transaction).is_err(), "the old leader's writes fail by now");
    }
    // Neither listed nor registered: it has no task, and nothing waits for it.
    next.cluster.machines_listed(&[], next.now, next.now);
    let mut other = small_worker("m-3", "b");
    next.run_rounds(&mut [&mut first, &mut other]);
    assert!(next.cluster.reconciled(next.now));
    assert_eq!(other.unfinished_tasks().len(), 1);
}

/// A team is at its quota when the leader changes, a machine with one of its tasks is unreachable, and the
/// job there is cancelled: the task counts until it has certainly ended, also once the job's record is
/// deleted.
#[test]
fn cancelled_tasks_count_against_quota_until_lease_expiry() {
    let tight = |id: &str| {
        let mut spec = job(id, "array", 1);
        spec.team = "tight".into();
        spec
    };
    let mut harness = LeaderHarness::start();
    let (mut partitioned, mut reachable) = (small_worker("m-1", "b"), small_worker("m-2", "a"));
    let id = harness.submit(tight("req-000001"));
    harness.run_rounds(&mut [&mut partitioned]);
    assert_eq!(partitioned.unfinished_tasks().len(), 1, "three of four CPUs");
    harness.submit(tight("req-000002"));
    // Cancelled before or after the failover.
    for (case, term) in ["before", "after"].iter().zip([40_000, 80_000]) {
        let mut harness = LeaderHarness::lead(harness.store.clone(), term, at(term));
        if *case == "before" {
            harness.cluster.cancel(&id);
            harness.commit_pending();
            harness = LeaderHarness::lead(harness.store.clone(), term + 4_096, at(term + 1_000));
        } else {
            harness.advance(1_000);
            harness.cluster.cancel(&id);
            harness.commit_pending();
        }
        assert_eq!(harness.stored_final_state(&id).as_deref(), Some("withdrawn"));
        let over = harness.now + (worker_lease_expiry(&test_config().platform) - ms(3_000));
        let mut reachable = reachable.clone();
        while harness.now < over {
            harness.run_rounds(&mut [&mut reachable]);
            assert_eq!(reachable.started_attempts, [], "{case}: m-1 may still run it");
        }
        for _ in 0..5 {
            harness.run_rounds(&mut [&mut reachable]);
        }
        assert_eq!(reachable.unfinished_tasks().len(), 1, "{case}: it is gone for sure");
    }
    reachable.expire_lease();
}

/// Tasks of a small job complete far apart under different leaders: a completed task is not started again.
#[test]
fn small_job_completing_across_failovers_runs_each_task_once() {
    let mut harness = LeaderHarness::start();
    let mut workers: Vec<ScriptedWorker> =
        (1..=3).map(|n| small_worker(&format!("m-{n}"), "a")).collect();
    let id = harness.submit(job("req-000001", "array", 3));
    harness.run_rounds_all(&mut workers);
    for term in 2..=4 {
        let n = term as usize - 2;
        let task = workers[n].unfinished_tasks()[0].clone();
        workers[n].end_task(&task, ExitCause::Done);
        harness.run_rounds_all(&mut workers);
        let over = harness.stored_final_state(&id);
        assert_eq!(over.is_some(), term == 4, "done with the last one only");
        harness = LeaderHarness::lead(harness.store.clone(), term, harness.now + ms(6_000));
    }
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("done"));
    let started: usize = workers.iter().map(|w| w.started_attempts.len()).sum();
    assert_eq!(started, 3, "none ran a second time");
}

/// All controllers are down for longer than a worker's lease: every task restarts, once.
#[test]
fn outage_of_all_controllers_beyond_lease_restarts_every_task_once() {
    let mut harness = LeaderHarness::start();
    let mut workers: Vec<ScriptedWorker> =
        (1..=3).map(|n| small_worker(&format!("m-{n}"), "a")).collect();
    let id = harness.submit(job("req-000001", "array", 3));
    harness.run_rounds_all(&mut workers);
    let old: Vec<_> = workers.iter_mut().map(ScriptedWorker::heartbeat).collect();
    workers.iter_mut().for_each(ScriptedWorker::expire_lease);
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, harness.now + ms(30_000));
    // Duplicated heartbeats from before the outage arrive first.
    for report in &old {
        next.cluster.handle_heartbeat(report, next.now);
    }
    for _ in 0..4 {
        next.run_rounds_all(&mut workers);
    }
    assert!(workers.iter().all(|w| w.unfinished_tasks().len() == 1), "each has a task again");
    let attempts: std::collections::BTreeSet<_> =
        workers.iter().flat_map(|w| &w.started_attempts).collect();
    assert_eq!(attempts.len(), 6, "no attempt number was used twice");
    for w in &mut workers {
        w.end_task(&w.unfinished_tasks()[0].clone(), ExitCause::Done);
    }
    next.run_rounds_all(&mut workers);
    assert_eq!(next.stored_final_state(&id).as_deref(), Some("done"));
}
