use super::*;
use crate::test_support::job;

#[test]
fn queue_orders_new_jobs_then_deadlines_up_to_min_tasks_then_rest() {
    let deadline = Some(1000.0);
    let old = JobView { submitted: 1.0, deadline, ..job(1.0, 10) };
    let new = JobView { submitted: 2.0, deadline, ..job(1.0, 10) };
    let started = |deadline: f64| JobView {
        completed: 2,
        unfinished: 8,
        startable: 6,
        placed: 2,
        mean_task_time: Some(10.0),
        deadline: Some(deadline),
        ..job(1.0, 10)
    };
    let jobs = vec![new, started(40.0), old, started(20.0)];
    let queue = scheduling_queue(&jobs, 0.0, 1000.0);
    let up_to_minimum: Vec<(usize, u32)> = queue
        .iter()
        .filter(|entry| !entry.is_backfill)
        .map(|entry| (entry.job, entry.tasks))
        .collect();
    // Minimum by 20 s: 10 s x 8 / 20 s = 4, of which two are placed. By 40 s: 10 s x 8 / 40 s = 2, both placed.
    assert_eq!(up_to_minimum, [(2, 1), (0, 1), (3, 2)]);
    let backfill: Vec<usize> =
        queue.iter().filter(|entry| entry.is_backfill).map(|entry| entry.job).collect();
    assert_eq!(
        backfill,
        [3, 1, 2, 0],
        "least work left first, with equal work in the order of the groups"
    );
    let mut jobs = jobs;
    jobs[1].startable = 3;
    jobs[3].deadline = Some(-1.0);
    let backfill: Vec<usize> = scheduling_queue(&jobs, 0.0, 1000.0)
        .iter()
        .filter(|entry| entry.is_backfill)
        .map(|entry| entry.job)
        .collect();
    assert_eq!(backfill, [1, 2, 0, 3], "least work left first, the late job last");
}

/// Returns an array with one completed task, and `unfinished` others that should complete by `deadline`.
fn started(unfinished: u32, deadline: f64) -> JobView {
    JobView {
        completed: 1,
        unfinished,
        startable: unfinished,
        mean_task_time: Some(10.0),
        deadline: Some(deadline),
        ..job(1.0, unfinished + 1)
    }
}

#[test]
fn infeasible_deadlines_favor_jobs_with_smallest_demand() {
    // Minimums of 10, 8 and 2 CPUs: on 10 CPUs the job with the earliest deadline would use all of them and make the
    // other two late.
    let jobs = vec![started(10, 10.0), started(16, 20.0), started(4, 20.0)];
    let first_job = |capacity| scheduling_queue(&jobs, 0.0, capacity)[0].job;
    assert_eq!(first_job(20.0), 0, "enough CPUs for all: earliest deadline first");
    assert_eq!(first_job(10.0), 1, "the two feasible jobs precede the infeasible one");
}

#[test]
fn late_job_takes_no_resources_from_jobs_that_can_meet_their_deadline() {
    // With less than one mean task time left, the minimum is all 100 tasks.
    let jobs = vec![started(100, 9.0), started(4, 20.0)];
    assert_eq!(min_tasks(&jobs[0], 0.0), 100);
    assert_eq!(scheduling_queue(&jobs, 0.0, 50.0)[0].job, 1);
}

#[test]
fn long_waiting_job_is_not_starved() {
    // One late job, and 50 newer ones that could use all CPUs.
    let mut late = started(500, 5.0);
    late.submitted = 0.0;
    let now = constants::AGING_THRESHOLD_S + 1.0;
    let mut jobs = vec![late];
    jobs.extend((0..50).map(|_| JobView { submitted: now - 1.0, ..started(10, now + 15.0) }));
    let queue = scheduling_queue(&jobs, now, 100.0);
    assert_eq!(
        (queue[0].job, queue[0].tasks),
        (0, 15),
        "AGING_CPU_SHARE of 100 CPUs go to the aged job"
    );
    assert_ne!(
        scheduling_queue(&jobs, 20.0, 100.0)[0].job,
        0,
        "before AGING_THRESHOLD_S the late job comes after the others"
    );
}

#[test]
fn gang_that_can_start_in_time_precedes_late_gang_until_start_objective_limit() {
    let gang = |submitted: f64| JobView {
        is_gang: true,
        submitted,
        start_objectives: vec![submitted + 25.0, submitted + 40.0],
        ..job(1.0, 4)
    };
    let jobs = vec![gang(0.0), gang(50.0), gang(20.0)];
    let order =
        |now| scheduling_queue(&jobs, now, 100.0).iter().map(|entry| entry.job).collect::<Vec<_>>();
    assert_eq!(order(60.0), [1, 2, 0], "both start objectives can be met, one of them, none");
    let after_limit = 1.0 + constants::START_OBJECTIVE_LIMIT_S;
    assert_eq!(order(after_limit)[0], 0, "after START_OBJECTIVE_LIMIT_S the oldest goes first");
}

/// The placed tasks of a partially placed gang hold resources without doing work, and the workers end them after a
/// time limit, so the gang must be completed before another one begins.
#[test]
fn partially_placed_gang_precedes_older_gangs() {
    let gang = |submitted: f64, placed: u32| JobView {
        is_gang: true,
        submitted,
        placed,
        startable: 8 - placed,
        ..job(1.0, 8)
    };
    let jobs = vec![gang(1.0, 0), gang(5.0, 3), gang(2.0, 0)];
    let queue = scheduling_queue(&jobs, 10.0, 1000.0);
    let order: Vec<(usize, u32)> = queue.iter().map(|entry| (entry.job, entry.tasks)).collect();
    assert_eq!(order, [(1, 5), (0, 8), (2, 8)]);
    let higher_priority = JobView { priority: hookway_wire::Priority::Production, ..gang(9.0, 0) };
    let queue = scheduling_queue(&[jobs[1].clone(), higher_priority], 10.0, 1000.0);
    assert_eq!(queue[0].job, 1, "priority precedes partial placement");
}
