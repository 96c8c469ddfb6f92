//! The election actor with a store on loopback whose leases expire only when the test expires them. The
//! tests wait for events; one also checks that a leader is not deposed within 200 ms.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use hookway_clients::StoreClient;
use hookway_controller::leadership::{
    Clock, ElectionActor, ElectionActorConfig, LeaderTerm, LeadershipLease, LeadershipView,
    Resignation, WatermarkCompleteness,
};
use hookway_controller::records::{
    COMPLETE_WATERMARKS_KEY, LEADER_KEY, LEADER_TERM_KEY, LeaderRecord,
};
use hookway_testkit::StoreServer;
use hookway_wire::{Operation, Transaction};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Interval at which a test checks whether what it waits for has happened.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Ends a test that would otherwise hang.
const CONCLUSION_TIMEOUT: Duration = Duration::from_secs(20);

/// The election actor of one controller and its shared handles.
struct RunningController {
    view: watch::Receiver<LeadershipView>,
    lease: Arc<LeadershipLease>,
    clock: Clock,
    suspicion: Arc<Notify>,
    resignation: Resignation,
    election_actor: tokio::task::JoinHandle<()>,
}

impl RunningController {
    /// Waits until the controller's lease of this term holds.
    async fn wait_until_lease_holds(&self, term: &LeaderTerm) {
        while !self.lease.holds(term.term(), self.clock.now()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Starts an empty store. Returns it with its address.
async fn start_store() -> (StoreServer, String) {
    let server = StoreServer::default();
    let address = server.start().await.expect("a free port");
    (server, address)
}

/// Starts the election actor of a controller with the store at `address`.
fn start(name: &str, address: &str) -> RunningController {
    let (view_tx, view) = watch::channel(LeadershipView::default());
    let lease = Arc::new(LeadershipLease::default());
    let clock = Clock::default();
    let suspicion = Arc::new(Notify::new());
    let resignation = Resignation::default();
    let election_actor = ElectionActor::new(ElectionActorConfig {
        controller_name: name.into(),
        store: StoreClient::new(address, 1_000.0),
        clock,
        lease: lease.clone(),
        leadership_view: view_tx,
        resignation: resignation.clone(),
        leader_suspected: suspicion.clone(),
        lease_length: hookway_constants::DEFAULT_LEADER_LEASE,
        has_usable_copy: Arc::default(),
    });
    let election_actor = tokio::spawn(election_actor.run());
    RunningController { view, lease, clock, suspicion, resignation, election_actor }
}

/// Waits until this controller is the leader in a controller's view.
async fn wait_for_leader(controller: &mut RunningController, leader: &str) {
    controller
        .view
        .wait_for(|view| view.leader.as_deref() == Some(leader))
        .await
        .expect("the election actor runs");
}

/// Waits until the controller leads and returns its term.
async fn wait_for_own_term(controller: &mut RunningController) -> LeaderTerm {
    let view = controller
        .view
        .wait_for(|view| view.own_term.is_some())
        .await
        .expect("the election actor runs");
    view.own_term.clone().expect("a term that the view has")
}

#[tokio::test]
async fn lost_leadership_lease_ends_term_and_next_term_is_higher() {
    let (server, address) = start_store().await;
    let mut controller_1 = start("one", &address);
    let first = wait_for_own_term(&mut controller_1).await;
    assert_eq!(first.term(), 1);
    assert!(controller_1.lease.holds(first.term(), controller_1.clock.now()));
    let mut controller_2 = start("two", &address);
    wait_for_leader(&mut controller_2, "one").await;
    assert_eq!(controller_2.view.borrow().own_term, None, "only one controller leads at a time");
    // The lease expires, as if it had not been extended in time.
    server.expire_lease(first.lease_id());
    let second = tokio::select! {
        term = wait_for_own_term(&mut controller_2) => term,
        term = async { controller_1.view
            .wait_for(|view| view.own_term.as_ref().is_some_and(|own_term| own_term.term() > 1)).await
            .expect("the election actor runs").own_term.clone()
            .expect("a term that the view has") } => term,
    };
    // The new term exceeds every fencing token of the first term, including those of single machines.
    assert_eq!(second.term(), 1 + hookway_constants::TOKENS_PER_TERM);
    // A transaction of the deposed leader that was still in flight fails its precondition.
    let late = Transaction {
        preconditions: vec![first.precondition()],
        operations: vec![Operation::put("f/req-000001", serde_json::json!("late"))],
    };
    assert!(server.with_store(|store| store.commit(&late)).is_err());
}

#[tokio::test]
async fn restarted_controller_revokes_lease_of_previous_process() {
    let (server, address) = start_store().await;
    let lease_id = store_earlier_process(&server, "one");
    let mut controller_1 = start("one", &address);
    assert_eq!(wait_for_own_term(&mut controller_1).await.term(), 5);
    assert!(!server.expire_lease(lease_id), "the lease of the previous process was revoked");
}

/// The election transaction records whether the start watermarks of earlier terms are complete. A candidate
/// that lost the response to its election reads this from the store; after a leader of an earlier
/// version, which does not maintain the marker, it finds none.
#[tokio::test]
async fn candidate_that_lost_election_response_reads_stored_watermarks() {
    for (last_fencing_token, expected) in
        [(None, WatermarkCompleteness::Complete), (Some(4_096), WatermarkCompleteness::Absent)]
    {
        let (server, address) = start_store().await;
        if let Some(last_fencing_token) = last_fencing_token {
            server.with_store(|store| {
                store.put(LEADER_TERM_KEY, serde_json::json!(last_fencing_token))
            });
        }
        server.lose_next_commit_response();
        let mut controller = start("one", &address);
        let term = wait_for_own_term(&mut controller).await;
        assert_eq!(term.term(), last_fencing_token.unwrap_or(0) + 1);
        assert_eq!(term.watermark_completeness(), expected);
        let value = |key: &str| server.with_store(|store| store.get(key)).map(|pair| pair.value);
        let marked = value(COMPLETE_WATERMARKS_KEY) == value(LEADER_TERM_KEY);
        assert_eq!(marked, expected == WatermarkCompleteness::Complete);
    }
}

#[tokio::test]
async fn term_continues_after_store_outage() {
    let (server, address) = start_store().await;
    let mut controller_1 = start("one", &address);
    let first = wait_for_own_term(&mut controller_1).await;
    server.begin_outage();
    // Several extensions fail; the lease itself does not expire, since no lease does during an outage.
    server.wait_for_refused_requests(3).await;
    server.end_outage();
    let mut controller_2 = start("two", &address);
    wait_for_leader(&mut controller_2, "one").await;
    assert_eq!(controller_1.view.borrow().own_term, Some(first));
}

/// Guards against a slow failover: if the connection of a watch breaks unnoticed, the expiry of a lease stays
/// hidden for seconds. A controller that suspects the leader therefore reads the leader's key at once.
/// The suspicion itself does not depose a leader that is still alive.
#[tokio::test]
async fn leader_suspicion_reads_store_without_deposing_live_leader() {
    let (server, address) = start_store().await;
    let mut controller_1 = start("one", &address);
    let first = wait_for_own_term(&mut controller_1).await;
    let mut controller_2 = start("two", &address);
    wait_for_leader(&mut controller_2, "one").await;
    server.suppress_watch_events();
    controller_2.suspicion.notify_one();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(
        controller_2.view.borrow().own_term,
        None,
        "the lease has not expired, so its holder still leads"
    );
    assert_eq!(controller_1.view.borrow().own_term, Some(first.clone()));
    // The leader's process ends, so its lease expires; the suppressed watch delivers no event.
    controller_1.election_actor.abort();
    server.expire_lease(first.lease_id());
    controller_2.suspicion.notify_one();
    let limit = hookway_constants::WATCH_WAIT;
    let second = tokio::time::timeout(limit, wait_for_own_term(&mut controller_2))
        .await
        .expect("a new leader before the watch ends");
    assert!(second.term() > first.term());
    assert_eq!(controller_2.view.borrow().leader_term, Some(second.term()));
}

/// Writes the leader record of an earlier process of controller `name`. Returns its lease.
fn store_earlier_process(server: &StoreServer, name: &str) -> u64 {
    let lease_id = server.grant_long_lease();
    let record = LeaderRecord { controller_name: name.into(), term: 4, nonce: 1 };
    let election = Transaction {
        preconditions: vec![],
        operations: vec![
            Operation::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(record).expect("a leader record that serializes"),
                lease_id: Some(lease_id),
            },
            Operation::put(LEADER_TERM_KEY, serde_json::json!(4)),
        ],
    };
    server.with_store(|store| store.commit(&election)).expect("applied");
    lease_id
}

/// Waits until the store has a leader record. Returns the lease that its key is attached to.
async fn wait_for_leader_lease(server: &StoreServer) -> u64 {
    loop {
        let leader = server.with_store(|store| store.get(LEADER_KEY));
        if let Some(lease_id) = leader.and_then(|pair| pair.lease_id) {
            return lease_id;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the store has received this request. Earlier requests are forgotten.
async fn wait_for_request(server: &StoreServer, expected: &str) {
    while !server.take_requests().iter().any(|request| request == expected) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the controller knows a leader or leads itself.
async fn wait_for_conclusion(controller: &mut RunningController) {
    let concluded = |view: &LeadershipView| view.own_term.is_some() || view.leader.is_some();
    tokio::time::timeout(CONCLUSION_TIMEOUT, controller.view.wait_for(concluded))
        .await
        .expect("a conclusion in time")
        .expect("the election actor runs");
}

/// Guards against two leaders (review case 4): the response to an election is lost, the list that then shows the
/// controller's own record is slow, and its lease ends and another controller is elected while that list is on its
/// way. The read of the leader key shows the lease of the other controller, which is not this one's to lead with.
#[tokio::test]
async fn controller_that_lost_election_response_does_not_lead_with_lease_of_next_leader() {
    let (server, address) = start_store().await;
    server.lose_next_commit_response();
    let mut controller_1 = start("one", &address);
    let first_lease = wait_for_leader_lease(&server).await;
    let list = server.hold_next_list_response();
    list.wait_until_processed().await;
    server.expire_lease(first_lease);
    let mut controller_2 = start("two", &address);
    let second = wait_for_own_term(&mut controller_2).await;
    list.release();
    wait_for_conclusion(&mut controller_1).await;
    let view = controller_1.view.borrow().clone();
    assert_eq!(view.own_term, None, "controller two leads");
    assert_eq!((view.leader.as_deref(), view.leader_term), (Some("two"), Some(second.term())));
    assert_eq!(controller_2.view.borrow().own_term, Some(second));
}

/// Guards against a leader deposed by a process that has just started (review case 4): a slow list shows the record of
/// the controller's previous process, whose lease ends while the list is on its way, and another controller is elected.
/// The lease that the new process reads is not that of its previous process.
#[tokio::test]
async fn restarted_controller_does_not_revoke_lease_of_next_leader() {
    let (server, address) = start_store().await;
    let first_lease = store_earlier_process(&server, "one");
    let list = server.hold_next_list_response();
    let mut controller_1 = start("one", &address);
    list.wait_until_processed().await;
    server.expire_lease(first_lease);
    let mut controller_2 = start("two", &address);
    let second = wait_for_own_term(&mut controller_2).await;
    list.release();
    wait_for_conclusion(&mut controller_1).await;
    let second_lease = second.lease_id();
    assert_eq!(controller_1.view.borrow().leader.as_deref(), Some("two"));
    assert_eq!(controller_2.view.borrow().own_term, Some(second), "its term goes on");
    assert!(server.expire_lease(second_lease), "the lease of controller two was not revoked");
}

/// Guards against a term that is led twice: a leader steps down while the store refuses its requests, so its lease is
/// not released, and finds its own record afterwards. That record is not one of an election whose response was lost.
#[tokio::test]
async fn leader_that_stepped_down_without_store_does_not_lead_its_ended_term_again() {
    let (server, address) = start_store().await;
    let mut controller = start("one", &address);
    let first = wait_for_own_term(&mut controller).await;
    server.begin_outage();
    controller.resignation.request(first.term());
    controller
        .view
        .wait_for(|view| view.own_term.is_none())
        .await
        .expect("the election actor runs");
    // The extension and the release are refused; the lease goes on in the store.
    server.wait_for_refused_requests(1).await;
    server.end_outage();
    server.take_requests();
    let next = wait_for_own_term(&mut controller).await;
    assert_eq!(next.term(), first.term() + hookway_constants::TOKENS_PER_TERM);
    assert!(!server.expire_lease(first.lease_id()), "the lease of the ended term was revoked");
    let reads_leader_key = |request: &String| request == "GET /keys/lead/now";
    assert!(!server.take_requests().iter().any(reads_leader_key), "its own record is not found");
}

/// Guards against a leader that gives up a term because of an earlier one: that it lost the earlier term was shown by a
/// transaction as well as by the extension of its lease, and the request to resign comes when the term has ended already.
#[tokio::test]
async fn request_to_resign_that_comes_after_end_of_term_does_not_end_next_term() {
    let (server, address) = start_store().await;
    let mut controller = start("one", &address);
    let first = wait_for_own_term(&mut controller).await;
    server.expire_lease(first.lease_id());
    controller
        .view
        .wait_for(|view| view.own_term.is_none())
        .await
        .expect("the election actor runs");
    controller.resignation.request(first.term());
    let second = wait_for_own_term(&mut controller).await;
    let next_term = first.term() + hookway_constants::TOKENS_PER_TERM;
    assert_eq!(second.term(), next_term, "no term between was given up");
    wait_for_request(&server, &format!("POST /grants/{}/extend", second.lease_id())).await;
    assert_eq!(controller.view.borrow().own_term, Some(second), "the next term goes on");
}

/// Guards against seconds without a leader: a leader steps down while the store refuses its requests. It releases its lease
/// once the store is back, so that another controller leads before it campaigns again.
#[tokio::test]
async fn leader_that_steps_down_without_store_leaves_next_term_to_others() {
    let (server, address) = start_store().await;
    let mut controller_1 = start("one", &address);
    let first = wait_for_own_term(&mut controller_1).await;
    let mut controller_2 = start("two", &address);
    wait_for_request(&server, "GET /watch").await;
    server.begin_outage();
    controller_1.resignation.request(first.term());
    server.wait_for_refused_requests(1).await;
    server.end_outage();
    let elected = wait_for_own_term(&mut controller_2);
    let second = tokio::time::timeout(hookway_constants::STEP_DOWN_PAUSE / 2, elected)
        .await
        .expect("the next leader before the pause ends");
    assert_eq!(second.term(), first.term() + hookway_constants::TOKENS_PER_TERM);
}

/// Guards against elections that cost more: an election whose response was lost is found with one list and one read of
/// the key, and its lease is extended at once. (`GET /keys/lead/now` is the read that alone proves the term.)
#[tokio::test]
async fn election_without_response_is_found_by_one_list_and_one_read() {
    let (server, address) = start_store().await;
    server.lose_next_commit_response();
    let mut controller = start("one", &address);
    wait_for_leader_lease(&server).await;
    server.take_requests();
    let term = wait_for_own_term(&mut controller).await;
    controller.wait_until_lease_holds(&term).await;
    let extension = format!("POST /grants/{}/extend", term.lease_id());
    assert_eq!(server.take_requests(), ["GET /keys", "GET /keys/lead/now", extension.as_str()]);
}

/// Guards against slower failovers: once the lease of a leader has ended, a follower is told by its watch, lists the
/// keys once, and is elected with one transaction.
#[tokio::test]
async fn failover_takes_one_list_one_lease_and_one_transaction() {
    let (server, address) = start_store().await;
    let mut controller_1 = start("one", &address);
    let first = wait_for_own_term(&mut controller_1).await;
    let mut controller_2 = start("two", &address);
    wait_for_conclusion(&mut controller_2).await;
    wait_for_request(&server, "GET /watch").await;
    controller_1.election_actor.abort();
    server.take_requests();
    server.expire_lease(first.lease_id());
    wait_for_own_term(&mut controller_2).await;
    assert_eq!(server.take_requests(), ["GET /keys", "POST /grants", "POST /commit"]);
}

/// Guards against a change of leader that is missed between a list and the watch after it: the list is on its way while
/// the leader that it shows loses its lease and another one is elected. The watch begins at the revision of the list.
#[tokio::test]
async fn leader_elected_while_list_is_on_its_way_is_seen_before_watch_ends() {
    let (server, address) = start_store().await;
    let first_lease = store_earlier_process(&server, "one");
    let list = server.hold_next_list_response();
    let mut controller_2 = start("two", &address);
    list.wait_until_processed().await;
    server.expire_lease(first_lease);
    let mut controller_3 = start("three", &address);
    wait_for_own_term(&mut controller_3).await;
    list.release();
    let follows = wait_for_leader(&mut controller_2, "three");
    tokio::time::timeout(hookway_constants::WATCH_WAIT / 2, follows)
        .await
        .expect("the new leader before the watch ends");
}
