//! Replication snapshots: transfer in chunks, and duplicated, invalid and interrupted transfers.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

mod support;

use hookway_constants as constants;
use hookway_replication::{
    Entry, FollowError, FollowOutcome, FollowResponse, FollowResponseBody, FollowerProgress,
    Position, Publisher, ReplicatedJob, SnapshotChunk, SnapshotError,
};
use support::{TERM, at, catch_up, exchange, follower, leader, machine, running};

#[test]
fn follower_behind_log_gets_snapshot_then_remaining_entries() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    // Publishes more changes than the log holds, on so many machines that the snapshot takes several chunks.
    for index in 0..constants::MAX_REPLICATION_LOG_ENTRIES {
        let name = format!("m-{index:06}");
        publisher
            .publish_machine(machine(&name), [running("req-000001/7", index as u64)].into_iter());
    }
    let snapshots_before = follower.metrics().snapshots;
    let mut chunks = 0;
    while exchange(&mut follower, &mut publisher, at(100)) == Ok(FollowOutcome::SnapshotChunkStored)
    {
        chunks += 1;
        // The leader publishes more changes during the transfer.
        let name = format!("late-{chunks}");
        publisher.publish_machine(machine(&name), [].into_iter());
    }
    assert!(chunks > 3, "the snapshot must take several chunks, not {chunks}");
    assert_eq!(follower.metrics().snapshots, snapshots_before + 1);
    assert!(
        follower.position() < Some(publisher.end()),
        "entries published during the transfer are not in the snapshot"
    );
    catch_up(&mut follower, &mut publisher, at(100));
}

#[test]
fn snapshot_transfer_behind_log_restarts() {
    let mut publisher = leader(2_000);
    let mut follower = follower();
    assert_eq!(
        exchange(&mut follower, &mut publisher, at(0)),
        Ok(FollowOutcome::SnapshotChunkStored)
    );
    for attempt in 0..=constants::MAX_REPLICATION_LOG_ENTRIES {
        let task = running("req-000001/7", attempt as u64);
        publisher.publish_machine(machine("m-0"), [task].into_iter());
    }
    assert_eq!(
        exchange(&mut follower, &mut publisher, at(0)),
        Ok(FollowOutcome::SnapshotChunkStored)
    );
    catch_up(&mut follower, &mut publisher, at(0));
}

#[test]
fn maximum_log_index_is_rejected() {
    let end = Position { term: TERM, index: u64::MAX };
    let mut follower = follower();
    // A snapshot of the empty state whose position has the maximum log index.
    let FollowResponseBody::SnapshotChunk(chunk) =
        leader(0).respond(&follower.request(), at(0)).expect("the publisher responds").body
    else {
        panic!("the response must have a snapshot chunk");
    };
    let body = FollowResponseBody::SnapshotChunk(SnapshotChunk { position: end, ..chunk });
    follower
        .apply_response(FollowResponse { end, body }, at(0))
        .expect("the snapshot itself is valid");
    let entries = vec![Entry::Job { id: "req-1".into(), job: ReplicatedJob::default() }];
    let body = FollowResponseBody::Entries { after: end, entries, digest: None };
    let result = follower.apply_response(FollowResponse { end, body }, at(0));
    assert!(matches!(result, Err(FollowError::Inconsistent { .. })), "{result:?}");
}

#[test]
fn duplicated_or_delayed_snapshot_chunks_change_no_state() {
    let mut publisher = leader(3_000);
    let mut follower = follower();
    let first = publisher.respond(&follower.request(), at(0)).expect("the publisher responds");
    assert_eq!(
        follower.apply_response(first.clone(), at(0)),
        Ok(FollowOutcome::SnapshotChunkStored)
    );
    assert_eq!(follower.apply_response(first.clone(), at(0)), Ok(FollowOutcome::EntriesApplied(0)));
    catch_up(&mut follower, &mut publisher, at(0));
    assert_eq!(
        follower.apply_response(first, at(0)),
        Ok(FollowOutcome::EntriesApplied(0)),
        "a late chunk of the applied snapshot changes nothing"
    );
    assert_eq!((follower.metrics().snapshots, follower.metrics().resyncs), (1, 0));
    assert_eq!(follower.state(), publisher.state());
}

/// Checks whether an error is the expected one.
type ErrorCheck = fn(&FollowError) -> bool;

/// Returns invalid snapshot chunks, each with a check of the error that it must cause.
fn invalid_chunks(valid: &SnapshotChunk) -> Vec<(SnapshotChunk, ErrorCheck)> {
    let with = |change: &dyn Fn(&mut SnapshotChunk)| {
        let mut chunk = valid.clone();
        change(&mut chunk);
        chunk
    };
    vec![
        (with(&|chunk| chunk.bytes[3] ^= 1), |error| {
            matches!(error, FollowError::Snapshot { source: SnapshotError::DigestMismatch, .. })
        }),
        (with(&|chunk| chunk.snapshot_digest ^= 1), |error| {
            matches!(error, FollowError::Snapshot { source: SnapshotError::DigestMismatch, .. })
        }),
        (with(&|chunk| chunk.index = 4), |error| {
            matches!(
                error,
                FollowError::Snapshot {
                    source: SnapshotError::OutOfOrder { expected: 0, found: 4 },
                    ..
                }
            )
        }),
        (with(&|chunk| chunk.snapshot_bytes = u64::MAX), |error| {
            matches!(error, FollowError::Snapshot { source: SnapshotError::TooLarge(u64::MAX), .. })
        }),
        (with(&|chunk| chunk.bytes.clear()), |error| {
            matches!(error, FollowError::Snapshot { source: SnapshotError::ChunkLength(0), .. })
        }),
        (
            with(&|chunk| chunk.bytes.resize(constants::MAX_REPLICATION_CHUNK_BYTES + 1, 0)),
            |error| {
                matches!(error, FollowError::Snapshot { source: SnapshotError::ChunkLength(_), .. })
            },
        ),
        (with(&|chunk| chunk.position.index += 1_000), |error| {
            matches!(error, FollowError::Inconsistent { .. })
        }),
        (with(&|chunk| chunk.position.term += 1), |error| {
            matches!(error, FollowError::Inconsistent { .. })
        }),
    ]
}

#[test]
fn invalid_snapshot_chunks_are_rejected_with_named_error() {
    let mut publisher = leader(2);
    let response = publisher.respond(&follower().request(), at(0)).expect("the publisher responds");
    let FollowResponseBody::SnapshotChunk(valid) = response.body else {
        panic!("the response must have a snapshot chunk")
    };
    for (chunk, is_expected) in invalid_chunks(&valid) {
        let mut follower = follower();
        let response =
            FollowResponse { end: response.end, body: FollowResponseBody::SnapshotChunk(chunk) };
        let error = follower.apply_response(response, at(0)).expect_err("the chunk is invalid");
        assert!(is_expected(&error), "unexpected error: {error:?}");
        assert!(follower.state().machines.is_empty());
        catch_up(&mut follower, &mut publisher, at(0));
    }
}

#[test]
fn undecodable_state_with_valid_digest_is_rejected() {
    // The digest matches the bytes, but they do not decode to a state.
    let bytes = vec![0xff; 64];
    let digest = xxhash_rust::xxh3::xxh3_64(&bytes);
    let position = Position { term: TERM, index: 0 };
    let chunk =
        SnapshotChunk { position, index: 0, snapshot_bytes: 64, snapshot_digest: digest, bytes };
    let response = FollowResponse { end: position, body: FollowResponseBody::SnapshotChunk(chunk) };
    let result = follower().apply_response(response, at(0));
    assert!(
        matches!(result, Err(FollowError::Snapshot { source: SnapshotError::Undecodable(_), .. })),
        "{result:?}"
    );
}

#[test]
fn partial_snapshot_transfer_keeps_previous_copy() {
    let mut first_leader = leader(3);
    let mut follower = follower();
    catch_up(&mut follower, &mut first_leader, at(0));
    let mut second_leader = Publisher::new(2 * TERM);
    for index in 0..3_000 {
        let name = format!("n-{index}");
        second_leader.publish_machine(machine(&name), [].into_iter());
    }
    follower.observe_term(2 * TERM);
    assert_eq!(
        exchange(&mut follower, &mut second_leader, at(10)),
        Ok(FollowOutcome::SnapshotChunkStored)
    );
    // The second leader crashes during its snapshot transfer: the copy of the first leader is still usable in the
    // next term.
    let copy = follower.usable_copy(3 * TERM, at(20)).expect("the copy of the first leader");
    assert_eq!(copy.machines.len(), 3);
    follower.observe_term(3 * TERM);
    assert_eq!(
        follower.request().progress,
        FollowerProgress::Through(first_leader.end()),
        "the chunks of the second leader's snapshot are dropped"
    );
}
