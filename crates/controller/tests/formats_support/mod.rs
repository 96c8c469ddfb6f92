//! Comparison of values with the fixtures that pin how they are written and read.
#![allow(dead_code, reason = "each test file uses a part of it")]

use hookway_wire::{JobId, JobSpec, JobState, JobStatus};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const FIXTURES: &str = include_str!("../fixtures/production.txt");
/// Messages that version 2 of the frames added, as its first build wrote them.
const REPLICATION_FIXTURES: &str = include_str!("../fixtures/replication.txt");
/// Formats that the other two files lack, as commit cd798ce wrote them.
const PINNED_FIXTURES: &str = include_str!("../fixtures/pinned.txt");

/// The fixture of that name.
pub fn fixture(name: &str) -> &'static str {
    let files = [FIXTURES, REPLICATION_FIXTURES, PINNED_FIXTURES];
    let mut lines = files.into_iter().flat_map(str::lines);
    let found = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    found.unwrap_or_else(|| panic!("no fixture {name}"))
}

/// A value is written as the JSON of the fixture, and read from it.
pub fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let written = serde_json::to_value(value).expect("a value");
    let pinned: serde_json::Value = serde_json::from_str(fixture(name)).expect("JSON");
    assert_eq!(written, pinned, "{name} is written differently");
    let read: T = serde_json::from_value(pinned).expect("a value");
    assert_eq!(&read, value, "{name} is read differently");
}

/// A value is written as the bytes of the fixture, and read from them.
pub fn frame<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(value, config).expect("a frame");
    let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, fixture(name), "{name} is written differently");
    let (read, _): (T, usize) = bincode::serde::decode_from_slice(&bytes, config).expect("a frame");
    assert_eq!(&read, value, "{name} is read differently");
}

/// The id of the job in the fixtures.
pub fn id() -> JobId {
    JobId::parse("req-000412").expect("an id")
}

/// The job in the fixtures, of this kind.
pub fn spec(kind: &str) -> JobSpec {
    let text = format!(
        r#"{{"NameId":"req-000412","Lane":"train","Owner":"vision","Shape":"{kind}","Rank":"high",
        "Pieces":16,"Vcpus":8.0,"Gpus":1.0,"RamGb":64.0,"Bundle":"img-07","ImageGb":6.2,
        "Flavors":["g8"],"Yard":"a","Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,
        "SnapshotEveryS":30.0,"SnapshotS":4.0,"DueS":900.0}}"#
    );
    JobSpec::parse(text.as_bytes()).expect("a valid job")
}

/// The status of the job in the fixtures.
pub fn status(state: JobState) -> JobStatus {
    JobStatus {
        id: id(),
        state,
        done: 3,
        running: 13,
        team: Some("vision".into()),
        leader: Some("worker-1".into()),
        notes: vec!["task 3 failed".into()],
    }
}

/// The JSON of the fixture is read as a value that would be written differently.
pub fn read_only<T: DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let read: T = serde_json::from_str(fixture(name)).expect("a value");
    assert_eq!(&read, value, "{name} is read differently");
}

/// The job in the fixtures without its optional fields.
pub fn bare_spec() -> JobSpec {
    JobSpec { machine_types: None, zone: None, deadline_s: None, ..spec("array") }
}
