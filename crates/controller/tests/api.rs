//! The HTTP API without a state service: invalid requests are rejected at once with a reason in JSON, and requests
//! that can't be decided get 503 with `Retry-After`.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_clients::StoreClient;
use hookway_controller::actor::{ControllerHandle, ControllerRequest, HeartbeatReply};
use hookway_controller::api::{ApiService, ApiServiceConfig, Origin, StoreClients};
use hookway_controller::cluster_state::{CancelOutcome, JobLookup};
use hookway_controller::http::service;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::{PeerError, PeerHandler, PeerRequest, PeerResponse, Peers};
use hookway_controller::records::{JobRecord, job_key};
use hookway_controller::request_outcome::RequestOutcome;
use hookway_controller::settings::Settings;
use hookway_replication::{FollowAnswer, FollowBody, FollowRequest, Held, Position};
use hookway_testkit::{SETTINGS, StoreServer};
use hookway_wire::{
    ErrorBody, HeartbeatResponse, JobId, JobSpec, JobState, JobStatus, MachineType,
    ReplicationStatus,
};
use salvo::Service;
use salvo::http::StatusCode;
use salvo::test::{ResponseExt, TestClient};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const JOB: &str = r#"{"NameId":"req-000412","Lane":"train","Owner":"vision","Shape":"group","Rank":"high",
 "Pieces":4,"Vcpus":8.0,"Gpus":0,"RamGb":64.0,"Bundle":"img-07","ImageGb":6.2,"Flavors":["g8"],"Yard":null,
 "Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"SnapshotEveryS":30.0,"SnapshotS":4.0}"#;

/// The role of the scripted controller.
#[derive(Clone, Copy, PartialEq)]
enum Role {
    Leader,
    /// Its leadership lease expired after it decided.
    FormerLeader,
    Follower,
}

fn known(id: &JobId, status: JobState) -> JobStatus {
    JobStatus {
        id: id.clone(),
        state: status,
        done: 1,
        running: 0,
        team: Some("vision".into()),
        leader: None,
        notes: vec![],
    }
}

/// A controller's API with a scripted actor behind it and no state service.
fn api(role: Role, machine_types_known: bool) -> Service {
    api_at(role, machine_types_known, LeadershipView::default(), None)
}

/// The same, with a view of the leader and a state service.
fn api_at(
    role: Role,
    machine_types_known: bool,
    seen: LeadershipView,
    store: Option<&str>,
) -> Service {
    service(api_service(role, machine_types_known, seen, store, 2000.0))
}

/// The API service itself, with this rate of status queries at the state service.
fn api_service(
    role: Role,
    machine_types_known: bool,
    seen: LeadershipView,
    store: Option<&str>,
    polls_rate: f64,
) -> Arc<ApiService> {
    api_service_with(SETTINGS, role, machine_types_known, seen, store, polls_rate)
}

/// The same, with other settings.
fn api_service_with(
    settings: &str,
    role: Role,
    machine_types_known: bool,
    seen: LeadershipView,
    store: Option<&str>,
    polls_rate: f64,
) -> Arc<ApiService> {
    let (tx, mut asks) = mpsc::channel(16);
    tokio::spawn(async move {
        while let Some(ask) = asks.recv().await {
            let leads = role == Role::Leader;
            match ask {
                ControllerRequest::Heartbeat { reply, .. } => {
                    let answer = HeartbeatResponse { fencing_token: 7, commands: vec![] };
                    let _ = reply.send(if leads {
                        HeartbeatReply::Respond {
                            response: answer,
                            valid_until: Instant::now() + Duration::from_secs(60),
                        }
                    } else if role == Role::FormerLeader {
                        HeartbeatReply::Respond { response: answer, valid_until: Instant::now() }
                    } else {
                        HeartbeatReply::Redirect(Some("worker-2".into()))
                    });
                }
                ControllerRequest::Status { job: id, reply } => {
                    let answer = match id.as_str() {
                        "req-000001" => JobLookup::Known(known(&id, JobState::Running)),
                        "req-000002" => JobLookup::Known(known(&id, JobState::Done)),
                        _ => JobLookup::UnknownJob,
                    };
                    let _ = reply.send(leads.then_some(answer));
                }
                ControllerRequest::Cancel { job: id, reply } => {
                    let answer = CancelOutcome::AlreadyFinal(known(&id, JobState::Cancelled));
                    let _ = reply.send(leads.then_some(answer));
                }
                ControllerRequest::AdoptJob { reply, .. } => drop(reply.send(Some(()))),
                ControllerRequest::RenewShardLease { reply, .. } => drop(reply.send(None)),
                ControllerRequest::PrepareShardLeaseRenewal(reply) => drop(reply.send(None)),
                ControllerRequest::Follow { reply, .. } => {
                    let end = Position { term: 7, index: 0 };
                    let body = FollowBody::Entries { after: end, entries: vec![], digest: None };
                    let _ = reply.send(leads.then_some(FollowAnswer { end, body }));
                }
                ControllerRequest::PrepareFollow(reply) => drop(reply.send(None)),
                ControllerRequest::ReplicationStatus(reply) => {
                    let phase = if leads { "active" } else { "following" }.to_owned();
                    let _ = reply.send(Some(ReplicationStatus { phase, ..Default::default() }));
                }
                ControllerRequest::ShardLeaseGranted { .. } | ControllerRequest::Followed(_) => {}
            }
        }
    });
    let settings = Settings::parse(settings).expect("sound settings");
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
        zones: vec!["a".into()],
    };
    let (_, view) = watch::channel(seen);
    let (_, machine_types) =
        watch::channel(machine_types_known.then(|| Arc::new(vec![machine_type])));
    let store_at = store.unwrap_or(&settings.endpoints.state);
    let submissions = StoreClient::new(store_at, 2000.0);
    // Nobody listens there.
    let peers = Peers::new(HashMap::from([("worker-1".into(), "127.0.0.1:1".into())]));
    let questions = StoreClient::new(store_at, polls_rate).with_queue_limit(0);
    let stores = StoreClients { submissions, queries: questions };
    let api_service = ApiService::new(ApiServiceConfig {
        platform: settings.platform,
        stores,
        peers: Arc::new(peers),
        controller: ControllerHandle::new(tx),
        view,
        machine_types,
        final_states: Arc::default(),
    });
    Arc::new(api_service)
}

async fn post(service: &Service, path: &str, body: &str) -> (StatusCode, String, bool) {
    let url = format!("http://127.0.0.1:8080{path}");
    let mut res = TestClient::post(url).body(body.to_owned()).send(service).await;
    let retry = res.headers().contains_key("retry-after");
    let text = res.take_string().await.unwrap_or_default();
    (res.status_code.unwrap_or_default(), text, retry)
}

async fn get(service: &Service, path: &str) -> (StatusCode, String, bool) {
    let url = format!("http://127.0.0.1:8080{path}");
    let mut res = TestClient::get(url).send(service).await;
    let retry = res.headers().contains_key("retry-after");
    let text = res.take_string().await.unwrap_or_default();
    (res.status_code.unwrap_or_default(), text, retry)
}

fn reason(text: &str) -> String {
    serde_json::from_str::<ErrorBody>(text).expect("a JSON error").error
}

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

#[tokio::test]
async fn possibly_known_job_gets_no_permanent_error_without_state_service() {
    let api = api(Role::Leader, true);
    // Whether this id was accepted once can't be read, so 422 would be a guess.
    let body = JOB.replace("\"vision\"", "\"nobody\"");
    let (status, text, retry) = post(&api, "/api/jobs", &body).await;
    assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
}

#[tokio::test]
async fn undecidable_request_gets_503_with_retry_after() {
    for (role, machine_types) in
        [(Role::Leader, false), (Role::Leader, true), (Role::Follower, true)]
    {
        let api = api(role, machine_types);
        let (status, text, retry) = post(&api, "/api/jobs", JOB).await;
        assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
        let (status, _, retry) = get(&api, "/api/jobs/req-000404").await;
        assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "absence is unproven");
    }
    let api = api(Role::Follower, true);
    let (status, ..) = post(&api, "/api/jobs/req-000001/withdraw", "{}").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn final_state_is_cached_and_answered_without_leader() {
    let api = api(Role::Leader, true);
    let (status, text, _) = get(&api, "/api/jobs/req-000002").await;
    assert_eq!(status, StatusCode::OK);
    let told: JobStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!(told.state, JobState::Done);
    // The same id submitted again: its state, from memory, with the store away.
    let (status, text, _) = post(&api, "/api/jobs", &JOB.replace("000412", "000002")).await;
    assert_eq!(status, StatusCode::OK);
    let told: JobStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!(told.state, JobState::Done);
    let (status, text, _) = post(&api, "/api/jobs/req-000002/withdraw", "").await;
    let told: JobStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!((status, told.state), (StatusCode::OK, JobState::Done), "done stays done");
}

#[tokio::test]
async fn invalid_paths_ids_and_methods_get_json_errors() {
    let api = api(Role::Leader, true);
    for path in ["/", "/api/jobs/job-1", "/api/jobs/req-1/x", "/api/jobs/%00", "/nowhere"] {
        let (status, text, _) = get(&api, path).await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}");
        assert!(!reason(&text).is_empty());
    }
    let (status, text, _) = get(&api, "/api/jobs").await;
    assert!(status.is_client_error(), "{text}");
    assert!(!reason(&text).is_empty());
    assert_eq!(get(&api, "/up").await.0, StatusCode::OK);
}

/// All tasks of a gang run at the same time: a gang beyond the capacity of its zones can never run, and must not be
/// accepted.
#[tokio::test]
async fn gang_exceeding_capacity_of_its_zones_gets_422() {
    let api = api(Role::Leader, true);
    let spread = JOB.replace("\"Spread\":false", "\"Spread\":true");
    let apart = spread.replace("\"Together\":true", "\"Together\":false");
    // It fits zone a alone.
    for body in [&spread, &apart, &apart.replace("\"Yard\":null", "\"Yard\":\"a\"")] {
        let (status, text, retry) = post(&api, "/api/jobs", body).await;
        // Whether it was accepted before can't be told without the state service.
        assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
    }
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Leader, true, LeadershipView::default(), Some(&address));
    for body in [&spread, &apart, &apart.replace("\"Yard\":null", "\"Yard\":\"a\"")] {
        let (status, text, _) = post(&api, "/api/jobs", body).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
        assert!(reason(&text).contains("spread"), "{text}");
    }
    let one = spread.replace("\"Pieces\":4", "\"Pieces\":1");
    assert_eq!(post(&api, "/api/jobs", &one).await.0, StatusCode::CREATED);
}

/// A process is frozen between the decision and the response: another controller may lead by then.
#[tokio::test]
async fn heartbeat_response_is_withheld_after_lease_expiry() {
    let report = r#"{"Host":"m-1","Addr":"127.0.0.1:9","Flavor":"g8","Yard":"a","Loaners":false,
        "Tenure":1,"Tick":1,"Baton":1,"EvictionS":null,"Pieces":[]}"#;
    let late =
        service(api_service(Role::FormerLeader, true, LeadershipView::default(), None, 2000.0));
    let (status, _, retry) = post(&late, "/checkin", report).await;
    assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true));
    assert_eq!(post(&api(Role::Leader, true), "/checkin", report).await.0, StatusCode::OK);
}

#[tokio::test]
async fn leader_answers_heartbeats_and_other_controllers_redirect() {
    let report = r#"{"Host":"m-1","Addr":"127.0.0.1:9000","Flavor":"g8","Yard":"a","Loaners":true,
        "Tenure":1,"Tick":88,"Baton":41,"EvictionS":null,"Pieces":[]}"#;
    let (status, text, _) = post(&api(Role::Leader, true), "/checkin", report).await;
    assert_eq!((status, text.as_str()), (StatusCode::OK, r#"{"Baton":7,"Orders":[]}"#));
    let (status, text, _) = post(&api(Role::Follower, true), "/checkin", report).await;
    assert_eq!(status, StatusCode::MISDIRECTED_REQUEST);
    assert_eq!(text, r#"{"Foreman":"worker-2"}"#);
}

#[tokio::test]
async fn every_controller_answers_job_status_from_state_service() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let id = JobId::parse("req-000007").expect("an id");
    let spec = JOB.replace("000412", "000007");
    let spec: serde_json::Value = serde_json::from_str(&spec).expect("JSON");
    let record = serde_json::json!({ "spec": spec, "at_ms": 0 });
    server.with(|store| store.put(&job_key(&id), record));
    let sees = |leader: Option<&str>| LeadershipView {
        leader: leader.map(str::to_owned),
        ..LeadershipView::default()
    };
    // The leader has not seen it yet; nobody leads; the leader can't be reached; it is this controller, as
    // far as its view goes, while it is not entitled.
    for (role, leader) in [
        (Role::Leader, None),
        (Role::Follower, None),
        (Role::Follower, Some("worker-1")),
        (Role::Follower, Some("worker-0")),
    ] {
        let api = api_at(role, true, sees(leader), Some(&address));
        let (status, text, _) = get(&api, "/api/jobs/req-000007").await;
        let told: JobStatus = serde_json::from_str(&text).expect("a status");
        assert_eq!((status, told.state), (StatusCode::OK, JobState::Queued), "{leader:?}");
        let (status, ..) = get(&api, "/api/jobs/req-000008").await;
        assert_eq!(
            status,
            StatusCode::NOT_FOUND,
            "what is in the store nowhere was never accepted"
        );
    }
    // While the store is away as well, absence can't be told; as soon as it is back, the job can.
    let api = api_at(Role::Follower, true, sees(Some("worker-1")), Some(&address));
    server.refuse(true);
    let (status, _, retry) = get(&api, "/api/jobs/req-000007").await;
    assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true));
    server.refuse(false);
    assert_eq!(get(&api, "/api/jobs/req-000007").await.0, StatusCode::OK);
}

/// A high-load day of 2026-12-02: with a thousand jobs open and no leader for seconds, status queries used up a
/// controller's request budget at the state service, and submissions waited for seconds and were rejected.
#[tokio::test]
async fn rate_limited_status_query_gets_503_at_once_and_delays_no_submission() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let spec: serde_json::Value = serde_json::from_str(JOB).expect("JSON");
    let record = serde_json::json!({ "spec": spec, "at_ms": 0 });
    let id = JobId::parse("req-000412").expect("an id");
    server.with(|store| store.put(&job_key(&id), record));
    // One reading, and then none for ten seconds.
    let api =
        service(api_service(Role::Follower, true, LeadershipView::default(), Some(&address), 0.1));
    assert_eq!(get(&api, "/api/jobs/req-000412").await.0, StatusCode::OK);
    for _ in 0..50 {
        let (status, text, retry) = get(&api, "/api/jobs/req-000412").await;
        assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true), "{text}");
    }
    let (status, text, _) = post(&api, "/api/jobs", &JOB.replace("000412", "000413")).await;
    assert_eq!(status, StatusCode::CREATED, "{text}");
    let (status, ..) = post(&api, "/api/jobs/req-000412/withdraw", "").await;
    assert_eq!(status, StatusCode::OK, "nor a withdrawal");
}

/// The same day: after all controllers crashed, each finished job's last status query took two reads of the state
/// service, half of them without effect, and thousands of responses failed for minutes.
#[tokio::test]
async fn decided_final_state_is_answered_without_state_service() {
    let api_service = api_service(Role::Leader, true, LeadershipView::default(), None, 0.1);
    let id = JobId::parse("req-000009").expect("an id");
    api_service.final_states().remember(&known(&id, JobState::Done).into());
    api_service
        .final_states()
        .remember(&known(&JobId::parse("req-000010").expect("an id"), JobState::Running).into());
    let api = service(api_service);
    let (status, text, _) = get(&api, "/api/jobs/req-000009").await;
    let told: JobStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!((status, told.state), (StatusCode::OK, JobState::Done));
    let (status, ..) = get(&api, "/api/jobs/req-000010").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "what can change is not told from memory");
}

/// A frozen or partitioned controller does not respond. A user's request to any of its peers must not wait for the
/// full time limit each time.
#[tokio::test(start_paused = true)]
async fn unresponsive_controller_trips_circuit_breaker() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let peers = Peers::new(HashMap::from([("worker-1".into(), address)]));
    let ask = PeerRequest::Status("req-000001".into());
    assert!(matches!(peers.ask("worker-1", &ask, 600).await, Err(PeerError::Timeout)));
    for _ in 0..20 {
        assert!(matches!(peers.ask("worker-1", &ask, 600).await, Err(PeerError::CircuitOpen)));
    }
    tokio::time::advance(std::time::Duration::from_millis(1_100)).await;
    assert!(matches!(peers.ask("worker-1", &ask, 600).await, Err(PeerError::Timeout)), "one tries");
    assert!(matches!(peers.ask("worker-1", &ask, 600).await, Err(PeerError::CircuitOpen)));
}

/// The same for a state service that does not respond to this controller: without this a request spent its whole
/// time limit there, with none left for another controller.
#[tokio::test(start_paused = true)]
async fn unresponsive_state_service_trips_circuit_breaker() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let api_service =
        api_service(Role::Follower, true, LeadershipView::default(), Some(&address), 2000.0);
    let id = JobId::parse("req-000001").expect("an id");
    let took = async || {
        let begun = Instant::now();
        let verdict = api_service.status(&id, Origin::Client).await;
        assert!(matches!(verdict, RequestOutcome::Unavailable(_)), "{verdict:?}");
        begun.elapsed()
    };
    assert!(took().await >= Duration::from_secs(1));
    for _ in 0..10 {
        assert!(took().await < Duration::from_millis(50));
    }
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert!(took().await >= Duration::from_secs(1), "one tries");
}

/// A daemon of four replicas that need 32 of its team's 100 CPUs.
fn daemon() -> String {
    let free =
        JOB.replace("\"group\"", "\"daemon\"").replace("\"Together\":true", "\"Together\":false");
    free.replace("\"GuessS\":240.0", "\"GuessS\":0")
}

#[tokio::test]
async fn daemon_exceeding_team_quota_gets_422() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let api = api_at(Role::Follower, true, LeadershipView::default(), Some(&address));
    let large = daemon().replace("\"Pieces\":4", "\"Pieces\":13");
    let (status, text, _) = post(&api, "/api/jobs", &large).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
    assert!(reason(&text).contains("limit"), "{text}");
    assert_eq!(post(&api, "/api/jobs", &daemon()).await.0, StatusCode::CREATED);
    assert_eq!(post(&api, "/api/jobs", &daemon()).await.0, StatusCode::OK);
    let other =
        |id: &str, from: &str, to: &str| daemon().replace("req-000412", id).replace(from, to);
    // An array of as many tasks may run them one after the other.
    let array =
        other("req-000413", "\"daemon\"", "\"array\"").replace("\"Pieces\":4", "\"Pieces\":13");
    assert_eq!(post(&api, "/api/jobs", &array).await.0, StatusCode::CREATED);
    // An estimate or a deadline says nothing of a daemon, and does no harm.
    let due = other("req-000414", "\"GuessS\":0", "\"GuessS\":60,\"DueS\":90");
    assert_eq!(post(&api, "/api/jobs", &due).await.0, StatusCode::CREATED);
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
    let value = serde_json::to_value(record).expect("a record");
    let key = job_key(&JobId::parse("req-000412").expect("an id"));
    server.with(|store| store.put(&key, value));
    assert_eq!(post(&api, "/api/jobs", &long).await.0, StatusCode::OK);
}

#[tokio::test]
async fn long_job_is_accepted_until_state_service_lowers_value_limit() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let next = format!("{SETTINGS}[settings.state.next]\nvalue_kb = 2.0\n");
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
    server.limit_values(2_048);
    let (status, text, _) = post(&api, "/api/jobs", &long("req-000413")).await;
    assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
    assert!(reason(&text).contains("too long"), "{text}");
    assert_eq!(post(&api, "/api/jobs", &long("req-000412")).await.0, StatusCode::OK, "it is known");
    assert_eq!(post(&api, "/api/jobs", JOB).await.0, StatusCode::OK);
}

#[tokio::test]
async fn replication_status_is_public_and_entries_only_for_controllers() {
    let api = api_at(Role::Leader, true, LeadershipView::default(), None);
    let (status, text, _) = get(&api, "/replication").await;
    let told: ReplicationStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!((status, told.phase.as_str()), (StatusCode::OK, "active"));
    let api_service =
        api_service_with(SETTINGS, Role::Leader, true, LeadershipView::default(), None, 100.0);
    let ask = |name: &str| {
        PeerRequest::Follow(FollowRequest { follower: name.into(), held: Held::Nothing })
    };
    let answered = api_service.handle(ask("worker-1")).await;
    assert!(matches!(answered, PeerResponse::Followed(Some(_))), "{answered:?}");
    let refused = api_service.handle(ask("somebody")).await;
    assert_eq!(refused, PeerResponse::Followed(None));
}
