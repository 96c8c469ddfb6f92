use super::*;

#[test]
fn a_recent_set_forgets_its_oldest_members_only() {
    let mut recent = BoundedSet::new(2);
    for n in [1, 2, 2, 3] {
        recent.insert(n);
    }
    assert_eq!([1, 2, 3].map(|n| recent.contains(&n)), [false, true, true]);
}
