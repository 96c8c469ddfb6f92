//! What the clients send, line by line: methods, paths, queries and bodies as the state service, the cloud, workers
//! and the API know them, and how they take each status. The other side is a socket that knows none of our types.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

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

const REPORT: &str = r#"{"Host":"m-1","Addr":"10.1.0.2:9000","Flavor":"g8","Yard":"a","Loaners":true,"Tenure":3,"Tick":1}"#;
const STATUS: &str = r#"{"NameId":"req-000412","Status":"running"}"#;
const FAST: f64 = 1_000.0;
/// Only tells a test that would wait for ever.
const LIMIT: Duration = Duration::from_secs(30);

/// One request: its first line without the version, and its body.
async fn request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8(bytes.clone()).expect("text");
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.parse().expect("a number"))
            });
            if body.len() >= length.unwrap_or(0) {
                let line = head.lines().next().unwrap_or_default();
                let line = line.strip_suffix(" HTTP/1.1").expect("HTTP/1.1");
                return format!("{line} {body}").trim_end().to_owned();
            }
        }
        let mut more = [0; 4_096];
        let read = stream.read(&mut more).await.expect("a request");
        assert!(read > 0, "the request ends early: {text}");
        bytes.extend(&more[..read]);
    }
}

/// Gives these answers, status and body, one a connection. The address, and what was asked.
async fn scripted(answers: &[(u16, &str)]) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let texts: Vec<String> = answers
        .iter()
        .map(|(status, body)| {
            let length = body.len();
            format!(
                "HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        })
        .collect();
    let served = tokio::spawn(async move {
        let mut asked = Vec::new();
        for text in texts {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            asked.push(request(&mut stream).await);
            stream.write_all(text.as_bytes()).await.expect("it listens");
        }
        asked
    });
    (address, served)
}

/// What was asked, once all answers are given.
async fn asked(served: JoinHandle<Vec<String>>) -> Vec<String> {
    tokio::time::timeout(LIMIT, served).await.expect("too few requests").expect("no panic")
}

#[tokio::test]
async fn the_state_service_is_asked_by_its_paths() {
    let pair = r#"{"Key":"j/a b","V":1,"Stamp":4}"#;
    let first = r#"{"Pairs":[{"Key":"j/a b","V":1,"Stamp":4}],"HasNext":true,"Epoch":9}"#;
    let last = r#"{"Pairs":[],"Epoch":10}"#;
    let (address, served) = scripted(&[
        (200, pair),
        (404, ""),
        (200, first),
        (200, last),
        (200, r#"{"Epoch":11}"#),
        (409, r#"{"failed":["a/b"],"Epoch":11}"#),
        (201, r#"{"Permit":7}"#),
        (200, "{}"),
        (200, ""),
        (200, r#"{"Epoch":12}"#),
    ])
    .await;
    let store = StoreClient::new(&address, FAST);
    assert_eq!(store.get("j/a b").await.expect("an answer").expect("a key").mod_revision, 4);
    assert_eq!(store.get("f/req-000412").await.expect("an answer"), None);
    let listing = store.list("j/").await.expect("pages");
    assert_eq!((listing.pairs.len(), listing.revision), (1, 9));
    let guards = vec![Precondition { key: "a/b".into(), mod_revision: 0 }];
    let apply = vec![Operation::put("a/b", 1.into()), Operation::delete("a/c")];
    let transaction = Transaction { preconditions: guards, operations: apply };
    assert_eq!(store.commit(&transaction).await.expect("an answer"), CommitOutcome::Applied(11));
    let refused = store.commit(&Transaction::default()).await.expect("an answer");
    assert_eq!(refused, CommitOutcome::PreconditionFailed(vec!["a/b".into()]));
    assert_eq!(store.grant(Duration::from_millis(5_000)).await.expect("a lease"), 7);
    store.extend(7).await.expect("extended");
    store.release(7).await.expect("released");
    let watched = store.watch("lead/", 9, Duration::from_millis(1_000)).await.expect("an answer");
    assert_eq!(watched.revision, 12);
    assert_eq!(
        asked(served).await,
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

#[tokio::test]
async fn list_ends_with_last_or_empty_page_and_has_revision_of_first() {
    let (address, served) = scripted(&[
        (200, r#"{"Pairs":[{"Key":"a","V":1,"Stamp":4}],"HasNext":true,"Epoch":9}"#),
        (200, r#"{"Pairs":[{"Key":"b","V":2,"Stamp":5}],"HasNext":true,"Epoch":10}"#),
        (200, r#"{"Pairs":[{"Key":"c","V":3,"Stamp":6}],"Epoch":11}"#),
        (200, r#"{"Pairs":[],"HasNext":true,"Epoch":12}"#),
        (200, r#"{"Pairs":[{"Key":"a","V":1,"Stamp":4}],"HasNext":true,"Epoch":13}"#),
        (200, r#"{"Pairs":[],"HasNext":true,"Epoch":14}"#),
    ])
    .await;
    let store = StoreClient::new(&address, FAST);
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
        asked(served).await.iter().map(|line| line.trim_end().to_owned()).collect();
    assert_eq!(requests, pages);
}

#[tokio::test]
async fn refusals_of_the_state_service_are_told_apart_by_status_and_text() {
    let (address, served) = scripted(&[
        (503, ""),
        (429, ""),
        (410, ""),
        (400, r#"{"error":"no such lease"}"#),
        (400, r#"{"error":"too large"}"#),
        (418, "tea"),
        (404, ""),
    ])
    .await;
    let store = StoreClient::new(&address, FAST);
    let nothing = Transaction::default();
    assert!(matches!(store.get("a").await, Err(StoreError::Unavailable)));
    assert!(matches!(store.get("a").await, Err(StoreError::TooMany)));
    let watched = store.watch("a", 1, Duration::from_millis(1)).await;
    assert!(matches!(watched, Err(StoreError::TooOld)));
    assert!(matches!(store.commit(&nothing).await, Err(StoreError::NoLease)));
    assert!(matches!(store.commit(&nothing).await, Err(StoreError::Rejected(_))));
    let refused = store.commit(&nothing).await;
    assert!(matches!(refused, Err(StoreError::Unexpected { status: 418, .. })));
    assert!(matches!(store.extend(7).await, Err(StoreError::NoLease)));
    asked(served).await;
}

#[tokio::test]
async fn the_cloud_is_asked_by_its_paths() {
    let listed = r#"{"Hosts":[{"NameId":"m-1","Flavor":"g8","Yard":"a","Loaners":true,"Status":"running"}],"HasNext":true}"#;
    let (address, served) = scripted(&[
        (200, r#"{"Flavors":[]}"#),
        (200, r#"{"Hosts":["m-1"]}"#),
        (503, r#"{"error":"no capacity"}"#),
        (503, ""),
        (429, ""),
        (200, ""),
        (200, listed),
        (200, r#"{"Hosts":[]}"#),
    ])
    .await;
    let cloud = CloudClient::new(&address, FAST);
    assert_eq!(cloud.machine_types().await.expect("types"), []);
    let rent = ScaleOutRequest {
        request_id: "h-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 2,
    };
    let rented = cloud.scale_out(&rent).await.expect("an answer");
    assert_eq!(rented, ScaleOutOutcome::Created(vec!["m-1".into()]));
    assert_eq!(cloud.scale_out(&rent).await.expect("an answer"), ScaleOutOutcome::NoCapacity);
    assert!(matches!(cloud.scale_out(&rent).await, Err(CloudError::Unavailable(503))));
    assert!(matches!(cloud.scale_out(&rent).await, Err(CloudError::Unavailable(429))));
    cloud.delete(&["m-1".into()]).await.expect("deleted");
    assert_eq!(cloud.machines().await.expect("pages").len(), 1);
    let rent =
        r#"POST /rentals {"Hire":"h-1","Flavor":"g8","Yard":"a","Loaners":true,"HowMany":2}"#;
    assert_eq!(
        asked(served).await,
        [
            "GET /flavors",
            rent,
            rent,
            rent,
            rent,
            r#"POST /rentals/delete {"Hosts":["m-1"]}"#,
            "GET /rentals?Most=500",
            "GET /rentals?Most=500&After=m-1",
        ]
    );
}

#[tokio::test]
async fn workers_get_commands_at_their_path() {
    let (address, served) = scripted(&[
        (200, REPORT),
        (409, REPORT),
        (400, ""),
        (503, ""),
        (409, REPORT),
        (200, REPORT),
    ])
    .await;
    let worker = WorkerClient::default();
    let run = Command::Run { task: "req-000412/0".into(), attempt: 2 };
    let orders = DirectCommands { fencing_token: 41, incarnation: 1, commands: vec![run] };
    assert!(matches!(worker.send(&address, &orders).await, Delivery::Executed(_)));
    assert_eq!(worker.send(&address, &orders).await, Delivery::Refused);
    assert_eq!(worker.send(&address, &orders).await, Delivery::Refused);
    assert_eq!(worker.send(&address, &orders).await, Delivery::Indeterminate);
    let report = worker.probe_state(&address, 42).await.expect("a report");
    assert_eq!(report.incarnation, 3);
    let sent = r#"POST /orders {"Baton":41,"Tenure":1,"Orders":[{"Verb":"run","Piece":"req-000412/0","Try":2}]}"#;
    assert_eq!(
        asked(served).await,
        [
            sent,
            sent,
            sent,
            sent,
            r#"POST /orders {"Baton":42,"Tenure":1,"Orders":[]}"#,
            r#"POST /orders {"Baton":42,"Tenure":3,"Orders":[]}"#,
        ]
    );
}

#[tokio::test]
async fn users_ask_by_the_paths_of_the_api() {
    let (address, served) = scripted(&[
        (201, STATUS),
        (200, STATUS),
        (200, STATUS),
        (404, r#"{"error":"no such job"}"#),
        (500, "oops"),
    ])
    .await;
    let api = ApiClient::new(&address);
    let id = JobId::parse("req-000412").expect("an id");
    api.submit(b"{\"a\":1}".to_vec()).await.expect("a status");
    api.status(&id).await.expect("a status");
    api.cancel(&id).await.expect("a status");
    let refused = api.status(&id).await.expect_err("refused").to_string();
    assert_eq!(refused, "404: no such job");
    let refused = api.status(&id).await;
    assert!(
        matches!(&refused, Err(ApiError::Refused { status: 500, reason }) if reason == "oops"),
        "{refused:?}"
    );
    assert_eq!(
        asked(served).await,
        [
            r#"POST /api/jobs {"a":1}"#,
            "GET /api/jobs/req-000412",
            "POST /api/jobs/req-000412/withdraw {}",
            "GET /api/jobs/req-000412",
            "GET /api/jobs/req-000412",
        ]
    );
}
