//! A follower that applies a publisher's entries: lost, delayed, duplicated and invalid responses, and digests.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod support;

use hookway_constants as constants;
use hookway_replication::{
    Entry, FollowError, FollowOutcome, FollowRequest, FollowResponse, FollowResponseBody,
    FollowerProgress, Position, PublishedMachine, Publisher, RangeDigest, ReplicatedJob, Stage,
    UnusableCopy,
};
use std::time::Duration;
use support::{TERM, at, catch_up, exchange, follower, leader, machine, running};

fn entries(end: u64, after: u64, entries: Vec<Entry>) -> FollowResponse {
    let position = |index| Position { term: TERM, index };
    let body = FollowResponseBody::Entries { after: position(after), entries, digest: None };
    FollowResponse { end: position(end), body }
}

#[test]
fn follower_applies_every_entry_in_leader_order() {
    let mut publisher = leader(3);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    let restarted =
        PublishedMachine { address: "127.0.0.1:9009", incarnation: 2, ..machine("m-0") };
    publisher.publish_machine(restarted, [running("req-000001/0", 9)].into_iter());
    publisher.publish_machine(machine("m-1"), [].into_iter());
    publisher.retain_machines(|name| name != "m-2");
    publisher.publish_job(
        "req-000001",
        ReplicatedJob { consecutive_failures: 2, ..ReplicatedJob::default() },
    );
    publisher.publish_job("req-000002", ReplicatedJob::default());
    publisher.retain_jobs(1, |id| id == "req-000001");
    catch_up(&mut follower, &mut publisher, at(200));
    assert_eq!(
        follower.metrics().snapshots,
        1,
        "the log had all entries, so no second snapshot was sent"
    );
    assert_eq!(follower.state().machines.len(), 2);
    assert_eq!(follower.state().machines["m-0"].stage("req-000001/0", 9), Some(Stage::Running));
    assert_eq!(follower.state().jobs["req-000001"].consecutive_failures, 2);
    // Nothing has changed, so publishing the machine again adds no entry.
    let end_before = publisher.end();
    publisher.publish_machine(restarted, [running("req-000001/0", 9)].into_iter());
    assert_eq!(publisher.end(), end_before, "an unchanged machine adds no entry");
}

#[test]
fn entries_beyond_message_limit_follow_in_next_message() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    for index in 0..2_000 {
        let name = format!("m-{index}");
        publisher.publish_machine(machine(&name), [].into_iter());
    }
    let Ok(FollowOutcome::EntriesApplied(first)) = exchange(&mut follower, &mut publisher, at(0))
    else {
        panic!("the first response must have entries");
    };
    assert!(first > 100 && first < 1_999, "entries of the first message: {first}");
    assert!(follower.metrics().lag_entries > 0);
    catch_up(&mut follower, &mut publisher, at(300));
    assert_eq!(follower.metrics().lag_entries, 0);
    assert_eq!(follower.metrics().lag.count(), 1);
    assert!(
        follower.metrics().lag.quantile(1.0).abs_diff(Duration::from_millis(300))
            < Duration::from_millis(5)
    );
}

#[test]
fn delayed_duplicated_or_lost_responses_cause_no_snapshot_transfer() {
    let mut publisher = leader(2);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    publisher.publish_machine(machine("m-9"), [].into_iter());
    let response = publisher.respond(&follower.request(), at(0)).expect("the publisher responds");
    assert_eq!(
        follower.apply_response(response.clone(), at(0)),
        Ok(FollowOutcome::EntriesApplied(1))
    );
    assert_eq!(
        follower.apply_response(response.clone(), at(0)),
        Ok(FollowOutcome::EntriesApplied(0))
    );
    // The next response is lost; the one after it contains the entries of both.
    publisher.publish_machine(machine("m-8"), [].into_iter());
    let lost = publisher.respond(&follower.request(), at(0)).expect("the publisher responds");
    publisher.publish_machine(machine("m-7"), [].into_iter());
    assert_eq!(
        exchange(&mut follower, &mut publisher, at(0)),
        Ok(FollowOutcome::EntriesApplied(2))
    );
    // The response that seemed lost arrives late and changes nothing. If a response begins before the position of the
    // copy, only its new entries are applied.
    assert_eq!(follower.apply_response(lost, at(0)), Ok(FollowOutcome::EntriesApplied(0)));
    publisher.remove_machine("m-7");
    let progress = FollowerProgress::Through(response.end);
    let request = FollowRequest { follower: "worker-1".into(), progress };
    let overlapping = publisher.respond(&request, at(0)).expect("the publisher responds");
    assert_eq!(follower.apply_response(overlapping, at(0)), Ok(FollowOutcome::EntriesApplied(1)));
    assert_eq!(follower.state(), publisher.state());
    // Entries that begin after the position of the copy are rejected; the follower requests the missing ones.
    let end = publisher.end().index;
    let beyond = follower.apply_response(entries(end + 9, end + 8, vec![]), at(0));
    assert!(matches!(beyond, Err(FollowError::Gap { .. })), "{beyond:?}");
    catch_up(&mut follower, &mut publisher, at(0));
    assert_eq!((follower.metrics().snapshots, follower.metrics().resyncs), (1, 0));
}

#[test]
fn entries_of_deposed_leader_are_rejected_without_state_change() {
    let mut deposed = leader(2);
    let mut follower = follower();
    catch_up(&mut follower, &mut deposed, at(0));
    let mut new_leader = Publisher::new(2 * TERM);
    new_leader.publish_machine(machine("m-0"), [].into_iter());
    follower.observe_term(2 * TERM);
    // The deposed leader was paused during the election and continues to publish.
    deposed.publish_machine(machine("m-0"), [running("req-000001/5", 77)].into_iter());
    let late = deposed.respond(&follower.request(), at(10)).expect("the publisher responds");
    assert_eq!(
        follower.apply_response(late, at(10)),
        Err(FollowError::OldTerm { found: TERM, known: 2 * TERM })
    );
    assert_eq!(follower.state().machines["m-0"].stage("req-000001/5", 77), None);
    catch_up(&mut follower, &mut new_leader, at(20));
    assert_eq!(follower.state().machines.len(), 1);
}

#[test]
fn term_unknown_to_store_is_rejected_and_discarded() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    let mut unknown = Publisher::new(u64::MAX);
    unknown.publish_machine(machine("m-8"), [].into_iter());
    let response = unknown.respond(&follower.request(), at(0)).expect("the publisher responds");
    let result = follower.apply_response(response, at(0));
    assert_eq!(result, Err(FollowError::FutureTerm { found: u64::MAX, known: TERM }));
    publisher.publish_machine(machine("m-9"), [].into_iter());
    catch_up(&mut follower, &mut publisher, at(0));
    assert_eq!(
        follower.metrics().snapshots,
        1,
        "the follower kept its copy and needed no second snapshot"
    );
}

#[test]
fn diverged_copy_is_detected_reported_and_replaced() {
    let mut publisher = leader(40);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    // The copy receives an entry that the leader never published.
    let wrong =
        Entry::Machine { name: "m-7".into(), address: "127.0.0.1:1".into(), incarnation: 5 };
    let end = publisher.end().index;
    follower
        .apply_response(entries(end + 1, end, vec![wrong]), at(0))
        .expect("no digest has been compared yet");
    publisher.publish_machine(machine("m-0"), [].into_iter());
    let mut now = at(0);
    let divergence = loop {
        now += constants::REPLICATION_DIGEST_INTERVAL;
        assert!(
            now <= at(0) + 17 * constants::REPLICATION_DIGEST_INTERVAL,
            "no difference was found although all ranges were compared"
        );
        match exchange(&mut follower, &mut publisher, now) {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert!(matches!(divergence, FollowError::Diverged { .. }), "{divergence:?}");
    assert_eq!(
        follower.usable_copy(TERM + 1, now),
        Err(UnusableCopy::Diverged),
        "a diverged copy must not be used at a failover"
    );
    let replaced = exchange(&mut follower, &mut publisher, now).expect("a snapshot of one chunk");
    let FollowOutcome::SnapshotApplied { differing } = replaced else { panic!("{replaced:?}") };
    assert!(differing.contains(&"m-7".to_owned()), "{differing:?}");
    catch_up(&mut follower, &mut publisher, now);
}

#[test]
fn entries_that_do_not_apply_to_copy_are_rejected() {
    let mut publisher = leader(2);
    let machine_removed = |name: &str| Entry::MachineRemoved { name: name.into() };
    let task_removed =
        || Entry::TaskRemoved { machine: "m-0".into(), task: "req-9/9".into(), attempt: 3 };
    let end = publisher.end().index;
    let invalid = [
        entries(end + 1, end, vec![machine_removed("m-77")]),
        entries(end + 1, end, vec![task_removed()]),
        entries(end + 1, end, vec![Entry::JobRemoved { id: "req-9".into() }]),
        // An entry beyond the end of the log that the response names.
        entries(end, end, vec![machine_removed("m-0")]),
    ];
    for response in invalid {
        let mut follower = follower();
        catch_up(&mut follower, &mut publisher, at(0));
        let result = follower.apply_response(response.clone(), at(0));
        assert!(result.is_err(), "{response:?} must be rejected: {result:?}");
        assert!(follower.usable_copy(TERM + 1, at(0)).is_err());
        catch_up(&mut follower, &mut publisher, at(0));
    }
}

#[test]
fn copy_is_usable_only_for_later_term_and_while_fresh() {
    let mut publisher = leader(2);
    let mut follower = follower();
    assert_eq!(
        follower.usable_copy(TERM + 1, at(0)),
        Err(UnusableCopy::NoCopy),
        "no response has been received since the start"
    );
    catch_up(&mut follower, &mut publisher, at(1_000));
    assert!(follower.usable_copy(TERM + 1, at(9_000)).is_ok());
    assert_eq!(follower.usable_copy(TERM, at(9_000)), Err(UnusableCopy::NotEarlier(TERM)));
    let stale_at = at(1_001) + constants::MAX_REPLICATION_COPY_AGE;
    assert_eq!(
        follower.usable_copy(TERM + 1, stale_at),
        Err(UnusableCopy::Stale(constants::MAX_REPLICATION_COPY_AGE + Duration::from_millis(1)))
    );
}

#[test]
fn reasons_of_unusable_copy_have_the_texts_that_operators_see() {
    let texts = [
        UnusableCopy::NoCopy,
        UnusableCopy::NotEarlier(TERM),
        UnusableCopy::Diverged,
        UnusableCopy::Stale(Duration::from_millis(60_001)),
    ]
    .map(|reason| reason.to_string());
    let expected = [
        "no copy",
        "the copy is of term 4097, which is not earlier",
        "the copy has diverged",
        "the copy is 60001 ms old",
    ];
    assert_eq!(texts, expected);
}

#[test]
fn digest_differs_for_every_field() {
    let state = leader(1).state().clone();
    let digest = |state: &hookway_replication::ReplicatedState| {
        (0..constants::REPLICATION_DIGEST_RANGES)
            .map(|range| RangeDigest::of(state, range).expect("the range exists").digest)
            .collect::<Vec<_>>()
    };
    let original = digest(&state);
    let apply = |entry: Entry| {
        let mut changed = state.clone();
        changed.apply(entry).expect("the entry applies");
        digest(&changed)
    };
    let machine = |address: &str, incarnation| Entry::Machine {
        name: "m-0".into(),
        address: address.into(),
        incarnation,
    };
    let task = |stage| Entry::Task {
        machine: "m-0".into(),
        task: hookway_replication::PlacedTask { task: "req-000001/0".into(), attempt: 0, stage },
    };
    let job = |job| Entry::Job { id: "req-000001".into(), job };
    assert_ne!(apply(machine("127.0.0.1:1", 1)), original);
    assert_ne!(apply(machine("127.0.0.1:9000", 2)), original);
    assert_ne!(apply(task(Stage::Sent)), original);
    assert_eq!(apply(task(Stage::Running)), original, "the entry repeats the published state");
    let default_job = apply(job(ReplicatedJob::default()));
    assert_ne!(default_job, original);
    assert_ne!(
        apply(job(ReplicatedJob { consecutive_failures: 1, ..ReplicatedJob::default() })),
        default_job
    );
    assert_ne!(
        apply(job(ReplicatedJob { gang_attempt: Some(1), ..ReplicatedJob::default() })),
        default_job
    );
    assert_ne!(
        apply(job(ReplicatedJob {
            failed_machines: vec!["m-0".into()],
            ..ReplicatedJob::default()
        })),
        default_job
    );
    assert_eq!(RangeDigest::of(&state, constants::REPLICATION_DIGEST_RANGES), None);
}
