//! The exact texts of errors, which appear in logs and in responses to users.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use hookway_clients::{CloudClient, CloudError, HttpError, StoreClient, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that sends this response to its first request, and returns its address.
async fn server_with_response(status: u16, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = stream.read(&mut [0; 4_096]).await.expect("a request");
        assert_ne!(read, 0);
        let length = body.len();
        let text = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).await.expect("the client reads the response");
    });
    address
}

async fn store_error(status: u16, body: &'static str) -> String {
    let address = server_with_response(status, body).await;
    StoreClient::new(&address, 1_000.0)
        .list("j/")
        .await
        .expect_err("the response is unexpected")
        .to_string()
}

async fn cloud_error(status: u16, body: &'static str) -> String {
    let address = server_with_response(status, body).await;
    CloudClient::new(&address, 1_000.0)
        .machines()
        .await
        .expect_err("the response is unexpected")
        .to_string()
}

#[test]
fn request_that_cannot_be_encoded_is_reported_with_status_zero() {
    let reason = || "why".to_owned();
    let store = StoreError::Unexpected { status: 0, reason: reason() };
    assert_eq!(store.to_string(), "unexpected answer 0: why");
    let cloud = CloudError::Unexpected { status: 0, reason: reason() };
    assert_eq!(cloud.to_string(), "unexpected response of the cloud (status 0): why");
}

#[test]
fn timeout_of_store_is_reported_without_address() {
    let address = "127.0.0.1:1".to_owned();
    let timeout = StoreError::Indeterminate(HttpError::Timeout { address });
    assert_eq!(timeout.to_string(), "no answer from the state service: no answer in time");
}

#[tokio::test]
async fn unexpected_status_is_reported_with_body() {
    assert_eq!(store_error(418, "tea").await, "unexpected answer 418: tea");
    let cloud = "unexpected response of the cloud (status 418): tea";
    assert_eq!(cloud_error(418, "tea").await, cloud);
    assert_eq!(cloud_error(503, "tea").await, "the cloud is unavailable (status 503)");
}

#[tokio::test]
async fn only_store_client_quotes_body_that_cannot_be_decoded() {
    let error = "expected value at line 1 column 1";
    assert_eq!(store_error(200, "oops").await, format!("unexpected answer 200: {error}: oops"));
    let cloud = format!("unexpected response of the cloud (status 200): {error}");
    assert_eq!(cloud_error(200, "oops").await, cloud);
}
