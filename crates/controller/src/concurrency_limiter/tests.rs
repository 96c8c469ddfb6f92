use super::*;

#[test]
fn slow_responses_lower_concurrency_limit_and_fast_ones_raise_it() {
    let limiter = ConcurrencyLimiter::new(20);
    for _ in 0..100 {
        limiter.record_latency(Duration::from_secs(2));
    }
    let permits: Vec<_> = std::iter::from_fn(|| limiter.try_acquire()).collect();
    assert_eq!(permits.len(), constants::MIN_CONCURRENCY);
    drop(permits);
    for _ in 0..1000 {
        limiter.record_latency(Duration::from_millis(5));
    }
    let permits: Vec<_> = std::iter::from_fn(|| limiter.try_acquire()).collect();
    assert_eq!(permits.len(), 20);
}
