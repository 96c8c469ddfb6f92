//! Every path and method of the HTTP interface with its status, its body and when to come back, at a controller that
//! does not lead. What the leader answers is in `api.rs`.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_clients::StoreClient;
use hookway_controller::actor::ControllerHandle;
use hookway_controller::api::{ApiService, ApiServiceConfig, StoreClients};
use hookway_controller::http::service;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::Peers;
use hookway_controller::settings::Settings;
use hookway_testkit::{SETTINGS, StoreServer, machine_types};
use hookway_wire::JobStatus;
use salvo::Service;
use salvo::http::Method;
use salvo::test::{RequestBuilder, ResponseExt};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

const JOB: &str = r#"{"NameId":"req-000412","Lane":"train","Owner":"team","Shape":"array","Rank":"low","Pieces":4,
 "Vcpus":2.0,"Gpus":0,"RamGb":1.0,"Bundle":"img-07","ImageGb":6.2,"Together":false,"Spread":false,"Loaners":true,
 "GuessS":240.0,"SnapshotEveryS":30.0,"SnapshotS":4.0}"#;
const REPORT: &str = r#"{"Host":"m-1","Addr":"127.0.0.1:9","Flavor":"small","Yard":"a","Loaners":false,"Tenure":1,
 "Tick":1}"#;
/// A submission, a cancellation or a report may come back after so many seconds.
const BACK: Option<&str> = Some("1");
/// A question may.
const BACK_TO_ASK: Option<&str> = Some("3");

/// A controller whose actor is gone, with this state service.
fn api(store: &str) -> Service {
    let settings = Settings::parse(SETTINGS).expect("sound settings");
    let (node, _) = mpsc::channel(1);
    let (_, view) = watch::channel(LeadershipView::default());
    let (_, types) = watch::channel(Some(Arc::new(machine_types())));
    let client = || StoreClient::new(store, 2_000.0);
    let stores = StoreClients { submissions: client(), queries: client() };
    let peers = Peers::new(HashMap::new());
    let api = ApiService::new(ApiServiceConfig {
        platform: settings.platform,
        stores,
        peers: Arc::new(peers),
        controller: ControllerHandle::new(node),
        view,
        machine_types: types,
        final_states: Arc::default(),
    });
    service(Arc::new(api))
}

/// The status, `Retry-After` and the body.
async fn ask(api: &Service, method: &str, path: &str, body: &str) -> (u16, Option<String>, String) {
    let method: Method = method.parse().expect("a method");
    let url = format!("http://127.0.0.1:8080{path}");
    let mut answer = RequestBuilder::new(url, method).body(body.to_owned()).send(api).await;
    let back = answer.headers().get("retry-after").map(|v| v.to_str().expect("text").to_owned());
    let text = answer.take_string().await.unwrap_or_default();
    (answer.status_code.expect("a status").as_u16(), back, text)
}

#[tokio::test]
async fn each_path_and_method_returns_pinned_status() {
    let server = StoreServer::default();
    let api = api(&server.start().await.expect("a free port"));
    let odd = JOB.replace("\"Pieces\":4", "\"Pieces\":0");
    let never = JOB.replace("000412", "000413").replace("\"team\"", "\"nobody\"");
    for (method, path, body, status, back) in [
        ("GET", "/up", "", 200, None),
        ("POST", "/up", "", 405, None),
        ("GET", "/replication", "", 503, BACK),
        ("POST", "/replication", "", 405, None),
        ("POST", "/checkin", REPORT, 503, BACK),
        ("POST", "/checkin", "{}", 400, None),
        ("GET", "/checkin", "", 405, None),
        ("GET", "/api/jobs/req-000412", "", 404, None),
        ("POST", "/api/jobs/req-000412/withdraw", "{}", 404, None),
        ("POST", "/api/jobs", &odd, 400, None),
        ("POST", "/api/jobs", &never, 422, None),
        ("POST", "/api/jobs", JOB, 201, None),
        ("POST", "/api/jobs", JOB, 200, None),
        ("GET", "/api/jobs/req-000412", "", 200, None),
        ("GET", "/api/jobs/req-000412/withdraw", "", 405, None),
        ("POST", "/api/jobs/req-000412", "", 405, None),
        ("DELETE", "/api/jobs/req-000412", "", 405, None),
        ("GET", "/api/jobs", "", 405, None),
        ("POST", "/api/jobs/req-000412/withdraw", "{}", 200, None),
        ("POST", "/api/jobs/req-000412/cancel", "{}", 404, None),
        ("GET", "/api", "", 404, None),
    ] {
        let (found, found_back, text) = ask(&api, method, path, body).await;
        assert_eq!((found, found_back.as_deref()), (status, back), "{method} {path}: {text}");
    }
}

#[tokio::test]
async fn error_response_has_single_error_field() {
    let server = StoreServer::default();
    let api = api(&server.start().await.expect("a free port"));
    for (method, path, text) in [
        ("GET", "/up", r#"{"up":true}"#),
        ("GET", "/nowhere", r#"{"error":"not found"}"#),
        ("GET", "/api/jobs", r#"{"error":"method not allowed"}"#),
        ("GET", "/api/jobs/req-000412", r#"{"error":"no such job"}"#),
        (
            "POST",
            "/api/jobs",
            r#"{"error":"the body is not JSON: EOF while parsing a value at line 1 column 0"}"#,
        ),
    ] {
        assert_eq!(ask(&api, method, path, "").await.2, text, "{method} {path}");
    }
    let (_, _, text) = ask(&api, "POST", "/api/jobs", JOB).await;
    let told: JobStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!(told.team.as_deref(), Some("team"));
}

#[tokio::test]
async fn store_unavailable_sets_longer_retry_after_for_status_than_for_submission() {
    let server = StoreServer::default();
    let api = api(&server.start().await.expect("a free port"));
    server.begin_outage();
    for (method, path, body, back) in [
        ("GET", "/api/jobs/req-000412", "", BACK_TO_ASK),
        ("POST", "/api/jobs", JOB, BACK),
        ("POST", "/api/jobs/req-000412/withdraw", "{}", BACK),
    ] {
        let (status, found, text) = ask(&api, method, path, body).await;
        assert_eq!((status, found.as_deref()), (503, back), "{method} {path}: {text}");
    }
}
