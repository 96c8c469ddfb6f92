use super::*;

/// A valid submission with every field of the protocol and an unknown one (`Extra`).
const VALID_JOB: &str = r#"{"NameId":"req-000412","Lane":"train","Owner":"vision","Shape":"group","Rank":"high","Pieces":16,
     "Vcpus":8.0,"Gpus":1,"RamGb":64.0,"Bundle":"img-07","ImageGb":6.2,
     "Flavors":["g8"],"Yard":null,"Together":true,"Spread":false,"Loaners":true,"Extra":[1],
     "GuessS":240.0,"SnapshotEveryS":30.0,"SnapshotS":4.0,"DueS":900.0}"#;

#[test]
fn valid_job_parses_and_nullable_fields_may_be_absent() {
    let job = JobSpec::parse(VALID_JOB.as_bytes()).unwrap();
    assert_eq!((job.tasks, job.priority, job.kind), (16, Priority::High, JobKind::Gang));
    let daemon = VALID_JOB.replace("\"group\"", "\"daemon\"");
    assert!(JobSpec::parse(daemon.as_bytes()).unwrap().is_daemon());
    let without_nullable = VALID_JOB.replace(r#""Yard":null,"#, "").replace(r#","DueS":900.0"#, "");
    let job = JobSpec::parse(without_nullable.as_bytes()).unwrap();
    assert_eq!((job.zone, job.deadline_s), (None, None));
}

#[test]
fn invalid_job_is_rejected_with_reason() {
    for (valid, invalid) in [
        ("req-000412", "job-1"),
        ("\"Pieces\":16", "\"Pieces\":0"),
        ("\"Pieces\":16", "\"Pieces\":100001"),
        ("\"Pieces\":16", "\"Pieces\":1.5"),
        ("\"Pieces\":16", "\"Pieces\":\"16\""),
        ("\"Vcpus\":8.0", "\"Vcpus\":-1"),
        ("\"Vcpus\":8.0", "\"Vcpus\":NaN"),
        ("\"Vcpus\":8.0", "\"Vcpus\":1e999"),
        ("\"RamGb\":64.0,", ""),
        ("\"high\"", "\"urgent\""),
        ("\"group\"", "\"gang\""),
        ("\"DueS\":900.0", "\"DueS\":-5"),
        ("\"Together\":true", "\"Together\":1"),
    ] {
        let body = VALID_JOB.replace(valid, invalid);
        assert!(JobSpec::parse(body.as_bytes()).is_err(), "{invalid} must be rejected");
    }
    assert!(JobSpec::parse(b"[1]").is_err());
    assert!(JobSpec::parse(b"").is_err());
}

#[test]
fn job_state_is_displayed_as_in_protocol() {
    for state in [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled] {
        assert_eq!(serde_json::to_value(state).unwrap(), state.to_string());
    }
}

#[test]
fn rejection_names_field_as_in_protocol() {
    for (valid, invalid, expected) in [
        ("req-000412", "job-1", "NameId must have the form req-000412"),
        ("\"Pieces\":16", "\"Pieces\":100001", "Pieces must be from 1 to 100000"),
        ("\"Vcpus\":8.0", "\"Vcpus\":0", "Vcpus must be a number above 0"),
        ("\"DueS\":900.0", "\"DueS\":-5", "DueS must be a number and not negative"),
        ("\"vision\"", "\"\"", "Owner must not be empty"),
        ("\"RamGb\":64.0,", "", "the job is invalid: missing field `RamGb` at line 4 column 71"),
    ] {
        let body = VALID_JOB.replace(valid, invalid);
        assert_eq!(JobSpec::parse(body.as_bytes()).unwrap_err().to_string(), expected);
    }
    let rejection = |body: &[u8]| JobSpec::parse(body).unwrap_err().to_string();
    assert_eq!(rejection(b"[1]"), "the body is not a JSON object");
    assert!(rejection(b"").starts_with("the body is not JSON: "));
}
