use super::*;

fn final_record(state: JobState) -> FinalRecord {
    FinalRecord { state, done: 0, team: "team".to_owned(), notes: Vec::new() }
}

#[test]
fn first_decided_end_stays_until_another_one_is_durable() {
    let mut completion = Completion::active();
    assert!(completion.is_active() && completion.begin_commit().is_none());
    assert!(completion.request_cancel(MonotonicTime::from_millis(5)));
    assert!(!completion.decide_done() && !completion.request_cancel(MonotonicTime::from_millis(9)));
    assert_eq!(completion.end_state(), Some(JobState::Cancelled));
    assert_eq!(completion.cancel_requested_at(), Some(MonotonicTime::from_millis(5)));
    assert!(completion.mark_final(final_record(JobState::Done)));
    assert!(!completion.mark_final(final_record(JobState::Cancelled)));
    assert_eq!(completion.end_state(), Some(JobState::Done));
    assert!(completion.is_final() && !completion.is_active());
}

#[test]
fn commit_that_was_not_applied_is_outstanding_only_after_an_indeterminate_one() {
    let mut completion = Completion::active();
    assert!(completion.decide_done() && !completion.commit_outstanding());
    assert_eq!(completion.begin_commit(), Some(JobState::Done));
    assert!(completion.commit_outstanding());
    completion.commit_not_applied();
    assert!(!completion.commit_outstanding());
    completion.begin_commit();
    completion.commit_indeterminate();
    completion.begin_commit();
    completion.commit_not_applied();
    assert!(completion.commit_outstanding(), "the earlier transaction may still be applied");
    completion.mark_final(final_record(JobState::Done));
    assert!(!completion.commit_outstanding() && completion.begin_commit().is_none());
}

#[test]
fn cancellation_by_another_controller_has_no_request_time() {
    let mut completion = Completion::active();
    completion.mark_final(final_record(JobState::Cancelled));
    assert_eq!(completion.end_state(), Some(JobState::Cancelled));
    assert_eq!(completion.cancel_requested_at(), None);
}
