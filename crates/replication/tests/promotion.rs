//! The phases of a failover: none without its proof.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_replication::{Action, Event, FailureDetector, Phase, Promotion, TransitionError};
use hookway_time::MonotonicTime;
use std::time::Duration;

/// A reading of the clock.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A standby that has been elected for a term.
fn elected(term: u64) -> Promotion {
    let mut promotion = Promotion::default();
    promotion.handle(Event::LeaderResponded, at(1_000)).expect("allowed");
    promotion.handle(Event::LeaseExpired, at(6_000)).expect("allowed");
    assert_eq!(promotion.handle(Event::Elected { term }, at(6_100)), Ok(Action::ReadRecords));
    promotion
}

#[test]
fn failover_passes_every_phase_and_records_durations() {
    let mut promotion = Promotion::default();
    promotion.handle(Event::LeaderResponded, at(1_000)).expect("allowed");
    assert_eq!(promotion.handle(Event::LeaderSilent, at(2_500)), Ok(Action::ReadLeader));
    assert_eq!(promotion.phase(), Phase::Suspecting);
    promotion.handle(Event::LeaseExpired, at(5_000)).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Fencing);
    assert_eq!(promotion.handle(Event::Elected { term: 9 }, at(5_100)), Ok(Action::ReadRecords));
    assert!(!promotion.may_dispatch(9), "nothing was read yet");
    assert_eq!(promotion.handle(Event::RecordsRead { term: 9 }, at(5_200)), Ok(Action::Lead));
    assert!(promotion.may_dispatch(9) && !promotion.may_dispatch(8));
    promotion.handle(Event::Dispatched, at(5_250)).expect("allowed");
    promotion.handle(Event::Dispatched, at(9_999)).expect("allowed");
    let times = promotion.metrics();
    assert_eq!(times.whole.count(), 1, "only the first decision counts");
    assert!(times.whole.quantile(1.0).abs_diff(ms(4_250)) < ms(50), "{}", times.whole);
    assert!(times.detection.quantile(1.0).abs_diff(ms(4_000)) < ms(50), "{}", times.detection);
    assert!(times.catching_up.quantile(1.0).abs_diff(ms(100)) < ms(3), "{}", times.catching_up);
}

#[test]
fn suspicion_permits_no_decision_and_ends_when_leader_is_heard() {
    let mut promotion = Promotion::default();
    promotion.handle(Event::LeaderSilent, at(100)).expect("allowed");
    assert_eq!(
        promotion.handle(Event::LeaderSilent, at(200)),
        Ok(Action::None),
        "it has just looked"
    );
    assert_eq!(promotion.handle(Event::LeaderSilent, at(1_100)), Ok(Action::ReadLeader));
    assert!(!promotion.may_dispatch(0));
    promotion.handle(Event::LeaderResponded, at(1_300)).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Following);
    // The other standby won.
    promotion.handle(Event::LeaderSilent, at(400)).expect("allowed");
    promotion.handle(Event::LeaseExpired, at(500)).expect("allowed");
    promotion.handle(Event::OtherLeader, at(600)).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Following);
}

#[test]
fn records_read_before_election_or_in_other_term_are_rejected() {
    let mut promotion = Promotion::default();
    promotion.handle(Event::LeaseExpired, at(50)).expect("allowed");
    assert_eq!(
        promotion.handle(Event::RecordsRead { term: 4 }, at(60)),
        Err(TransitionError::OldRecords(4))
    );
    let mut promotion = elected(4);
    assert_eq!(
        promotion.handle(Event::RecordsRead { term: 3 }, at(6_200)),
        Err(TransitionError::OldRecords(3))
    );
    assert_eq!(
        promotion.handle(Event::RecordsRead { term: 5 }, at(6_200)),
        Err(TransitionError::OldRecords(5))
    );
    assert!(!promotion.may_dispatch(4));
    // Deposed while reading: what comes back late makes nobody a leader.
    assert_eq!(promotion.handle(Event::Deposed, at(6_300)), Ok(Action::Stop));
    assert_eq!(
        promotion.handle(Event::RecordsRead { term: 4 }, at(6_400)),
        Err(TransitionError::OldRecords(4))
    );
    assert!(!promotion.may_dispatch(4));
}

#[test]
fn election_for_non_increasing_term_is_rejected() {
    let mut promotion = elected(8);
    promotion.handle(Event::Deposed, at(7_000)).expect("allowed");
    promotion.observe_term(20);
    for old in [8, 19, 20] {
        let refused = promotion.handle(Event::Elected { term: old }, at(8_000));
        assert_eq!(refused, Err(TransitionError::OldTerm { found: old, known: 20 }));
        assert!(!promotion.may_dispatch(old));
    }
    assert_eq!(promotion.handle(Event::Elected { term: 21 }, at(8_000)), Ok(Action::ReadRecords));
}

#[test]
fn deposed_leader_makes_no_decision_and_follows() {
    let mut promotion = elected(4);
    promotion.handle(Event::RecordsRead { term: 4 }, at(6_200)).expect("allowed");
    assert!(promotion.may_dispatch(4));
    // A frame of a standby, or silence of others, changes nothing for who leads.
    promotion.handle(Event::LeaderSilent, at(6_250)).expect("allowed");
    promotion.handle(Event::OtherLeader, at(6_260)).expect("allowed");
    promotion.handle(Event::LeaseExpired, at(6_270)).expect("allowed");
    assert!(promotion.may_dispatch(4));
    assert_eq!(promotion.handle(Event::Deposed, at(6_300)), Ok(Action::Stop));
    assert!(!promotion.may_dispatch(4));
    assert_eq!(promotion.phase(), Phase::Following);
    assert_eq!(promotion.handle(Event::Deposed, at(6_301)), Ok(Action::None));
}

#[test]
fn failure_detector_threshold_follows_measured_intervals() {
    let mut detector = FailureDetector::default();
    assert!(!detector.suspects(at(60_000)), "nothing was measured");
    for n in 0..20 {
        detector.record_message(at(n * 200));
    }
    let last = at(19 * 200);
    assert!(!detector.suspects(last + ms(900)), "a lost packet is no failure");
    assert!(detector.suspects(last + ms(1_100)));
    // A slow network makes it patient.
    let mut slow = FailureDetector::default();
    let mut now = at(0);
    for n in 0..40 {
        now += if n % 2 == 0 { ms(200) } else { ms(2_200) };
        slow.record_message(now);
    }
    assert!(!slow.suspects(now + ms(5_000)));
    assert!(slow.suspects(now + ms(8_000)));
    // Another leader: its pauses are not known.
    slow.reset();
    assert!(!slow.suspects(now + ms(60_000)));
}
