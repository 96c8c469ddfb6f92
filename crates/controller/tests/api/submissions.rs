//! Submissions: which are accepted, and with which status the others are rejected.

use crate::support::*;
use hookway_controller::http::service;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::records::{JobRecord, job_key};
use hookway_testkit::{PLATFORM_SETTINGS, StoreServer};
use hookway_wire::{JobId, JobSpec};
use salvo::http::StatusCode;

#[tokio::test]
async fn malformed_submission_gets_400_with_reason() {
    let api = api(Role::Leader, true);
    let long = format!("{{\"NameId\":\"{}\"}}", "x".repeat(70_000));
    for body in ["", "[]", "{}", "nonsense", &long, &JOB.replace("8.0", "-8.0")] {
        let (status, text, _) = post(&api, "/api/jobs", body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
        assert!(!reason(&text).is_empty());
    }
}

/// All tasks of a gang run at the same time, so a gang that exceeds the capacity of its zones could never run
/// and must not be accepted.
#[tokio::test]
async fn gang_exceeding_capacity_of_its_zones_gets_422() {
    let api = api(Role::Leader, true);
    let spread = JOB.replace("\"Spread\":false", "\"Spread\":true");
    let spread_gang = spread.replace("\"Together\":true", "\"Together\":false");
    // The only machine type is offered in zone a alone, so a gang that must spread can't run.
    for body in [&spread, &spread_gang, &spread_gang.replace("\"Yard\":null", "\"Yard\":\"a\"")] {
        let (status, text, retry) = post(&api, "/api/jobs", body).await;
        // Without the store the controller can't tell whether the job was accepted before.
        assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
    }
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Leader, true, LeadershipView::default(), Some(&address));
    for body in [&spread, &spread_gang, &spread_gang.replace("\"Yard\":null", "\"Yard\":\"a\"")] {
        let (status, text, _) = post(&api, "/api/jobs", body).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
        assert!(reason(&text).contains("spread"), "{text}");
    }
    let one_task = spread.replace("\"Pieces\":4", "\"Pieces\":1");
    assert_eq!(post(&api, "/api/jobs", &one_task).await.0, StatusCode::CREATED);
}

/// The JSON of a daemon of four replicas, which need 32 of its team's 100 CPUs.
fn daemon() -> String {
    let daemon =
        JOB.replace("\"group\"", "\"daemon\"").replace("\"Together\":true", "\"Together\":false");
    daemon.replace("\"GuessS\":240.0", "\"GuessS\":0")
}

#[tokio::test]
async fn daemon_exceeding_team_quota_gets_422() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Follower, true, LeadershipView::default(), Some(&address));
    let over_quota = daemon().replace("\"Pieces\":4", "\"Pieces\":13");
    let (status, text, _) = post(&api, "/api/jobs", &over_quota).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
    assert!(reason(&text).contains("limit"), "{text}");
    assert_eq!(post(&api, "/api/jobs", &daemon()).await.0, StatusCode::CREATED);
    assert_eq!(post(&api, "/api/jobs", &daemon()).await.0, StatusCode::OK);
    let other =
        |id: &str, from: &str, to: &str| daemon().replace("req-000412", id).replace(from, to);
    // An array of as many tasks is accepted: it may run them one after the other.
    let array =
        other("req-000413", "\"daemon\"", "\"array\"").replace("\"Pieces\":4", "\"Pieces\":13");
    assert_eq!(post(&api, "/api/jobs", &array).await.0, StatusCode::CREATED);
    // An estimate or a deadline of a daemon is ignored.
    let with_deadline = other("req-000414", "\"GuessS\":0", "\"GuessS\":60,\"DueS\":90");
    assert_eq!(post(&api, "/api/jobs", &with_deadline).await.0, StatusCode::CREATED);
    for (from, to) in [("\"Pieces\":4", "\"Pieces\":0"), ("\"Spread\":false,", "")] {
        let (status, text, _) = post(&api, "/api/jobs", &other("req-000415", from, to)).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
    }
}

#[tokio::test]
async fn job_accepted_under_larger_limit_is_not_rejected_as_too_long() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Follower, true, LeadershipView::default(), Some(&address));
    let long = JOB.replace("img-07", &"x".repeat(9_000));
    let (status, text, _) = post(&api, "/api/jobs", &long).await;
    assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
    let spec: JobSpec = serde_json::from_str(&long).expect("a job");
    let record = JobRecord { spec, accepted_at_ms: 1, has_start_watermark: true };
    let value = serde_json::to_value(record).expect("a job record that serializes");
    let key = job_key(&JobId::parse("req-000412").expect("an id"));
    server.with_store(|store| store.put(&key, value));
    assert_eq!(post(&api, "/api/jobs", &long).await.0, StatusCode::OK);
}

#[tokio::test]
async fn long_job_is_accepted_until_store_lowers_value_limit() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let next = format!("{PLATFORM_SETTINGS}[settings.state.next]\nvalue_kb = 2.0\n");
    let api = service(api_service_with(
        &next,
        Role::Follower,
        true,
        LeadershipView::default(),
        Some(&address),
        2000.0,
    ));
    let long = |id: &str| JOB.replace("img-07", &"x".repeat(4_000)).replace("req-000412", id);
    assert_eq!(post(&api, "/api/jobs", &long("req-000412")).await.0, StatusCode::CREATED);
    server.limit_value_bytes(2_048);
    let (status, text, _) = post(&api, "/api/jobs", &long("req-000413")).await;
    assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
    assert!(reason(&text).contains("too long"), "{text}");
    assert_eq!(
        post(&api, "/api/jobs", &long("req-000412")).await.0,
        StatusCode::OK,
        "a job that was accepted before is not rejected"
    );
    assert_eq!(post(&api, "/api/jobs", JOB).await.0, StatusCode::OK);
}

/// Guards against a running job that is told as accepted and queued (review case 8): it is submitted again, the
/// transaction fails its preconditions, and the response to it is lost. The record that the controller then reads is
/// that of the earlier submission.
#[tokio::test]
async fn resubmission_whose_transaction_response_is_lost_gets_200_with_current_state() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Leader, true, LeadershipView::default(), Some(&address));
    let running_job = JOB.replace("req-000412", "req-000001");
    let spec: JobSpec = serde_json::from_str(&running_job).expect("a job");
    let key = job_key(&spec.id);
    let record = JobRecord { spec, accepted_at_ms: 1, has_start_watermark: true };
    let value = serde_json::to_value(record).expect("a job record that serializes");
    server.with_store(|store| store.put(&key, value));
    server.lose_next_commit_response();
    let (status, text, _) = post(&api, "/api/jobs", &running_job).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    assert!(text.contains("\"running\""), "{text}");
    // The record of a job that was not known before is that of this submission.
    server.lose_next_commit_response();
    let (status, text, _) = post(&api, "/api/jobs", JOB).await;
    assert_eq!(status, StatusCode::CREATED, "{text}");
    assert!(text.contains("\"queued\""), "{text}");
}
