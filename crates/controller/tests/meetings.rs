//! Troubles that meet, brought about one by one: a leader or a holder, a state service in memory, scripted
//! workers, and a clock that the test moves. docs/safety.md has the table of meetings.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod play;

use hookway_controller::cluster_state::{
    CancelOutcome, CommitResult, JobLookup, worker_lease_expiry_ms,
};
use hookway_controller::records::scheduling_key;
use hookway_testkit::{MemoryStore, ScriptedWorker};
use hookway_wire::{Command, DirectCommands, ExitCause, JobId, JobState, MachineState};
use play::{Play, config, job, listed, small};

/// Machines of both zones with a task each, of a job that is bound to zones in some way.
fn bound_job(play: &mut Play, one_zone: bool, spread: bool, tasks: u32) -> JobId {
    let mut spec = job("req-000001", "array", tasks);
    (spec.one_zone, spec.spread) = (one_zone, spread);
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
    let lease = worker_lease_expiry_ms(&config().platform);
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
    assert!(store.get(&scheduling_key(&id)).is_some());
    store.put(&scheduling_key(&id), serde_json::json!({ "least": "of a later version" }));
    let mut next = Play::lead(store, 2, 30_000);
    let mut other = small("m-2", "b");
    next.settle(&mut [&mut other]);
    assert_eq!(other.started, [], "any of its tasks may be on m-1");
    cut.end(&cut.live()[0].clone(), ExitCause::Done);
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
    assert!(next.store.get(&scheduling_key(&id)).is_some(), "a later version may read it");
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
    let cancelled = play.cluster.cancel(&id);
    assert_eq!(cancelled, CancelOutcome::Pending);
    let first = play.cluster.next_commit(play.now).expect("the end");
    let late = first.transaction.clone();
    let read = first.keys().into_iter().map(|k| (k.clone(), play.store.get(&k))).collect();
    play.cluster.committed(first, CommitResult::Indeterminate(read), play.now);
    assert_eq!(play.cluster.status(&id), JobLookup::CommitInFlight);
    let second = play.cluster.next_commit(play.now).expect("once more");
    play.cluster.committed(second, CommitResult::NotApplied, play.now);
    play.store.commit(&late).expect("carried out late");
    assert_eq!(play.cluster.status(&id), JobLookup::CommitInFlight, "the store must be asked");
    play.now += 1_000;
    play.flush();
    assert_eq!(play.state(&id), JobState::Cancelled);
}

/// The guard against too much of it: what was surely not carried out is told from memory.
#[test]
fn an_end_that_was_surely_not_written_leaves_the_state_in_memory() {
    let mut play = Play::start();
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    play.cluster.cancel(&id);
    let commit = play.cluster.next_commit(play.now).expect("the end");
    play.cluster.committed(commit, CommitResult::NotApplied, play.now);
    assert_eq!(play.state(&id), JobState::Running);
}

/// Where a worker's lease is longer than a cancellation may take, nobody is told of one before its tasks are
/// gone: a machine that hears nothing would keep them beyond it.
#[test]
fn a_cancellation_waits_for_its_tasks_where_leases_outlast_it() {
    let mut config = config();
    config.platform.workers.cancel_s = config.platform.workers.lease_s - 4.0;
    let mut play = Play::lead_with(config, MemoryStore::default(), 1, 0);
    let mut worker = small("m-1", "a");
    let id = play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    assert_eq!(play.cluster.cancel(&id), CancelOutcome::LeasesOutstanding);
    // It is cut off; its user asks again and again.
    let report = worker.report();
    for _ in 0..5 {
        play.wait(1_000);
        assert_eq!(play.cluster.cancel(&id), CancelOutcome::LeasesOutstanding);
        assert_eq!(play.stored_final(&id), None);
    }
    let stops =
        play.cluster.handle_heartbeat(&report, play.now).expect("the leader answers").commands;
    assert!(matches!(stops.as_slice(), [Command::Kill { .. }]), "{stops:?}");
    worker.end(&worker.live()[0].clone(), ExitCause::Stopped);
    play.beat(&mut worker);
    play.wait(100);
    assert_eq!(play.stored_final(&id).as_deref(), Some("withdrawn"));
    // As a rule nothing waits.
    let mut play = Play::start();
    let id = play.submit(job("req-000002", "array", 1));
    assert_eq!(play.cluster.cancel(&id), CancelOutcome::Pending);
}

/// An old report reaches every controller just as a new leader begins: it is the first that the new one hears
/// of the machine, and what it shows has moved since.
#[test]
fn an_old_report_that_a_new_leader_hears_first_starts_nothing_twice() {
    let mut play = Play::start();
    let (mut left, mut right) = (small("m-1", "a"), small("m-2", "b"));
    play.submit(job("req-000001", "array", 1));
    let older = left.report();
    play.settle(&mut [&mut left]);
    assert_eq!(left.live().len(), 1);
    let (old, empty) = (left.report(), right.report());
    // The task fails there and goes on elsewhere.
    left.end(&left.live()[0].clone(), ExitCause::InsufficientResources);
    play.settle(&mut [&mut left, &mut right]);
    while right.live().is_empty() {
        play.settle(&mut [&mut left, &mut right]);
    }
    let mut next = Play::lead(play.store.clone(), 2, play.now + 6_000);
    // Copies come first; their answers reach nobody.
    let mut spare = small("m-3", "a");
    next.cluster.handle_heartbeat(&older, next.now);
    next.cluster.handle_heartbeat(&empty, next.now);
    for _ in 0..4 {
        next.settle(&mut [&mut spare]);
        assert_eq!(spare.started, [], "it runs on m-2, which was not heard yet");
    }
    next.cluster.handle_heartbeat(&old, next.now);
    next.settle(&mut [&mut spare]);
    assert_eq!(spare.started, []);
    next.settle(&mut [&mut left, &mut right, &mut spare]);
    next.settle(&mut [&mut left, &mut right, &mut spare]);
    let live: usize = [&left, &right, &spare].iter().map(|w| w.live().len()).sum();
    assert_eq!(live, 1, "one machine has it");
    // The copy again, now that newer ones came: nothing changes.
    assert_eq!(next.cluster.handle_heartbeat(&old, next.now), None);
}

/// A report is held back until a new leader has acted, and then arrives there.
#[test]
fn a_report_that_was_held_back_until_a_new_leader_acted_undoes_nothing() {
    let mut play = Play::start();
    let mut worker = small("m-1", "a");
    play.submit(job("req-000001", "array", 1));
    play.settle(&mut [&mut worker]);
    worker.end(&worker.live()[0].clone(), ExitCause::Error);
    let held_back = worker.report();
    let mut next = Play::lead(play.store.clone(), 2, play.now + 6_000);
    // It asks the worker, which tells it what it has under its token.
    let hello =
        DirectCommands { fencing_token: 2, incarnation: worker.session(), commands: vec![] };
    let told = worker.commands(&hello).expect("a higher token");
    next.cluster.machines_listed(&[listed("m-1", MachineState::Running, 60.0)], next.now, next.now);
    next.cluster.state_probed("m-1", Some(told), next.now);
    next.settle(&mut [&mut worker]);
    next.now += 60_000;
    while worker.live().is_empty() {
        next.settle(&mut [&mut worker]);
    }
    let before = worker.started.len();
    assert_eq!(
        next.cluster.handle_heartbeat(&held_back, next.now),
        None,
        "it is older than what was heard"
    );
    for _ in 0..5 {
        next.settle(&mut [&mut worker]);
    }
    assert_eq!((worker.live().len(), worker.started.len()), (1, before));
}

/// New machines are up within two seconds and get work at once while writes lag, and the leader ends: before
/// the store has the machine nothing starts there, and afterwards the next leader knows of it, listed or not.
#[test]
fn a_machine_that_the_next_leader_may_not_know_of_has_no_task() {
    let mut play = Play::start();
    let (mut first, mut quick) = (small("m-1", "a"), small("m-2", "a"));
    play.submit(job("req-000001", "array", 300));
    play.settle(&mut [&mut first]);
    assert_eq!(first.live().len(), 1, "the store knows that tasks may be started");
    // The writes of the new machine's entry have no answer; they are carried out late, after the leader's end.
    let mut lost = Vec::new();
    for _ in 0..6 {
        let report = quick.report();
        let answer = play.cluster.handle_heartbeat(&report, play.now).expect("the leader answers");
        assert!(quick.take(&answer));
        play.now += 500;
        play.cluster.scheduling_round(play.now);
        assert_eq!(play.cluster.take_direct_starts(play.now), [], "nor straight");
        if let Some(commit) = play.cluster.next_commit(play.now) {
            lost.push(commit.transaction.clone());
            let read = commit.keys().into_iter().map(|k| (k.clone(), play.store.get(&k))).collect();
            play.cluster.committed(commit, CommitResult::Indeterminate(read), play.now);
        }
    }
    assert!(!lost.is_empty());
    assert_eq!(quick.started, [], "the next leader would not know of it");
    let mut next = Play::lead(play.store.clone(), 2, play.now);
    for transaction in &lost {
        assert!(next.store.commit(transaction).is_err(), "the old leader's writes fail by now");
    }
    // Not listed, not in the roster: it holds nothing, and nothing waits for it.
    next.cluster.machines_listed(&[], next.now, next.now);
    let mut other = small("m-3", "b");
    next.settle(&mut [&mut first, &mut other]);
    assert!(next.cluster.reconciled(next.now));
    assert_eq!(other.live().len(), 1);
}

/// A team is at its limit when the leader changes, a machine of its can't be asked, and the job there is
/// cancelled: what may still run counts until it is surely gone, also once the job's record is gone.
#[test]
fn tasks_of_a_cancelled_job_count_against_the_limit_until_they_are_surely_gone() {
    let tight = |id: &str| {
        let mut spec = job(id, "array", 1);
        spec.team = "tight".into();
        spec
    };
    let mut play = Play::start();
    let (mut cut, mut near) = (small("m-1", "b"), small("m-2", "a"));
    let id = play.submit(tight("req-000001"));
    play.settle(&mut [&mut cut]);
    assert_eq!(cut.live().len(), 1, "three of four CPUs");
    play.submit(tight("req-000002"));
    // Cancelled under the old leader, or under the new one, or while nobody leads.
    for (case, at) in ["before", "after"].iter().zip([40_000, 80_000]) {
        let mut play = Play::lead(play.store.clone(), at, at);
        if *case == "before" {
            play.cluster.cancel(&id);
            play.flush();
            play = Play::lead(play.store.clone(), at + 4_096, at + 1_000);
        } else {
            play.wait(1_000);
            play.cluster.cancel(&id);
            play.flush();
        }
        assert_eq!(play.stored_final(&id).as_deref(), Some("withdrawn"));
        let over = play.now + worker_lease_expiry_ms(&config().platform) - 3_000;
        let mut near = near.clone();
        while play.now < over {
            play.settle(&mut [&mut near]);
            assert_eq!(near.started, [], "{case}: m-1 may still run it");
        }
        for _ in 0..5 {
            play.settle(&mut [&mut near]);
        }
        assert_eq!(near.live().len(), 1, "{case}: it is gone for sure");
    }
    near.expire();
}

/// Jobs of two or three tasks end far apart across changes of leader: what is done stays done, and is not
/// started again.
#[test]
fn the_tasks_of_a_small_job_end_under_different_leaders_and_each_runs_once() {
    let mut play = Play::start();
    let mut workers: Vec<ScriptedWorker> = (1..=3).map(|n| small(&format!("m-{n}"), "a")).collect();
    let id = play.submit(job("req-000001", "array", 3));
    play.settle(&mut workers.iter_mut().collect::<Vec<_>>());
    for term in 2..=4 {
        let n = term as usize - 2;
        let task = workers[n].live()[0].clone();
        workers[n].end(&task, ExitCause::Done);
        play.settle(&mut workers.iter_mut().collect::<Vec<_>>());
        let over = play.stored_final(&id);
        assert_eq!(over.is_some(), term == 4, "done with the last one only");
        play = Play::lead(play.store.clone(), term, play.now + 6_000);
    }
    assert_eq!(play.stored_final(&id).as_deref(), Some("done"));
    let started: usize = workers.iter().map(|w| w.started.len()).sum();
    assert_eq!(started, 3, "none ran a second time");
}

/// All controllers are away for longer than a worker's lease: all work begins anew, once.
#[test]
fn after_all_controllers_were_away_for_longer_than_a_lease_everything_runs_again_once() {
    let mut play = Play::start();
    let mut workers: Vec<ScriptedWorker> = (1..=3).map(|n| small(&format!("m-{n}"), "a")).collect();
    let id = play.submit(job("req-000001", "array", 3));
    play.settle(&mut workers.iter_mut().collect::<Vec<_>>());
    let old: Vec<_> = workers.iter_mut().map(ScriptedWorker::report).collect();
    workers.iter_mut().for_each(ScriptedWorker::expire);
    let mut next = Play::lead(play.store.clone(), 2, play.now + 30_000);
    // Copies from before the silence come first.
    for report in &old {
        next.cluster.handle_heartbeat(report, next.now);
    }
    for _ in 0..4 {
        next.settle(&mut workers.iter_mut().collect::<Vec<_>>());
    }
    assert!(workers.iter().all(|w| w.live().len() == 1), "each has a task again");
    let attempts: std::collections::BTreeSet<_> = workers.iter().flat_map(|w| &w.started).collect();
    assert_eq!(attempts.len(), 6, "no attempt number was used twice");
    for w in &mut workers {
        w.end(&w.live()[0].clone(), ExitCause::Done);
    }
    next.settle(&mut workers.iter_mut().collect::<Vec<_>>());
    assert_eq!(next.stored_final(&id).as_deref(), Some("done"));
}
