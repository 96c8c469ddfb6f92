use super::*;

#[test]
fn bounded_set_drops_only_oldest_members() {
    let mut set = BoundedSet::new(2);
    for n in [1, 2, 2, 3] {
        set.insert(n);
    }
    assert_eq!([1, 2, 3].map(|n| set.contains(&n)), [false, true, true]);
}
