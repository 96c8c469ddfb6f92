use super::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn machine_is_admitted_until_its_latest_admission_ends() {
    let mut machine = Machine::new(at(0));
    assert!(!machine.is_admitted(at(0)), "a new machine is not admitted");
    machine.admit(at(15_000));
    assert!(machine.is_admitted(at(0)));
    machine.admit(at(10_000));
    assert!(machine.is_admitted(at(14_999)), "a later admission never shortens an earlier one");
    assert!(!machine.is_admitted(at(15_000)));
    machine.admit(at(30_000));
    assert!(machine.is_admitted(at(15_000)) && machine.is_admitted(at(29_999)));
    assert!(!machine.is_admitted(at(30_000)));
}
