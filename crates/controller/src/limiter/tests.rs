use super::*;

#[test]
fn slow_responses_lower_concurrency_limit_and_fast_ones_raise_it() {
    let limiter = Limiter::new(20);
    for _ in 0..100 {
        limiter.measured(Duration::from_secs(2));
    }
    let held: Vec<_> = std::iter::from_fn(|| limiter.enter()).collect();
    assert_eq!(held.len(), constants::IN_PROGRESS_LEAST);
    drop(held);
    for _ in 0..1000 {
        limiter.measured(Duration::from_millis(5));
    }
    let held: Vec<_> = std::iter::from_fn(|| limiter.enter()).collect();
    assert_eq!(held.len(), 20);
}
