use super::*;
use crate::test_support::job;

#[test]
fn queue_orders_new_jobs_then_deadlines_up_to_min_tasks_then_rest() {
    let due = Some(1000.0);
    let old = JobView { submitted: 1.0, deadline: due, ..job(1.0, 10) };
    let new = JobView { submitted: 2.0, deadline: due, ..job(1.0, 10) };
    let started = |due: f64| JobView {
        completed: 2,
        unfinished: 8,
        startable: 6,
        placed: 2,
        mean_task_time: Some(10.0),
        deadline: Some(due),
        ..job(1.0, 10)
    };
    let jobs = vec![new, started(40.0), old, started(20.0)];
    let list = scheduling_queue(&jobs, 0.0, 1000.0);
    let needed: Vec<(usize, u32)> =
        list.iter().filter(|t| !t.leftover).map(|t| (t.job, t.tasks)).collect();
    // 10 s x 8 / 20 s = 4, two run; 10 s x 8 / 40 s = 2, two run: nothing short.
    assert_eq!(needed, [(2, 1), (0, 1), (3, 2)]);
    let left: Vec<usize> = list.iter().filter(|t| t.leftover).map(|t| t.job).collect();
    assert_eq!(left, [3, 1, 2, 0], "least work left first, equal work in the order above");
    let mut jobs = jobs;
    jobs[1].startable = 3;
    jobs[3].deadline = Some(-1.0);
    let left: Vec<usize> =
        scheduling_queue(&jobs, 0.0, 1000.0).iter().filter(|t| t.leftover).map(|t| t.job).collect();
    assert_eq!(left, [1, 2, 0, 3], "less work goes first, a late job last");
}

/// A job that has one task done and needs `unfinished` more by `due`.
fn started(unfinished: u32, due: f64) -> JobView {
    JobView {
        completed: 1,
        unfinished,
        startable: unfinished,
        mean_task_time: Some(10.0),
        deadline: Some(due),
        ..job(1.0, unfinished + 1)
    }
}

#[test]
fn infeasible_deadlines_favor_jobs_with_smallest_demand() {
    // Minimums 10, 8 and 2 on 10 CPUs: the first, due earliest, would make the others late.
    let jobs = vec![started(10, 10.0), started(16, 20.0), started(4, 20.0)];
    let first = |capacity| scheduling_queue(&jobs, 0.0, capacity)[0].job;
    assert_eq!(first(20.0), 0, "room for all: earliest deadline first");
    assert_eq!(first(10.0), 1, "the two that fit go before the one that does not");
}

#[test]
fn late_job_takes_no_resources_from_jobs_that_can_meet_their_deadline() {
    // The design's weak spot: under one mean task time left, the minimum is all 100 tasks.
    let jobs = vec![started(100, 9.0), started(4, 20.0)];
    assert_eq!(min_tasks(&jobs[0], 0.0), 100);
    assert_eq!(scheduling_queue(&jobs, 0.0, 50.0)[0].job, 1);
}

#[test]
fn long_waiting_job_is_not_starved() {
    // A late job, a fresh one each second that would take all there is.
    let mut late = started(500, 5.0);
    late.submitted = 0.0;
    let now = constants::AGING_S + 1.0;
    let mut jobs = vec![late];
    jobs.extend((0..50).map(|_| JobView { submitted: now - 1.0, ..started(10, now + 15.0) }));
    let list = scheduling_queue(&jobs, now, 100.0);
    assert_eq!((list[0].job, list[0].tasks), (0, 15), "a part of the room is its own");
    assert_ne!(scheduling_queue(&jobs, 20.0, 100.0)[0].job, 0, "before the bound it yields");
}

#[test]
fn gang_that_can_start_in_time_precedes_late_gang_until_start_bound() {
    let gang = |submitted: f64| JobView {
        gang: true,
        submitted,
        start_by: vec![submitted + 25.0, submitted + 40.0],
        ..job(1.0, 4)
    };
    let jobs = vec![gang(0.0), gang(50.0), gang(20.0)];
    let order = |now| scheduling_queue(&jobs, now, 100.0).iter().map(|t| t.job).collect::<Vec<_>>();
    assert_eq!(order(60.0), [1, 2, 0], "in time; in time for the looser aim only; for none");
    let late = 1.0 + constants::START_DEADLINE_S;
    assert_eq!(order(late)[0], 0, "beyond the bound the oldest goes first");
}

/// A part of a gang that waits on machines holds them for nothing, and gives up soon.
#[test]
fn partially_placed_gang_precedes_older_gangs() {
    let gang = |submitted: f64, running: u32| JobView {
        gang: true,
        submitted,
        placed: running,
        startable: 8 - running,
        ..job(1.0, 8)
    };
    let jobs = vec![gang(1.0, 0), gang(5.0, 3), gang(2.0, 0)];
    let list = scheduling_queue(&jobs, 10.0, 1000.0);
    let order: Vec<(usize, u32)> = list.iter().map(|t| (t.job, t.tasks)).collect();
    assert_eq!(order, [(1, 5), (0, 8), (2, 8)]);
    let higher = JobView { priority: hookway_wire::Priority::Production, ..gang(9.0, 0) };
    let list = scheduling_queue(&[jobs[1].clone(), higher], 10.0, 1000.0);
    assert_eq!(list[0].job, 1, "priority comes first");
}
