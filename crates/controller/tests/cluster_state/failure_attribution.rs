//! Failure attribution: failing jobs and faulty machines are told apart.

use crate::harness::{LeaderHarness, at, job, ms, small_worker};
use crate::support::workers;
use hookway_controller::cluster_state::{JobLookup, ScalingAction};
use hookway_wire::{ExitCause, JobId};

#[test]
fn job_failing_on_every_machine_deletes_no_machine() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.submit(job("req-000001", "array", 1));
    for _ in 0..6 {
        harness.run_rounds(&mut [&mut w]);
        w.end_task("req-000001/0", ExitCause::Error);
        harness.now += ms(31_000 / 4);
        harness.run_rounds(&mut [&mut w]);
    }
    let fleet = harness.cluster.autoscaling_round(harness.now);
    assert!(!fleet.iter().any(|a| matches!(a, ScalingAction::ScaleIn(_))));
    assert!(w.started_attempts.len() >= 2);
    let status = match harness.cluster.status(&JobId::parse("req-000001").expect("an id")) {
        JobLookup::Known(status) => status,
        other => panic!("{other:?}"),
    };
    assert!(status.notes[0].contains("failed with an error"), "users are told in plain words");
}

/// Incident of 2026-12-02: half of the machines of a site were deleted as faulty, since two jobs that fail on
/// every machine had failed on each; and each retry of such a job started all of its tasks, for which others
/// were preempted.
#[test]
fn failing_jobs_are_retried_one_task_at_a_time_and_delete_no_machine() {
    let mut harness = LeaderHarness::start();
    let mut machines = workers(1..=6, "a");
    let mut ids = Vec::new();
    for n in 1..=4 {
        ids.push(harness.submit(job(&format!("req-00000{n}"), "array", 3)));
    }
    let mut tries = Vec::new();
    for _ in 0..120 {
        for w in &mut machines {
            harness.heartbeat(w);
            let running = w.unfinished_tasks();
            for task in &running {
                w.end_task(task, ExitCause::Error);
            }
            tries.extend(running.into_iter().map(|_| harness.now));
        }
        harness.advance(500);
    }
    let returned = harness.cluster.autoscaling_round(harness.now);
    let deleted = returned.iter().any(|a| matches!(a, ScalingAction::ScaleIn(_)));
    assert!(!deleted, "many jobs failed on each machine, and each of them on many: {returned:?}");
    let late = tries.iter().filter(|tried_at| **tried_at > at(30_000)).count();
    assert!((1..=12).contains(&late), "{late} tries of four jobs in the second half minute");
    let JobLookup::Known(status) = harness.cluster.status(&ids[0]) else { panic!("it is known") };
    assert!(status.notes.iter().any(|n| n.contains("ran on none")), "{:?}", status.notes);
}

/// The opposite case: a task that failed once, on a faulty machine, restarts elsewhere at once, and a machine
/// on which jobs fail that run elsewhere is deleted.
#[test]
fn faulty_machine_is_deleted_and_its_failed_tasks_run_elsewhere() {
    let mut harness = LeaderHarness::start();
    let (mut bad, mut good) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let mut more = small_worker("m-3", "a");
    for w in [&mut bad, &mut good, &mut more] {
        harness.heartbeat(w);
    }
    for n in 1..=3 {
        harness.submit(job(&format!("req-00000{n}"), "array", 2));
    }
    let begun = harness.now;
    let mut done = 0;
    for _ in 0..60 {
        for w in [&mut good, &mut more] {
            harness.heartbeat(w);
            let running = w.unfinished_tasks();
            for task in &running {
                done += 1;
                w.end_task(task, ExitCause::Done);
            }
        }
        harness.heartbeat(&mut bad);
        let running = bad.unfinished_tasks();
        for task in &running {
            bad.end_task(task, ExitCause::Error);
        }
        harness.advance(500);
        if done == 6 {
            break;
        }
    }
    assert_eq!(done, 6);
    assert!(harness.now - begun < ms(12_000), "{:?}", harness.now - begun);
    let mut gone = Vec::new();
    for _ in 0..20 {
        harness.heartbeat(&mut bad);
        harness.advance(500);
        gone.extend(harness.requested_deletions());
    }
    assert!(gone.contains(&"m-1".to_owned()), "{gone:?}");
}
