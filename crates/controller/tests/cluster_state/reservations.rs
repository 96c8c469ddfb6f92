//! Machines that are kept for the job that tasks were preempted for: what ends the reservation.
//!
//! What happened (seed 62 of the election days): a job whose cleared machine took no tasks for 4 s waited for it,
//! since a job with a reserved machine preempts nothing else. Evidence: from 258.3 s on m-4 had one free CPU, a
//! reservation for req-000009 until 267.0 s and a `backoff_until` of 262.2 s, while m-6 and m-10 in the same zone ran
//! tasks of lower priority.

use crate::harness::{LeaderHarness, job, running, small_worker};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, JobId, JobSpec, Priority};

/// Tasks of normal priority fill m-1 and m-2.
fn full_machines() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let mut harness = LeaderHarness::start();
    let mut workers = [small_worker("m-1", "a"), small_worker("m-2", "a")];
    harness.run_rounds_of(&mut workers, 2);
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000001", "array", 8) });
    harness.run_rounds_of(&mut workers, 4);
    assert_eq!(running(&workers[0], "req-000001") + running(&workers[1], "req-000001"), 8);
    (harness, workers)
}

/// `full_machines` on which a job that takes a whole machine has just preempted the tasks of one: the leader has
/// decided it, no worker knows. Returns the index of the machine.
fn preempting_job(spec: JobSpec) -> (LeaderHarness, [ScriptedWorker; 2], usize) {
    let (mut harness, mut workers) = full_machines();
    harness.submit(JobSpec { cpus: 4.0, ..spec });
    harness.advance(500);
    let preempted = (0..2)
        .find(|n| {
            let commands = harness.heartbeat(&mut workers[*n]);
            !commands.is_empty()
        })
        .expect("tasks are stopped on one machine");
    (harness, workers, preempted)
}

fn urgent(kind: &str) -> JobSpec {
    JobSpec { priority: Priority::Production, ..job("req-000002", kind, 1) }
}

#[test]
fn job_whose_cleared_machine_takes_no_tasks_preempts_elsewhere() {
    let (mut harness, mut workers) = full_machines();
    harness.submit(JobSpec { cpus: 4.0, ..urgent("daemon") });
    harness.advance(500);
    // The stops on m-1 are decided. Its worker rejects a start, so it gets no new task for 3 s.
    let task = workers[0].unfinished_tasks().remove(0);
    workers[0].end_task(&task, ExitCause::InsufficientResources);
    harness.run_rounds_of(&mut workers, 5);
    assert_eq!(running(&workers[0], "req-000001"), 0, "m-1 was cleared");
    assert_eq!(running(&workers[1], "req-000002"), 1, "the job does not wait for m-1");
}

#[test]
fn reservation_ends_when_its_job_is_cancelled() {
    for kind in ["daemon", "group"] {
        let (mut harness, mut workers, cleared) = preempting_job(urgent(kind));
        harness.cluster.cancel(&JobId::parse("req-000002").expect("an id"));
        harness.run_rounds_of(&mut workers, 4);
        assert_eq!(running(&workers[cleared], "req-000001"), 4, "{kind}: the room is used again");
    }
}

#[test]
fn reservation_ends_when_its_job_runs_elsewhere() {
    let (mut harness, mut workers, cleared) = preempting_job(urgent("daemon"));
    let mut third = small_worker("m-3", "a");
    harness.heartbeat(&mut third);
    harness.advance(100);
    harness.heartbeat(&mut third);
    harness.advance(100);
    harness.heartbeat(&mut third);
    assert_eq!(running(&third, "req-000002"), 1, "a new machine takes it first");
    harness.run_rounds_of(&mut workers, 4);
    assert_eq!(running(&workers[cleared], "req-000001"), 4, "the room is used again");
}

#[test]
fn reservation_stays_while_its_job_waits_for_the_stops() {
    for kind in ["daemon", "group"] {
        let (mut harness, mut workers, cleared) = preempting_job(urgent(kind));
        harness.run_rounds_of(&mut workers, 4);
        assert_eq!(running(&workers[cleared], "req-000002"), 1, "{kind}");
    }
}
