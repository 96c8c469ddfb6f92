//! Reconciliation after a failover: which tasks a new leader may start before every machine is reconciled.

use crate::harness::{LeaderHarness, at, job, listed_machine, ms, small_worker, test_config};
use hookway_controller::cluster_state::longest_worker_lease;
use hookway_wire::{DirectCommands, ExitCause, JobId, ListedMachine, MachineState};

#[test]
fn failover_with_unreachable_machine_starts_no_task_twice() {
    let mut harness = LeaderHarness::start();
    let (mut reachable, mut partitioned) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    harness.submit(job("req-000001", "array", 2));
    harness.run_four_rounds(&mut [&mut reachable, &mut partitioned]);
    assert_eq!((reachable.unfinished_tasks().len(), partitioned.unfinished_tasks().len()), (1, 1));
    let lost_task = partitioned.unfinished_tasks()[0].clone();
    // The previous leader is partitioned together with m-2. A new leader is elected at 30 s.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(30_000));
    let fresh = next.submit(job("req-000002", "array", 1));
    let mut idle = small_worker("m-3", "a");
    for _ in 0..20 {
        next.heartbeat(&mut reachable);
        next.heartbeat(&mut idle);
        next.advance(600);
        let started_elsewhere = reachable.unfinished_tasks().contains(&lost_task)
            || idle.unfinished_tasks().contains(&lost_task);
        let lease_expired = next.now >= at(30_000) + longest_worker_lease(&test_config().platform);
        assert!(
            !started_elsewhere || lease_expired,
            "{lost_task} started at {:?} while it may run on m-2",
            next.now
        );
    }
    assert!(
        idle.started_attempts.iter().any(|(task, _)| task.starts_with(fresh.as_str())),
        "a job submitted after the failover does not wait"
    );
    idle.end_task("req-000002/0", ExitCause::Done);
    for _ in 0..20 {
        next.heartbeat(&mut reachable);
        next.heartbeat(&mut idle);
        next.advance(600);
    }
    assert!(
        idle.unfinished_tasks().contains(&lost_task),
        "restarted once the lease on m-2 has expired"
    );
}

#[test]
fn failover_resumes_scheduling_once_all_machines_are_reconciled() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 2));
    harness.run_four_rounds(&mut [&mut worker]);
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(10_000));
    assert!(!next.cluster.is_reconciled(next.now));
    next.heartbeat(&mut worker);
    assert_eq!(worker.fencing_token, 2, "the fencing token rises with the term");
    next.heartbeat(&mut worker);
    assert!(next.cluster.is_reconciled(next.now));
    next.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks(), ["req-000001/0"], "the running task continues");
    assert_eq!(worker.started_attempts.len(), 1);
    // The deposed leader's response carries the lower fencing token and is dropped.
    let heartbeat = worker.heartbeat();
    let response = harness
        .cluster
        .handle_heartbeat(&heartbeat, harness.now + ms(1))
        .expect("the deposed leader still responds");
    assert!(!worker.execute_response(&response));
}

#[test]
fn heartbeat_with_old_fencing_token_reconciles_no_machine() {
    let mut harness = LeaderHarness::start();
    let (mut partitioned, mut reachable) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.heartbeat(&mut partitioned);
    // The network delays this heartbeat; the start command is in the response to the next one.
    let delayed = partitioned.heartbeat();
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut partitioned]);
    assert_eq!(partitioned.unfinished_tasks(), ["req-000001/0"]);
    // A new leader receives the delayed heartbeat first. It names no task, but that proves nothing: only
    // a heartbeat with the new fencing token is known to have been sent after the failover.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(9_000));
    next.cluster.handle_heartbeat(&delayed, next.now);
    assert!(!next.cluster.is_reconciled(next.now));
    for _ in 0..8 {
        next.heartbeat(&mut reachable);
        next.advance(1_000);
    }
    assert_eq!(reachable.started_attempts, [], "the task still runs on the partitioned machine");
}

#[test]
fn quota_counts_possible_tasks_on_unreachable_machines() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let mut spec = job("req-000001", "array", 1);
    spec.team = "tight".into();
    harness.submit(spec.clone());
    harness.run_four_rounds(&mut [&mut worker_1]);
    assert_eq!(worker_1.unfinished_tasks().len(), 1);
    // m-1 becomes unreachable together with the leader; its task may still use 3 of the team's 4 CPUs.
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(9_000));
    spec.id = JobId::parse("req-000002").expect("an id");
    next.submit(spec);
    for _ in 0..10 {
        next.heartbeat(&mut worker_2);
        next.advance(1_000);
    }
    assert_eq!(worker_2.started_attempts.len(), 0);
}

/// Guards against tasks that are lost or run twice (incidents inc-f021 and inc-e25c): sixteen leaders in a row are
/// killed after about 11 s each, and each process restarts within a fraction of a second, during the
/// next election.
#[test]
fn repeated_leader_crashes_lose_and_repeat_no_task() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "b"));
    let id = harness.submit(job("req-000001", "array", 16));
    for term in 1..=16 {
        let started_at = harness.now;
        while harness.now < started_at + ms(11_000) {
            for worker in [&mut worker_1, &mut worker_2] {
                harness.heartbeat(worker);
                harness.now += ms(500);
                // Each task takes a few seconds; a result that no heartbeat has delivered to the killed
                // leader is delivered to the next one.
                if harness.now.as_millis().is_multiple_of(2_000) {
                    for task in worker.unfinished_tasks() {
                        assert!(worker.end_task(&task, ExitCause::Done));
                    }
                }
            }
            harness.advance(500);
        }
        let next_term = 1 + term * hookway_constants::TOKENS_PER_TERM;
        harness = LeaderHarness::with_term(harness.store.clone(), next_term, harness.now + ms(200));
    }
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    let started_by_worker = (&worker_1.started_attempts, &worker_2.started_attempts);
    assert_eq!(harness.stored_final_state(&id).as_deref(), Some("done"), "{started_by_worker:?}");
    let mut started: Vec<&String> = worker_1
        .started_attempts
        .iter()
        .chain(&worker_2.started_attempts)
        .map(|(task, _)| task)
        .collect();
    assert_eq!(started.len(), 16, "no task was started twice");
    started.sort();
    started.dedup();
    assert_eq!(started.len(), 16);
}

/// Guards against a slow failover: after a leader was paused while another controller was down, workers took
/// 10 s and more to find the new leader, and until all had found it no task of an older job started.
#[test]
fn state_probes_reconcile_machines_without_waiting_for_heartbeats() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    // Each machine has capacity for one task; the third task is queued.
    harness.submit(job("req-000001", "array", 3));
    harness.run_four_rounds(&mut [&mut worker_1, &mut worker_2]);
    assert_eq!(worker_1.unfinished_tasks().len() + worker_2.unfinished_tasks().len(), 2);
    worker_1.end_task(&worker_1.unfinished_tasks()[0].clone(), ExitCause::Done);

    let mut next = LeaderHarness::with_term(harness.store.clone(), 5_000, at(20_000));
    let listed = ["m-1", "m-2"].map(|name| ListedMachine {
        address: Some("127.0.0.1:9".into()),
        ..listed_machine(name, MachineState::Running, 60.0)
    });
    next.cluster.machines_listed(&listed, next.now, next.now);
    assert!(
        next.cluster.take_state_probes(next.now).is_empty(),
        "no probe before the workers have had time to send heartbeats"
    );
    next.now += ms(1_500);
    let mut probes = next.cluster.take_state_probes(next.now);
    probes.sort();
    let names: Vec<&str> = probes.iter().map(|probe| probe.machine.as_str()).collect();
    assert_eq!(names, ["m-1", "m-2"]);
    assert!(next.cluster.take_state_probes(next.now).is_empty(), "one probe per machine");

    // A heartbeat without the new fencing token may be older than the failover.
    next.cluster.apply_state_probe_outcome("m-1", Some(worker_1.heartbeat()), next.now);
    next.cluster.apply_state_probe_outcome("m-2", None, next.now);
    assert!(!next.cluster.is_reconciled(next.now));

    let late = harness
        .cluster
        .handle_heartbeat(&worker_1.heartbeat(), harness.now + ms(1_000))
        .expect("a response");
    let mut next = LeaderHarness::with_term(next.store.clone(), 9_000, at(30_000));
    next.cluster.machines_listed(&listed, next.now, next.now);
    next.now += ms(1_500);
    assert_eq!(next.cluster.take_state_probes(next.now).len(), 2);
    let probe = DirectCommands { fencing_token: 9_000, incarnation: 1, commands: vec![] };
    for (name, worker) in [("m-1", &mut worker_1), ("m-2", &mut worker_2)] {
        let heartbeat = worker.execute_direct_commands(&probe);
        next.cluster.apply_state_probe_outcome(name, heartbeat, next.now);
    }
    assert!(next.cluster.is_reconciled(next.now), "both machines responded to the probe");
    assert!(
        !worker_1.execute_response(&late),
        "the worker refuses a response of an earlier leader"
    );
    // The queued task starts at once, on the machine whose task has completed.
    next.advance(500);
    let starts = next.cluster.take_direct_starts(next.now);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].machine, "m-1");
}
