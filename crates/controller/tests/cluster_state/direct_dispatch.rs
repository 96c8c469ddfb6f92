//! Direct dispatch: commands sent straight to a worker may arrive late, twice or never.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_clients::Delivery;
use hookway_testkit::ScriptedWorker;
use hookway_wire::{DirectCommands, ExitCause, JobId, JobSpec, JobState};

/// A task that was just dispatched directly to an idle machine.
fn dispatched_task(harness: &mut LeaderHarness, worker: &mut ScriptedWorker) -> DirectCommands {
    harness.run_rounds(&mut [worker]);
    harness.submit(job("req-000001", "array", 1));
    harness.advance(1_000);
    let start = harness.cluster.take_direct_starts(harness.now).pop().expect("a direct start");
    assert_eq!(start.machine, "m-1");
    start.commands
}

#[test]
fn direct_dispatch_starts_task_on_idle_machine() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.handle_direct_commands(&commands).expect("the worker executes the command");
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    assert_eq!(worker.unfinished_tasks(), ["req-000001/0"]);
    harness.run_rounds(&mut [&mut worker]);
    assert_eq!(worker.started_attempts.len(), 1);
    assert_eq!(harness.job_state(&JobId::parse("req-000001").expect("an id")), JobState::Running);
}

#[test]
fn duplicated_direct_dispatch_does_not_rerun_task() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.handle_direct_commands(&commands).expect("the worker executes the command");
    // The task ends, and its heartbeat arrives before the response to the command is read.
    worker.end_task("req-000001/0", ExitCause::Done);
    harness.run_rounds(&mut [&mut worker]);
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    harness.run_rounds(&mut [&mut worker]);
    assert_eq!(
        worker.unfinished_tasks().len() + worker.heartbeat().tasks.len(),
        0,
        "the task ended and was reaped"
    );
    // After `reap` the worker would start the attempt again: only its higher fencing token prevents this.
    assert_eq!(worker.handle_direct_commands(&commands), None);
    assert_eq!(worker.started_attempts.len(), 1);
}

#[test]
fn unacknowledged_direct_dispatch_holds_placement_until_fenced() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
    // No response arrives: the command may be delayed in the network for minutes.
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Indeterminate,
        harness.now,
    );
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "the delayed command may still start it on m-1");
    // The next response raises the fencing token of m-1, and the heartbeat after it proves that.
    harness.heartbeat(&mut worker);
    assert!(worker.fencing_token > commands.fencing_token);
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(
        other.started_attempts,
        [],
        "the heartbeat was sent before the higher fencing token arrived"
    );
    harness.now += ms(5_000);
    harness.run_rounds(&mut [&mut worker]);
    assert_eq!(worker.handle_direct_commands(&commands), None, "the delayed command is refused");
    assert_eq!(worker.started_attempts.len() + other.started_attempts.len(), 1);
}

#[test]
fn undelivered_direct_dispatch_is_rescheduled_at_once() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
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
        "a command that was not sent holds no placement"
    );
}

#[test]
fn heartbeat_overtaken_by_direct_dispatch_is_answered_without_effect() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    // The worker sends a heartbeat just before the command arrives; it is received after the command's
    // response.
    let overtaken = worker.heartbeat();
    let heartbeat =
        worker.handle_direct_commands(&commands).expect("the worker executes the command");
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    let response = harness
        .cluster
        .handle_heartbeat(&overtaken, harness.now)
        .expect("an overtaken heartbeat gets a response");
    worker.handle_response(&response);
    harness.run_rounds(&mut [&mut worker]);
    assert_eq!(
        worker.started_attempts.len(),
        1,
        "the heartbeat without the task discards no placement"
    );
    assert_eq!(
        harness.cluster.handle_heartbeat(&overtaken, harness.now),
        None,
        "a duplicate gets no response"
    );
}

#[test]
fn direct_response_without_task_does_not_discard_pending_start() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.run_rounds(&mut [&mut worker]);
    harness.submit(job("req-000001", "array", 1));
    harness.advance(1_000);
    // The start is in a delayed response; meanwhile the response to a direct command is a heartbeat that
    // lacks the task.
    let heartbeat = worker.heartbeat();
    let response = harness.cluster.handle_heartbeat(&heartbeat, harness.now).expect("a response");
    assert_eq!(response.commands.len(), 1);
    let heartbeat_without_task = worker.heartbeat();
    harness.cluster.direct_start_sent(
        "m-1",
        1,
        Delivery::Executed(heartbeat_without_task),
        harness.now,
    );
    for _ in 0..6 {
        harness.heartbeat(&mut other);
        harness.advance(800);
    }
    assert_eq!(other.started_attempts, [], "the delayed response may still start it on m-1");
    worker.handle_response(&response);
    harness.run_rounds(&mut [&mut worker, &mut other]);
    assert_eq!((worker.started_attempts.len(), other.started_attempts.len()), (1, 0));
}

#[test]
fn rejected_direct_dispatch_holds_placement_until_heartbeat_proves_absence() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
    // A duplicate of the command is executed; then the worker takes a response with a higher fencing token,
    // and rejects the command itself.
    worker.handle_direct_commands(&commands).expect("the worker executes the command");
    worker.fencing_token += 1;
    assert_eq!(worker.handle_direct_commands(&commands), None);
    harness.cluster.direct_start_sent(
        "m-1",
        commands.fencing_token,
        Delivery::Refused,
        harness.now,
    );
    harness.run_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "a duplicate was executed: the task runs on m-1");
    harness.run_rounds(&mut [&mut worker, &mut other]);
    assert_eq!((worker.unfinished_tasks().len(), other.started_attempts.len()), (1, 0));
}

/// Whether a new job's task starts on m-1 with the next heartbeats.
fn takes_new_task(harness: &mut LeaderHarness, worker: &mut ScriptedWorker) -> bool {
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000002", "array", 1) });
    harness.advance(100);
    harness.heartbeat(worker);
    worker.unfinished_tasks().iter().any(|task| task.starts_with("req-000002"))
}

/// What happened (seed 62 of the election days): a replica that moved found the room that was cleared for it free after
/// 1.5 s and started 4 s later, since its machine counted as unreachable. Its worker had answered the last start; the
/// sender's time limit, which expired afterwards, was taken for the outcome. Evidence: m-4 executed the dispatch of
/// 256.8 s at 256.9 s, its time limit expired at 258.2 s, and from then to 262.2 s the machine had a `backoff_until` of
/// 262.2 s, one free CPU and a reservation for the replica's job, and took nothing.
#[test]
fn time_limit_after_answer_of_direct_dispatch_keeps_machine_open() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.handle_direct_commands(&commands).expect("the worker executes the command");
    for delivery in [Delivery::Executed(heartbeat), Delivery::Indeterminate] {
        harness.cluster.direct_start_sent("m-1", commands.fencing_token, delivery, harness.now);
    }
    assert!(takes_new_task(&mut harness, &mut worker));
}

/// The same if the answer is lost and a heartbeat shows the started task before the time limit expires.
#[test]
fn time_limit_after_heartbeat_that_shows_the_start_keeps_machine_open() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    worker.handle_direct_commands(&commands).expect("the worker executes the command");
    harness.heartbeat(&mut worker);
    let token = commands.fencing_token;
    harness.cluster.direct_start_sent("m-1", token, Delivery::Indeterminate, harness.now);
    assert!(takes_new_task(&mut harness, &mut worker));
}

#[test]
fn time_limit_without_any_answer_closes_machine_for_a_while() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let token = commands.fencing_token;
    harness.cluster.direct_start_sent("m-1", token, Delivery::Indeterminate, harness.now);
    assert!(!takes_new_task(&mut harness, &mut worker));
}

/// An outcome ends the dispatch that it is of and no later one, of which two must never be in flight at a time.
#[test]
fn repeated_outcome_does_not_end_later_dispatch() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.handle_direct_commands(&commands).expect("the worker executes the command");
    let first = commands.fencing_token;
    let executed = Delivery::Executed(heartbeat);
    harness.cluster.direct_start_sent("m-1", first, executed.clone(), harness.now);
    harness.submit(JobSpec { cpus: 0.5, ..job("req-000002", "array", 1) });
    harness.advance(1_000);
    assert_eq!(harness.cluster.take_direct_starts(harness.now).len(), 1);
    harness.cluster.direct_start_sent("m-1", first, executed, harness.now);
    harness.submit(JobSpec { cpus: 0.5, ..job("req-000003", "array", 1) });
    harness.advance(1_000);
    assert_eq!(harness.cluster.take_direct_starts(harness.now), [], "one is in flight");
}
