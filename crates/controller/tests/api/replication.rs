//! The replication status, which anyone may read, and entries of the replication log, which only known
//! controllers get.

use crate::support::*;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::{PeerHandler, PeerRequest, PeerResponse};
use hookway_replication::{FollowRequest, FollowerProgress};
use hookway_testkit::PLATFORM_SETTINGS;
use hookway_wire::ReplicationStatus;
use salvo::http::StatusCode;

#[tokio::test]
async fn replication_status_is_public_and_entries_only_for_controllers() {
    let api = api_at(Role::Leader, true, LeadershipView::default(), None);
    let (status, text, _) = get(&api, "/replication").await;
    let replication_status: ReplicationStatus = serde_json::from_str(&text).expect("a status");
    assert_eq!((status, replication_status.phase.as_str()), (StatusCode::OK, "active"));
    let api_service = api_service_with(
        PLATFORM_SETTINGS,
        Role::Leader,
        true,
        LeadershipView::default(),
        None,
        100.0,
    );
    let request = |name: &str| {
        PeerRequest::Follow(FollowRequest {
            follower: name.into(),
            progress: FollowerProgress::Empty,
        })
    };
    let response = api_service.handle(request("worker-1")).await;
    assert!(matches!(response, PeerResponse::FollowResponse(Some(_))), "{response:?}");
    let refused = api_service.handle(request("somebody")).await;
    assert_eq!(refused, PeerResponse::FollowResponse(None));
}
