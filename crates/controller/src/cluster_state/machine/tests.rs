use super::*;

#[test]
fn machine_is_in_the_shard_until_its_admission_ends() {
    let mut machine = Machine::new(0);
    assert!(!machine.is_admitted(0), "not admitted yet");
    machine.admit(15_000);
    assert!(machine.is_admitted(0));
    machine.admit(10_000);
    assert!(machine.is_admitted(14_999), "a running admission is never shortened");
    assert!(!machine.is_admitted(15_000));
    machine.admit(30_000);
    assert!(machine.is_admitted(15_000) && machine.is_admitted(29_999));
    assert!(!machine.is_admitted(30_000));
}
