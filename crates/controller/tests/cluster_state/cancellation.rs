//! Cancellation: a job gets one final state, and every later leader stops its tasks.

use crate::harness::{LeaderHarness, at, job, one_running_task, small_worker};
use hookway_controller::cluster_state::{JobOrigin, Timestamp};
use hookway_controller::records::{JobRecord, job_key};
use hookway_time::WallTime;
use hookway_wire::{ExitCause, JobState};

#[test]
fn concurrent_cancellation_and_completion_have_one_outcome() {
    for cancel_first in [true, false] {
        let (mut harness, mut worker, id) = one_running_task();
        worker.end_task("req-000001/0", ExitCause::Done);
        let heartbeat = worker.heartbeat();
        if cancel_first {
            harness.cluster.cancel(&id);
            harness.cluster.handle_heartbeat(&heartbeat, harness.now);
        } else {
            harness.cluster.handle_heartbeat(&heartbeat, harness.now);
            harness.cluster.cancel(&id);
        }
        harness.commit_pending();
        let completed_jobs = harness.cluster.take_completed_jobs();
        assert_eq!(completed_jobs.len(), 1, "the job gets one final state");
        let state = if cancel_first { JobState::Cancelled } else { JobState::Done };
        assert_eq!(completed_jobs[0].record.state, state);
    }
}

#[test]
fn cancelled_job_is_stopped_and_never_restarted() {
    let mut harness = LeaderHarness::start();
    let (mut worker, mut idle_worker) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    let id = harness.submit(job("req-000001", "array", 5));
    harness.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 1);
    harness.cluster.cancel(&id);
    harness.commit_pending();
    harness.run_four_rounds(&mut [&mut worker, &mut idle_worker]);
    assert_eq!(
        (
            worker.unfinished_tasks().len(),
            worker.started_attempts.len(),
            idle_worker.started_attempts.len()
        ),
        (0, 1, 0)
    );
    // A delayed watch event delivers the job's record again.
    let record = JobRecord {
        spec: job("req-000001", "array", 5),
        accepted_at_ms: 0,
        has_start_watermark: true,
    };
    let value = serde_json::to_value(record).expect("a job record that serializes");
    let delivered_at = Timestamp { monotonic: harness.now, wall: WallTime::default() };
    harness.cluster.add_job(&job_key(&id), value, delivered_at, JobOrigin::ThisTerm);
    harness.run_four_rounds(&mut [&mut worker, &mut idle_worker]);
    assert_eq!((worker.started_attempts.len(), idle_worker.started_attempts.len()), (1, 0));
}

#[test]
fn new_leader_stops_tasks_of_finished_jobs() {
    let (mut harness, mut worker, id) = one_running_task();
    harness.cluster.cancel(&id);
    harness.commit_pending();
    let mut next = LeaderHarness::with_term(harness.store.clone(), 2, at(9_000));
    next.run_four_rounds(&mut [&mut worker]);
    assert_eq!(worker.unfinished_tasks().len(), 0);
}
