use super::*;

#[test]
fn shard_is_held_until_its_lease_expires() {
    let mut blocks = Blocks::default();
    assert!(blocks.lease("m-1", "one", 0, 15_000));
    assert!(!blocks.lease("m-1", "two", 14_999, 30_000));
    assert!(blocks.holds("m-1", "one", 14_999));
    assert!(!blocks.holds("m-1", "one", 15_000));
    assert!(blocks.lease("m-1", "two", 15_000, 30_000));
    assert_eq!(Blocks::share(10, 1, 3), 4);
}
