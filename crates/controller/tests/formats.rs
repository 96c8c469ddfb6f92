//! The formats as production reads and writes them: records in the store, frames between controllers, and HTTP
//! messages. Each line of `fixtures/production.txt` is what commit a77378733694 wrote for a value below;
//! `fixtures/replication.txt` has the frames that were added later. Whatever is renamed in the code, each line must
//! be read as that value, and the value written as that line.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod formats_support;

use formats_support::{fixture, frame, id, json, read_only, spec, status};
use hookway_controller::frame::{self, CURRENT_VERSION, Frame, FrameVersion};
use hookway_controller::peer_job_status::PeerJobStatus;
use hookway_controller::peers::{PeerRequest, PeerResponse};
use hookway_controller::records::{
    ClassRecord, FinalRecord, ImageRecord, JobRecord, JobSchedulingRecord, LeaderRecord,
    LegacyImagesRecord, MachineRegistryEntry, MachineRegistryRecord, ProgressRecord,
    SharedStartWatermarksRecord,
};
use hookway_controller::request_outcome::RequestOutcome;
use hookway_controller::shard_lease::{ShardLease, ShardLeaseAcknowledgement, ShardLeaseRenewal};
use hookway_policy::Resources;
use hookway_replication::{
    Entry, FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress, PlacedTask,
    Position, RangeDigest, ReplicatedJob, SnapshotChunk, Stage,
};
use hookway_wire::{
    Command, CommitResponse, DirectCommands, ErrorBody, ExitCause, Heartbeat, HeartbeatRedirect,
    HeartbeatResponse, JobState, JobStatus, KeyPage, KeyValue, LeaseGrant, LeaseGrantRequest,
    ListedKeyValue, ListedMachine, MachineList, MachineNames, MachineState, MachineType,
    MachineTypes, Operation, Precondition, ScaleOutRequest, TaskState, TaskStatus, Transaction,
    WatchEvent, WatchResponse,
};
use std::collections::{BTreeMap, BTreeSet};

fn heartbeat() -> Heartbeat {
    let task = |task: &str, state, cause, checkpointed| TaskStatus {
        task: task.into(),
        attempt: 2,
        state,
        cause,
        checkpointed,
    };
    Heartbeat {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 1,
        sequence: 88,
        fencing_token: 41,
        interruption_notice_s: Some(12.5),
        tasks: vec![
            task("req-000412/3", TaskState::Running, None, None),
            task("req-000412/4", TaskState::FetchingImage, None, None),
            task("req-000412/5", TaskState::WaitingForGang, None, None),
            task("req-000412/6", TaskState::Checkpointing, None, None),
            task("req-000398/0", TaskState::Ended, Some(ExitCause::Done), None),
            task("req-000398/1", TaskState::Ended, Some(ExitCause::Stopped), Some(true)),
            task("req-000398/2", TaskState::Ended, Some(ExitCause::InsufficientResources), None),
        ],
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::Run { task: "req-000412/4".into(), attempt: 2 },
        Command::Kill { task: "req-000377/1".into(), attempt: 1, grace_s: 10.0 },
        Command::Reap { task: "req-000398/0".into(), attempt: 1 },
    ]
}

#[test]
fn store_records_are_read_and_written_as_in_production() {
    let job = |kind: &str| JobRecord {
        spec: spec(kind),
        accepted_at_ms: 1_764_654_219_000,
        has_start_watermark: true,
    };
    json("record-job-array", &job("array"));
    json("record-job-group", &job("group"));
    json("record-job-daemon", &job("daemon"));
    json(
        "record-lead",
        &LeaderRecord { controller_name: "worker-1".into(), term: 4_097, nonce: 77 },
    );
    let final_record = |state, notes| FinalRecord { state, done: 3, team: "vision".into(), notes };
    json("record-final-done", &final_record(JobState::Done, vec![]));
    json("record-final-withdrawn", &final_record(JobState::Cancelled, vec!["a note".into()]));
    let mut results = vec![false; 20];
    (results[0], results[9], results[19]) = (true, true, true);
    json("record-progress", &ProgressRecord::new(&results));
    let scheduling = JobSchedulingRecord {
        min_tasks: 7,
        run_time_count: 4,
        run_time_sum_ms: 91_000,
        start_watermark: 32,
    };
    json("record-minimum", &scheduling);
    json("record-marks", &SharedStartWatermarksRecord { jobs: BTreeSet::from([id()]) });
    let entry = MachineRegistryEntry { registered_at_ms: 1_764_654_219_000, images: vec![0] };
    let images = vec![ImageRecord { name: "img-07".into(), size_gb: 6.2 }];
    let without_images =
        MachineRegistryEntry { registered_at_ms: 1_764_654_219_001, images: vec![] };
    let machines =
        BTreeMap::from([("m-000231".to_owned(), entry), ("m-000232".to_owned(), without_images)]);
    json("record-roster", &MachineRegistryRecord { machines, images: images.clone() });
    json("record-images", &LegacyImagesRecord { images });
    let request = Resources { cpus: 8.0, gpus: 1.0, memory_gb: 64.0 };
    json(
        "record-lane",
        &ClassRecord { request, image_gb: 6.2, allows_spot: true, is_gang_class: false },
    );
}

#[test]
fn frames_between_controllers_are_read_and_written_as_in_production() {
    let peer_status = |state| PeerJobStatus::from(status(state));
    let bare =
        PeerJobStatus { team: None, leader: None, notes: vec![], ..peer_status(JobState::Queued) };
    frame("ask-status", &PeerRequest::Status("req-000412".into()));
    frame("ask-withdraw", &PeerRequest::Cancel("req-000412".into()));
    frame("ask-submit", &PeerRequest::Submit(b"{\"NameId\":1}".to_vec()));
    let renewal = |acknowledged, extended_ago_ms| ShardLeaseRenewal {
        controller: "worker-1".into(),
        process_nonce: u64::MAX,
        uptime_ms: 70_000,
        acknowledged,
        extended_ago_ms,
    };
    let acknowledged = ShardLeaseAcknowledgement { term: 4_097, granted_at_ms: 300 };
    frame("ask-renew", &PeerRequest::RenewShardLease(renewal(Some(acknowledged), Some(1_500))));
    frame("ask-renew-first", &PeerRequest::RenewShardLease(renewal(None, None)));
    frame("ask-over", &PeerRequest::JobFinished(peer_status(JobState::Cancelled)));
    let response = |outcome| PeerResponse::Outcome(outcome);
    frame("answer-accepted", &response(RequestOutcome::Accepted(bare)));
    frame("answer-known-running", &response(RequestOutcome::Known(peer_status(JobState::Running))));
    frame("answer-known-done", &response(RequestOutcome::Known(peer_status(JobState::Done))));
    frame("answer-absent", &response(RequestOutcome::NotFound));
    frame(
        "answer-refused",
        &response(RequestOutcome::Rejected { status: 422, reason: "no room".into() }),
    );
    frame("answer-later", &response(RequestOutcome::Unavailable("not now".into())));
    let lease = ShardLease {
        term: 4_097,
        granted_at_ms: 70_000,
        zones: vec!["a".into()],
        lease_ms: 30_000,
    };
    frame("answer-block", &PeerResponse::ShardLease(Some(lease)));
    frame("answer-no-block", &PeerResponse::ShardLease(None));
}

/// Frames that frame version 2 added. A controller of an earlier version, or one in production, whose frames have no
/// version, never receives them: the sender first checks the version in the leader's responses.
#[test]
fn frames_of_replication_are_read_and_written_as_in_version_2() {
    let at = |index| Position { term: 4_097, index };
    let follow =
        |progress| PeerRequest::Follow(FollowRequest { follower: "worker-1".into(), progress });
    frame("ask-follow-nothing", &follow(FollowerProgress::Empty));
    frame("ask-follow-through", &follow(FollowerProgress::Through(at(300))));
    frame(
        "ask-follow-pieces",
        &follow(FollowerProgress::ReceivingSnapshot { position: at(300), next_chunk: 2 }),
    );
    let job = ReplicatedJob {
        gang_attempt: Some(9),
        consecutive_failures: 2,
        last_failure_unix_ms: 1_000,
        backoff_until_unix_ms: 5_000,
        failed_machines: vec!["m-000231".into()],
    };
    let task = PlacedTask { task: "req-000412/3".into(), attempt: 9, stage: Stage::Running };
    let machine = || "m-000231".to_owned();
    let entries = vec![
        Entry::Machine { name: machine(), address: "10.1.0.232:9000".into(), incarnation: 2 },
        Entry::MachineRemoved { name: machine() },
        Entry::Task { machine: machine(), task },
        Entry::TaskRemoved { machine: machine(), task: "req-000412/3".into(), attempt: 9 },
        Entry::Job { id: "req-000412".into(), job },
        Entry::JobRemoved { id: "req-000412".into() },
    ];
    let digest = Some(RangeDigest { range: 3, digest: 77 });
    let body = FollowResponseBody::Entries { after: at(300), entries, digest };
    frame(
        "answer-entries",
        &PeerResponse::FollowResponse(Some(FollowResponse { end: at(400), body })),
    );
    let chunk = SnapshotChunk {
        position: at(300),
        index: 1,
        snapshot_bytes: 5,
        snapshot_digest: 8,
        bytes: vec![1, 2],
    };
    let body = FollowResponseBody::SnapshotChunk(chunk);
    frame(
        "answer-piece",
        &PeerResponse::FollowResponse(Some(FollowResponse { end: at(400), body })),
    );
    frame("answer-follows-not", &PeerResponse::FollowResponse(None));
}

#[test]
fn frame_version_is_in_trailing_byte_that_production_ignores() {
    let request = PeerRequest::Status("req-000412".into());
    let bytes = frame::encode(&request).expect("a frame");
    let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, format!("{}02", fixture("ask-status")));
    // Production decodes the message and ignores the bytes after it.
    let config = bincode::config::standard();
    let (read, _): (PeerRequest, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("a frame");
    assert_eq!(read, request);
    let read = frame::decode::<PeerRequest>(&bytes).expect("a frame");
    assert_eq!(read, Frame { message: request.clone(), version: CURRENT_VERSION });
    // A frame of production has no version byte; a frame of a later version may have more bytes.
    let old = &bytes[..bytes.len() - 1];
    let read = frame::decode::<PeerRequest>(old).expect("a frame");
    assert_eq!(read, Frame { message: request.clone(), version: FrameVersion(0) });
    let later = [old, &[9, 1, 2, 3]].concat();
    let read = frame::decode::<PeerRequest>(&later).expect("a frame");
    assert_eq!(read, Frame { message: request, version: FrameVersion(9) });
}

#[test]
fn message_of_later_version_is_rejected() {
    assert!(frame::decode::<PeerRequest>(&[200, 1, 2]).is_err());
    assert!(frame::decode::<PeerRequest>(&[]).is_err());
}

#[test]
fn messages_of_users_and_workers_are_read_and_written_as_in_production() {
    json("http-job", &spec("group"));
    json("http-status", &status(JobState::Running));
    let bare = JobStatus { team: None, leader: None, notes: vec![], ..status(JobState::Done) };
    json("http-status-bare", &bare);
    json("http-error", &ErrorBody { error: "no such job".into() });
    json("http-report", &heartbeat());
    json("http-report-answer", &HeartbeatResponse { fencing_token: 41, commands: commands() });
    json(
        "http-orders",
        &DirectCommands { fencing_token: 41, incarnation: 1, commands: commands() },
    );
    json("http-elsewhere", &HeartbeatRedirect { leader: Some("worker-2".into()) });
    json("http-nowhere", &HeartbeatRedirect { leader: None });
}

#[test]
fn store_and_cloud_messages_are_read_and_written_as_in_production() {
    let value = serde_json::json!({ "a": 1 });
    let put = Operation::Put { key: "a/b".into(), value: value.clone(), lease_id: Some(7) };
    let preconditions = vec![Precondition { key: "a/b".into(), mod_revision: 0 }];
    let operations = vec![put, Operation::put("a/c", value.clone()), Operation::delete("c/d")];
    json("store-commit", &Transaction { preconditions, operations });
    json("store-commit-answer", &CommitResponse { failed: vec!["a/b".into()], revision: 431 });
    let pair =
        KeyValue { key: "a/b".into(), value: value.clone(), mod_revision: 412, lease_id: Some(7) };
    json("store-pair", &pair);
    json("store-grant-request", &LeaseGrantRequest { ttl_ms: 5_000 });
    json("store-grant", &LeaseGrant { lease_id: 7 });
    let events = vec![
        WatchEvent::Put { key: "c/9".into(), value, mod_revision: 433 },
        WatchEvent::Delete { key: "c/d".into(), mod_revision: 432 },
    ];
    json("store-watch", &WatchResponse { revision: 433, events });
    let scale_out = ScaleOutRequest {
        request_id: "h-4097-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    json("cloud-rent", &scale_out);
    json("cloud-hosts", &MachineNames { machines: vec!["m-000231".into()] });
    let machine_type = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 12.0,
        spot_price: Some(4.5),
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    json("cloud-flavors", &MachineTypes { machine_types: vec![machine_type] });
    let listed = ListedMachine {
        name: "m-000231".into(),
        address: Some("10.1.0.232:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        state: MachineState::Running,
        age_s: 61.5,
    };
    json("cloud-listed", &listed);
    json("cloud-list", &MachineList { machines: vec![listed], has_next: true });
}

#[test]
fn store_page_is_written_without_leases_and_read_with_or_without() {
    let value = serde_json::json!({ "a": 1 });
    let listed = ListedKeyValue { key: "a/b".into(), value, mod_revision: 412 };
    let page = KeyPage { pairs: vec![listed], has_next: true, revision: 431 };
    // The older line has a lease, which lists of the store don't show.
    read_only("store-page", &page);
    json("pinned-store-page", &page);
}
