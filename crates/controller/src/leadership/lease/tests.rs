use super::*;

/// Returns the reading of the monotonic clock at `millis`.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn leadership_lease_is_measured_from_before_request() {
    let lease = LeadershipLease::default();
    assert!(!lease.holds(1, at(0)));
    lease.set(1, lease_expiry(at(1_000), Duration::from_secs(5)));
    assert!(lease.holds(1, at(5_600)));
    assert!(!lease.holds(1, at(5_700)), "clock drift and margin shorten the lease");
}

/// The election actor extends the lease on one thread while the controller actor schedules on
/// another. During a scheduling round of an earlier term, this controller may lose that term and
/// win a later one.
#[test]
fn lease_of_later_term_does_not_authorize_earlier_term() {
    let lease = LeadershipLease::default();
    lease.set(1, at(5_000));
    lease.revoke(1);
    lease.set(9, at(20_000));
    assert!(!lease.holds(1, at(4_000)), "another controller may have led in between");
    assert!(lease.holds(9, at(4_000)));
}
