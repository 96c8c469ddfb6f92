//! Autoscaling: scale-out, machines that do not boot, and idle machines reserved for a job class.

use crate::harness::{
    LeaderHarness, at, job, listed_machine, ms, small_worker, test_config, timestamp,
};
use hookway_controller::cluster_state::{
    ClusterState, ControllerConfig, LoadedRecords, ScalingAction,
};
use hookway_controller::leadership::WatermarkCompleteness;
use hookway_controller::records::LEADER_KEY;
use hookway_controller::settings::Settings;
use hookway_testkit::{MemoryStore, PLATFORM_SETTINGS, machine_types};
use hookway_wire::{ExitCause, MachineState, MachineType, Precondition, ScaleOutRequest};

#[test]
fn machine_that_never_boots_is_deleted_and_replaced() {
    let mut harness = LeaderHarness::start();
    harness.submit(job("req-000001", "array", 1));
    let mut scaled_out = 0;
    let mut deleted = Vec::new();
    for _ in 0..200 {
        harness.now += ms(1_000);
        for action in harness.cluster.autoscaling_round(harness.now) {
            match action {
                ScalingAction::ScaleOut(request) => {
                    scaled_out += 1;
                    let names = vec![format!("m-{scaled_out}")];
                    harness.cluster.scale_out_finished(&request, Some(names), harness.now);
                }
                ScalingAction::ScaleIn(names) => {
                    harness.cluster.scale_in_finished(&names, harness.now);
                    deleted.extend(names);
                }
            }
        }
        harness.commit_pending();
    }
    assert!(deleted.contains(&"m-1".to_owned()), "a machine that does not boot is deleted");
    assert!(scaled_out >= 2, "a replacement is requested");
    assert!(!harness.is_registered("m-1"));
}

#[test]
fn machine_listed_as_failed_frees_its_tasks() {
    let mut harness = LeaderHarness::start();
    let (mut worker_1, mut worker_2) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_four_rounds(&mut [&mut worker_1]);
    let listed = listed_machine("m-1", MachineState::Failed, 60.0);
    harness.cluster.machines_listed(&[listed], harness.now, harness.now);
    harness.run_four_rounds(&mut [&mut worker_2]);
    assert_eq!(worker_2.unfinished_tasks(), ["req-000001/0"]);
}

#[test]
fn unavailable_capacity_makes_scale_out_try_every_zone_and_kind() {
    // Unplaced demand needs thousands of machines; the cloud has no capacity for any offer and
    // responds to three requests per second.
    let mut harness = LeaderHarness::start();
    harness.submit(job("req-000001", "array", 20_000));
    let mut in_flight: Vec<hookway_wire::ScaleOutRequest> = Vec::new();
    let mut requested_offers = std::collections::BTreeSet::new();
    for _ in 0..40 {
        harness.now += ms(1_000);
        for action in harness.cluster.autoscaling_round(harness.now) {
            if let ScalingAction::ScaleOut(request) = action {
                let offer = (request.zone.clone(), request.spot);
                let already_pending =
                    in_flight.iter().any(|pending| (pending.zone.clone(), pending.spot) == offer);
                assert!(!already_pending, "at most one request in flight per offer");
                requested_offers.insert(offer);
                in_flight.push(request);
            }
        }
        assert!(in_flight.len() <= 4, "requests in flight are bounded");
        for request in in_flight.drain(..in_flight.len().min(3)) {
            harness.cluster.scale_out_finished(&request, None, harness.now);
        }
    }
    assert_eq!(
        requested_offers.len(),
        4,
        "each zone, spot and on-demand, is requested: {requested_offers:?}"
    );
}

#[test]
fn idle_machine_reserved_for_class_is_kept_across_failover() {
    // The objective requires jobs to start in less time than a machine takes to boot.
    let objective = "kind = \"wait\"\nclass = \"train\"\nwithin_s = 5.0\nshare = 0.8\n[[settings.objectives]]\n";
    let settings = PLATFORM_SETTINGS
        .replace("kind = \"finished\"", &format!("{objective}kind = \"finished\""));
    let config = ControllerConfig {
        platform: Settings::parse(&settings).expect("valid settings").platform,
        ..test_config()
    };
    let mut harness = LeaderHarness::start();
    let mut worker = small_worker("m-1", "a");
    harness.submit(job("req-000001", "group", 1));
    harness.run_four_rounds(&mut [&mut worker]);
    worker.end_task("req-000001/0", ExitCause::Done);
    harness.run_four_rounds(&mut [&mut worker]);
    assert!(harness.store.list("j/").is_empty(), "all jobs of the class are finished");
    // The next leader loads the class history but no job of the class.
    let mod_revision = harness.store.put(LEADER_KEY, serde_json::json!({ "term": 5_000 }));
    let loaded = LoadedRecords {
        registry: harness.store.list("r/"),
        classes: harness.store.get("c/lanes"),
        ..LoadedRecords::empty(WatermarkCompleteness::Complete)
    };
    let precondition = Precondition { key: LEADER_KEY.into(), mod_revision };
    let now = at(20_000);
    let elected_at = timestamp(now);
    let cluster =
        ClusterState::new(config, 5_000, precondition, machine_types(), loaded, elected_at);
    let mut next =
        LeaderHarness { cluster, store: harness.store.clone(), now, writes_refused: false };
    for _ in 0..60 {
        next.run_four_rounds(&mut [&mut worker]);
        for action in next.cluster.autoscaling_round(next.now) {
            assert!(
                !matches!(action, ScalingAction::ScaleIn(_)),
                "the idle machine stays reserved for the class"
            );
        }
    }
}

/// Guards against the end of a controller, or a wrong pool without capacity: the cloud's list of machine types is read
/// again while a scale-out request is in flight, and has them in another order, or lacks the requested one.
#[test]
fn scale_out_in_flight_keeps_its_machine_type_when_types_are_read_again() {
    let small = machine_types().remove(0);
    let costly = MachineType { name: "costly".into(), price_per_hour: 9.0, ..small.clone() };
    let costly = MachineType { spot_price: Some(8.0), zones: vec!["a".into()], ..costly };
    let small = MachineType { zones: vec!["a".into()], ..small };
    let mut harness = LeaderHarness::start();
    harness.cluster.set_machine_types(vec![costly.clone(), small.clone()]);
    harness.submit(job("req-000001", "array", 1));
    let mut request_one = |types: Vec<MachineType>| {
        harness.now += ms(1_000);
        harness.cluster.set_machine_types(types);
        let mut requests: Vec<ScaleOutRequest> = Vec::new();
        for action in harness.cluster.autoscaling_round(harness.now) {
            if let ScalingAction::ScaleOut(request) = action {
                requests.push(request);
            }
        }
        for request in &requests {
            harness.cluster.scale_out_finished(request, None, harness.now);
        }
        requests.into_iter().map(|request| (request.machine_type, request.spot)).collect::<Vec<_>>()
    };
    let in_one_order = vec![costly.clone(), small.clone()];
    let in_other_order = vec![small, costly.clone()];
    assert_eq!(request_one(in_one_order.clone()), [("small".to_owned(), true)]);
    // The spot machines of the small type have no capacity, whatever the order of the list.
    assert_eq!(request_one(in_other_order), [("small".to_owned(), false)]);
    assert_eq!(request_one(in_one_order), [("costly".to_owned(), true)]);
    assert_eq!(request_one(vec![costly]), [("costly".to_owned(), false)]);
}

/// Guards against the end of a controller: the machine type of a request in flight is not offered any more.
#[test]
fn scale_out_in_flight_of_type_that_is_not_offered_any_more_is_waited_for() {
    let small = machine_types().remove(0);
    let other = MachineType { name: "other".into(), price_per_hour: 9.0, ..small.clone() };
    let other = MachineType { spot_price: Some(8.0), ..other };
    let mut harness = LeaderHarness::start();
    harness.cluster.set_machine_types(vec![other.clone(), small]);
    harness.submit(job("req-000001", "array", 1));
    let actions = harness.cluster.autoscaling_round(at(1_000));
    let [ScalingAction::ScaleOut(request)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(request.machine_type, "small");
    harness.cluster.set_machine_types(vec![other]);
    harness.cluster.autoscaling_round(at(2_000));
    harness.cluster.scale_out_finished(request, Some(vec!["m-1".into()]), at(3_000));
    assert_eq!(harness.cluster.machine_count(), 1);
}

/// Guards against machines of another request that are taken for one's own: the response to a scale-out request is lost,
/// and the request is repeated under its id. An id belongs to one request of one term.
#[test]
fn scale_out_request_ids_differ_within_term_and_between_terms() {
    let mut ids = std::collections::BTreeSet::new();
    let mut requests = 0;
    for term in [1, 4_097, 8_193] {
        let mut harness = LeaderHarness::with_term(MemoryStore::default(), term, at(0));
        harness.submit(job("req-000001", "array", 5_000));
        for _ in 0..10 {
            harness.now += ms(1_000);
            for action in harness.cluster.autoscaling_round(harness.now) {
                let ScalingAction::ScaleOut(request) = action else { continue };
                harness.cluster.scale_out_finished(&request, None, harness.now);
                requests += 1;
                ids.insert(request.request_id);
            }
        }
    }
    assert!(requests > 3, "requests in each term");
    assert_eq!(ids.len(), requests);
}
