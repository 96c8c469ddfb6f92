//! Troubles that meet, brought about one by one: a leader or a holder, a state service in memory, scripted
//! workers, and a clock that the test moves. docs/safety.md has the table of meetings.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod play;

use hookway_controller::ledger::{CommitResult, Lookup, Withdrawal, lease_over_ms};
use hookway_controller::records::minimum_key;
use hookway_testkit::{MemoryStore, ScriptedWorker};
use hookway_wire::{Cause, JobId, JobState, Order};
use play::{Play, job, setup, small};

/// Machines of both zones with a task each, of a job that is bound to zones in some way.
fn bound_job(play: &mut Play, together: bool, spread: bool, pieces: u32) -> JobId {
    let mut spec = job("req-000001", "array", pieces);
    (spec.together, spec.spread) = (together, spread);
    play.submit(spec)
}

/// Jobs bound to zones, arrays too, lose machines, and the leader changes: what may still run on machines
/// that the new leader has not heard decides where other tasks may start, also those that were surely never
/// started. Found by reading, on 2026-12-02: the mark let them start anywhere.
#[test]
fn an_array_bound_to_one_zone_waits_for_silent_machines_of_that_zone() {
    let mut play = Play::start();
    let mut cut = small("m-1", "a");
    bound_job(&mut play, true, false, 300);
    play.settle(&mut [&mut cut]);
    assert_eq!(cut.live().len(), 1, "its zone is a from now on");
    let mut next = Play::lead(play.store.clone(), 2, 30_000);
    let mut other = small("m-2", "b");
    next.settle(&mut [&mut other]);
    assert_eq!(other.started, [], "the job may be in zone a");
    let lease = lease_over_ms(&setup().params);
    while next.now < 30_000 + lease {
        next.settle(&mut [&mut other]);
    }
    next.settle(&mut [&mut other]);
    assert_eq!(other.live().len(), 1, "what was there is gone for sure");
}

#[test]
fn an_array_that_must_spread_waits_for_silent_machines_too() {
    let mut play = Play::start();
    let mut cut: Vec<ScriptedWorker> = (1..=20).map(|n| small(&format!("m-{n}"), "a")).collect();
    let mut far = small("m-99", "b");
    bound_job(&mut play, false, true, 40);
    let mut all: Vec<&mut ScriptedWorker> = cut.iter_mut().collect();
    all.push(&mut far);
    play.settle(&mut all);
    assert_eq!(cut.iter().map(|w| w.live().len()).sum::<usize>(), 20, "half of it");
    let mut next = Play::lead(play.store.clone(), 2, 30_000);
    let mut fresh = small("m-100", "a");
    next.settle(&mut [&mut far, &mut fresh]);
    assert_eq!(fresh.started, [], "half of the job may be in zone a");
}

/// The guard against the first: without it tasks above the mark start at once.
#[test]
fn an_array_that_may_be_anywhere_does_not_wait_for_what_it_never_started() {
    let mut play = Play::start();
    let mut cut = small("m-1", "a");
    bound_job(&mut play, false, false, 300);
    play.settle(&mut [&mut cut]);
    let mut next = Play::lead(play.store.clone(), 2, 30_000);
    let mut other = small("m-2", "b");
    next.settle(&mut [&mut other]);
    assert_eq!(other.live().len(), 1);
}

/// A record of marks that can't be read says nothing of what was started; it was taken to say that nothing
/// was. Found by reading, on 2026-12-02.
#[test]
fn a_job_whose_mark_can_not_be_read_counts_as_started() {
    let mut play = Play::start();
    let mut cut = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 300));
    play.settle(&mut [&mut cut]);
    let mut store = play.store.clone();
    assert!(store.get(&minimum_key(&id)).is_some());
    store.put(&minimum_key(&id), serde_json::json!({ "least": "of a later version" }));
    let mut next = Play::lead(store, 2, 30_000);
    let mut other = small("m-2", "b");
    next.settle(&mut [&mut other]);
    assert_eq!(other.started, [], "any of its tasks may be on m-1");
    cut.end(&cut.live()[0].clone(), Cause::Done);
    next.settle(&mut [&mut other, &mut cut]);
    assert!(!other.started.is_empty(), "all machines have reported");
}

/// Nothing is thrown away of a job whose own record can't be read.
#[test]
fn records_of_a_job_that_can_not_be_read_are_kept() {
    let mut play = Play::start();
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 300));
    play.settle(&mut [&mut worker]);
    let mut store = play.store.clone();
    store.put(&format!("j/{id}"), serde_json::json!({ "spec": 7 }));
    let mut next = Play::lead(store, 2, 30_000);
    next.wait(1_000);
    assert!(next.store.get(&minimum_key(&id)).is_some(), "a later version may read it");
}

/// Found by the model, on 2026-12-02: a transaction with a job's end had no answer; the next one was refused
/// by the state service, and the leader told the job's state from memory again; then the first one was
/// carried out, and other controllers told the end that they read.
#[test]
fn an_end_that_may_still_be_carried_out_is_not_told_from_memory() {
    let mut play = Play::start();
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    let withdrawn = play.ledger.withdraw(&id);
    assert_eq!(withdrawn, Withdrawal::Pending);
    let first = play.ledger.next_commit(play.now).expect("the end");
    let late = first.transaction.clone();
    let read = first.keys().into_iter().map(|k| (k.clone(), play.store.get(&k))).collect();
    play.ledger.committed(first, CommitResult::Unsure(read), play.now);
    assert_eq!(play.ledger.status(&id), Lookup::Deciding);
    let second = play.ledger.next_commit(play.now).expect("once more");
    play.ledger.committed(second, CommitResult::NotDone, play.now);
    play.store.commit(&late).expect("carried out late");
    assert_eq!(play.ledger.status(&id), Lookup::Deciding, "the store must be asked");
    play.now += 1_000;
    play.flush();
    assert_eq!(play.state(&id), JobState::Withdrawn);
}

/// The guard against too much of it: what was surely not carried out is told from memory.
#[test]
fn an_end_that_was_surely_not_written_leaves_the_state_in_memory() {
    let mut play = Play::start();
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    play.ledger.withdraw(&id);
    let commit = play.ledger.next_commit(play.now).expect("the end");
    play.ledger.committed(commit, CommitResult::NotDone, play.now);
    assert_eq!(play.state(&id), JobState::Running);
}

/// Where a worker's lease is longer than a cancellation may take, nobody is told of one before its tasks are
/// gone: a machine that hears nothing would keep them beyond it.
#[test]
fn a_cancellation_waits_for_its_tasks_where_leases_outlast_it() {
    let mut setup = setup();
    setup.params.workers.cancel_s = setup.params.workers.lease_s - 4.0;
    let mut play = Play::lead_with(setup, MemoryStore::default(), 1, 0);
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    assert_eq!(play.ledger.withdraw(&id), Withdrawal::Unproven);
    // It is cut off; its user asks again and again.
    let report = worker.report();
    for _ in 0..5 {
        play.wait(1_000);
        assert_eq!(play.ledger.withdraw(&id), Withdrawal::Unproven);
        assert_eq!(play.stored_final(&id), None);
    }
    let stops = play.ledger.check_in(&report, play.now).expect("the leader answers").orders;
    assert!(matches!(stops.as_slice(), [Order::Kill { .. }]), "{stops:?}");
    worker.end(&worker.live()[0].clone(), Cause::Stopped);
    play.beat(&mut worker);
    play.wait(100);
    assert_eq!(play.stored_final(&id).as_deref(), Some("withdrawn"));
    // As a rule nothing waits.
    let mut play = Play::start();
    let id = play.submit(job("req-000002", "array", 1));
    assert_eq!(play.ledger.withdraw(&id), Withdrawal::Pending);
}
