use super::*;

#[test]
fn recent_set_evicts_only_oldest_members() {
    let mut recent = BoundedSet::new(2);
    for n in [1, 2, 2, 3] {
        recent.insert(n);
    }
    assert_eq!([1, 2, 3].map(|n| recent.contains(&n)), [false, true, true]);
}
