use super::*;

const SMALL_VALUE_KB: f64 = 2.0;

fn write_record(
    registry: &mut MachineRegistry,
    number: u64,
    stored: &mut BTreeMap<u64, BTreeSet<String>>,
) -> bool {
    let Some(value) = registry.record_value(number, SMALL_VALUE_KB, |_| Vec::new()) else {
        registry.split(number);
        return false;
    };
    assert!(value.to_string().len() as f64 <= SMALL_VALUE_KB * 1024.0);
    let machines: Vec<String> =
        registry.members(number).map(|(machine, _)| machine.clone()).collect();
    stored.insert(number, machines.iter().cloned().collect());
    registry.mark_durable(number, machines.iter().map(String::as_str));
    true
}

#[test]
fn oversized_registry_record_is_divided_without_omitting_a_machine() {
    let mut registry = MachineRegistry::new(SMALL_VALUE_KB);
    let machines: BTreeSet<String> = (0..64).map(|n| format!("m-{n:06}")).collect();
    let mut stored = BTreeMap::from([(3, machines.clone())]);
    for machine in &machines {
        registry.add_loaded(3, machine, WallTime::from_unix_millis(1_764_654_219_000));
    }
    registry.mark_stale("m-000001");
    for _ in 0..40 {
        let Some(number) = registry.pop_stale() else { break };
        write_record(&mut registry, number, &mut stored);
        let registered: BTreeSet<String> = stored.values().flatten().cloned().collect();
        assert_eq!(registered, machines, "every machine is in a stored record after each write");
    }
    assert_eq!(
        stored.values().map(BTreeSet::len).sum::<usize>(),
        64,
        "each machine is in one record"
    );
    assert!(stored.len() >= 4);
}

#[test]
fn machine_removed_while_moving_leaves_both_records() {
    let mut registry = MachineRegistry::new(SMALL_VALUE_KB);
    for n in 0..64 {
        registry.add_loaded(0, &format!("m-{n:06}"), WallTime::from_unix_millis(1));
    }
    registry.split(0);
    registry.remove("m-000063");
    let mut stored = BTreeMap::new();
    while let Some(number) = registry.pop_stale() {
        write_record(&mut registry, number, &mut stored);
    }
    assert!(!stored.values().any(|machines: &BTreeSet<String>| machines.contains("m-000063")));
    assert_eq!(stored.values().map(BTreeSet::len).sum::<usize>(), 63);
}

#[test]
fn machine_in_two_records_after_crash_stays_in_one() {
    let mut registry = MachineRegistry::new(SMALL_VALUE_KB);
    registry.add_loaded(0, "m-000001", WallTime::from_unix_millis(1));
    registry.add_loaded(1, "m-000001", WallTime::from_unix_millis(1));
    assert_eq!(registry.pop_stale(), Some(1));
    assert_eq!(registry.members(1).count(), 0);
    registry.remove("m-000001");
    assert_eq!(registry.members(0).count(), 0);
}
