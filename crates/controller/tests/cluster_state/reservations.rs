//! Reservations of machines: after a preemption the machine of the victims is reserved for the
//! beneficiary, and these tests show what ends the reservation.
//!
//! They guard against a job that waits for a machine which accepts no tasks (simulation with election faults, seed 62):
//! a job with a reserved machine preempts nothing else, so it waited 4 s for a machine that was backing off, while
//! two other machines of the zone ran tasks of lower priority.

use crate::harness::{LeaderHarness, job, running, small_worker};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, JobId, JobSpec, Priority};

/// Returns a leader with tasks of normal priority that fill m-1 and m-2.
fn full_machines() -> (LeaderHarness, [ScriptedWorker; 2]) {
    let mut harness = LeaderHarness::start();
    let mut workers = [small_worker("m-1", "a"), small_worker("m-2", "a")];
    harness.run_rounds(&mut workers, 2);
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000001", "array", 8) });
    harness.run_rounds(&mut workers, 4);
    assert_eq!(running(&workers[0], "req-000001") + running(&workers[1], "req-000001"), 8);
    (harness, workers)
}

/// Extends `full_machines` with a job that needs a whole machine and preempts the tasks on one of the two.
/// The worker there has received the stop commands; the leader has not received the results yet. Also
/// returns the index of that worker.
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

/// A job of one task whose priority exceeds that of the tasks on `full_machines`.
fn high_priority_job(kind: &str) -> JobSpec {
    JobSpec { priority: Priority::Production, ..job("req-000002", kind, 1) }
}

#[test]
fn job_whose_reserved_machine_backs_off_preempts_elsewhere() {
    let (mut harness, mut workers) = full_machines();
    harness.submit(JobSpec { cpus: 4.0, ..high_priority_job("daemon") });
    harness.advance(500);
    // The leader has decided to stop the tasks on m-1. Then the worker on m-1 rejects a task for lack of
    // resources, so the leader sends no new task there for 3 s.
    let task = workers[0].unfinished_tasks().remove(0);
    workers[0].end_task(&task, ExitCause::InsufficientResources);
    harness.run_rounds(&mut workers, 5);
    assert_eq!(running(&workers[0], "req-000001"), 0, "the tasks on m-1 were stopped");
    assert_eq!(running(&workers[1], "req-000002"), 1, "the job does not wait for m-1");
}

#[test]
fn reservation_ends_when_its_job_is_cancelled() {
    for kind in ["daemon", "group"] {
        let (mut harness, mut workers, cleared) = preempting_job(high_priority_job(kind));
        harness.cluster.cancel(&JobId::parse("req-000002").expect("an id"));
        harness.run_rounds(&mut workers, 4);
        assert_eq!(
            running(&workers[cleared], "req-000001"),
            4,
            "{kind}: the capacity is used again"
        );
    }
}

#[test]
fn reservation_ends_when_its_job_runs_elsewhere() {
    let (mut harness, mut workers, cleared) = preempting_job(high_priority_job("daemon"));
    let mut third = small_worker("m-3", "a");
    harness.heartbeat(&mut third);
    harness.advance(100);
    harness.heartbeat(&mut third);
    harness.advance(100);
    harness.heartbeat(&mut third);
    assert_eq!(running(&third, "req-000002"), 1, "the job starts on the new machine first");
    harness.run_rounds(&mut workers, 4);
    assert_eq!(running(&workers[cleared], "req-000001"), 4, "the capacity is used again");
}

#[test]
fn reservation_stays_while_its_job_waits_for_the_stops() {
    for kind in ["daemon", "group"] {
        let (mut harness, mut workers, cleared) = preempting_job(high_priority_job(kind));
        harness.run_rounds(&mut workers, 4);
        assert_eq!(running(&workers[cleared], "req-000002"), 1, "{kind}");
    }
}
