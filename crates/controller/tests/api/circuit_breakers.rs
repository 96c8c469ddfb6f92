//! Circuit breakers: a peer or a store that does not respond costs one timeout per retry interval.

use crate::support::*;
use hookway_controller::api::Origin;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::{PeerError, PeerRequest, Peers};
use hookway_controller::request_outcome::RequestOutcome;
use hookway_wire::JobId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A paused or partitioned controller does not respond. Requests of users that its peers forward to it must not
/// wait for the full timeout each time.
#[tokio::test(start_paused = true)]
async fn unresponsive_controller_trips_circuit_breaker() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let peers = Peers::new(HashMap::from([("worker-1".into(), address)]));
    let request = PeerRequest::Status("req-000001".into());
    let send = || peers.send_through_breaker("worker-1", &request, Duration::from_millis(600));
    assert!(matches!(send().await, Err(PeerError::Timeout { .. })));
    for _ in 0..20 {
        assert!(matches!(send().await, Err(PeerError::CircuitOpen { .. })));
    }
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert!(matches!(send().await, Err(PeerError::Timeout { .. })), "one request is sent again");
    assert!(matches!(send().await, Err(PeerError::CircuitOpen { .. })));
}

/// Guards against requests that fail although another controller could answer them: without a circuit breaker,
/// a request spent its whole timeout on a store that does not respond to this controller.
#[tokio::test(start_paused = true)]
async fn unresponsive_store_trips_circuit_breaker() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let api_service =
        api_service(Role::Follower, true, LeadershipView::default(), Some(&address), 2000.0);
    let id = JobId::parse("req-000001").expect("an id");
    let elapsed = async || {
        let started_at = Instant::now();
        let outcome = api_service.status(&id, Origin::User).await;
        assert!(matches!(outcome, RequestOutcome::Unavailable(_)), "{outcome:?}");
        started_at.elapsed()
    };
    assert!(elapsed().await >= Duration::from_secs(1));
    for _ in 0..10 {
        assert!(elapsed().await < Duration::from_millis(50));
    }
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert!(elapsed().await >= Duration::from_secs(1), "one request is sent again");
}
