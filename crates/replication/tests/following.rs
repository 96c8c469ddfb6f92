//! A follower beside a publisher: what it has once it has asked, whatever was lost, late, doubled or wrong.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_constants as constants;
use hookway_replication::{
    Entry, FollowAnswer, FollowBody, FollowError, FollowRequest, Follower, Held, ImageError,
    ImagePiece, JobHints, MachineView, Position, Progress, Publisher, RangeDigest, Stage, TaskView,
    Unusable,
};

const TERM: u64 = 4_097;

fn machine(name: &str) -> MachineView<'_> {
    MachineView { name, address: "127.0.0.1:9000", session: 1 }
}

fn running(task: &str, attempt: u64) -> TaskView<'_> {
    TaskView { task, attempt, stage: Stage::Running }
}

/// A leader with so many machines, each with a task.
fn leader(machines: usize) -> Publisher {
    let mut publisher = Publisher::new(TERM);
    for n in 0..machines {
        let (name, task) = (format!("m-{n}"), format!("req-000001/{n}"));
        publisher.show_machine(machine(&name), [running(&task, n as u64)].into_iter());
    }
    publisher
}

fn follower() -> Follower {
    let mut follower = Follower::new("worker-1");
    follower.learn_term(TERM);
    follower
}

/// One question and its answer.
fn exchange(
    follower: &mut Follower,
    publisher: &mut Publisher,
    now: u64,
) -> Result<Progress, FollowError> {
    let answer = publisher.answer(&follower.request(), now).expect("an answer");
    follower.take(answer, now)
}

/// Asks until the follower has everything.
fn catch_up(follower: &mut Follower, publisher: &mut Publisher, now: u64) {
    for _ in 0..1_000 {
        exchange(follower, publisher, now).expect("taken");
        if follower.position() == Some(publisher.end()) {
            return assert_eq!(follower.state(), publisher.state());
        }
    }
    panic!("the follower is at {:?} of {}", follower.position(), publisher.end());
}

fn entries(end: u64, after: u64, entries: Vec<Entry>) -> FollowAnswer {
    let at = |index| Position { term: TERM, index };
    let body = FollowBody::Entries { after: at(after), entries, digest: None };
    FollowAnswer { end: at(end), body }
}

#[test]
fn follower_applies_every_entry_in_leader_order() {
    let mut publisher = leader(3);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    let moved = MachineView { address: "127.0.0.1:9009", session: 2, ..machine("m-0") };
    publisher.show_machine(moved, [running("req-000001/0", 9)].into_iter());
    publisher.show_machine(machine("m-1"), [].into_iter());
    publisher.retain_machines(|name| name != "m-2");
    publisher.show_job("req-000001", JobHints { errors: 2, ..JobHints::default() });
    publisher.show_job("req-000002", JobHints::default());
    publisher.retain_jobs(1, |id| id == "req-000001");
    catch_up(&mut follower, &mut publisher, 200);
    assert_eq!(follower.metrics().images, 1, "the log was enough");
    assert_eq!(follower.state().machines.len(), 2);
    assert_eq!(follower.state().machines["m-0"].stage("req-000001/0", 9), Some(Stage::Running));
    assert_eq!(follower.state().jobs["req-000001"].errors, 2);
    // Nothing has changed, so there is nothing to say.
    let end = publisher.end();
    publisher.show_machine(moved, [running("req-000001/0", 9)].into_iter());
    assert_eq!(publisher.end(), end);
}

#[test]
fn follower_behind_log_gets_image_then_remaining_entries() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    // More changes than the log holds; the image takes several pieces.
    for n in 0..constants::REPLICATION_LOG_ENTRIES {
        let name = format!("m-{n:06}");
        publisher.show_machine(machine(&name), [running("req-000001/7", n as u64)].into_iter());
    }
    let before = follower.metrics().images;
    let mut pieces = 0;
    while exchange(&mut follower, &mut publisher, 100) == Ok(Progress::Piece) {
        pieces += 1;
        // The leader goes on deciding meanwhile.
        let name = format!("late-{pieces}");
        publisher.show_machine(machine(&name), [].into_iter());
    }
    assert!(pieces > 3, "{pieces} pieces");
    assert_eq!(follower.metrics().images, before + 1);
    assert!(follower.position() < Some(publisher.end()), "the image is older than the log's end");
    catch_up(&mut follower, &mut publisher, 100);
}

#[test]
fn image_transfer_behind_log_restarts() {
    let mut publisher = leader(2_000);
    let mut follower = follower();
    assert_eq!(exchange(&mut follower, &mut publisher, 0), Ok(Progress::Piece));
    for n in 0..=constants::REPLICATION_LOG_ENTRIES {
        publisher.show_machine(machine("m-0"), [running("req-000001/7", n as u64)].into_iter());
    }
    assert_eq!(exchange(&mut follower, &mut publisher, 0), Ok(Progress::Piece));
    catch_up(&mut follower, &mut publisher, 0);
}

#[test]
fn entries_beyond_message_limit_follow_in_next_message() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    for n in 0..2_000 {
        let name = format!("m-{n}");
        publisher.show_machine(machine(&name), [].into_iter());
    }
    let Ok(Progress::Applied(first)) = exchange(&mut follower, &mut publisher, 0) else {
        panic!("entries");
    };
    assert!(first > 100 && first < 1_999, "{first}");
    assert!(follower.metrics().lag_entries > 0);
    catch_up(&mut follower, &mut publisher, 300);
    assert_eq!(follower.metrics().lag_entries, 0);
    assert_eq!(follower.metrics().lag.count(), 1);
    assert!(follower.metrics().lag.quantile(1.0).abs_diff(300) < 5);
}

#[test]
fn maximum_log_index_is_rejected() {
    let end = Position { term: TERM, index: u64::MAX };
    let mut follower = follower();
    // The image of an empty state, said to be made there.
    let FollowBody::Piece(piece) =
        leader(0).answer(&follower.request(), 0).expect("an answer").body
    else {
        panic!("an image");
    };
    let body = FollowBody::Piece(ImagePiece { position: end, ..piece });
    follower.take(FollowAnswer { end, body }, 0).expect("nothing tells yet");
    let entries = vec![Entry::Job { id: "req-1".into(), hints: JobHints::default() }];
    let body = FollowBody::Entries { after: end, entries, digest: None };
    let refused = follower.take(FollowAnswer { end, body }, 0);
    assert!(matches!(refused, Err(FollowError::Impossible { .. })), "{refused:?}");
}

#[test]
fn delayed_duplicated_or_lost_responses_cause_no_image_transfer() {
    let mut publisher = leader(2);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    publisher.show_machine(machine("m-9"), [].into_iter());
    let answer = publisher.answer(&follower.request(), 0).expect("an answer");
    assert_eq!(follower.take(answer.clone(), 0), Ok(Progress::Applied(1)));
    assert_eq!(follower.take(answer.clone(), 0), Ok(Progress::Applied(0)));
    // The next answer is lost; the one after it brings what both had.
    publisher.show_machine(machine("m-8"), [].into_iter());
    let lost = publisher.answer(&follower.request(), 0).expect("an answer");
    publisher.show_machine(machine("m-7"), [].into_iter());
    assert_eq!(exchange(&mut follower, &mut publisher, 0), Ok(Progress::Applied(2)));
    // What was lost comes late; and an answer that begins where the follower once was goes beyond it.
    assert_eq!(follower.take(lost, 0), Ok(Progress::Applied(0)));
    publisher.drop_machine("m-7");
    let held = Held::Through(answer.end);
    let from = FollowRequest { follower: "worker-1".into(), held };
    let overlapping = publisher.answer(&from, 0).expect("an answer");
    assert_eq!(follower.take(overlapping, 0), Ok(Progress::Applied(1)));
    assert_eq!(follower.state(), publisher.state());
    // Entries that begin beyond the copy: it asks again from where it is.
    let end = publisher.end().index;
    let beyond = follower.take(entries(end + 9, end + 8, vec![]), 0);
    assert!(matches!(beyond, Err(FollowError::Gap { .. })), "{beyond:?}");
    catch_up(&mut follower, &mut publisher, 0);
    assert_eq!((follower.metrics().images, follower.metrics().resyncs), (1, 0));
}

#[test]
fn duplicated_or_delayed_image_pieces_change_no_state() {
    let mut publisher = leader(3_000);
    let mut follower = follower();
    let first = publisher.answer(&follower.request(), 0).expect("an answer");
    assert_eq!(follower.take(first.clone(), 0), Ok(Progress::Piece));
    assert_eq!(follower.take(first.clone(), 0), Ok(Progress::Applied(0)));
    catch_up(&mut follower, &mut publisher, 0);
    assert_eq!(follower.take(first, 0), Ok(Progress::Applied(0)), "of the image that it has");
    assert_eq!((follower.metrics().images, follower.metrics().resyncs), (1, 0));
    assert_eq!(follower.state(), publisher.state());
}

#[test]
fn entries_of_deposed_leader_are_rejected_without_state_change() {
    let mut old = leader(2);
    let mut follower = follower();
    catch_up(&mut follower, &mut old, 0);
    let mut new = Publisher::new(2 * TERM);
    new.show_machine(machine("m-0"), [].into_iter());
    follower.learn_term(2 * TERM);
    // The old leader wakes and goes on publishing.
    old.show_machine(machine("m-0"), [running("req-000001/5", 77)].into_iter());
    let late = old.answer(&follower.request(), 10).expect("an answer");
    assert_eq!(follower.take(late, 10), Err(FollowError::OldTerm { found: TERM, known: 2 * TERM }));
    assert_eq!(follower.state().machines["m-0"].stage("req-000001/5", 77), None);
    catch_up(&mut follower, &mut new, 20);
    assert_eq!(follower.state().machines.len(), 1);
}

#[test]
fn term_unknown_to_state_service_is_rejected_and_discarded() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    let mut future = Publisher::new(u64::MAX);
    future.show_machine(machine("m-8"), [].into_iter());
    let answer = future.answer(&follower.request(), 0).expect("an answer");
    let refused = follower.take(answer, 0);
    assert_eq!(refused, Err(FollowError::FutureTerm { found: u64::MAX, known: TERM }));
    publisher.show_machine(machine("m-9"), [].into_iter());
    catch_up(&mut follower, &mut publisher, 0);
    assert_eq!(follower.metrics().images, 1, "it did not lose its place");
}

#[test]
fn diverged_copy_is_detected_reported_and_replaced() {
    let mut publisher = leader(40);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, 0);
    // An entry that the leader never wrote slips into the copy.
    let wrong = Entry::Machine { name: "m-7".into(), address: "127.0.0.1:1".into(), session: 5 };
    let at = publisher.end().index;
    follower.take(entries(at + 1, at, vec![wrong]), 0).expect("nothing tells yet");
    publisher.show_machine(machine("m-0"), [].into_iter());
    let mut now = 0;
    let found = loop {
        now += constants::REPLICATION_DIGEST_INTERVAL_MS;
        assert!(now <= 17 * constants::REPLICATION_DIGEST_INTERVAL_MS, "all ranges were compared");
        match exchange(&mut follower, &mut publisher, now) {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert!(matches!(found, FollowError::Diverged { .. }), "{found:?}");
    assert_eq!(follower.usable(TERM + 1, now), Err(Unusable::Diverged), "never led from");
    let replaced = exchange(&mut follower, &mut publisher, now).expect("an image of one piece");
    let Progress::Image { differing } = replaced else { panic!("{replaced:?}") };
    assert!(differing.contains(&"m-7".to_owned()), "{differing:?}");
    catch_up(&mut follower, &mut publisher, now);
}

#[test]
fn entries_that_do_not_apply_to_copy_are_rejected() {
    let mut publisher = leader(2);
    let gone = |name: &str| Entry::MachineGone { name: name.into() };
    let task = || Entry::TaskGone { machine: "m-0".into(), task: "req-9/9".into(), attempt: 3 };
    let end = publisher.end().index;
    let odd = [
        entries(end + 1, end, vec![gone("m-77")]),
        entries(end + 1, end, vec![task()]),
        entries(end + 1, end, vec![Entry::JobGone { id: "req-9".into() }]),
        // More entries than the log's end allows.
        entries(end, end, vec![gone("m-0")]),
    ];
    for answer in odd {
        let mut follower = follower();
        catch_up(&mut follower, &mut publisher, 0);
        let refused = follower.take(answer.clone(), 0);
        assert!(refused.is_err(), "{answer:?}: {refused:?}");
        assert!(follower.usable(TERM + 1, 0).is_err());
        catch_up(&mut follower, &mut publisher, 0);
    }
}

/// Whether an error is the one that a test expects.
type Expected = fn(&FollowError) -> bool;

/// Pieces of an image that no leader would send, with the errors that they lead to.
fn odd_pieces(sound: &ImagePiece) -> Vec<(ImagePiece, Expected)> {
    let with = |change: &dyn Fn(&mut ImagePiece)| {
        let mut piece = sound.clone();
        change(&mut piece);
        piece
    };
    vec![
        (with(&|p| p.bytes[3] ^= 1), |e| matches!(e, FollowError::Image(ImageError::Digest))),
        (with(&|p| p.digest ^= 1), |e| matches!(e, FollowError::Image(ImageError::Digest))),
        (with(&|p| p.number = 4), |e| {
            matches!(e, FollowError::Image(ImageError::OutOfOrder { expected: 0, found: 4 }))
        }),
        (with(&|p| p.length = u64::MAX), |e| {
            matches!(e, FollowError::Image(ImageError::TooLong(u64::MAX)))
        }),
        (with(&|p| p.bytes.clear()), |e| {
            matches!(e, FollowError::Image(ImageError::PieceLength(0)))
        }),
        (with(&|p| p.bytes.resize(constants::REPLICATION_PIECE_BYTES + 1, 0)), |e| {
            matches!(e, FollowError::Image(ImageError::PieceLength(_)))
        }),
        (with(&|p| p.position.index += 1_000), |e| matches!(e, FollowError::Impossible { .. })),
        (with(&|p| p.position.term += 1), |e| matches!(e, FollowError::Impossible { .. })),
    ]
}

#[test]
fn invalid_image_pieces_are_rejected_with_named_error() {
    let mut publisher = leader(2);
    let answer = publisher.answer(&follower().request(), 0).expect("an answer");
    let FollowBody::Piece(sound) = answer.body else { panic!("an image") };
    for (piece, expected) in odd_pieces(&sound) {
        let mut follower = follower();
        let odd = FollowAnswer { end: answer.end, body: FollowBody::Piece(piece) };
        let refused = follower.take(odd, 0).expect_err("refused");
        assert!(expected(&refused), "{refused:?}");
        assert!(follower.state().machines.is_empty());
        catch_up(&mut follower, &mut publisher, 0);
    }
}

#[test]
fn undecodable_state_with_valid_digest_is_rejected() {
    // The digest is of the bytes; that they are a state is another matter.
    let bytes = vec![0xff; 64];
    let digest = xxhash_rust::xxh3::xxh3_64(&bytes);
    let position = Position { term: TERM, index: 0 };
    let piece = ImagePiece { position, number: 0, length: 64, digest, bytes };
    let answer = FollowAnswer { end: position, body: FollowBody::Piece(piece) };
    let refused = follower().take(answer, 0);
    assert!(matches!(refused, Err(FollowError::Image(ImageError::Unreadable(_)))), "{refused:?}");
}

#[test]
fn copy_is_usable_only_for_later_term_and_while_fresh() {
    let mut publisher = leader(2);
    let mut follower = follower();
    assert_eq!(follower.usable(TERM + 1, 0), Err(Unusable::Empty), "restarted a moment ago");
    catch_up(&mut follower, &mut publisher, 1_000);
    assert!(follower.usable(TERM + 1, 9_000).is_ok());
    assert_eq!(follower.usable(TERM, 9_000), Err(Unusable::NotEarlier(TERM)));
    let late = 1_001 + constants::REPLICATION_STALE_MS;
    assert_eq!(
        follower.usable(TERM + 1, late),
        Err(Unusable::Stale(constants::REPLICATION_STALE_MS + 1))
    );
}

#[test]
fn partial_image_transfer_keeps_previous_copy() {
    let mut old = leader(3);
    let mut follower = follower();
    catch_up(&mut follower, &mut old, 0);
    let mut new = Publisher::new(2 * TERM);
    for n in 0..3_000 {
        let name = format!("n-{n}");
        new.show_machine(machine(&name), [].into_iter());
    }
    follower.learn_term(2 * TERM);
    assert_eq!(exchange(&mut follower, &mut new, 10), Ok(Progress::Piece));
    // The new leader crashes during its image transfer: the next one has the copy of the leader before.
    let usable = follower.usable(3 * TERM, 20).expect("the older copy");
    assert_eq!(usable.machines.len(), 3);
    follower.learn_term(3 * TERM);
    assert_eq!(follower.request().held, Held::Through(old.end()), "pieces of it are dropped");
}

#[test]
fn digest_differs_for_every_field() {
    let state = leader(1).state().clone();
    let digest = |state: &hookway_replication::ReplicatedState| {
        (0..constants::REPLICATION_DIGEST_RANGES)
            .map(|r| RangeDigest::of(state, r).expect("a range").digest)
            .collect::<Vec<_>>()
    };
    let before = digest(&state);
    let apply = |entry: Entry| {
        let mut changed = state.clone();
        changed.apply(entry).expect("it fits");
        digest(&changed)
    };
    let machine = |address: &str, session| Entry::Machine {
        name: "m-0".into(),
        address: address.into(),
        session,
    };
    let task = |stage| Entry::Task {
        machine: "m-0".into(),
        task: hookway_replication::PlacedTask { task: "req-000001/0".into(), attempt: 0, stage },
    };
    let job = |hints| Entry::Job { id: "req-000001".into(), hints };
    assert_ne!(apply(machine("127.0.0.1:1", 1)), before);
    assert_ne!(apply(machine("127.0.0.1:9000", 2)), before);
    assert_ne!(apply(task(Stage::Sent)), before);
    assert_eq!(apply(task(Stage::Running)), before);
    let plain = apply(job(JobHints::default()));
    assert_ne!(plain, before);
    assert_ne!(apply(job(JobHints { errors: 1, ..JobHints::default() })), plain);
    assert_ne!(apply(job(JobHints { attempt: Some(1), ..JobHints::default() })), plain);
    assert_ne!(
        apply(job(JobHints { failed_on: vec!["m-0".into()], ..JobHints::default() })),
        plain
    );
    assert_eq!(RangeDigest::of(&state, constants::REPLICATION_DIGEST_RANGES), None);
}
