use super::*;
use crate::test_support::job;

#[test]
fn min_tasks_matches_closed_form() {
    let mut j = job(1.0, 40);
    j.placed = 7;
    assert_eq!(min_tasks(&j, 0.0), 7, "nothing finished: the running count");
    j.mean_task_time = Some(20.0);
    j.completed = 1;
    j.unfinished = 39;
    j.deadline = Some(100.0);
    assert_eq!(min_tasks(&j, 0.0), 8, "20 s x 39 / 100 s = 7.8");
    assert_eq!(min_tasks(&j, 85.0), 39, "less than one task time left");
    assert_eq!(min_tasks(&j, 120.0), 39, "late");
    j.deadline = None;
    assert_eq!(min_tasks(&j, 0.0), 0);
    j.daemon = true;
    assert_eq!(min_tasks(&j, 0.0), 39, "what runs until it is withdrawn is wanted whole");
}

#[test]
fn min_tasks_record_is_rewritten_after_change_of_one_quarter() {
    assert!(min_tasks_need_rewrite(None, 3));
    assert!(!min_tasks_need_rewrite(Some(8), 9));
    assert!(min_tasks_need_rewrite(Some(8), 10));
    assert!(min_tasks_need_rewrite(Some(8), 6));
    assert!(!min_tasks_need_rewrite(Some(0), 0));
}
