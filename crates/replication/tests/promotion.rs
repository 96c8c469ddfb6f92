//! The phases of a failover, the conditions of the transitions between them, and the failure detector.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use hookway_replication::{
    FailoverAction, FailoverEvent, FailoverPhase, FailureDetector, Promotion, TransitionError,
};
use hookway_time::MonotonicTime;
use std::time::Duration;

/// Returns the reading of the monotonic clock at this time.
fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time_ms)
}

fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

/// Returns a standby that has been elected for a term and has yet to read the records.
fn elected(term: u64) -> Promotion {
    let mut promotion = Promotion::default();
    promotion.apply_event(FailoverEvent::LeaderResponded, at(1_000)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::LeaseExpired, at(6_000)).expect("a valid transition");
    assert_eq!(
        promotion.apply_event(FailoverEvent::Elected { term }, at(6_100)),
        Ok(FailoverAction::ReadRecords)
    );
    promotion
}

#[test]
fn failover_passes_every_phase_and_records_durations() {
    let mut promotion = Promotion::default();
    promotion.apply_event(FailoverEvent::LeaderResponded, at(1_000)).expect("a valid transition");
    assert_eq!(
        promotion.apply_event(FailoverEvent::LeaderSilent, at(2_500)),
        Ok(FailoverAction::ReadLeader)
    );
    assert_eq!(promotion.phase(), FailoverPhase::Suspecting);
    promotion.apply_event(FailoverEvent::LeaseExpired, at(5_000)).expect("a valid transition");
    assert_eq!(promotion.phase(), FailoverPhase::Fencing);
    assert_eq!(
        promotion.apply_event(FailoverEvent::Elected { term: 9 }, at(5_100)),
        Ok(FailoverAction::ReadRecords)
    );
    assert!(!promotion.may_dispatch(9), "the records have not been read yet");
    assert_eq!(
        promotion.apply_event(FailoverEvent::RecordsRead { term: 9 }, at(5_200)),
        Ok(FailoverAction::Lead)
    );
    assert!(promotion.may_dispatch(9) && !promotion.may_dispatch(8));
    promotion.apply_event(FailoverEvent::Dispatched, at(5_250)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::Dispatched, at(9_999)).expect("a valid transition");
    let metrics = promotion.metrics();
    assert_eq!(metrics.total.count(), 1, "only the first dispatch ends the failover");
    assert!(metrics.total.quantile(1.0).abs_diff(ms(4_250)) < ms(50), "{}", metrics.total);
    assert!(metrics.detection.quantile(1.0).abs_diff(ms(4_000)) < ms(50), "{}", metrics.detection);
    assert!(metrics.catching_up.quantile(1.0).abs_diff(ms(100)) < ms(3), "{}", metrics.catching_up);
}

#[test]
fn suspected_leader_permits_no_decision_until_it_responds_again() {
    let mut promotion = Promotion::default();
    promotion.apply_event(FailoverEvent::LeaderSilent, at(100)).expect("a valid transition");
    assert_eq!(
        promotion.apply_event(FailoverEvent::LeaderSilent, at(200)),
        Ok(FailoverAction::None),
        "the leadership record was read less than LEADER_CHECK_INTERVAL ago"
    );
    assert_eq!(
        promotion.apply_event(FailoverEvent::LeaderSilent, at(1_100)),
        Ok(FailoverAction::ReadLeader)
    );
    assert!(!promotion.may_dispatch(0));
    promotion.apply_event(FailoverEvent::LeaderResponded, at(1_300)).expect("a valid transition");
    assert_eq!(promotion.phase(), FailoverPhase::Following);
    // Another standby wins the election.
    promotion.apply_event(FailoverEvent::LeaderSilent, at(400)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::LeaseExpired, at(500)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::OtherLeader, at(600)).expect("a valid transition");
    assert_eq!(promotion.phase(), FailoverPhase::Following);
}

#[test]
fn records_read_before_election_or_in_other_term_are_rejected() {
    let mut promotion = Promotion::default();
    promotion.apply_event(FailoverEvent::LeaseExpired, at(50)).expect("a valid transition");
    assert_eq!(
        promotion.apply_event(FailoverEvent::RecordsRead { term: 4 }, at(60)),
        Err(TransitionError::OldRecords(4))
    );
    let mut promotion = elected(4);
    assert_eq!(
        promotion.apply_event(FailoverEvent::RecordsRead { term: 3 }, at(6_200)),
        Err(TransitionError::OldRecords(3))
    );
    assert_eq!(
        promotion.apply_event(FailoverEvent::RecordsRead { term: 5 }, at(6_200)),
        Err(TransitionError::OldRecords(5))
    );
    assert!(!promotion.may_dispatch(4));
    // The controller is deposed while it reads the records: when the read ends, it must not become the leader.
    assert_eq!(promotion.apply_event(FailoverEvent::Deposed, at(6_300)), Ok(FailoverAction::Stop));
    assert_eq!(
        promotion.apply_event(FailoverEvent::RecordsRead { term: 4 }, at(6_400)),
        Err(TransitionError::OldRecords(4))
    );
    assert!(!promotion.may_dispatch(4));
}

#[test]
fn election_for_non_increasing_term_is_rejected() {
    let mut promotion = elected(8);
    promotion.apply_event(FailoverEvent::Deposed, at(7_000)).expect("a valid transition");
    promotion.observe_term(20);
    for term in [8, 19, 20] {
        let result = promotion.apply_event(FailoverEvent::Elected { term }, at(8_000));
        assert_eq!(result, Err(TransitionError::OldTerm { found: term, known: 20 }));
        assert!(!promotion.may_dispatch(term));
    }
    assert_eq!(
        promotion.apply_event(FailoverEvent::Elected { term: 21 }, at(8_000)),
        Ok(FailoverAction::ReadRecords)
    );
}

#[test]
fn deposed_leader_makes_no_decision_and_follows() {
    let mut promotion = elected(4);
    promotion
        .apply_event(FailoverEvent::RecordsRead { term: 4 }, at(6_200))
        .expect("a valid transition");
    assert!(promotion.may_dispatch(4));
    // Events about another leader do not change the phase of an active leader.
    promotion.apply_event(FailoverEvent::LeaderSilent, at(6_250)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::OtherLeader, at(6_260)).expect("a valid transition");
    promotion.apply_event(FailoverEvent::LeaseExpired, at(6_270)).expect("a valid transition");
    assert!(promotion.may_dispatch(4));
    assert_eq!(promotion.apply_event(FailoverEvent::Deposed, at(6_300)), Ok(FailoverAction::Stop));
    assert!(!promotion.may_dispatch(4));
    assert_eq!(promotion.phase(), FailoverPhase::Following);
    assert_eq!(promotion.apply_event(FailoverEvent::Deposed, at(6_301)), Ok(FailoverAction::None));
}

#[test]
fn failure_detector_threshold_follows_measured_intervals() {
    let mut detector = FailureDetector::default();
    assert!(!detector.suspects(at(60_000)), "no interval has been measured");
    for message in 0..20 {
        detector.record_message(at(message * 200));
    }
    let last_message_at = at(19 * 200);
    assert!(
        !detector.suspects(last_message_at + ms(900)),
        "silence below DETECTOR_MIN_SILENCE may be a lost packet"
    );
    assert!(detector.suspects(last_message_at + ms(1_100)));
    // Long and varying intervals raise the threshold.
    let mut slow = FailureDetector::default();
    let mut now = at(0);
    for message in 0..40 {
        now += if message % 2 == 0 { ms(200) } else { ms(2_200) };
        slow.record_message(now);
    }
    assert!(!slow.suspects(now + ms(5_000)));
    assert!(slow.suspects(now + ms(8_000)));
    // After a change of the leader no interval has been measured.
    slow.reset();
    assert!(!slow.suspects(now + ms(60_000)));
}
