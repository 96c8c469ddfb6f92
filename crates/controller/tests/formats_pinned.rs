//! What `formats.rs` lacks: every variant of every enum, fields that may be missing, the state that pieces of an
//! image carry. `fixtures/pinned.txt` has what commit cd798ce wrote for the values below, one a line; it only grows.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod formats_support;

use formats_support::{fixture, frame, json, spec, status};
use hookway_controller::job_snapshot::JobSnapshot;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::{PeerRequest, PeerResponse, Peers};
use hookway_controller::records::{
    ClassRecord, FinalRecord, ImageRecord, ImagesRecord, JobRecord, JobSchedulingRecord,
    MachineRegistryEntry, MachineRegistryRecord, ProgressRecord, SharedStartWatermarksRecord,
};
use hookway_controller::standby::{Standby, StandbyMode, StandbySignals};
use hookway_policy::Resources;
use hookway_replication::{
    Entry, FollowAnswer, FollowBody, FollowRequest, FollowerProgress, JobHints, MachineView,
    PlacedTask, Position, Publisher, RangeDigest, ReplicatedState, Stage, TaskView,
};
use hookway_wire::{
    Command, CommitResponse, DurationStatus, ExitCause, FailoverStatus, Heartbeat,
    HeartbeatResponse, JobKind, JobSpec, JobState, JobStatus, KeyPage, KeyValue, ListedMachine,
    MachineList, MachineNames, MachineState, MachineType, MachineTypes, Operation, Priority,
    ReplicationStatus, TaskState, TaskStatus, Transaction, WatchEvent, WatchResponse,
};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The JSON of the fixture is read as a value that would be written differently.
fn read_only<T: DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let read: T = serde_json::from_str(fixture(name)).expect("a value");
    assert_eq!(&read, value, "{name} is read differently");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A job without anything that may be missing.
fn bare_spec() -> JobSpec {
    JobSpec { machine_types: None, zone: None, deadline_s: None, ..spec("array") }
}

#[test]
fn optional_record_fields_are_omitted_when_empty_and_default_when_missing() {
    let record = |marked| JobRecord {
        spec: bare_spec(),
        accepted_at_ms: 1_764_654_219_000,
        has_start_watermark: marked,
    };
    json("pinned-record-job-bare", &record(false));
    read_only("pinned-record-job-of-0.1.0", &record(false));
    read_only("pinned-record-job-unknown-field", &record(true));
    let ended = |state, notes| FinalRecord { state, done: 3, team: "vision".into(), notes };
    read_only("pinned-record-final-unknown-field", &ended(JobState::Done, vec![]));
    let minimum = JobSchedulingRecord {
        min_tasks: 7,
        run_time_count: 4,
        run_time_sum_ms: 91_000,
        start_watermark: 0,
    };
    json("pinned-record-minimum-unopened", &minimum);
    read_only("pinned-record-minimum-of-0.1.0", &minimum);
    json("pinned-record-progress-empty", &ProgressRecord::new(&[]));
    json("pinned-record-marks-empty", &SharedStartWatermarksRecord { jobs: BTreeSet::new() });
    json("pinned-record-roster-empty", &MachineRegistryRecord::default());
    let entry = MachineRegistryEntry { registered_at_ms: 1_764_654_219_000, images: vec![1, 0] };
    let machines = BTreeMap::from([("m-000231".to_owned(), entry)]);
    let images = [("img-07", 6.2), ("img-08", 0.5)]
        .map(|(name, size_gb)| ImageRecord { name: name.into(), size_gb })
        .to_vec();
    json("pinned-record-roster-images", &MachineRegistryRecord { machines, images });
    json("pinned-record-images-empty", &ImagesRecord::default());
}

#[test]
fn class_statistics_record_is_map_keyed_by_class() {
    let need = Resources { cpus: 8.0, gpus: 1.0, memory_gb: 64.0 };
    let gang = ClassRecord { request: need, image_gb: 6.2, spot: true, gangs: true };
    let need = Resources { cpus: 0.5, gpus: 0.0, memory_gb: 2.0 };
    let array = ClassRecord { request: need, image_gb: 0.0, spot: false, gangs: false };
    let classes = BTreeMap::from([("cleanup".to_owned(), array), ("train".to_owned(), gang)]);
    json("pinned-record-classes", &classes);
}

#[test]
fn job_state_frames_match_fixtures() {
    let over = |state| {
        PeerRequest::JobFinished(JobSnapshot { notes: vec![], ..JobSnapshot::from(status(state)) })
    };
    frame("pinned-ask-over-queued", &over(JobState::Queued));
    frame("pinned-ask-over-running", &over(JobState::Running));
    frame("pinned-ask-over-done", &over(JobState::Done));
    frame("pinned-ask-over-cancelled", &over(JobState::Cancelled));
}

#[test]
fn replication_frames_match_fixtures_for_every_stage_and_absent_option() {
    let at = |index| Position { term: u64::MAX, index };
    let entry = |stage| Entry::Task {
        machine: "m-000231".into(),
        task: PlacedTask { task: "req-000412/3".into(), attempt: u64::MAX, stage },
    };
    let hints = JobHints { failed_on: vec!["m-1".into(), "m-2".into()], ..JobHints::default() };
    let entries = vec![
        entry(Stage::Planned),
        entry(Stage::Sent),
        entry(Stage::Accepted),
        entry(Stage::Running),
        Entry::Job { id: "req-000412".into(), hints },
    ];
    let body = FollowBody::Entries { after: at(0), entries, digest: None };
    let answer = FollowAnswer { end: at(5), body };
    frame("pinned-answer-entries", &PeerResponse::Followed(Some(answer)));
    let body = FollowBody::Entries { after: at(5), entries: vec![], digest: None };
    let answer = FollowAnswer { end: at(5), body };
    frame("pinned-answer-no-entries", &PeerResponse::Followed(Some(answer)));
}

/// A leader's cluster state with a task at each stage and two jobs.
fn publisher_with_cluster_state() -> Publisher {
    let mut publisher = Publisher::new(4_097);
    let task = |task, attempt, stage| TaskView { task, attempt, stage };
    let view = MachineView { name: "m-000231", address: "10.1.0.232:9000", incarnation: 2 };
    let tasks = [
        task("req-000412/3", 9, Stage::Planned),
        task("req-000412/4", 9, Stage::Sent),
        task("req-000413/0", 300, Stage::Accepted),
        task("req-000413/1", 70_000, Stage::Running),
    ];
    publisher.publish_machine(view, tasks.into_iter());
    let view = MachineView { name: "m-000232", address: "10.1.0.233:9000", incarnation: 1 };
    publisher.publish_machine(view, std::iter::empty());
    let hints = JobHints {
        attempt: Some(9),
        errors: 2,
        failed_at: 1_764_654_219_000,
        paused_until: 1_764_654_224_000,
        failed_on: vec!["m-000231".into(), "m-000232".into()],
    };
    publisher.publish_job("req-000412", hints);
    publisher.publish_job("req-000413", JobHints { errors: 1, ..JobHints::default() });
    publisher
}

#[test]
fn state_image_matches_pinned_bytes_and_digest() {
    let mut publisher = publisher_with_cluster_state();
    let request = FollowRequest { follower: "worker-1".into(), progress: FollowerProgress::Empty };
    let answer = publisher.answer(&request, 0).expect("an image");
    frame("pinned-answer-image", &PeerResponse::Followed(Some(answer)));
    frame("pinned-image-state", publisher.state());
    frame("pinned-image-empty-state", &ReplicatedState::default());
}

#[test]
fn replicated_state_matches_pinned_range_digests() {
    let publisher = publisher_with_cluster_state();
    let digests: Vec<String> = (0..)
        .map_while(|range| RangeDigest::of(publisher.state(), range))
        .map(|digest| format!("{:016x}", digest.digest))
        .collect();
    assert_eq!(digests.join(" "), fixture("pinned-digests"));
}

#[tokio::test]
async fn peer_frames_are_prefixed_with_four_byte_length_in_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut sent = vec![0; 4 + 12 + 1];
        stream.read_exact(&mut sent).await.expect("a frame");
        // `RequestOutcome::Absent` as a controller of version 2 answers.
        stream.write_all(&[0, 0, 0, 3, 0, 2, 2]).await.expect("it listens");
        (sent, stream)
    });
    let peers = Peers::new([("worker-1".to_owned(), address)].into());
    let ask = PeerRequest::Status("req-000412".into());
    let answer = peers.ask("worker-1", &ask, 5_000).await.expect("an answer");
    assert_eq!(answer, hookway_controller::request_outcome::RequestOutcome::NotFound);
    let (sent, _stream) = tokio::time::timeout(Duration::from_secs(5), served)
        .await
        .expect("in time")
        .expect("no panic");
    assert_eq!(hex(&sent), fixture("pinned-status-on-the-wire"));
}

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
    let least = JobStatus { done: 0, running: 0, ..bare(JobState::Queued) };
    read_only("pinned-http-status-least", &least);
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
    let task = |cause, saved| TaskStatus {
        task: "req-000412/3".into(),
        attempt: 2,
        state: TaskState::Ended,
        cause,
        checkpointed: saved,
    };
    let report = |tasks| Heartbeat {
        machine: "m-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: 88,
        fencing_token: 0,
        interruption_notice_s: None,
        tasks,
    };
    read_only("pinned-http-report-least", &report(vec![]));
    read_only("pinned-http-report-least-task", &report(vec![task(None, None)]));
    json(
        "pinned-http-report-nulls",
        &report(vec![task(Some(ExitCause::GangMemberLost), Some(false))]),
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
    let v = serde_json::json!([1, "a", null]);
    let pair = KeyValue { key: "a/b".into(), value: v.clone(), mod_revision: 412, lease_id: None };
    json("pinned-store-pair-null", &pair);
    read_only("pinned-store-pair-least", &pair);
    read_only("pinned-store-page-least", &KeyPage { pairs: vec![], has_next: false, revision: 9 });
    json("pinned-store-commit-empty", &Transaction::default());
    read_only("pinned-store-commit-least", &Transaction::default());
    read_only("pinned-store-commit-answer-least", &CommitResponse { failed: vec![], revision: 9 });
    read_only("pinned-store-watch-least", &WatchResponse { revision: 9, events: vec![] });
    json("pinned-store-put", &Operation::put("a/b", v.clone()));
    let leased = Operation::Put { key: "a/b".into(), value: v.clone(), lease_id: Some(7) };
    json("pinned-store-put-leased", &leased);
    json("pinned-store-delete", &Operation::delete("a/b"));
    json(
        "pinned-store-event-put",
        &WatchEvent::Put { key: "a/b".into(), value: v, mod_revision: 9 },
    );
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
        id: "m-000231".into(),
        addr: None,
        machine_type: "c4".into(),
        zone: "b".into(),
        spot: false,
        status: MachineState::Booting,
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
    let times = |count| DurationStatus {
        count,
        p50_ms: count + 1,
        p99_ms: count + 2,
        longest_ms: count + 3,
    };
    let failover = FailoverStatus {
        detection: times(20),
        election: times(30),
        catching_up: times(40),
        first_start: times(50),
        whole: times(60),
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
        lag: times(10),
        images: 6,
        resyncs: 7,
        failover,
    };
    json("pinned-http-replication", &status);
}

#[test]
fn replication_phase_and_copy_state_have_pinned_spellings() {
    let mut standby = Standby::new("worker-0", StandbyMode::Warm, StandbySignals::default());
    let said = |standby: &Standby, now| {
        let status = standby.status(now);
        (status.phase, status.copy)
    };
    let words = |phase: &str, copy: &str| (phase.to_owned(), copy.to_owned());
    assert_eq!(said(&standby, 0), words("following", "no copy"));
    let (leader, leader_term) = (Some("worker-1".to_owned()), Some(4_097));
    standby.view_changed(&LeadershipView { leader, leader_term, own_term: None }, 0);
    let mut publisher = publisher_with_cluster_state();
    for now in (0..10_000).step_by(200) {
        let request = standby.next_request(now).expect("it follows");
        standby.followed(publisher.answer(&request, now).expect("an answer"), now);
    }
    assert_eq!(said(&standby, 10_000), words("following", "usable"));
    standby.next_request(20_000);
    assert_eq!(standby.status(20_000).phase, "suspecting");
    standby.view_changed(&LeadershipView::default(), 20_000);
    assert_eq!(standby.status(20_000).phase, "fencing");
    assert!(standby.elected(8_193, 20_000));
    assert_eq!(standby.status(20_000).phase, "catching up");
    assert!(standby.records_read(8_193, 20_000));
    assert_eq!(standby.status(20_000).phase, "active");
}
