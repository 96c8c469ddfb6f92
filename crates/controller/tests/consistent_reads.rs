//! Conclusions from several reads of the store while it changes between them.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

#[path = "api/support.rs"]
#[allow(dead_code, reason = "the tests of the API use the other items")]
mod support;

use hookway_clients::StoreClient;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::records::{FinalRecord, JobRecord, final_state_key, job_key};
use hookway_testkit::StoreServer;
use hookway_wire::{JobId, JobSpec, JobState, Operation, Transaction, WatchEvent};
use salvo::http::StatusCode;
use serde_json::json;
use std::time::Duration;
use support::{JOB, Role, api_at, get, post};

/// Maximum number of keys in a page of a list.
const PAGE_KEYS: usize = 1_000;
/// Request rate of the client, high enough that no test is delayed.
const HIGH_RATE: f64 = 1_000.0;

fn key(number: usize) -> String {
    format!("j/{number:06}")
}

/// Guards against a job that a new leader misses: a key is added to the range of the first page while the second page is
/// read. The list has the revision of its first page, from which a watch returns the key.
#[tokio::test]
async fn key_added_between_pages_of_list_is_in_watch_from_revision_of_list() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let operations = (1..=PAGE_KEYS + 1).map(|number| Operation::put(key(2 * number), json!(1)));
    let transaction = Transaction { preconditions: vec![], operations: operations.collect() };
    server.with_store(|store| store.commit(&transaction)).expect("no preconditions");
    let client = StoreClient::new(&address, HIGH_RATE);
    let first_page = server.hold_next_list_response();
    let list = tokio::spawn({
        let client = client.clone();
        async move { client.list("j/").await }
    });
    first_page.wait_until_processed().await;
    let added = key(3);
    server.with_store(|store| store.put(&added, json!(2)));
    first_page.release();
    let listing = list.await.expect("no panic").expect("a list");
    assert_eq!(listing.pairs.len(), PAGE_KEYS + 1, "both pages, without the added key");
    assert!(listing.pairs.iter().all(|pair| pair.key != added));
    let changes =
        client.watch("j/", listing.revision, Duration::ZERO).await.expect("an answer").events;
    let is_added =
        |event: &WatchEvent| matches!(event, WatchEvent::Put { key, .. } if *key == added);
    assert!(changes.iter().any(is_added), "{changes:?}");
}

/// Guards against 404 for an accepted job: it ends between the reads of its record and of its final state. The record is
/// read first, and one transaction replaces it by the final state, so one of the two reads finds the job.
#[tokio::test]
async fn job_that_ends_between_reads_of_its_keys_is_found() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Follower, true, LeadershipView::default(), Some(&address));
    let spec: JobSpec = serde_json::from_str(JOB).expect("a job");
    let id = spec.id.clone();
    let record = JobRecord { spec, accepted_at_ms: 1, has_start_watermark: true };
    let value = serde_json::to_value(record).expect("a job record that serializes");
    server.with_store(|store| store.put(&job_key(&id), value));
    let first_read = server.hold_next_read_response();
    let path = format!("/api/jobs/{id}");
    let (response, ()) = tokio::join!(get(&api, &path), async {
        first_read.wait_until_processed().await;
        let done =
            FinalRecord { state: JobState::Done, done: 4, team: "vision".into(), notes: vec![] };
        let value = serde_json::to_value(done).expect("a final record that serializes");
        let operations =
            vec![Operation::put(final_state_key(&id), value), Operation::delete(job_key(&id))];
        let end = Transaction { preconditions: vec![], operations };
        server.with_store(|store| store.commit(&end)).expect("no preconditions");
        first_read.release();
    });
    assert_eq!(response.0, StatusCode::OK, "{}", response.1);
}

/// Guards against a cancellation that is confirmed but did not happen: nobody leads, and the response to the transaction
/// that cancels the job is lost. It is confirmed only by the final state in the store.
#[tokio::test]
async fn leaderless_cancellation_without_response_is_confirmed_by_final_state_alone() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Follower, true, LeadershipView::default(), Some(&address));
    assert_eq!(post(&api, "/api/jobs", JOB).await.0, StatusCode::CREATED);
    server.lose_next_commit_response();
    let path = "/api/jobs/req-000412/withdraw";
    let (status, text, retry) = post(&api, path, "{}").await;
    assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
    let (status, text, _) = post(&api, path, "{}").await;
    assert_eq!(status, StatusCode::OK, "{text}");
    let id = JobId::parse("req-000412").expect("an id");
    let stored = server.with_store(|store| store.get(&final_state_key(&id)));
    assert!(stored.is_some(), "the confirmation rests on the final state");
}
