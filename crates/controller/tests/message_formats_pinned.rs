//! The JSON of HTTP messages that `formats.rs` does not cover: every enum variant, and optional fields. The
//! fixtures are in `fixtures/pinned.txt`, as those of `formats_pinned.rs` are.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod formats_support;

use formats_support::{bare_spec, json, read_only, status};
use hookway_wire::{
    Command, CommitResponse, DurationStatus, ExitCause, FailoverStatus, Heartbeat,
    HeartbeatResponse, JobKind, JobState, JobStatus, KeyPage, KeyValue, ListedMachine, MachineList,
    MachineNames, MachineState, MachineType, MachineTypes, Operation, Priority, ReplicationStatus,
    TaskState, TaskStatus, Transaction, WatchEvent, WatchResponse,
};

#[test]
fn job_spec_json_matches_fixtures_for_every_kind_and_priority() {
    for (kind, name) in
        [(JobKind::Array, "array"), (JobKind::Gang, "group"), (JobKind::Daemon, "daemon")]
    {
        json(&format!("pinned-kind-{name}"), &kind);
    }
    for (priority, name) in [
        (Priority::Low, "low"),
        (Priority::Normal, "normal"),
        (Priority::High, "high"),
        (Priority::Production, "production"),
    ] {
        json(&format!("pinned-priority-{name}"), &priority);
    }
    json("pinned-http-job-nulls", &bare_spec());
    read_only("pinned-http-job-bare", &bare_spec());
}

#[test]
fn job_status_json_matches_fixtures_for_every_state() {
    let bare = |state| JobStatus { team: None, leader: None, notes: vec![], ..status(state) };
    json("pinned-http-status-queued", &bare(JobState::Queued));
    json("pinned-http-status-running", &bare(JobState::Running));
    json("pinned-http-status-done", &bare(JobState::Done));
    json("pinned-http-status-cancelled", &bare(JobState::Cancelled));
    let minimal = JobStatus { done: 0, running: 0, ..bare(JobState::Queued) };
    read_only("pinned-http-status-least", &minimal);
}

#[test]
fn task_status_json_matches_fixtures_for_every_state_and_cause() {
    for (cause, name) in [
        (ExitCause::Done, "done"),
        (ExitCause::Stopped, "stopped"),
        (ExitCause::GangMemberLost, "peers"),
        (ExitCause::GangIncomplete, "incomplete"),
        (ExitCause::Error, "error"),
        (ExitCause::InsufficientResources, "no-room"),
        (ExitCause::AttemptConflict, "busy"),
        (ExitCause::UnknownJob, "unknown"),
        (ExitCause::Other, "other"),
    ] {
        json(&format!("pinned-cause-{name}"), &cause);
    }
    read_only("pinned-cause-of-a-later-version", &ExitCause::Other);
    for (state, name) in [
        (TaskState::FetchingImage, "pulling"),
        (TaskState::WaitingForGang, "waiting"),
        (TaskState::Running, "running"),
        (TaskState::Checkpointing, "saving"),
        (TaskState::Ended, "ended"),
    ] {
        json(&format!("pinned-task-{name}"), &state);
    }
}

#[test]
fn heartbeat_without_optional_fields_parses_with_defaults() {
    let task = |cause, checkpointed| TaskStatus {
        task: "req-000412/3".into(),
        attempt: 2,
        state: TaskState::Ended,
        cause,
        checkpointed,
    };
    let heartbeat = |tasks| Heartbeat {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: 88,
        fencing_token: 0,
        interruption_notice_s: None,
        tasks,
    };
    read_only("pinned-http-report-least", &heartbeat(vec![]));
    read_only("pinned-http-report-least-task", &heartbeat(vec![task(None, None)]));
    json(
        "pinned-http-report-nulls",
        &heartbeat(vec![task(Some(ExitCause::GangMemberLost), Some(false))]),
    );
}

#[test]
fn command_json_matches_fixtures_for_every_command() {
    let task = || "req-000412/4".to_owned();
    json("pinned-command-run", &Command::Run { task: task(), attempt: 2 });
    json("pinned-command-kill", &Command::Kill { task: task(), attempt: 2, grace_s: 0.0 });
    json("pinned-command-reap", &Command::Reap { task: task(), attempt: 2 });
    json(
        "pinned-http-report-answer-empty",
        &HeartbeatResponse { fencing_token: 41, commands: vec![] },
    );
}

#[test]
fn store_messages_without_optional_fields_parse_with_defaults() {
    let value = serde_json::json!([1, "a", null]);
    let pair =
        KeyValue { key: "a/b".into(), value: value.clone(), mod_revision: 412, lease_id: None };
    json("pinned-store-pair-null", &pair);
    read_only("pinned-store-pair-least", &pair);
    read_only("pinned-store-page-least", &KeyPage { pairs: vec![], has_next: false, revision: 9 });
    json("pinned-store-commit-empty", &Transaction::default());
    read_only("pinned-store-commit-least", &Transaction::default());
    read_only("pinned-store-commit-answer-least", &CommitResponse { failed: vec![], revision: 9 });
    read_only("pinned-store-watch-least", &WatchResponse { revision: 9, events: vec![] });
    json("pinned-store-put", &Operation::put("a/b", value.clone()));
    let leased = Operation::Put { key: "a/b".into(), value: value.clone(), lease_id: Some(7) };
    json("pinned-store-put-leased", &leased);
    json("pinned-store-delete", &Operation::delete("a/b"));
    json("pinned-store-event-put", &WatchEvent::Put { key: "a/b".into(), value, mod_revision: 9 });
    json("pinned-store-event-delete", &WatchEvent::Delete { key: "a/b".into(), mod_revision: 9 });
}

#[test]
fn cloud_messages_without_optional_fields_parse_with_defaults() {
    let machine_type = MachineType {
        name: "c4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price_per_hour: 1.0,
        spot_price: None,
        boot_s: 20.0,
        zones: vec![],
    };
    let types = MachineTypes { machine_types: vec![machine_type] };
    json("pinned-cloud-flavors-nulls", &types);
    read_only("pinned-cloud-flavors-least", &types);
    let listed = ListedMachine {
        name: "m-000231".into(),
        address: None,
        machine_type: "c4".into(),
        zone: "b".into(),
        spot: false,
        state: MachineState::Booting,
        age_s: 0.0,
    };
    let list = MachineList { machines: vec![listed], has_next: false };
    json("pinned-cloud-list-nulls", &list);
    read_only("pinned-cloud-list-least", &list);
    json("pinned-cloud-hosts-empty", &MachineNames { machines: vec![] });
    for (state, name) in [
        (MachineState::Booting, "booting"),
        (MachineState::Running, "running"),
        (MachineState::Failed, "failed"),
        (MachineState::Other, "other"),
    ] {
        json(&format!("pinned-machine-{name}"), &state);
    }
    read_only("pinned-machine-of-a-later-version", &MachineState::Other);
}

#[test]
fn replication_status_json_matches_fixtures() {
    json("pinned-http-replication-bare", &ReplicationStatus::default());
    let durations = |count| DurationStatus {
        count,
        p50_ms: count + 1,
        p99_ms: count + 2,
        longest_ms: count + 3,
    };
    let failover = FailoverStatus {
        detection: durations(20),
        election: durations(30),
        catching_up: durations(40),
        first_start: durations(50),
        total: durations(60),
    };
    let status = ReplicationStatus {
        phase: "catching up".into(),
        leader: Some("worker-1".into()),
        copy: "usable".into(),
        term: Some(4_097),
        index: Some(300),
        machines: 2,
        tasks: 3,
        lag_entries: 4,
        lag_ms: 5,
        lag: durations(10),
        snapshots: 6,
        resyncs: 7,
        failover,
    };
    json("pinned-http-replication", &status);
}
