use super::*;

/// A reading of the clock, ms.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn leadership_lease_counts_from_before_the_request() {
    let lease = LeadershipLease::default();
    assert!(!lease.holds(1, at(0)));
    lease.set(1, lease_expiry(at(1_000), Duration::from_secs(5)));
    assert!(lease.holds(1, at(5_600)));
    assert!(!lease.holds(1, at(5_700)), "clock drift and margin shorten the lease");
}

/// The election thread extends the lease, the controller actor schedules: while a round of an earlier term
/// still runs, this controller may have lost that term and won a later one.
#[test]
fn lease_of_later_term_does_not_authorize_earlier_term() {
    let lease = LeadershipLease::default();
    lease.set(1, at(5_000));
    lease.revoke(1);
    lease.set(9, at(20_000));
    assert!(!lease.holds(1, at(4_000)), "another controller may have led in between");
    assert!(lease.holds(9, at(4_000)));
}
