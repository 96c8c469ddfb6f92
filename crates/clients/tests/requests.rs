//! The requests of the clients to the store, the cloud, workers and the API: method, path, query and body, and the
//! result for each response status. The server is a socket with scripted responses that uses no type of this project.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use hookway_clients::{
    ApiClient, ApiError, CloudClient, CloudError, CommitOutcome, Delivery, ScaleOutOutcome,
    StoreClient, StoreError, WorkerClient,
};
use hookway_wire::{
    Command, DirectCommands, JobId, Operation, Precondition, ScaleOutRequest, Transaction,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const HEARTBEAT: &str = r#"{"Host":"m-1","Addr":"10.1.0.2:9000","Flavor":"g8","Yard":"a","Loaners":true,"Tenure":3,"Tick":1}"#;
const JOB_STATUS: &str = r#"{"NameId":"req-000412","Status":"running"}"#;
/// Rate limit of the clients in requests per second, high enough that no test is delayed.
const HIGH_RATE: f64 = 1_000.0;
/// Time limit after which a missing request fails the test.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads one request, and returns its first line without the HTTP version, followed by its body.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8(bytes.clone()).expect("the request is UTF-8");
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.parse().expect("the length is a number"))
            });
            if body.len() >= length.unwrap_or(0) {
                let line = head.lines().next().unwrap_or_default();
                let line = line.strip_suffix(" HTTP/1.1").expect("HTTP/1.1");
                return format!("{line} {body}").trim_end().to_owned();
            }
        }
        let mut buffer = [0; 4_096];
        let read = stream.read(&mut buffer).await.expect("the request can be read");
        assert!(read > 0, "the connection was closed within a request: {text}");
        bytes.extend(&buffer[..read]);
    }
}

/// Starts a server that sends these responses (status and body), one per connection. Returns its address, and a task
/// whose result is the received requests.
async fn start_server(responses: &[(u16, &str)]) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let response_texts: Vec<String> = responses
        .iter()
        .map(|(status, body)| {
            let length = body.len();
            format!(
                "HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        })
        .collect();
    let requests = tokio::spawn(async move {
        let mut requests = Vec::new();
        for response in response_texts {
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            requests.push(read_request(&mut stream).await);
            stream.write_all(response.as_bytes()).await.expect("the client reads the response");
        }
        requests
    });
    (address, requests)
}

/// Waits until all responses have been sent, and returns the received requests.
async fn received(requests: JoinHandle<Vec<String>>) -> Vec<String> {
    tokio::time::timeout(REQUEST_TIMEOUT, requests)
        .await
        .expect("all responses are requested")
        .expect("the server does not panic")
}

#[tokio::test]
async fn store_requests_have_the_paths_of_the_protocol() {
    let key_value = r#"{"Key":"j/a b","V":1,"Stamp":4}"#;
    let first_page = r#"{"Pairs":[{"Key":"j/a b","V":1,"Stamp":4}],"HasNext":true,"Epoch":9}"#;
    let last_page = r#"{"Pairs":[],"Epoch":10}"#;
    let (address, requests) = start_server(&[
        (200, key_value),
        (404, ""),
        (200, first_page),
        (200, last_page),
        (200, r#"{"Epoch":11}"#),
        (409, r#"{"failed":["a/b"],"Epoch":11}"#),
        (200, r#"{"Permit":7}"#),
        (200, ""),
        (200, ""),
        (200, r#"{"Epoch":12}"#),
    ])
    .await;
    let store = StoreClient::new(&address, HIGH_RATE);
    assert_eq!(
        store.get("j/a b").await.expect("a response").expect("the key exists").mod_revision,
        4
    );
    assert_eq!(store.get("f/req-000412").await.expect("a response"), None);
    let listing = store.list("j/").await.expect("all pages");
    assert_eq!((listing.pairs.len(), listing.revision), (1, 9));
    let preconditions = vec![Precondition { key: "a/b".into(), mod_revision: 0 }];
    let operations = vec![Operation::put("a/b", 1.into()), Operation::delete("a/c")];
    let transaction = Transaction { preconditions, operations };
    assert_eq!(store.commit(&transaction).await.expect("a response"), CommitOutcome::Applied(11));
    let outcome = store.commit(&Transaction::default()).await.expect("a response");
    assert_eq!(outcome, CommitOutcome::PreconditionFailed(vec!["a/b".into()]));
    assert_eq!(store.grant_lease(Duration::from_millis(5_000)).await.expect("a lease"), 7);
    store.extend_lease(7).await.expect("extended");
    store.release_lease(7).await.expect("released");
    let watched = store.watch("lead/", 9, Duration::from_millis(1_000)).await.expect("a response");
    assert_eq!(watched.revision, 12);
    assert_eq!(
        received(requests).await,
        [
            "GET /keys/j/a%20b",
            "GET /keys/f/req-000412",
            "GET /keys?Prefix=j/&Most=1000",
            "GET /keys?Prefix=j/&After=j/a%20b&Most=1000",
            r#"POST /commit {"Guards":[{"Key":"a/b","Stamp":0}],"Apply":[{"Put":"a/b","V":1},{"Delete":"a/c"}]}"#,
            r#"POST /commit {"Guards":[],"Apply":[]}"#,
            r#"POST /grants {"TtlMs":5000}"#,
            "POST /grants/7/extend {}",
            "DELETE /grants/7",
            "GET /watch?Prefix=lead/&After=9&WaitMs=1000",
        ]
    );
}

/// The protocol promises status 200 and no body of an extension. Others that mean success are read as well.
#[tokio::test]
async fn leases_are_granted_and_extended_with_other_success_responses() {
    let (address, requests) = start_server(&[(201, r#"{"Permit":7}"#), (200, "{}")]).await;
    let store = StoreClient::new(&address, HIGH_RATE);
    assert_eq!(store.grant_lease(Duration::from_millis(5_000)).await.expect("a lease"), 7);
    store.extend_lease(7).await.expect("extended");
    received(requests).await;
}

#[tokio::test]
async fn list_ends_at_last_or_empty_page_and_has_revision_of_first_page() {
    let (address, requests) = start_server(&[
        (200, r#"{"Pairs":[{"Key":"a","V":1,"Stamp":4}],"HasNext":true,"Epoch":9}"#),
        (200, r#"{"Pairs":[{"Key":"b","V":2,"Stamp":5}],"HasNext":true,"Epoch":10}"#),
        (200, r#"{"Pairs":[{"Key":"c","V":3,"Stamp":6}],"Epoch":11}"#),
        (200, r#"{"Pairs":[],"HasNext":true,"Epoch":12}"#),
        (200, r#"{"Pairs":[{"Key":"a","V":1,"Stamp":4}],"HasNext":true,"Epoch":13}"#),
        (200, r#"{"Pairs":[],"HasNext":true,"Epoch":14}"#),
    ])
    .await;
    let store = StoreClient::new(&address, HIGH_RATE);
    for (expected_keys, revision) in [(vec!["a", "b", "c"], 9), (vec![], 12), (vec!["a"], 13)] {
        let listing = store.list("").await.expect("pages");
        let keys: Vec<&str> = listing.pairs.iter().map(|pair| pair.key.as_str()).collect();
        assert_eq!((keys, listing.revision), (expected_keys, revision));
    }
    let (start, after) = ("GET /keys?Prefix=", "&After=");
    let pages = ["", "a", "b", "", "", "a"].map(|last| match last {
        "" => format!("{start}&Most=1000"),
        last => format!("{start}{after}{last}&Most=1000"),
    });
    let requests: Vec<String> =
        received(requests).await.iter().map(|line| line.trim_end().to_owned()).collect();
    assert_eq!(requests, pages);
}

#[tokio::test]
async fn store_errors_are_distinguished_by_status_and_text() {
    let (address, requests) = start_server(&[
        (503, ""),
        (429, ""),
        (410, ""),
        (400, r#"{"error":"no such lease"}"#),
        (400, r#"{"error":"too large"}"#),
        (418, "tea"),
        (404, ""),
    ])
    .await;
    let store = StoreClient::new(&address, HIGH_RATE);
    let empty = Transaction::default();
    assert!(matches!(store.get("a").await, Err(StoreError::Unavailable)));
    assert!(matches!(store.get("a").await, Err(StoreError::RateLimited)));
    let watched = store.watch("a", 1, Duration::from_millis(1)).await;
    assert!(matches!(watched, Err(StoreError::RevisionCompacted)));
    assert!(matches!(store.commit(&empty).await, Err(StoreError::LeaseNotFound)));
    assert!(matches!(store.commit(&empty).await, Err(StoreError::Rejected(_))));
    let result = store.commit(&empty).await;
    assert!(matches!(result, Err(StoreError::Unexpected { status: 418, .. })));
    assert!(matches!(store.extend_lease(7).await, Err(StoreError::LeaseNotFound)));
    received(requests).await;
}

#[tokio::test]
async fn cloud_requests_have_the_paths_of_the_protocol() {
    let machine_page = r#"{"Hosts":[{"NameId":"m-1","Flavor":"g8","Yard":"a","Loaners":true,"Status":"running"}],"HasNext":true}"#;
    let (address, requests) = start_server(&[
        (200, r#"{"Flavors":[]}"#),
        (200, r#"{"Hosts":["m-1"]}"#),
        (503, r#"{"error":"no capacity"}"#),
        (503, ""),
        (429, ""),
        (200, ""),
        (200, machine_page),
        (200, r#"{"Hosts":[]}"#),
    ])
    .await;
    let cloud = CloudClient::new(&address, HIGH_RATE);
    assert_eq!(cloud.machine_types().await.expect("machine types"), []);
    let request = ScaleOutRequest {
        request_id: "h-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 2,
    };
    let outcome = cloud.scale_out(&request).await.expect("a response");
    assert_eq!(outcome, ScaleOutOutcome::Created(vec!["m-1".into()]));
    assert_eq!(cloud.scale_out(&request).await.expect("a response"), ScaleOutOutcome::NoCapacity);
    assert!(matches!(cloud.scale_out(&request).await, Err(CloudError::Unavailable(503))));
    assert!(matches!(cloud.scale_out(&request).await, Err(CloudError::Unavailable(429))));
    cloud.delete(&["m-1".into()]).await.expect("deleted");
    assert_eq!(cloud.machines().await.expect("all pages").len(), 1);
    let scale_out =
        r#"POST /rentals {"Hire":"h-1","Flavor":"g8","Yard":"a","Loaners":true,"HowMany":2}"#;
    assert_eq!(
        received(requests).await,
        [
            "GET /flavors",
            scale_out,
            scale_out,
            scale_out,
            scale_out,
            r#"POST /rentals/delete {"Hosts":["m-1"]}"#,
            "GET /rentals?Most=500",
            "GET /rentals?Most=500&After=m-1",
        ]
    );
}

#[tokio::test]
async fn worker_commands_have_the_path_of_the_protocol() {
    let (address, requests) = start_server(&[
        (200, HEARTBEAT),
        (409, HEARTBEAT),
        (400, ""),
        (503, ""),
        (409, HEARTBEAT),
        (200, HEARTBEAT),
    ])
    .await;
    let worker = WorkerClient::default();
    let run = Command::Run { task: "req-000412/0".into(), attempt: 2 };
    let commands = DirectCommands { fencing_token: 41, incarnation: 1, commands: vec![run] };
    assert!(matches!(worker.send(&address, &commands).await, Delivery::Executed(_)));
    assert_eq!(worker.send(&address, &commands).await, Delivery::Refused);
    assert_eq!(worker.send(&address, &commands).await, Delivery::Refused);
    assert_eq!(worker.send(&address, &commands).await, Delivery::Indeterminate);
    let heartbeat = worker.probe_state(&address, 42).await.expect("a heartbeat");
    assert_eq!(heartbeat.incarnation, 3);
    let direct_run = r#"POST /orders {"Baton":41,"Tenure":1,"Orders":[{"Verb":"run","Piece":"req-000412/0","Try":2}]}"#;
    assert_eq!(
        received(requests).await,
        [
            direct_run,
            direct_run,
            direct_run,
            direct_run,
            r#"POST /orders {"Baton":42,"Tenure":1,"Orders":[]}"#,
            r#"POST /orders {"Baton":42,"Tenure":3,"Orders":[]}"#,
        ]
    );
}

#[tokio::test]
async fn api_requests_have_the_paths_of_the_protocol() {
    let (address, requests) = start_server(&[
        (201, JOB_STATUS),
        (200, JOB_STATUS),
        (200, JOB_STATUS),
        (404, r#"{"error":"no such job"}"#),
        (500, "oops"),
    ])
    .await;
    let api = ApiClient::new(&address);
    let id = JobId::parse("req-000412").expect("a valid id");
    api.submit(b"{\"a\":1}".to_vec()).await.expect("a status");
    api.status(&id).await.expect("a status");
    api.cancel(&id).await.expect("a status");
    let error = api.status(&id).await.expect_err("the job does not exist").to_string();
    assert_eq!(error, "404: no such job");
    let result = api.status(&id).await;
    assert!(
        matches!(&result, Err(ApiError::Refused { status: 500, reason }) if reason == "oops"),
        "unexpected result: {result:?}"
    );
    assert_eq!(
        received(requests).await,
        [
            r#"POST /api/jobs {"a":1}"#,
            "GET /api/jobs/req-000412",
            "POST /api/jobs/req-000412/withdraw {}",
            "GET /api/jobs/req-000412",
            "GET /api/jobs/req-000412",
        ]
    );
}
