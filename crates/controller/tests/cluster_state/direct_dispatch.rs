//! Direct dispatch: commands sent straight to a worker may arrive late, twice or never.

use crate::harness::{LeaderHarness, job, ms, small_worker};
use hookway_clients::Delivery;
use hookway_testkit::ScriptedWorker;
use hookway_wire::{DirectCommands, ExitCause, JobId, JobSpec, JobState};

/// Submits a job of one task and returns the direct commands that start it on the idle machine m-1.
fn dispatched_task(harness: &mut LeaderHarness, worker: &mut ScriptedWorker) -> DirectCommands {
    harness.run_four_rounds(&mut [worker]);
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
        worker.execute_direct_commands(&commands).expect("the worker executes the command");
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    assert_eq!(worker.unfinished_tasks(), ["req-000001/0"]);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.started_attempts.len(), 1);
    assert_eq!(harness.job_state(&JobId::parse("req-000001").expect("an id")), JobState::Running);
}

#[test]
fn duplicated_direct_dispatch_does_not_rerun_task() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.execute_direct_commands(&commands).expect("the worker executes the command");
    // The task ends, and its heartbeat arrives before the response to the command is read.
    worker.end_task("req-000001/0", ExitCause::Done);
    harness.run_four_rounds(&mut [&mut worker]);
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(
        worker.unfinished_tasks().len() + worker.heartbeat().tasks.len(),
        0,
        "the task ended and was reaped"
    );
    // Having reaped the attempt, the worker no longer knows it: only its higher fencing token keeps it
    // from starting the attempt again.
    assert_eq!(worker.execute_direct_commands(&commands), None);
    assert_eq!(worker.started_attempts.len(), 1);
}

#[test]
fn unacknowledged_direct_dispatch_holds_placement_until_fenced() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
    // No response arrives: the command may be delayed in the network for minutes.
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::Indeterminate,
        harness.now,
    );
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "the delayed command may still start the task on m-1");
    // The next response raises the fencing token of m-1; only the heartbeat after it proves that.
    harness.heartbeat(&mut worker);
    assert!(worker.fencing_token > commands.fencing_token);
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(
        other.started_attempts,
        [],
        "the heartbeat was sent before the higher fencing token arrived"
    );
    harness.now += ms(5_000);
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.execute_direct_commands(&commands), None, "the delayed command is refused");
    assert_eq!(worker.started_attempts.len() + other.started_attempts.len(), 1);
}

#[test]
fn undelivered_direct_dispatch_is_rescheduled_at_once() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::NotSent,
        harness.now,
    );
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(
        other.unfinished_tasks(),
        ["req-000001/0"],
        "a command that was not sent does not hold the placement"
    );
}

#[test]
fn heartbeat_overtaken_by_direct_dispatch_is_answered_without_effect() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    // The worker sends a heartbeat just before the command arrives; the leader receives that heartbeat
    // after the response to the command.
    let overtaken = worker.heartbeat();
    let heartbeat =
        worker.execute_direct_commands(&commands).expect("the worker executes the command");
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::Executed(heartbeat),
        harness.now,
    );
    let response = harness
        .cluster
        .handle_heartbeat(&overtaken, harness.now)
        .expect("an overtaken heartbeat gets a response");
    worker.execute_response(&response);
    harness.run_four_rounds(&mut [&mut worker]);
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
    harness.run_four_rounds(&mut [&mut worker]);
    harness.submit(job("req-000001", "array", 1));
    harness.advance(1_000);
    // The start command is in a heartbeat response that is delayed; meanwhile the worker answers a
    // direct command with a heartbeat that lacks the task.
    let heartbeat = worker.heartbeat();
    let response = harness.cluster.handle_heartbeat(&heartbeat, harness.now).expect("a response");
    assert_eq!(response.commands.len(), 1);
    let heartbeat_without_task = worker.heartbeat();
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        1,
        Delivery::Executed(heartbeat_without_task),
        harness.now,
    );
    for _ in 0..6 {
        harness.heartbeat(&mut other);
        harness.advance(800);
    }
    assert_eq!(other.started_attempts, [], "the delayed response may still start the task on m-1");
    worker.execute_response(&response);
    harness.run_four_rounds(&mut [&mut worker, &mut other]);
    assert_eq!((worker.started_attempts.len(), other.started_attempts.len()), (1, 0));
}

#[test]
fn rejected_direct_dispatch_holds_placement_until_heartbeat_proves_absence() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut other) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let commands = dispatched_task(&mut harness, &mut worker);
    // A duplicate of the command is executed; then the worker receives a response with a higher fencing
    // token, and rejects the command itself.
    worker.execute_direct_commands(&commands).expect("the worker executes the command");
    worker.fencing_token += 1;
    assert_eq!(worker.execute_direct_commands(&commands), None);
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        commands.fencing_token,
        Delivery::Refused,
        harness.now,
    );
    harness.run_four_rounds(&mut [&mut other]);
    assert_eq!(other.started_attempts, [], "a duplicate was executed: the task runs on m-1");
    harness.run_four_rounds(&mut [&mut worker, &mut other]);
    assert_eq!((worker.unfinished_tasks().len(), other.started_attempts.len()), (1, 0));
}

/// Submits another job, and returns whether `worker`, that of m-1, starts its task after one scheduling round.
fn starts_new_task(harness: &mut LeaderHarness, worker: &mut ScriptedWorker) -> bool {
    harness.submit(JobSpec { cpus: 1.0, ..job("req-000002", "array", 1) });
    harness.advance(100);
    harness.heartbeat(worker);
    worker.unfinished_tasks().iter().any(|task| task.starts_with("req-000002"))
}

/// Guards against a reachable machine that counts as unreachable and gets no task for 4 s (simulation with election
/// faults, seed 62). Its worker had executed a direct dispatch and responded within 0.1 s. The sender's timeout
/// expired 1.3 s later and was recorded as the outcome of the same dispatch, so the machine backed off; a
/// relocated replica, for which capacity on it had been freed, started 4 s late.
#[test]
fn timeout_after_direct_dispatch_response_does_not_back_off_machine() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.execute_direct_commands(&commands).expect("the worker executes the command");
    for delivery in [Delivery::Executed(heartbeat), Delivery::Indeterminate] {
        harness.cluster.apply_direct_dispatch_outcome(
            "m-1",
            commands.fencing_token,
            delivery,
            harness.now,
        );
    }
    assert!(starts_new_task(&mut harness, &mut worker));
}

/// The same case with a lost response: a heartbeat shows the started task before the timeout expires.
#[test]
fn timeout_after_heartbeat_with_dispatched_task_does_not_back_off_machine() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    worker.execute_direct_commands(&commands).expect("the worker executes the command");
    harness.heartbeat(&mut worker);
    let token = commands.fencing_token;
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        token,
        Delivery::Indeterminate,
        harness.now,
    );
    assert!(starts_new_task(&mut harness, &mut worker));
}

#[test]
fn timeout_without_response_or_heartbeat_backs_off_machine() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let token = commands.fencing_token;
    harness.cluster.apply_direct_dispatch_outcome(
        "m-1",
        token,
        Delivery::Indeterminate,
        harness.now,
    );
    assert!(!starts_new_task(&mut harness, &mut worker));
}

/// An outcome that is reported twice ends only its own dispatch: were it to end a later one too, two
/// dispatches to one machine could be in flight at the same time.
#[test]
fn repeated_outcome_does_not_end_later_dispatch() {
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    let commands = dispatched_task(&mut harness, &mut worker);
    let heartbeat =
        worker.execute_direct_commands(&commands).expect("the worker executes the command");
    let first = commands.fencing_token;
    let executed = Delivery::Executed(heartbeat);
    harness.cluster.apply_direct_dispatch_outcome("m-1", first, executed.clone(), harness.now);
    harness.submit(JobSpec { cpus: 0.5, ..job("req-000002", "array", 1) });
    harness.advance(1_000);
    assert_eq!(harness.cluster.take_direct_starts(harness.now).len(), 1);
    harness.cluster.apply_direct_dispatch_outcome("m-1", first, executed, harness.now);
    harness.submit(JobSpec { cpus: 0.5, ..job("req-000003", "array", 1) });
    harness.advance(1_000);
    assert_eq!(
        harness.cluster.take_direct_starts(harness.now),
        [],
        "one dispatch is still in flight"
    );
}
