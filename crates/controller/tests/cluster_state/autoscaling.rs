//! Autoscaling: scale-out, machines that do not boot, and machines kept for a class.

use crate::harness::{
    LeaderHarness, at, job, listed_machine, ms, small_worker, test_config, timestamp,
};
use hookway_controller::cluster_state::{
    ClusterState, ControllerConfig, LoadedState, ScalingAction,
};
use hookway_controller::records::LEADER_KEY;
use hookway_controller::settings::Settings;
use hookway_testkit::{SETTINGS, machine_types};
use hookway_wire::{ExitCause, MachineState, Precondition};

#[test]
fn machine_that_never_boots_is_deleted_and_replaced() {
    let mut harness = LeaderHarness::start();
    harness.submit(job("req-000001", "array", 1));
    let mut rented = 0;
    let mut deleted = Vec::new();
    for _ in 0..200 {
        harness.now += ms(1_000);
        for action in harness.cluster.autoscaling_round(harness.now) {
            match action {
                ScalingAction::ScaleOut(request) => {
                    rented += 1;
                    let names = vec![format!("m-{rented}")];
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
    assert!(deleted.contains(&"m-1".to_owned()), "given up after several boot times");
    assert!(rented >= 2, "another one is rented in its place");
    assert!(!harness.is_registered("m-1"));
}

#[test]
fn machine_listed_as_failed_frees_its_tasks() {
    let mut harness = LeaderHarness::start();
    let (mut one, mut two) = (small_worker("m-1", "a"), small_worker("m-2", "a"));
    harness.submit(job("req-000001", "array", 1));
    harness.run_rounds(&mut [&mut one]);
    let entry = listed_machine("m-1", MachineState::Failed, 60.0);
    harness.cluster.machines_listed(&[entry], harness.now, harness.now);
    harness.run_rounds(&mut [&mut two]);
    assert_eq!(two.unfinished_tasks(), ["req-000001/0"]);
}

#[test]
fn unavailable_capacity_makes_scale_out_try_every_zone_and_kind() {
    // Much unplaced demand, a cloud with only the most expensive of many offers, and three responses a
    // second.
    let mut harness = LeaderHarness::start();
    harness.submit(job("req-000001", "array", 20_000));
    let mut waiting: Vec<hookway_wire::ScaleOutRequest> = Vec::new();
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..40 {
        harness.now += ms(1_000);
        for action in harness.cluster.autoscaling_round(harness.now) {
            if let ScalingAction::ScaleOut(request) = action {
                let offer = (request.zone.clone(), request.spot);
                let twice = waiting.iter().any(|w| (w.zone.clone(), w.spot) == offer);
                assert!(!twice, "one request at a time for each offer");
                asked.insert(offer);
                waiting.push(request);
            }
        }
        assert!(waiting.len() <= 4, "no queue of requests that are out of date");
        for request in waiting.drain(..waiting.len().min(3)) {
            harness.cluster.scale_out_finished(&request, None, harness.now);
        }
    }
    assert_eq!(asked.len(), 4, "each zone and kind had its turn: {asked:?}");
}

#[test]
fn idle_machine_reserved_for_class_is_kept_across_failover() {
    // The objective requires a start within less than the boot time of a machine.
    let aim = "kind = \"wait\"\nclass = \"train\"\nwithin_s = 5.0\nshare = 0.8\n[[settings.objectives]]\n";
    let settings = SETTINGS.replace("kind = \"finished\"", &format!("{aim}kind = \"finished\""));
    let config = ControllerConfig {
        platform: Settings::parse(&settings).expect("sound").platform,
        ..test_config()
    };
    let mut harness = LeaderHarness::start();
    let mut w = small_worker("m-1", "a");
    harness.submit(job("req-000001", "group", 1));
    harness.run_rounds(&mut [&mut w]);
    w.end_task("req-000001/0", ExitCause::Done);
    harness.run_rounds(&mut [&mut w]);
    assert!(harness.store.list("j/").is_empty(), "no job of the class is left");
    // The next leader has never seen a job of the class.
    let stamp = harness.store.put(LEADER_KEY, serde_json::json!({ "term": 5_000 }));
    let loaded = LoadedState {
        registry: harness.store.list("r/"),
        classes: harness.store.get("c/lanes"),
        has_start_watermarks: true,
        ..LoadedState::default()
    };
    let guard = Precondition { key: LEADER_KEY.into(), mod_revision: stamp };
    let now = at(20_000);
    let elected = timestamp(now);
    let cluster = ClusterState::new(config, 5_000, guard, machine_types(), loaded, elected);
    let mut next = LeaderHarness { cluster, store: harness.store.clone(), now };
    for _ in 0..60 {
        next.run_rounds(&mut [&mut w]);
        for action in next.cluster.autoscaling_round(next.now) {
            assert!(!matches!(action, ScalingAction::ScaleIn(_)), "it was kept for the next gang");
        }
    }
}
