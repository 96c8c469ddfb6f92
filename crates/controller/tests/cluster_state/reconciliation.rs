//! Reconciliation after a failover: what a new leader may start before it has heard every machine.

use crate::harness::{LeaderHarness, at, job, listed_machine, ms, small_worker, test_config};
use hookway_controller::cluster_state::worker_lease_expiry;
use hookway_wire::{DirectCommands, ExitCause, JobId, ListedMachine, MachineState};

#[test]
fn failover_with_unreachable_machine_starts_no_task_twice() {
    let mut harness = LeaderHarness::start();
    let (mut reachable, mut partitioned) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 2));
    harness.run_rounds(&mut [&mut reachable, &mut partitioned]);
    assert_eq!((reachable.unfinished_tasks().len(), partitioned.unfinished_tasks().len()), (1, 1));
    let lost = partitioned.unfinished_tasks()[0].clone();
    // The old leader is partitioned together with m-2. A new one is elected at 30 s.
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(30_000));
    let fresh = next.submit(job("req-000002", "array", 1));
    let mut idle = small_worker("m-3", "a");
    for _ in 0..20 {
        next.heartbeat(&mut reachable);
        next.heartbeat(&mut idle);
        next.advance(600);
        let twice =
            reachable.unfinished_tasks().contains(&lost) || idle.unfinished_tasks().contains(&lost);
        let over = next.now >= at(30_000) + worker_lease_expiry(&test_config().platform);
        assert!(!twice || over, "{lost} started at {:?} while m-2 may have it", next.now);
    }
    assert!(
        idle.started_attempts.iter().any(|(t, _)| t.starts_with(fresh.as_str())),
        "a job that nobody can have started does not wait"
    );
    idle.end_task("req-000002/0", ExitCause::Done);
    for _ in 0..20 {
        next.heartbeat(&mut reachable);
        next.heartbeat(&mut idle);
        next.advance(600);
    }
    assert!(idle.unfinished_tasks().contains(&lost), "after the lease it runs again");
}

#[test]
fn failover_resumes_scheduling_once_all_machines_are_reconciled() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 2));
    harness.run_rounds(&mut [&mut w]);
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(10_000));
    assert!(!next.cluster.reconciled(next.now));
    next.heartbeat(&mut w);
    assert_eq!(w.fencing_token, 2, "the token rises with the term");
    next.heartbeat(&mut w);
    assert!(next.cluster.reconciled(next.now));
    next.run_rounds(&mut [&mut w]);
    assert_eq!(w.unfinished_tasks(), ["req-000001/0"], "what runs is left alone");
    assert_eq!(w.started_attempts.len(), 1);
    // The deposed leader's response carries the lower fencing token and is dropped.
    let report = w.heartbeat();
    let answer = harness
        .cluster
        .handle_heartbeat(&report, harness.now + ms(1))
        .expect("it does not know yet");
    assert!(!w.handle_response(&answer));
}

#[test]
fn heartbeat_with_old_fencing_token_reconciles_no_machine() {
    let mut harness = LeaderHarness::start();
    let (mut partitioned, mut reachable) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.heartbeat(&mut partitioned);
    // This heartbeat is delayed by the network; the start is in the response to the next one.
    let held_back = partitioned.heartbeat();
    harness.submit(job("req-000001", "array", 1));
    harness.run_rounds(&mut [&mut partitioned]);
    assert_eq!(partitioned.unfinished_tasks(), ["req-000001/0"]);
    // A new leader receives the delayed heartbeat first. It names no task, but proves nothing: only a
    // heartbeat with the new fencing token was certainly sent after the failover.
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(9_000));
    next.cluster.handle_heartbeat(&held_back, next.now);
    assert!(!next.cluster.reconciled(next.now));
    for _ in 0..8 {
        next.heartbeat(&mut reachable);
        next.advance(1_000);
    }
    assert_eq!(
        reachable.started_attempts,
        [],
        "the task still runs on the machine that is cut off"
    );
}

#[test]
fn quota_counts_possible_tasks_on_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let mut spec = job("req-000001", "array", 1);
    spec.team = "tight".into();
    harness.submit(spec.clone());
    harness.run_rounds(&mut [&mut one]);
    assert_eq!(one.unfinished_tasks().len(), 1);
    // m-1 becomes unreachable together with the leader; 3 of the team's 4 CPUs may be in use there.
    let mut next = LeaderHarness::lead(harness.store.clone(), 2, at(9_000));
    spec.id = JobId::parse("req-000002").expect("an id");
    next.submit(spec);
    for _ in 0..10 {
        next.heartbeat(&mut two);
        next.advance(1_000);
    }
    assert_eq!(two.started_attempts.len(), 0);
}

/// Incidents inc-f021 and inc-e25c: each leader is killed after about 11 s, sixteen times in a row, and
/// restarts within a fraction of a second, during the next election.
#[test]
fn repeated_leader_crashes_lose_and_repeat_no_task() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    let id = harness.submit(job("req-000001", "array", 16));
    for term in 1..=16 {
        let begun = harness.now;
        while harness.now < begun + ms(11_000) {
            for w in [&mut one, &mut two] {
                harness.heartbeat(w);
                harness.now += ms(500);
                // Each task takes a few seconds; heartbeats that a killed leader never received reach the
                // next one.
                if harness.now.as_millis().is_multiple_of(2_000) {
                    for task in w.unfinished_tasks() {
                        assert!(w.end_task(&task, ExitCause::Done));
                    }
                }
            }
            harness.advance(500);
        }
        let next = 1 + term * hookway_constants::TOKENS_PER_TERM;
        harness = LeaderHarness::lead(harness.store.clone(), next, harness.now + ms(200));
    }
    harness.run_rounds(&mut [&mut one, &mut two]);
    let so_far = (&one.started_attempts, &two.started_attempts);
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("done"), "{so_far:?}");
    let mut started: Vec<&String> =
        one.started_attempts.iter().chain(&two.started_attempts).map(|(task, _)| task).collect();
    assert_eq!(started.len(), 16, "no task was started twice");
    started.sort();
    started.dedup();
    assert_eq!(started.len(), 16);
}

/// Benchmark days of 2026-12-02: after a leader was paused while another controller was down, workers took 10
/// s and more to find the new one, and until all had done so no task of an older job started.
#[test]
fn state_probes_reconcile_machines_without_waiting_for_heartbeats() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    // One task fills a machine; the third one waits.
    harness.submit(job("req-000001", "array", 3));
    harness.run_rounds(&mut [&mut one, &mut two]);
    assert_eq!(one.unfinished_tasks().len() + two.unfinished_tasks().len(), 2);
    one.end_task(&one.unfinished_tasks()[0].clone(), ExitCause::Done);

    let mut next = LeaderHarness::lead(harness.store.clone(), 5_000, at(20_000));
    let list = ["m-1", "m-2"].map(|m| ListedMachine {
        addr: Some("127.0.0.1:9".into()),
        ..listed_machine(m, MachineState::Running, 60.0)
    });
    next.cluster.machines_listed(&list, next.now, next.now);
    assert!(next.cluster.take_state_probes(next.now).is_empty(), "most come by themselves");
    next.now += ms(1_500);
    let mut asked = next.cluster.take_state_probes(next.now);
    asked.sort();
    let names: Vec<&str> = asked.iter().map(|probe| probe.machine.as_str()).collect();
    assert_eq!(names, ["m-1", "m-2"]);
    assert!(next.cluster.take_state_probes(next.now).is_empty(), "once each");

    // A heartbeat without the new fencing token may be older than the failover.
    next.cluster.state_probed("m-1", Some(one.heartbeat()), next.now);
    next.cluster.state_probed("m-2", None, next.now);
    assert!(!next.cluster.reconciled(next.now));

    let late = harness
        .cluster
        .handle_heartbeat(&one.heartbeat(), harness.now + ms(1_000))
        .expect("an answer");
    let mut next = LeaderHarness::lead(next.store.clone(), 9_000, at(30_000));
    next.cluster.machines_listed(&list, next.now, next.now);
    next.now += ms(1_500);
    assert_eq!(next.cluster.take_state_probes(next.now).len(), 2);
    let probe = DirectCommands { fencing_token: 9_000, incarnation: 1, commands: vec![] };
    for (name, w) in [("m-1", &mut one), ("m-2", &mut two)] {
        let report = w.handle_direct_commands(&probe);
        next.cluster.state_probed(name, report, next.now);
    }
    assert!(next.cluster.reconciled(next.now), "both have named everything");
    assert!(
        !one.handle_response(&late),
        "what an earlier leader answered, the worker refuses from then on"
    );
    // The queued task starts at once, on the machine whose task has completed.
    next.advance(500);
    let starts = next.cluster.take_direct_starts(next.now);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].machine, "m-1");
}
