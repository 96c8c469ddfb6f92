//! Functions that compare values with the fixtures, which pin how the values are written and read.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use hookway_wire::{JobId, JobSpec, JobState, JobStatus};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Formats as the build in production wrote them.
const PRODUCTION_FIXTURES: &str = include_str!("../fixtures/production.txt");
/// Frames that were added in frame version 2, as the first build with that version wrote them.
const REPLICATION_FIXTURES: &str = include_str!("../fixtures/replication.txt");
/// Formats that the other two fixture files do not cover, as commit cd798ce wrote them.
const PINNED_FIXTURES: &str = include_str!("../fixtures/pinned.txt");

/// Returns the fixture `name`. Panics if there is none.
pub fn fixture(name: &str) -> &'static str {
    let files = [PRODUCTION_FIXTURES, REPLICATION_FIXTURES, PINNED_FIXTURES];
    let mut lines = files.into_iter().flat_map(str::lines);
    let found = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    found.unwrap_or_else(|| panic!("no fixture {name}"))
}

/// Checks that `value` is written as the JSON of the fixture `name` and read back from it.
pub fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let written = serde_json::to_value(value).expect("a value");
    let pinned: serde_json::Value = serde_json::from_str(fixture(name)).expect("JSON");
    assert_eq!(written, pinned, "{name} is written differently");
    let read: T = serde_json::from_value(pinned).expect("a value");
    assert_eq!(&read, value, "{name} is read differently");
}

/// Checks that `value` is written as the bytes of the fixture `name` (in hexadecimal) and read back from them.
pub fn frame<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(value, config).expect("a frame");
    let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, fixture(name), "{name} is written differently");
    let (read, _): (T, usize) = bincode::serde::decode_from_slice(&bytes, config).expect("a frame");
    assert_eq!(&read, value, "{name} is read differently");
}

/// Returns the id of the job in the fixtures.
pub fn id() -> JobId {
    JobId::parse("req-000412").expect("an id")
}

/// Returns the job in the fixtures with this kind (outer name).
pub fn spec(kind: &str) -> JobSpec {
    let text = format!(
        r#"{{"NameId":"req-000412","Lane":"train","Owner":"vision","Shape":"{kind}","Rank":"high",
        "Pieces":16,"Vcpus":8.0,"Gpus":1.0,"RamGb":64.0,"Bundle":"img-07","ImageGb":6.2,
        "Flavors":["g8"],"Yard":"a","Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,
        "SnapshotEveryS":30.0,"SnapshotS":4.0,"DueS":900.0}}"#
    );
    JobSpec::parse(text.as_bytes()).expect("a valid job")
}

/// Returns the status of the job in the fixtures with this state.
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

/// Checks that the JSON of the fixture `name`, which this version would write differently, is
/// read as `value`.
pub fn read_only<T: DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let read: T = serde_json::from_str(fixture(name)).expect("a value");
    assert_eq!(&read, value, "{name} is read differently");
}

/// Returns the job in the fixtures as an array without its optional fields.
pub fn bare_spec() -> JobSpec {
    JobSpec { machine_types: None, zone: None, deadline_s: None, ..spec("array") }
}
