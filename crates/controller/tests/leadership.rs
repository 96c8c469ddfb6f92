//! Leadership with a state service on loopback whose leases expire when the test says so. The tests
//! wait for events, not for time.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_clients::StoreClient;
use hookway_controller::leadership::{
    Clock, LeaderTerm, Leadership, LeadershipConfig, LeadershipLease, LeadershipView,
};
use hookway_controller::records::{LEADER_KEY, LEADER_TERM_KEY, LeaderRecord};
use hookway_testkit::StoreServer;
use hookway_wire::{Operation, Transaction};
use std::sync::Arc;
use tokio::sync::{Notify, watch};

struct RunningController {
    view: watch::Receiver<LeadershipView>,
    validity: Arc<LeadershipLease>,
    clock: Clock,
    suspicion: Arc<Notify>,
    leadership: tokio::task::JoinHandle<()>,
}

fn start(label: &str, address: &str) -> RunningController {
    let (view_tx, view) = watch::channel(LeadershipView::default());
    let validity = Arc::new(LeadershipLease::default());
    let clock = Clock::default();
    let suspicion = Arc::new(Notify::new());
    let leadership = Leadership::new(LeadershipConfig {
        controller_name: label.into(),
        store: StoreClient::new(address, 1_000.0),
        clock,
        lease: validity.clone(),
        view: view_tx,
        resign_requested: Arc::new(Notify::new()),
        leader_suspected: suspicion.clone(),
        lease_length: hookway_constants::LEADER_TTL,
        has_warm_copy: Arc::default(),
    });
    let leadership = tokio::spawn(leadership.run());
    RunningController { view, validity, clock, suspicion, leadership }
}

async fn leads(controller: &mut RunningController) -> LeaderTerm {
    let view = controller.view.wait_for(|v| v.own_term.is_some()).await.expect("the actor lives");
    view.own_term.clone().expect("just seen")
}

#[tokio::test]
async fn lost_leadership_lease_ends_term_and_next_term_is_higher() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let mut one = start("one", &address);
    let first = leads(&mut one).await;
    assert_eq!(first.term, 1);
    assert!(one.validity.holds(first.term, one.clock.now()));
    let mut two = start("two", &address);
    two.view.wait_for(|v| v.leader.as_deref() == Some("one")).await.expect("the actor lives");
    assert_eq!(two.view.borrow().own_term, None, "one leader at a time");
    // The lease ends, as it does when it is not extended in time.
    server.expire_lease(first.lease_id);
    let second = tokio::select! {
        m = leads(&mut two) => m,
        m = async { one.view.wait_for(|v| v.own_term.as_ref().is_some_and(|m| m.term > 1)).await
            .expect("the actor lives").own_term.clone().expect("just seen") } => m,
    };
    // Above every fencing token that the first term may have used, those of each machine included.
    assert_eq!(second.term, 1 + hookway_constants::TOKENS_PER_TERM);
    // A transaction of the deposed leader that is still under way fails by its precondition.
    let late = Transaction {
        preconditions: vec![first.precondition],
        operations: vec![Operation::put("f/req-000001", serde_json::json!("late"))],
    };
    assert!(server.with_store(|store| store.commit(&late)).is_err());
}

#[tokio::test]
async fn restarted_controller_revokes_lease_of_previous_process() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let lease_id = server.grant_lease();
    let record = LeaderRecord { controller_name: "one".into(), term: 4, nonce: 1 };
    let before = Transaction {
        preconditions: vec![],
        operations: vec![
            Operation::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(record).expect("a record"),
                lease_id: Some(lease_id),
            },
            Operation::put(LEADER_TERM_KEY, serde_json::json!(4)),
        ],
    };
    server.with_store(|store| store.commit(&before)).expect("applied");
    let mut one = start("one", &address);
    assert_eq!(leads(&mut one).await.term, 5);
    assert!(!server.expire_lease(lease_id), "the old lease is over");
}

#[tokio::test]
async fn term_continues_after_state_service_outage() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let mut one = start("one", &address);
    let first = leads(&mut one).await;
    server.begin_outage();
    // Several extensions fail; the lease itself lasts, as every lease does during an outage.
    server.wait_for_refused_requests(3).await;
    server.end_outage();
    let two = start("two", &address);
    let mut view = two.view.clone();
    view.wait_for(|v| v.leader.as_deref() == Some("one")).await.expect("the actor lives");
    assert_eq!(one.view.borrow().own_term, Some(first));
}

/// A watch whose connection broke unnoticed hides the expiry of a lease for seconds; a suspicion reads the leader at
/// once. The suspicion itself ends no lease.
#[tokio::test]
async fn leader_suspicion_reads_state_service_without_deposing_live_leader() {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    let mut one = start("one", &address);
    let first = leads(&mut one).await;
    let mut two = start("two", &address);
    two.view.wait_for(|v| v.leader.as_deref() == Some("one")).await.expect("the actor lives");
    server.suppress_watch_events();
    two.suspicion.notify_one();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(two.view.borrow().own_term, None, "the lease runs, so it leads");
    assert_eq!(one.view.borrow().own_term, Some(first.clone()));
    // Its process has ended, and nobody extends the lease; the muted watch delivers no event.
    one.leadership.abort();
    server.expire_lease(first.lease_id);
    two.suspicion.notify_one();
    let limit = hookway_constants::WATCH_WAIT;
    let second = tokio::time::timeout(limit, leads(&mut two)).await.expect("before the watch ends");
    assert!(second.term > first.term);
    assert_eq!(two.view.borrow().leader_term, Some(second.term));
}
