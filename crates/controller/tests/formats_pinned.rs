//! Formats that `formats.rs` does not cover: the remaining enum variants, optional fields, and the content of a
//! replication snapshot. Each line of `fixtures/pinned.txt` is what commit cd798ce wrote for a value below;
//! lines are only added, never changed.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod formats_support;

use formats_support::{bare_spec, fixture, frame, json, read_only, status};
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peer_job_status::PeerJobStatus;
use hookway_controller::peers::{PeerRequest, PeerResponse, Peers};
use hookway_controller::records::{
    ClassRecord, FinalRecord, ImageRecord, JobRecord, JobSchedulingRecord, LegacyImagesRecord,
    MachineRegistryEntry, MachineRegistryRecord, ProgressRecord, SharedStartWatermarksRecord,
};
use hookway_controller::standby::{Standby, StandbyMode, StandbySignals};
use hookway_policy::Resources;
use hookway_replication::{
    Entry, FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress, PlacedTask,
    Position, PublishedMachine, PublishedTask, Publisher, RangeDigest, ReplicatedJob,
    ReplicatedState, Stage,
};
use hookway_time::MonotonicTime;
use hookway_wire::JobState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn optional_record_fields_are_omitted_when_empty_and_default_when_missing() {
    let record = |has_start_watermark| JobRecord {
        spec: bare_spec(),
        accepted_at_ms: 1_764_654_219_000,
        has_start_watermark,
    };
    json("pinned-record-job-bare", &record(false));
    read_only("pinned-record-job-of-0.1.0", &record(false));
    read_only("pinned-record-job-unknown-field", &record(true));
    let final_record = |state, notes| FinalRecord { state, done: 3, team: "vision".into(), notes };
    read_only("pinned-record-final-unknown-field", &final_record(JobState::Done, vec![]));
    let scheduling = JobSchedulingRecord {
        min_tasks: 7,
        run_time_count: 4,
        run_time_sum_ms: 91_000,
        start_watermark: 0,
    };
    json("pinned-record-minimum-unopened", &scheduling);
    read_only("pinned-record-minimum-of-0.1.0", &scheduling);
    json("pinned-record-progress-empty", &ProgressRecord::new(&[]));
    json("pinned-record-marks-empty", &SharedStartWatermarksRecord { jobs: BTreeSet::new() });
    json("pinned-record-roster-empty", &MachineRegistryRecord::default());
    let entry = MachineRegistryEntry { registered_at_ms: 1_764_654_219_000, images: vec![1, 0] };
    let machines = BTreeMap::from([("m-000231".to_owned(), entry)]);
    let images = [("img-07", 6.2), ("img-08", 0.5)]
        .map(|(name, size_gb)| ImageRecord { name: name.into(), size_gb })
        .to_vec();
    json("pinned-record-roster-images", &MachineRegistryRecord { machines, images });
    json("pinned-record-images-empty", &LegacyImagesRecord::default());
}

#[test]
fn class_statistics_record_is_map_keyed_by_class() {
    let request = Resources { cpus: 8.0, gpus: 1.0, memory_gb: 64.0 };
    let gang = ClassRecord { request, image_gb: 6.2, allows_spot: true, is_gang_class: true };
    let request = Resources { cpus: 0.5, gpus: 0.0, memory_gb: 2.0 };
    let array = ClassRecord { request, image_gb: 0.0, allows_spot: false, is_gang_class: false };
    let classes = BTreeMap::from([("cleanup".to_owned(), array), ("train".to_owned(), gang)]);
    json("pinned-record-classes", &classes);
}

#[test]
fn job_state_frames_match_fixtures() {
    let job_finished = |state| {
        PeerRequest::JobFinished(PeerJobStatus {
            notes: vec![],
            ..PeerJobStatus::from(status(state))
        })
    };
    frame("pinned-ask-over-queued", &job_finished(JobState::Queued));
    frame("pinned-ask-over-running", &job_finished(JobState::Running));
    frame("pinned-ask-over-done", &job_finished(JobState::Done));
    frame("pinned-ask-over-cancelled", &job_finished(JobState::Cancelled));
}

#[test]
fn replication_frames_match_fixtures_for_every_stage_and_absent_option() {
    let at = |index| Position { term: u64::MAX, index };
    let entry = |stage| Entry::Task {
        machine: "m-000231".into(),
        task: PlacedTask { task: "req-000412/3".into(), attempt: u64::MAX, stage },
    };
    let job = ReplicatedJob {
        failed_machines: vec!["m-1".into(), "m-2".into()],
        ..ReplicatedJob::default()
    };
    let entries = vec![
        entry(Stage::Planned),
        entry(Stage::Sent),
        entry(Stage::Accepted),
        entry(Stage::Running),
        Entry::Job { id: "req-000412".into(), job },
    ];
    let body = FollowResponseBody::Entries { after: at(0), entries, digest: None };
    let response = FollowResponse { end: at(5), body };
    frame("pinned-answer-entries", &PeerResponse::FollowResponse(Some(response)));
    let body = FollowResponseBody::Entries { after: at(5), entries: vec![], digest: None };
    let response = FollowResponse { end: at(5), body };
    frame("pinned-answer-no-entries", &PeerResponse::FollowResponse(Some(response)));
}

/// Returns the publisher of a leader whose cluster state has a task at each stage and two jobs.
fn publisher_with_cluster_state() -> Publisher {
    let mut publisher = Publisher::new(4_097);
    let task = |task, attempt, stage| PublishedTask { task, attempt, stage };
    let machine = PublishedMachine { name: "m-000231", address: "10.1.0.232:9000", incarnation: 2 };
    let tasks = [
        task("req-000412/3", 9, Stage::Planned),
        task("req-000412/4", 9, Stage::Sent),
        task("req-000413/0", 300, Stage::Accepted),
        task("req-000413/1", 70_000, Stage::Running),
    ];
    publisher.publish_machine(machine, tasks.into_iter());
    let machine = PublishedMachine { name: "m-000232", address: "10.1.0.233:9000", incarnation: 1 };
    publisher.publish_machine(machine, std::iter::empty());
    let job = ReplicatedJob {
        gang_attempt: Some(9),
        consecutive_failures: 2,
        last_failure_unix_ms: 1_764_654_219_000,
        backoff_until_unix_ms: 1_764_654_224_000,
        failed_machines: vec!["m-000231".into(), "m-000232".into()],
    };
    publisher.publish_job("req-000412", job);
    publisher.publish_job(
        "req-000413",
        ReplicatedJob { consecutive_failures: 1, ..ReplicatedJob::default() },
    );
    publisher
}

#[test]
fn replication_snapshot_matches_pinned_bytes_and_digest() {
    let mut publisher = publisher_with_cluster_state();
    let request = FollowRequest { follower: "worker-1".into(), progress: FollowerProgress::Empty };
    let response =
        publisher.respond(&request, MonotonicTime::ZERO).expect("a replication snapshot");
    frame("pinned-answer-image", &PeerResponse::FollowResponse(Some(response)));
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
    let address = listener.local_addr().expect("a bound address").to_string();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut sent = vec![0; 4 + 12 + 1];
        stream.read_exact(&mut sent).await.expect("a frame");
        // `RequestOutcome::NotFound` as a controller of version 2 sends it.
        stream.write_all(&[0, 0, 0, 3, 0, 2, 2]).await.expect("an open connection");
        (sent, stream)
    });
    let peers = Peers::new([("worker-1".to_owned(), address)].into());
    let request = PeerRequest::Status("req-000412".into());
    let limit = Duration::from_millis(5_000);
    let response =
        peers.send_through_breaker("worker-1", &request, limit).await.expect("a response");
    assert_eq!(response, hookway_controller::request_outcome::RequestOutcome::NotFound);
    let (sent, _stream) = tokio::time::timeout(Duration::from_secs(5), served)
        .await
        .expect("a request within 5 s")
        .expect("the scripted peer does not panic");
    assert_eq!(hex(&sent), fixture("pinned-status-on-the-wire"));
}

#[test]
fn replication_phase_and_copy_state_have_pinned_spellings() {
    let mut standby = Standby::new("worker-0", StandbyMode::Warm, StandbySignals::default());
    let phase_and_copy = |standby: &Standby, now| {
        let status = standby.status(now);
        (status.phase, status.copy)
    };
    let at = MonotonicTime::from_millis;
    let expected = |phase: &str, copy: &str| (phase.to_owned(), copy.to_owned());
    assert_eq!(phase_and_copy(&standby, at(0)), expected("following", "no copy"));
    let (leader, leader_term) = (Some("worker-1".to_owned()), Some(4_097));
    standby.leadership_view_changed(&LeadershipView { leader, leader_term, own_term: None }, at(0));
    let mut publisher = publisher_with_cluster_state();
    for now in (0..10_000).step_by(200).map(at) {
        let request = standby.next_request(now).expect("a request of a follower");
        standby.handle_response(publisher.respond(&request, now).expect("a response"), now);
    }
    assert_eq!(phase_and_copy(&standby, at(10_000)), expected("following", "usable"));
    standby.next_request(at(20_000));
    assert_eq!(standby.status(at(20_000)).phase, "suspecting");
    standby.leadership_view_changed(&LeadershipView::default(), at(20_000));
    assert_eq!(standby.status(at(20_000)).phase, "fencing");
    assert!(standby.election_won(8_193, at(20_000)));
    assert_eq!(standby.status(at(20_000)).phase, "catching up");
    assert!(standby.records_read(8_193, at(20_000)));
    assert_eq!(standby.status(at(20_000)).phase, "active");
}
