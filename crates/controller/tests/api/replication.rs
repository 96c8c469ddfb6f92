//! The status of replication, and entries for standbys.

use crate::support::*;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::{PeerHandler, PeerRequest, PeerResponse};
use hookway_replication::{FollowRequest, Held};
use hookway_testkit::SETTINGS;
use hookway_wire::ReplicationStatus;
use salvo::http::StatusCode;

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
