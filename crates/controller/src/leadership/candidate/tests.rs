use super::*;
use crate::records::{COMPLETE_WATERMARKS_KEY, LEADER_TERM_KEY};

const NONCE: u64 = 7;

fn record(controller_name: &str, term: u64, nonce: u64) -> LeaderRecord {
    LeaderRecord { controller_name: controller_name.into(), term, nonce }
}

fn listed_key(key: &str, value: serde_json::Value, mod_revision: u64) -> ListedKeyValue {
    ListedKeyValue { key: key.into(), value, mod_revision }
}

/// The answer to a read of the leader key.
fn leader_key(record: &LeaderRecord, mod_revision: u64, lease_id: u64) -> KeyValue {
    let value = serde_json::to_value(record).expect("a record that serializes");
    KeyValue { key: LEADER_KEY.into(), value, mod_revision, lease_id: Some(lease_id) }
}

/// A list, read at revision 9, of the keys that an election wrote at revision 5.
fn evaluate_list(record: &LeaderRecord) -> ListingOutcome {
    let value = serde_json::to_value(record).expect("a record that serializes");
    let last_token = super::super::last_fencing_token(record.term);
    let keys = [
        listed_key(LEADER_KEY, value, 5),
        listed_key(LEADER_TERM_KEY, last_token.into(), 5),
        listed_key(COMPLETE_WATERMARKS_KEY, last_token.into(), 5),
    ];
    Candidate::new("one", NONCE).evaluate_listing(&keys, 9)
}

/// The outcome of a list that shows `listed`, followed by this answer to a read of the leader key.
fn evaluate_reads(listed: &LeaderRecord, answer: Option<KeyValue>) -> LeaderKeyOutcome {
    let ListingOutcome::OwnName(own_name) = evaluate_list(listed) else {
        panic!("a record of this controller")
    };
    Candidate::new("one", NONCE).evaluate_leader_key(&own_name, answer)
}

#[test]
fn list_tells_leader_or_what_election_needs() {
    let other = ObservedLeader { controller_name: "two".into(), term: 4_097, watch_after: 9 };
    assert_eq!(evaluate_list(&record("two", 4_097, NONCE)), ListingOutcome::OtherLeader(other));
    let keys = [listed_key(LEADER_TERM_KEY, 4_096.into(), 3)];
    let outcome = Candidate::new("one", NONCE).evaluate_listing(&keys, 9);
    let ListingOutcome::Leaderless(state) = outcome else { panic!("no leader") };
    assert_eq!(state.next_term(), 4_097);
}

#[test]
fn own_record_in_both_reads_proves_term_with_revision_and_lease_of_key() {
    let own = record("one", 1, NONCE);
    let outcome = evaluate_reads(&own, Some(leader_key(&own, 5, 40)));
    let LeaderKeyOutcome::OwnTerm(term) = outcome else { panic!("{outcome:?}") };
    assert_eq!((term.term(), term.lease_id()), (1, 40));
    assert_eq!(
        (term.precondition().key.as_str(), term.precondition().mod_revision),
        (LEADER_KEY, 5)
    );
    assert_eq!(term.watermark_completeness(), WatermarkCompleteness::Complete);
}

/// Guards against two leaders (review case 4): record and lease of different leaders are joined.
#[test]
fn record_of_other_controller_in_key_read_is_followed_whatever_list_showed() {
    for nonce in [NONCE, NONCE + 1] {
        let other = leader_key(&record("two", 4_097, 8), 12, 41);
        assert_eq!(
            evaluate_reads(&record("one", 1, nonce), Some(other)),
            LeaderKeyOutcome::OtherLeader(ObservedLeader {
                controller_name: "two".into(),
                term: 4_097,
                watch_after: 12,
            })
        );
    }
}

/// Guards against the revocation of another leader's lease (review case 4).
#[test]
fn lease_to_revoke_is_that_of_record_in_same_answer() {
    let (listed, read) = (record("one", 1, NONCE + 1), record("one", 4_097, NONCE + 2));
    let outcome = evaluate_reads(&listed, Some(leader_key(&read, 12, 41)));
    let LeaderKeyOutcome::EndedTerm(key) = outcome else { panic!("{outcome:?}") };
    assert_eq!((key.record(), key.mod_revision(), key.lease_id()), (&read, 12, 41));
}

/// Guards against a term that is led twice: the record of a term that this process gave up is not one of an election whose
/// response was lost.
#[test]
fn record_of_term_that_was_given_up_counts_as_ended() {
    let own = record("one", 1, NONCE);
    let mut candidate = Candidate::new("one", NONCE);
    candidate.end_term(NONCE + 1);
    let ListingOutcome::OwnName(own_name) = evaluate_list(&own) else {
        panic!("a record of this controller")
    };
    let outcome = candidate.evaluate_leader_key(&own_name, Some(leader_key(&own, 5, 40)));
    let LeaderKeyOutcome::EndedTerm(key) = outcome else { panic!("{outcome:?}") };
    assert_eq!((key.record(), key.lease_id()), (&own, 40));
}

#[test]
fn key_that_changed_since_list_is_read_again() {
    let own = record("one", 1, NONCE);
    assert_eq!(evaluate_reads(&own, None), LeaderKeyOutcome::Changed);
    // An election of this process that was carried out after the list: the listed watermarks are
    // not those of its term.
    let earlier = record("one", 1, NONCE + 1);
    let late_election = leader_key(&record("one", 4_097, NONCE), 12, 41);
    assert_eq!(evaluate_reads(&earlier, Some(late_election)), LeaderKeyOutcome::Changed);
}

#[test]
fn own_record_without_lease_is_unusable() {
    let own = record("one", 1, NONCE);
    let without_lease = KeyValue { lease_id: None, ..leader_key(&own, 5, 40) };
    assert_eq!(evaluate_reads(&own, Some(without_lease)), LeaderKeyOutcome::Unusable);
}
