//! The keys under which controllers of all versions keep their records in the state service, letter by letter.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod play;

use hookway_clients::StoreClient;
use hookway_controller::lead::{Clock, Leadership, Validity, View};
use hookway_controller::records;
use hookway_testkit::StoreServer;
use hookway_wire::{Cause, JobId};
use play::{Play, job, small};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

fn id() -> JobId {
    JobId::parse("req-000412").expect("an id")
}

#[test]
fn keys_and_prefixes_are_spelt_as_pinned() {
    assert_eq!(records::CLASSES, "c/lanes");
    assert_eq!(records::IMAGES, "i/");
    assert_eq!(records::LEAD, "lead/");
    assert_eq!(records::LEAD_NOW, "lead/now");
    assert_eq!(records::LEAD_TERM, "lead/term");
    assert_eq!(records::LEAD_MARKS, "lead/marked");
    assert_eq!(records::JOBS, "j/");
    assert_eq!(records::FINALS, "f/");
    assert_eq!(records::PROGRESS, "p/");
    assert_eq!(records::MINIMUMS, "m/");
    assert_eq!(records::ROSTER, "r/");
    assert_eq!(records::job_key(&id()), "j/req-000412");
    assert_eq!(records::final_key(&id()), "f/req-000412");
    assert_eq!(records::minimum_key(&id()), "m/req-000412");
    assert_eq!(records::shared_marks_key(17), "m/shared-17");
    assert_eq!(records::roster_key("m-000231"), "r/m-000231");
    assert_eq!(hookway_constants::ROSTER_RECORD_PREFIX, "record-");
}

#[test]
fn progress_keys_name_the_chunk_and_the_task_within_it() {
    for (from, key) in [
        (0, "p/req-000412/0"),
        (512, "p/req-000412/0/512"),
        (16_384, "p/req-000412/1"),
        (16_385, "p/req-000412/1/16385"),
        (98_304, "p/req-000412/6"),
    ] {
        assert_eq!(records::progress_key(&id(), from), key);
        assert_eq!(records::progress_place(key), Some((id(), from)));
    }
    for odd in [
        "p/req-000412",
        "p/req-000412/x",
        "p/req-000412/0/x",
        "p/req-000412/0/1/2",
        "p/req-1/0",
        "q/req-000412/0",
        "p/req-000412/4294967295",
    ] {
        assert_eq!(records::progress_place(odd), None, "{odd}");
    }
}

#[test]
fn only_keys_of_shared_marks_have_a_number() {
    assert_eq!(records::shared_marks_number("m/shared-0"), Some(0));
    assert_eq!(records::shared_marks_number("m/shared-17"), Some(17));
    for odd in ["m/req-000412", "m/shared-", "m/shared-x", "m/17", "shared-17"] {
        assert_eq!(records::shared_marks_number(odd), None, "{odd}");
    }
}

#[tokio::test]
async fn a_leader_writes_its_three_keys_and_only_the_first_hangs_on_its_lease() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let (view_tx, mut view) = watch::channel(View::default());
    let leadership = Leadership {
        label: "worker-0".into(),
        store: StoreClient::new(&address, 1_000.0),
        clock: Clock::default(),
        validity: Arc::new(Validity::default()),
        view: view_tx,
        doubt: Arc::new(Notify::new()),
        suspicion: Arc::new(Notify::new()),
        lease_ms: 5_000,
        warm: Arc::default(),
    };
    tokio::spawn(leadership.run());
    let leads = view.wait_for(|v| v.mandate.is_some());
    let mandate = tokio::time::timeout(Duration::from_secs(10), leads).await.expect("in time");
    let mandate = mandate.expect("the actor lives").mandate.clone().expect("just seen");
    let pairs = server.with(|store| store.list(""));
    let keys: Vec<(&str, Option<u64>)> =
        pairs.iter().map(|kv| (kv.key.as_str(), kv.lease_id)).collect();
    let lease = Some(mandate.lease_id);
    assert_eq!(keys, [("lead/marked", None), ("lead/now", lease), ("lead/term", None)]);
    assert_eq!(pairs[0].v, 4_096);
    assert_eq!((&pairs[1].v["label"], &pairs[1].v["term"]), (&"worker-0".into(), &1.into()));
    assert!(pairs[1].v["nonce"].is_u64());
    assert_eq!(pairs[2].v, 4_096);
}

#[test]
fn a_ledger_writes_records_under_the_pinned_keys() {
    let mut play = Play::start();
    let (mut one, mut two) = (small("m-1", "a"), small("m-2", "b"));
    play.submit(job("req-000001", "array", 300));
    play.submit(job("req-000002", "group", 1));
    play.settle(&mut [&mut one, &mut two]);
    for worker in [&mut one, &mut two] {
        for task in worker.live() {
            worker.end(&task, Cause::Done);
        }
    }
    play.settle(&mut [&mut one, &mut two]);
    play.wait(60_000);
    play.settle(&mut [&mut one, &mut two]);
    let keys: Vec<String> = play.store.list("").into_iter().map(|kv| kv.key).collect();
    // The array goes on, the gang is over.
    let pinned = [
        "c/lanes",
        "f/req-000002",
        "j/req-000001",
        "lead/now",
        "m/req-000001",
        "m/shared-0",
        "p/req-000001/0",
        "r/record-0",
    ];
    assert_eq!(keys, pinned);
}
