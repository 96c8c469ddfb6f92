use super::*;

#[test]
fn leadership_lease_counts_from_before_the_request() {
    let validity = LeadershipLease::default();
    assert!(!validity.holds(1, 0));
    validity.set(1, lease_expiry(1_000, 5_000));
    assert!(validity.holds(1, 5_600));
    assert!(!validity.holds(1, 5_700), "drift and margin are taken off");
}

/// The lease is extended on another thread than the ledger is on: while a round of an old term still
/// runs, this node may have lost that term and won a later one.
#[test]
fn lease_of_later_term_does_not_authorize_earlier_term() {
    let validity = LeadershipLease::default();
    validity.set(1, 5_000);
    validity.set(1, 0);
    validity.set(9, 20_000);
    assert!(!validity.holds(1, 4_000), "another node may have led meanwhile");
    assert!(validity.holds(9, 4_000));
}
