//! Every format as production reads and writes it: records in the state service, frames between controllers,
//! HTTP messages. `fixtures/production.txt` has what commit a77378733694 wrote for the values below, one a line;
//! whatever is renamed in the code, it must be read as these values and written as these bytes.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod formats_support;

use formats_support::{fixture, frame, id, json, spec, status};
use hookway_controller::answers::{Told, Verdict};
use hookway_controller::frame::{self, CURRENT, FrameVersion};
use hookway_controller::holders::{BlockLease, Renewal};
use hookway_controller::peers::{PeerAnswer, PeerAsk};
use hookway_controller::records::{
    ClassRecord, FinalRecord, ImagesRecord, JobRecord, LeadRecord, MinimumRecord, ProgressRecord,
    RosterEntry, RosterRecord, SharedMarksRecord,
};
use hookway_policy::Room;
use hookway_replication::{
    Entry, FollowAnswer, FollowBody, FollowRequest, Held, ImagePiece, JobHints, PlacedTask,
    Position, RangeDigest, Stage,
};
use hookway_wire::{
    Cause, Change, CheckIn, CheckInAnswer, Command, CommitAnswer, DirectCommands, ErrorBody, Event,
    Grant, GrantRequest, Guard, JobState, JobStatus, KeyPage, KeyValue, ListedMachine, MachineList,
    MachineNames, MachineState, MachineType, MachineTypes, RentRequest, ReportElsewhere,
    TaskReport, TaskState, Transaction, WatchAnswer,
};
use std::collections::{BTreeMap, BTreeSet};

fn report() -> CheckIn {
    let task = |task: &str, status, cause, saved| TaskReport {
        task: task.into(),
        attempt: 2,
        status,
        cause,
        saved,
    };
    CheckIn {
        machine: "m-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        tick: 88,
        token: 41,
        notice_s: Some(12.5),
        tasks: vec![
            task("req-000412/3", TaskState::Running, None, None),
            task("req-000412/4", TaskState::Pulling, None, None),
            task("req-000412/5", TaskState::Waiting, None, None),
            task("req-000412/6", TaskState::Saving, None, None),
            task("req-000398/0", TaskState::Ended, Some(Cause::Done), None),
            task("req-000398/1", TaskState::Ended, Some(Cause::Stopped), Some(true)),
            task("req-000398/2", TaskState::Ended, Some(Cause::NoRoom), None),
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
fn records_in_the_state_service_are_read_and_written_as_in_production() {
    let job = |kind: &str| JobRecord { spec: spec(kind), at_ms: 1_764_654_219_000, marked: true };
    json("record-job-array", &job("array"));
    json("record-job-group", &job("group"));
    json("record-job-daemon", &job("daemon"));
    json("record-lead", &LeadRecord { label: "worker-1".into(), term: 4_097, nonce: 77 });
    let ended = |state, notes| FinalRecord { state, done: 3, team: "vision".into(), notes };
    json("record-final-done", &ended(JobState::Done, vec![]));
    json("record-final-withdrawn", &ended(JobState::Cancelled, vec!["a note".into()]));
    let mut results = vec![false; 20];
    (results[0], results[9], results[19]) = (true, true, true);
    json("record-progress", &ProgressRecord::new(&results));
    let minimum = MinimumRecord { least: 7, timed: 4, sum_ms: 91_000, opened: 32 };
    json("record-minimum", &minimum);
    json("record-marks", &SharedMarksRecord { jobs: BTreeSet::from([id()]) });
    let entry = RosterEntry { at_ms: 1_764_654_219_000, images: vec![0] };
    let bare = RosterEntry { at_ms: 1_764_654_219_001, images: vec![] };
    let machines = BTreeMap::from([("m-000231".to_owned(), entry), ("m-000232".to_owned(), bare)]);
    json("record-roster", &RosterRecord { machines, images: vec![("img-07".into(), 6.2)] });
    json("record-images", &ImagesRecord { images: vec![("img-07".into(), 6.2)] });
    let need = Room { cpus: 8.0, gpus: 1.0, ram: 64.0 };
    json("record-lane", &ClassRecord { need, image_gb: 6.2, spot: true, gangs: false });
}

#[test]
fn frames_between_controllers_are_read_and_written_as_in_production() {
    let told = |state| Told::from(status(state));
    let bare = Told { team: None, commander: None, notes: vec![], ..told(JobState::Queued) };
    frame("ask-status", &PeerAsk::Status("req-000412".into()));
    frame("ask-withdraw", &PeerAsk::Cancel("req-000412".into()));
    frame("ask-submit", &PeerAsk::Submit(b"{\"NameId\":1}".to_vec()));
    let renewal = |echo, answered_ago_ms| Renewal {
        label: "worker-1".into(),
        nonce: u64::MAX,
        uptime_ms: 70_000,
        echo,
        answered_ago_ms,
    };
    frame("ask-renew", &PeerAsk::Renew(renewal(Some((4_097, 300)), Some(1_500))));
    frame("ask-renew-first", &PeerAsk::Renew(renewal(None, None)));
    frame("ask-over", &PeerAsk::Over(told(JobState::Cancelled)));
    let verdict = |verdict| PeerAnswer::Verdict(verdict);
    frame("answer-accepted", &verdict(Verdict::Accepted(bare)));
    frame("answer-known-running", &verdict(Verdict::Known(told(JobState::Running))));
    frame("answer-known-done", &verdict(Verdict::Known(told(JobState::Done))));
    frame("answer-absent", &verdict(Verdict::Absent));
    frame("answer-refused", &verdict(Verdict::Refused(422, "no room".into())));
    frame("answer-later", &verdict(Verdict::Later("not now".into())));
    let lease =
        BlockLease { term: 4_097, stamp: 70_000, zones: vec!["a".into()], lease_ms: 30_000 };
    frame("answer-block", &PeerAnswer::Block(Some(lease)));
    frame("answer-no-block", &PeerAnswer::Block(None));
}

/// Messages that came with version 2. Production and version 1 never see them: whoever asks looks at the version
/// that the leader's answers name.
#[test]
fn frames_of_replication_are_read_and_written_as_in_version_2() {
    let at = |index| Position { term: 4_097, index };
    let ask = |held| PeerAsk::Follow(FollowRequest { follower: "worker-1".into(), held });
    frame("ask-follow-nothing", &ask(Held::Nothing));
    frame("ask-follow-through", &ask(Held::Through(at(300))));
    frame("ask-follow-pieces", &ask(Held::Pieces(at(300), 2)));
    let hints = JobHints {
        attempt: Some(9),
        errors: 2,
        failed_at: 1_000,
        paused_until: 5_000,
        failed_on: vec!["m-000231".into()],
    };
    let task = PlacedTask { task: "req-000412/3".into(), attempt: 9, stage: Stage::Running };
    let machine = || "m-000231".to_owned();
    let entries = vec![
        Entry::Machine { name: machine(), address: "10.1.0.232:9000".into(), session: 2 },
        Entry::MachineGone { name: machine() },
        Entry::Task { machine: machine(), task },
        Entry::TaskGone { machine: machine(), task: "req-000412/3".into(), attempt: 9 },
        Entry::Job { id: "req-000412".into(), hints },
        Entry::JobGone { id: "req-000412".into() },
    ];
    let digest = Some(RangeDigest { range: 3, digest: 77 });
    let body = FollowBody::Entries { after: at(300), entries, digest };
    frame("answer-entries", &PeerAnswer::Followed(Some(FollowAnswer { end: at(400), body })));
    let piece =
        ImagePiece { position: at(300), number: 1, length: 5, digest: 8, bytes: vec![1, 2] };
    let body = FollowBody::Piece(piece);
    frame("answer-piece", &PeerAnswer::Followed(Some(FollowAnswer { end: at(400), body })));
    frame("answer-follows-not", &PeerAnswer::Followed(None));
}

#[test]
fn a_frame_names_its_version_where_production_ignores_it() {
    let ask = PeerAsk::Status("req-000412".into());
    let bytes = frame::encode(&ask).expect("a frame");
    let written: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(written, format!("{}02", fixture("ask-status")));
    // As production reads it: what follows the message is not looked at.
    let config = bincode::config::standard();
    let (read, _): (PeerAsk, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("a frame");
    assert_eq!(read, ask);
    assert_eq!(frame::decode::<PeerAsk>(&bytes).expect("a frame"), (ask.clone(), CURRENT));
    // A frame of production, and one of a later version that says more.
    let old = &bytes[..bytes.len() - 1];
    let (read, version) = frame::decode::<PeerAsk>(old).expect("a frame");
    assert_eq!((read, version), (ask.clone(), FrameVersion(0)));
    let later = [old, &[9, 1, 2, 3]].concat();
    let (read, version) = frame::decode::<PeerAsk>(&later).expect("a frame");
    assert_eq!((read, version), (ask, FrameVersion(9)));
}

#[test]
fn a_message_that_only_later_versions_know_is_refused() {
    assert!(frame::decode::<PeerAsk>(&[200, 1, 2]).is_err());
    assert!(frame::decode::<PeerAsk>(&[]).is_err());
}

#[test]
fn messages_of_users_and_workers_are_read_and_written_as_in_production() {
    json("http-job", &spec("group"));
    json("http-status", &status(JobState::Running));
    let bare = JobStatus { team: None, commander: None, notes: vec![], ..status(JobState::Done) };
    json("http-status-bare", &bare);
    json("http-error", &ErrorBody { error: "no such job".into() });
    json("http-report", &report());
    json("http-report-answer", &CheckInAnswer { token: 41, commands: commands() });
    json("http-orders", &DirectCommands { token: 41, session: 1, commands: commands() });
    json("http-elsewhere", &ReportElsewhere { report_to: Some("worker-2".into()) });
    json("http-nowhere", &ReportElsewhere { report_to: None });
}

#[test]
fn messages_of_the_state_service_and_the_cloud_are_read_and_written_as_in_production() {
    let v = serde_json::json!({ "a": 1 });
    let put = Change::Put { put: "a/b".into(), v: v.clone(), lease_id: Some(7) };
    let guards = vec![Guard { key: "a/b".into(), stamp: 0 }];
    let apply = vec![put, Change::put("a/c", v.clone()), Change::delete("c/d")];
    json("store-commit", &Transaction { guards, apply });
    json("store-commit-answer", &CommitAnswer { failed: vec!["a/b".into()], revision: 431 });
    let pair = KeyValue { key: "a/b".into(), v: v.clone(), stamp: 412, lease_id: Some(7) };
    json("store-pair", &pair);
    json("store-page", &KeyPage { pairs: vec![pair], has_next: true, revision: 431 });
    json("store-grant-request", &GrantRequest { ttl_ms: 5_000 });
    json("store-grant", &Grant { lease_id: 7 });
    let events = vec![
        Event::Put { put: "c/9".into(), v, stamp: 433 },
        Event::Delete { delete: "c/d".into(), stamp: 432 },
    ];
    json("store-watch", &WatchAnswer { revision: 433, events });
    let rent = RentRequest {
        request_id: "h-4097-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    json("cloud-rent", &rent);
    json("cloud-hosts", &MachineNames { machines: vec!["m-000231".into()] });
    let machine_type = MachineType {
        label: "g8".into(),
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
        id: "m-000231".into(),
        addr: Some("10.1.0.232:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        status: MachineState::Running,
        age_s: 61.5,
    };
    json("cloud-listed", &listed);
    json("cloud-list", &MachineList { machines: vec![listed], has_next: true });
}
