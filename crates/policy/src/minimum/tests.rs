use super::*;
use crate::place::tests::job;

#[test]
fn min_tasks_matches_closed_form() {
    let mut j = job(1.0, 40);
    j.running = 7;
    assert_eq!(minimum(&j, 0.0), 7, "nothing finished: the running count");
    j.mean = Some(20.0);
    j.finished = 1;
    j.unfinished = 39;
    j.due = Some(100.0);
    assert_eq!(minimum(&j, 0.0), 8, "20 s x 39 / 100 s = 7.8");
    assert_eq!(minimum(&j, 85.0), 39, "less than one task time left");
    assert_eq!(minimum(&j, 120.0), 39, "late");
    j.due = None;
    assert_eq!(minimum(&j, 0.0), 0);
    j.daemon = true;
    assert_eq!(minimum(&j, 0.0), 39, "what runs until it is withdrawn is wanted whole");
}

#[test]
fn min_tasks_record_is_rewritten_after_change_of_one_quarter() {
    assert!(needs_rewrite(None, 3));
    assert!(!needs_rewrite(Some(8), 9));
    assert!(needs_rewrite(Some(8), 10));
    assert!(needs_rewrite(Some(8), 6));
    assert!(!needs_rewrite(Some(0), 0));
}
