//! A new leader that has a copy of the last one's picture: what it does sooner, and what it never takes from the
//! copy. The copy is a hint; the state service, workers' reports and ended leases are the proof.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod play;

use hookway_constants as constants;
use hookway_controller::cluster_state::{ClusterState, WarmStart, worker_lease_expiry_ms};
use hookway_controller::networks::Networks;
use hookway_replication::{Entry, JobHints, PlacedTask, Publisher, ReplicatedState, Stage};
use hookway_testkit::ScriptedWorker;
use hookway_wire::{ExitCause, JobId, JobState, ListedMachine, MachineState, TaskState};
use play::{Play, config, job, small};

const SECOND_TERM: u64 = 1 + constants::TOKENS_PER_TERM;

/// The copy that a standby has which is up to date.
fn copy_of(cluster: &mut ClusterState) -> ReplicatedState {
    let mut publisher = Publisher::new(cluster.term());
    cluster.publish_all(&mut publisher);
    publisher.state().clone()
}

/// Another controller wins and has this copy.
fn take_over(play: &mut Play, copy: &ReplicatedState) -> WarmStart {
    let store = std::mem::take(&mut play.store);
    *play = Play::lead(store, SECOND_TERM, play.now + 5_000);
    play.cluster.warm_start(copy, &Networks::default(), play.now)
}

/// The workers that the new leader asks answer, those that are there; how many it asked.
fn answer_greetings(play: &mut Play, workers: &mut [ScriptedWorker]) -> usize {
    let asked = play.cluster.take_state_probes(play.now);
    for (name, _) in &asked {
        let worker = workers.iter_mut().find(|w| w.name() == name);
        let token = play.cluster.term();
        let report = worker.and_then(|w| {
            let session = w.session();
            w.commands(&hookway_wire::DirectCommands {
                fencing_token: token,
                incarnation: session,
                commands: vec![],
            })
        });
        play.cluster.state_probed(name, report, play.now);
    }
    asked.len()
}

fn settle(play: &mut Play, workers: &mut [ScriptedWorker]) {
    let mut all: Vec<&mut ScriptedWorker> = workers.iter_mut().collect();
    play.settle(&mut all);
}

fn fleet(machines: usize) -> Vec<ScriptedWorker> {
    (1..=machines)
        .map(|n| {
            let mut worker = small(&format!("m-{n}"), "a");
            worker.first_state = TaskState::FetchingImage;
            worker
        })
        .collect()
}

/// Four machines, a gang of four: two of its tasks are on their machines when the leader dies.
fn half_placed_gang() -> (Play, Vec<ScriptedWorker>, ReplicatedState, JobId) {
    let mut play = Play::start();
    let mut workers = fleet(4);
    settle(&mut play, &mut workers);
    let id = play.submit(job("req-000001", "group", 4));
    play.wait(500);
    for worker in &mut workers[..2] {
        play.beat(worker);
    }
    assert_eq!(workers.iter().filter(|w| !w.live().is_empty()).count(), 2);
    let copy = copy_of(&mut play.cluster);
    (play, workers, copy, id)
}

fn attempts(workers: &[ScriptedWorker]) -> Vec<u64> {
    workers.iter().flat_map(|w| &w.started).map(|(_, attempt)| *attempt).collect()
}

#[test]
fn a_half_placed_gang_is_completed_under_its_attempt() {
    let (mut play, mut workers, copy, id) = half_placed_gang();
    let taken = take_over(&mut play, &copy);
    assert_eq!((taken.addresses, taken.gangs), (4, 1), "{taken}");
    assert_eq!(answer_greetings(&mut play, &mut workers), 4, "asked at once");
    assert!(play.cluster.reconciled(play.now));
    settle(&mut play, &mut workers);
    let attempts = attempts(&workers);
    assert_eq!(attempts.len(), 4, "the rest was started, and nothing twice: {attempts:?}");
    assert!(attempts.iter().all(|a| *a == attempts[0]), "{attempts:?}");
    for worker in &mut workers {
        worker.set_state(TaskState::Running);
    }
    settle(&mut play, &mut workers);
    assert_eq!(play.state(&id), JobState::Running);
}

/// Without a copy nobody says that the attempt was not one that lost tasks.
#[test]
fn without_a_copy_a_half_placed_gang_begins_anew() {
    let (mut play, mut workers, _, _) = half_placed_gang();
    take_over(&mut play, &ReplicatedState::default());
    settle(&mut play, &mut workers);
    settle(&mut play, &mut workers);
    let attempts = attempts(&workers);
    assert_eq!(attempts.len(), 6, "two in vain: {attempts:?}");
    assert_ne!(attempts.first(), attempts.last());
}

#[test]
fn a_gang_that_ran_and_lost_a_task_is_not_completed() {
    let (mut play, mut workers, _, _) = half_placed_gang();
    settle(&mut play, &mut workers);
    for worker in &mut workers {
        worker.set_state(TaskState::Running);
    }
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    let task = workers[3].live().remove(0);
    workers[3].end(&task, ExitCause::Error);
    take_over(&mut play, &copy);
    settle(&mut play, &mut workers);
    settle(&mut play, &mut workers);
    let attempts = attempts(&workers);
    assert_ne!(attempts.first(), attempts.last(), "a new attempt: {attempts:?}");
}

#[test]
fn a_gang_that_can_not_be_completed_in_time_begins_anew() {
    let (mut play, mut workers, copy, _) = half_placed_gang();
    // Two machines are gone, so there is no room for the rest.
    workers.truncate(2);
    take_over(&mut play, &copy);
    for gone in ["m-3", "m-4"] {
        play.cluster.scale_in_finished(&[gone.to_owned()], play.now);
    }
    settle(&mut play, &mut workers);
    assert_eq!(workers[0].live().len(), 1, "the rest may find room yet");
    play.wait(constants::GANG_RESUME_LIMIT_MS);
    settle(&mut play, &mut workers);
    assert!(workers.iter().all(|w| w.live().is_empty()), "stopped, so that it can begin anew");
}

/// The stream is a hint: a start that it lacks may have been sent all the same.
#[test]
fn a_start_that_the_copy_lacks_is_not_made_twice() {
    let mut play = Play::start();
    let mut workers = fleet(3);
    settle(&mut play, &mut workers);
    // The standby lags: its copy ends here.
    let copy = copy_of(&mut play.cluster);
    play.submit(job("req-000001", "array", 3));
    settle(&mut play, &mut workers);
    let before = attempts(&workers).len();
    assert_eq!(before, 3);
    take_over(&mut play, &copy);
    // Only two machines can be asked; the third may have anything.
    let mut heard: Vec<ScriptedWorker> = workers.drain(..2).collect();
    settle(&mut play, &mut heard);
    assert!(!play.cluster.reconciled(play.now));
    let lost = heard[0].live().remove(0);
    heard[0].end(&lost, ExitCause::Stopped);
    settle(&mut play, &mut heard);
    assert_eq!(attempts(&heard).len(), 2, "what may be on the silent machine is not started");
    settle(&mut play, &mut workers);
    settle(&mut play, &mut heard);
    assert_eq!(
        attempts(&heard).len(),
        3,
        "all machines were heard: the task that ended runs again"
    );
    assert_eq!(attempts(&workers).len(), 1);
}

/// A copy can't make a silent machine count as heard, or its lease as over.
#[test]
fn a_copy_that_says_a_machine_is_empty_settles_nothing() {
    let mut play = Play::start();
    let mut workers = fleet(1);
    settle(&mut play, &mut workers);
    play.submit(job("req-000001", "array", 1));
    settle(&mut play, &mut workers);
    let mut copy = copy_of(&mut play.cluster);
    let gone = copy.machines["m-1"].tasks()[0].clone();
    let machine = "m-1".to_owned();
    let entry = Entry::TaskGone { machine, task: gone.task, attempt: gone.attempt };
    copy.apply(entry).expect("it was there");
    take_over(&mut play, &copy);
    let mut spare = vec![small("m-2", "a")];
    settle(&mut play, &mut spare);
    assert!(spare[0].started.is_empty(), "m-1 may run it");
    let lease_over_at = play.now + worker_lease_expiry_ms(&config().platform);
    while play.now < lease_over_at {
        settle(&mut play, &mut spare);
    }
    settle(&mut play, &mut spare);
    assert_eq!(spare[0].started.len(), 1, "its lease is surely over");
}

#[test]
fn the_records_win_over_a_copy_that_names_other_machines_and_jobs() {
    let mut play = Play::start();
    let mut workers = fleet(1);
    settle(&mut play, &mut workers);
    let mut copy = copy_of(&mut play.cluster);
    let ghost = || "m-99".to_owned();
    let task = PlacedTask { task: "req-000009/0".into(), attempt: 7, stage: Stage::Running };
    for entry in [
        Entry::Machine { name: ghost(), address: "127.0.0.1:1".into(), session: 1 },
        Entry::Task { machine: ghost(), task },
        Entry::Job {
            id: "req-000009".into(),
            hints: JobHints { errors: 9, ..JobHints::default() },
        },
        Entry::Job { id: "no id".into(), hints: JobHints::default() },
    ] {
        copy.apply(entry).expect("it fits");
    }
    let taken = take_over(&mut play, &copy);
    assert_eq!(taken, WarmStart { addresses: 1, failing_jobs: 0, gangs: 0 });
    assert_eq!(play.cluster.machine_count(), 1);
    let unknown = JobId::parse("req-000009").expect("an id");
    assert_eq!(
        play.cluster.status(&unknown),
        hookway_controller::cluster_state::JobLookup::UnknownJob
    );
}

#[test]
fn addresses_outside_the_workers_networks_are_not_asked() {
    let mut play = Play::start();
    let mut workers = fleet(1);
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    let store = std::mem::take(&mut play.store);
    play = Play::lead(store, SECOND_TERM, play.now + 5_000);
    let elsewhere = Networks::parse("10.1.0.0/16").expect("a network");
    assert_eq!(play.cluster.warm_start(&copy, &elsewhere, play.now).addresses, 0);
    assert!(play.cluster.take_state_probes(play.now).is_empty());
}

/// A worker that answers under another name than the copy gives to its address settles nothing.
#[test]
fn an_address_that_leads_to_another_machine_settles_nothing() {
    let mut play = Play::start();
    let mut workers = fleet(2);
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    take_over(&mut play, &copy);
    let term = play.cluster.term();
    let asked = play.cluster.take_state_probes(play.now);
    assert_eq!(asked.len(), 2);
    let hello =
        hookway_wire::DirectCommands { fencing_token: term, incarnation: 1, commands: vec![] };
    let other = workers[1].commands(&hello);
    play.cluster.state_probed("m-1", other, play.now);
    assert!(!play.cluster.reconciled(play.now));
}

#[test]
fn a_job_that_fails_everywhere_is_known_to_the_next_leader() {
    let mut play = Play::start();
    let mut workers = fleet(3);
    settle(&mut play, &mut workers);
    let id = play.submit(job("req-000001", "array", 3));
    settle(&mut play, &mut workers);
    for worker in &mut workers {
        let task = worker.live().remove(0);
        worker.end(&task, ExitCause::Error);
    }
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    assert!(copy.jobs[id.as_str()].errors > 0);
    let before = attempts(&workers).len();
    let taken = take_over(&mut play, &copy);
    assert_eq!(taken.failing_jobs, 1);
    settle(&mut play, &mut workers);
    let tried = attempts(&workers).len() - before;
    assert!(tried <= 1, "{tried} tasks at once of a job that failed on each machine");
}

/// A copy can't keep a job from being tried for longer than its own errors could.
#[test]
fn a_pause_from_far_ahead_ends_like_any_other() {
    let mut play = Play::start();
    let mut workers = fleet(1);
    settle(&mut play, &mut workers);
    play.submit(job("req-000001", "array", 1));
    play.flush();
    let hints = JobHints { errors: u32::MAX, paused_until: u64::MAX, ..JobHints::default() };
    let mut copy = ReplicatedState::default();
    copy.apply(Entry::Job { id: "req-000001".into(), hints }).expect("it fits");
    take_over(&mut play, &copy);
    settle(&mut play, &mut workers);
    assert!(workers[0].live().is_empty(), "it pauses");
    for _ in 0..constants::FAILURE_BACKOFF_MAX_MS / 2_000 + 5 {
        play.now += 1_500;
        settle(&mut play, &mut workers);
    }
    assert_eq!(workers[0].live().len(), 1);
}

#[test]
fn what_a_leader_publishes_follows_its_picture() {
    let (mut play, mut workers, _, id) = half_placed_gang();
    let mut publisher = Publisher::new(play.cluster.term());
    play.cluster.publish_all(&mut publisher);
    let stages: Vec<Stage> = publisher
        .state()
        .machines
        .values()
        .flat_map(|m| m.tasks().iter().map(|t| t.stage))
        .collect();
    assert_eq!(stages, [Stage::Sent, Stage::Sent, Stage::Planned, Stage::Planned]);
    settle(&mut play, &mut workers);
    for worker in &mut workers {
        worker.set_state(TaskState::Running);
    }
    settle(&mut play, &mut workers);
    play.cluster.publish(&mut publisher);
    assert_eq!(
        publisher.state(),
        &copy_of(&mut play.cluster),
        "differences lead to the same as a whole"
    );
    assert!(publisher.state().jobs.contains_key(id.as_str()));
    for worker in &mut workers {
        let task = worker.live().remove(0);
        worker.end(&task, ExitCause::Done);
    }
    settle(&mut play, &mut workers);
    play.cluster.scale_in_finished(&["m-4".to_owned()], play.now);
    play.cluster.publish(&mut publisher);
    assert_eq!(publisher.state(), &copy_of(&mut play.cluster));
    assert_eq!((publisher.state().machines.len(), publisher.state().task_count()), (3, 0));
    assert!(publisher.state().jobs.is_empty());
}

/// A worker whose report came with the old token would show the new one with its next regular report only.
#[test]
fn workers_that_reported_with_the_old_token_are_asked_as_well() {
    let mut play = Play::start();
    let mut workers = fleet(2);
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    take_over(&mut play, &copy);
    for worker in &mut workers {
        play.beat(worker);
    }
    assert!(!play.cluster.reconciled(play.now), "their reports may be from before the takeover");
    assert!(play.cluster.take_state_probes(play.now).is_empty(), "they report again at once");
    play.now += constants::PROMPT_HEARTBEAT_MS;
    assert_eq!(answer_greetings(&mut play, &mut workers), 2);
    assert!(play.cluster.reconciled(play.now));
}

/// A worker that does not answer is asked again; where the others of its zone answer it is given back, and the
/// deletion proves what was on it gone.
#[test]
fn a_machine_that_answers_no_question_is_given_back_soon_after_a_takeover() {
    let mut play = Play::start();
    let mut workers = fleet(8);
    settle(&mut play, &mut workers);
    play.submit(job("req-000001", "array", 9));
    settle(&mut play, &mut workers);
    let copy = copy_of(&mut play.cluster);
    workers.pop();
    take_over(&mut play, &copy);
    // The cloud still lists it, and says in which zone it is.
    let list: Vec<ListedMachine> =
        (1..=8).map(|n| play::listed(&format!("m-{n}"), MachineState::Running, 60.0)).collect();
    play.cluster.machines_listed(&list, play.now, play.now);
    let begun = play.now;
    let deleted = loop {
        answer_greetings(&mut play, &mut workers);
        for worker in &mut workers {
            play.beat(worker);
        }
        play.wait(500);
        let deleted = play.cluster.autoscaling_round(play.now).into_iter().find_map(|a| match a {
            hookway_controller::cluster_state::ScalingAction::ScaleIn(names) => Some(names),
            hookway_controller::cluster_state::ScalingAction::ScaleOut(_) => None,
        });
        if let Some(names) = deleted {
            break names;
        }
        assert!(play.now < begun + 60_000, "never");
    };
    assert_eq!(deleted, ["m-8"]);
    let after = play.now - begun;
    let asked =
        u64::from(constants::MAX_UNANSWERED_STATE_PROBES - 1) * constants::STATE_PROBE_RETRY_MS;
    assert!((asked..asked + 1_500).contains(&after), "{after} ms");
    assert!(!play.cluster.reconciled(play.now), "only the cloud's answer proves it");
    play.cluster.scale_in_finished(&deleted, play.now);
    assert!(play.cluster.reconciled(play.now));
}

/// The rest of a gang may be on a machine that has not answered: no task of it starts elsewhere before that is settled.
#[test]
fn a_gang_is_not_completed_while_its_rest_may_be_on_a_silent_machine() {
    let mut play = Play::start();
    let mut workers = fleet(4);
    settle(&mut play, &mut workers);
    play.submit(job("req-000001", "group", 3));
    play.wait(500);
    for worker in &mut workers {
        play.beat(worker);
    }
    let copy = copy_of(&mut play.cluster);
    let holds = |w: &ScriptedWorker| !w.live().is_empty();
    let silent = workers.iter().position(holds).expect("a task of the gang");
    let silent = workers.remove(silent);
    take_over(&mut play, &copy);
    settle(&mut play, &mut workers);
    let begun = attempts(&workers).len();
    assert_eq!(begun, 2, "one machine is idle, and must stay so");
    assert!(!play.cluster.reconciled(play.now));
    settle(&mut play, &mut workers);
    assert_eq!(attempts(&workers).len(), begun, "its third task runs on {}", silent.name());
}
