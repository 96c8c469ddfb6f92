//! Direct dispatch: commands sent straight to a worker may arrive late, twice or never.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_clients::Delivery;
use hookway_testkit::ScriptedWorker;
use hookway_wire::{DirectCommands, ExitCause, JobId, JobState};

/// A task that was just dispatched directly to an idle machine.
fn dispatched_task(harness: &mut LeaderHarness, w: &mut ScriptedWorker) -> DirectCommands {
    harness.run_rounds(&mut [w]);
    harness.submit(job("req-000001", "array", 1));
    harness.advance(1_000);
    let start = harness.cluster.take_direct_starts(harness.now).pop().expect("a start");
    assert_eq!(start.machine, "m-1");
    start.commands
}

#[test]
fn direct_dispatch_starts_task_on_idle_machine() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut w);
    let report = w.handle_direct_commands(&commands).expect("carried out");
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(report),
        harness.now,
    );
    assert_eq!(w.unfinished_tasks(), ["req-000001/0"]);
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.started_attempts.len(), 1);
    assert_eq!(harness.job_state(&JobId::parse("req-000001").expect("an id")), JobState::Running);
}

#[test]
fn duplicated_direct_dispatch_does_not_rerun_task() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut w);
    let report = w.handle_direct_commands(&commands).expect("carried out");
    // The task ends, and its heartbeat arrives before the response to the command is read.
    w.end_task("req-000001/0", ExitCause::Done);
    harness.run_rounds(&mut [&mut w]);
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(report),
        harness.now,
    );
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(
        w.unfinished_tasks().len() + w.heartbeat().tasks.len(),
        0,
        "done, and forgotten by the worker"
    );
    // After `reap` the worker would start the attempt again: only its higher fencing token prevents this.
    assert_eq!(w.handle_direct_commands(&commands), None);
    assert_eq!(w.started_attempts.len(), 1);
}

#[test]
fn unacknowledged_direct_dispatch_holds_placement_until_fenced() {
    let mut harness = LeaderHarness::start();
    let (mut w, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut w);
    // No response arrives: the command may be delayed in the network for minutes.
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Indeterminate,
        harness.now,
    );
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "it may still start on m-1");
    // The next response raises the fencing token of m-1, and the heartbeat after it proves that.
    harness.heartbeat(&mut w);
    assert!(w.fencing_token > commands.fencing_token);
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(
        other.started_attempts,
        [],
        "the worker had not seen the higher token when it reported"
    );
    harness.now += ms(5_000);
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.handle_direct_commands(&commands), None, "the late command is refused");
    assert_eq!(w.started_attempts.len() + other.started_attempts.len(), 1);
}

#[test]
fn undelivered_direct_dispatch_is_rescheduled_at_once() {
    let mut harness = LeaderHarness::start();
    let (mut w, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut w);
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::NotSent,
        harness.now,
    );
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(
        other.unfinished_tasks(),
        ["req-000001/0"],
        "a machine that can't be reached keeps nobody waiting"
    );
}

#[test]
fn heartbeat_overtaken_by_direct_dispatch_is_answered_without_effect() {
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut w);
    // The worker sends a heartbeat just before the command arrives; it is received after the command's
    // response.
    let late = w.heartbeat();
    let report = w.handle_direct_commands(&commands).expect("carried out");
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(report),
        harness.now,
    );
    let answer =
        harness.cluster.handle_heartbeat(&late, harness.now).expect("the worker waits for it");
    w.handle_response(&answer);
    harness.run_rounds(&mut [&mut w]);
    assert_eq!(w.started_attempts.len(), 1, "the task that the report lacks is still there");
    assert_eq!(
        harness.cluster.handle_heartbeat(&late, harness.now),
        None,
        "a copy of it is not answered"
    );
}

#[test]
fn direct_response_without_task_does_not_discard_pending_start() {
    let mut harness = LeaderHarness::start();
    let (mut w, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.run_rounds(&mut [&mut w]);
    harness.submit(job("req-000001", "array", 1));
    harness.advance(1_000);
    // The start is in a delayed response; meanwhile a directly dispatched command is answered with a
    // heartbeat that lacks the task.
    let report = w.heartbeat();
    let answer = harness.cluster.handle_heartbeat(&report, harness.now).expect("an answer");
    assert_eq!(answer.commands.len(), 1);
    let between = w.heartbeat();
    harness.cluster.direct_start_sent("m-1", 1, Delivery::Executed(between), harness.now);
    for _ in 0..6 {
        harness.heartbeat(&mut other);
        harness.advance(800);
    }
    assert_eq!(other.started_attempts, [], "the answer may still arrive");
    w.handle_response(&answer);
    harness.run_rounds(&mut [&mut w, &mut other]);
    assert_eq!((w.started_attempts.len(), other.started_attempts.len()), (1, 0));
}

#[test]
fn rejected_direct_dispatch_holds_placement_until_heartbeat_proves_absence() {
    let mut harness = LeaderHarness::start();
    let (mut w, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut w);
    // A duplicate of the command is executed; then the worker takes a response with a higher fencing token,
    // and rejects the command itself.
    w.handle_direct_commands(&commands).expect("carried out");
    w.fencing_token += 1;
    assert_eq!(w.handle_direct_commands(&commands), None);
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Refused,
        harness.now,
    );
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "it runs on m-1");
    harness.run_rounds(&mut [&mut w, &mut other]);
    assert_eq!((w.unfinished_tasks().len(), other.started_attempts.len()), (1, 0));
}
