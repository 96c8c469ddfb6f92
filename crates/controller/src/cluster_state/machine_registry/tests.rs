use super::*;

const SMALL_VALUE_KB: f64 = 2.0;

fn write(
    roster: &mut MachineRegistry,
    number: u64,
    stored: &mut BTreeMap<u64, BTreeSet<String>>,
) -> bool {
    let Some(value) = roster.record(number, SMALL_VALUE_KB, |_| Vec::new()) else {
        roster.split(number);
        return false;
    };
    assert!(value.to_string().len() as f64 <= SMALL_VALUE_KB * 1024.0);
    let machines: Vec<String> =
        roster.members(number).map(|(machine, _)| machine.clone()).collect();
    stored.insert(number, machines.iter().cloned().collect());
    roster.stored(number, machines.iter().map(String::as_str));
    true
}

#[test]
fn oversized_registry_record_is_divided_without_omitting_a_machine() {
    let mut roster = MachineRegistry::new(SMALL_VALUE_KB);
    let machines: BTreeSet<String> = (0..64).map(|n| format!("m-{n:06}")).collect();
    let mut stored = BTreeMap::from([(3, machines.clone())]);
    for machine in &machines {
        roster.loaded(3, machine, 1_764_654_219_000);
    }
    roster.mark_stale("m-000001");
    for _ in 0..40 {
        let Some(number) = roster.next_stale() else { break };
        write(&mut roster, number, &mut stored);
        let named: BTreeSet<String> = stored.values().flatten().cloned().collect();
        assert_eq!(named, machines, "a crash now would hide a machine");
    }
    assert_eq!(stored.values().map(BTreeSet::len).sum::<usize>(), 64, "each in one record");
    assert!(stored.len() >= 4);
}

#[test]
fn machine_removed_while_moving_leaves_both_records() {
    let mut roster = MachineRegistry::new(SMALL_VALUE_KB);
    for n in 0..64 {
        roster.loaded(0, &format!("m-{n:06}"), 1);
    }
    roster.split(0);
    roster.remove("m-000063");
    let mut stored = BTreeMap::new();
    while let Some(number) = roster.next_stale() {
        write(&mut roster, number, &mut stored);
    }
    assert!(!stored.values().any(|machines: &BTreeSet<String>| machines.contains("m-000063")));
    assert_eq!(stored.values().map(BTreeSet::len).sum::<usize>(), 63);
}

#[test]
fn machine_in_two_records_after_crash_stays_in_one() {
    let mut roster = MachineRegistry::new(SMALL_VALUE_KB);
    roster.loaded(0, "m-000001", 1);
    roster.loaded(1, "m-000001", 1);
    assert_eq!(roster.next_stale(), Some(1));
    assert_eq!(roster.members(1).count(), 0);
    roster.remove("m-000001");
    assert_eq!(roster.members(0).count(), 0);
}
