//! Responses to heartbeats by a leader, by a leader whose leadership lease has expired, and by a follower.

use crate::support::*;
use hookway_controller::http::service;
use hookway_controller::leadership::LeadershipView;
use salvo::http::StatusCode;

/// The process may be paused between the decision and the response; another controller may lead by then.
#[tokio::test]
async fn heartbeat_response_is_withheld_after_lease_expiry() {
    let heartbeat = r#"{"Host":"m-1","Addr":"127.0.0.1:9","Flavor":"g8","Yard":"a","Loaners":false,
        "Tenure":1,"Tick":1,"Baton":1,"EvictionS":null,"Pieces":[]}"#;
    let expired_leader =
        service(api_service(Role::ExpiredLeader, true, LeadershipView::default(), None, 2000.0));
    let (status, _, retry) = post(&expired_leader, "/checkin", heartbeat).await;
    assert_eq!((status, retry), (StatusCode::SERVICE_UNAVAILABLE, true));
    assert_eq!(post(&api(Role::Leader, true), "/checkin", heartbeat).await.0, StatusCode::OK);
}

#[tokio::test]
async fn leader_answers_heartbeats_and_other_controllers_redirect() {
    let heartbeat = r#"{"Host":"m-1","Addr":"127.0.0.1:9000","Flavor":"g8","Yard":"a","Loaners":true,
        "Tenure":1,"Tick":88,"Baton":41,"EvictionS":null,"Pieces":[]}"#;
    let (status, text, _) = post(&api(Role::Leader, true), "/checkin", heartbeat).await;
    assert_eq!((status, text.as_str()), (StatusCode::OK, r#"{"Baton":7,"Orders":[]}"#));
    let (status, text, _) = post(&api(Role::Follower, true), "/checkin", heartbeat).await;
    assert_eq!(status, StatusCode::MISDIRECTED_REQUEST);
    assert_eq!(text, r#"{"Foreman":"worker-2"}"#);
}
