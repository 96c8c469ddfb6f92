//! The phases of a failover: none without its proof.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_replication::{Event, FailureDetector, Phase, Promotion, Refused, Step};

/// A standby that has been elected for a term.
fn elected(term: u64) -> Promotion {
    let mut promotion = Promotion::default();
    promotion.on(Event::LeaderHeard, 1_000).expect("allowed");
    promotion.on(Event::LeaseEnded, 6_000).expect("allowed");
    assert_eq!(promotion.on(Event::Elected { term }, 6_100), Ok(Step::ReadRecords));
    promotion
}

#[test]
fn failover_passes_every_phase_and_records_durations() {
    let mut promotion = Promotion::default();
    promotion.on(Event::LeaderHeard, 1_000).expect("allowed");
    assert_eq!(promotion.on(Event::Silence, 2_500), Ok(Step::Look));
    assert_eq!(promotion.phase(), Phase::Suspecting);
    promotion.on(Event::LeaseEnded, 5_000).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Fencing);
    assert_eq!(promotion.on(Event::Elected { term: 9 }, 5_100), Ok(Step::ReadRecords));
    assert!(!promotion.may_decide(9), "nothing was read yet");
    assert_eq!(promotion.on(Event::RecordsRead { term: 9 }, 5_200), Ok(Step::Lead));
    assert!(promotion.may_decide(9) && !promotion.may_decide(8));
    promotion.on(Event::Decided, 5_250).expect("allowed");
    promotion.on(Event::Decided, 9_999).expect("allowed");
    let times = promotion.metrics();
    assert_eq!(times.whole.count(), 1, "only the first decision counts");
    assert!(times.whole.quantile(1.0).abs_diff(4_250) < 50, "{}", times.whole);
    assert!(times.detection.quantile(1.0).abs_diff(4_000) < 50, "{}", times.detection);
    assert!(times.catching_up.quantile(1.0).abs_diff(100) < 3, "{}", times.catching_up);
}

#[test]
fn suspicion_permits_no_decision_and_ends_when_leader_is_heard() {
    let mut promotion = Promotion::default();
    promotion.on(Event::Silence, 100).expect("allowed");
    assert_eq!(promotion.on(Event::Silence, 200), Ok(Step::Stay), "it has just looked");
    assert_eq!(promotion.on(Event::Silence, 1_100), Ok(Step::Look));
    assert!(!promotion.may_decide(0));
    promotion.on(Event::LeaderHeard, 1_300).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Following);
    // The other standby won.
    promotion.on(Event::Silence, 400).expect("allowed");
    promotion.on(Event::LeaseEnded, 500).expect("allowed");
    promotion.on(Event::OtherLeads, 600).expect("allowed");
    assert_eq!(promotion.phase(), Phase::Following);
}

#[test]
fn records_read_before_election_or_in_other_term_are_rejected() {
    let mut promotion = Promotion::default();
    promotion.on(Event::LeaseEnded, 50).expect("allowed");
    assert_eq!(promotion.on(Event::RecordsRead { term: 4 }, 60), Err(Refused::OldRecords(4)));
    let mut promotion = elected(4);
    assert_eq!(promotion.on(Event::RecordsRead { term: 3 }, 6_200), Err(Refused::OldRecords(3)));
    assert_eq!(promotion.on(Event::RecordsRead { term: 5 }, 6_200), Err(Refused::OldRecords(5)));
    assert!(!promotion.may_decide(4));
    // Deposed while reading: what comes back late makes nobody a leader.
    assert_eq!(promotion.on(Event::Deposed, 6_300), Ok(Step::Stop));
    assert_eq!(promotion.on(Event::RecordsRead { term: 4 }, 6_400), Err(Refused::OldRecords(4)));
    assert!(!promotion.may_decide(4));
}

#[test]
fn election_for_non_increasing_term_is_rejected() {
    let mut promotion = elected(8);
    promotion.on(Event::Deposed, 7_000).expect("allowed");
    promotion.learn_term(20);
    for old in [8, 19, 20] {
        let refused = promotion.on(Event::Elected { term: old }, 8_000);
        assert_eq!(refused, Err(Refused::OldTerm { found: old, known: 20 }));
        assert!(!promotion.may_decide(old));
    }
    assert_eq!(promotion.on(Event::Elected { term: 21 }, 8_000), Ok(Step::ReadRecords));
}

#[test]
fn deposed_leader_makes_no_decision_and_follows() {
    let mut promotion = elected(4);
    promotion.on(Event::RecordsRead { term: 4 }, 6_200).expect("allowed");
    assert!(promotion.may_decide(4));
    // A frame of a standby, or silence of others, changes nothing for who leads.
    promotion.on(Event::Silence, 6_250).expect("allowed");
    promotion.on(Event::OtherLeads, 6_260).expect("allowed");
    promotion.on(Event::LeaseEnded, 6_270).expect("allowed");
    assert!(promotion.may_decide(4));
    assert_eq!(promotion.on(Event::Deposed, 6_300), Ok(Step::Stop));
    assert!(!promotion.may_decide(4));
    assert_eq!(promotion.phase(), Phase::Following);
    assert_eq!(promotion.on(Event::Deposed, 6_301), Ok(Step::Stay));
}

#[test]
fn failure_detector_threshold_follows_measured_intervals() {
    let mut detector = FailureDetector::default();
    assert!(!detector.suspects(60_000), "nothing was measured");
    for n in 0..20 {
        detector.heard(n * 200);
    }
    let last = 19 * 200;
    assert!(!detector.suspects(last + 900), "a lost packet is no failure");
    assert!(detector.suspects(last + 1_100));
    // A slow network makes it patient.
    let mut slow = FailureDetector::default();
    let mut now = 0;
    for n in 0..40 {
        now += if n % 2 == 0 { 200 } else { 2_200 };
        slow.heard(now);
    }
    assert!(!slow.suspects(now + 5_000));
    assert!(slow.suspects(now + 8_000));
    // Another leader: its pauses are not known.
    slow.reset();
    assert!(!slow.suspects(now + 60_000));
}
