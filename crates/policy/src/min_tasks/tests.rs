use super::*;
use crate::test_support::job;

#[test]
fn min_tasks_matches_closed_form() {
    let mut array = job(1.0, 40);
    array.placed = 7;
    assert_eq!(min_tasks(&array, 0.0), 7, "no task has completed: the number of placed tasks");
    array.mean_task_time = Some(20.0);
    array.completed = 1;
    array.unfinished = 39;
    array.deadline = Some(100.0);
    assert_eq!(min_tasks(&array, 0.0), 8, "20 s x 39 / 100 s = 7.8");
    assert_eq!(min_tasks(&array, 85.0), 39, "less than one task time left: all unfinished tasks");
    assert_eq!(min_tasks(&array, 120.0), 39, "the deadline has passed: all unfinished tasks");
    array.deadline = None;
    assert_eq!(min_tasks(&array, 0.0), 0, "no deadline: no minimum");
    array.is_daemon = true;
    assert_eq!(min_tasks(&array, 0.0), 39, "the minimum of a daemon is all its replicas");
}

#[test]
fn min_tasks_record_is_rewritten_after_change_of_one_quarter() {
    assert!(should_rewrite_min_tasks(None, 3), "no minimum is stored yet");
    assert!(!should_rewrite_min_tasks(Some(8), 9));
    assert!(should_rewrite_min_tasks(Some(8), 10));
    assert!(should_rewrite_min_tasks(Some(8), 6));
    assert!(!should_rewrite_min_tasks(Some(0), 0));
}
