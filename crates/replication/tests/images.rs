//! State images: transfer in chunks, duplicated, invalid and interrupted transfers.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod support;

use hookway_constants as constants;
use hookway_replication::{
    Entry, FollowError, FollowOutcome, FollowResponse, FollowResponseBody, FollowerProgress,
    ImageChunk, ImageError, Position, Publisher, ReplicatedJob,
};
use support::{TERM, at, catch_up, exchange, follower, leader, machine, running};

#[test]
fn follower_behind_log_gets_image_then_remaining_entries() {
    let mut publisher = leader(1);
    let mut follower = follower();
    catch_up(&mut follower, &mut publisher, at(0));
    // More changes than the log holds; the image takes several chunks.
    for n in 0..constants::REPLICATION_LOG_ENTRIES {
        let name = format!("m-{n:06}");
        publisher.publish_machine(machine(&name), [running("req-000001/7", n as u64)].into_iter());
    }
    let before = follower.metrics().images;
    let mut chunks = 0;
    while exchange(&mut follower, &mut publisher, at(100)) == Ok(FollowOutcome::ImageChunkStored) {
        chunks += 1;
        // The leader publishes more changes during the transfer.
        let name = format!("late-{chunks}");
        publisher.publish_machine(machine(&name), [].into_iter());
    }
    assert!(chunks > 3, "{chunks} chunks");
    assert_eq!(follower.metrics().images, before + 1);
    assert!(follower.position() < Some(publisher.end()), "the image is older than the log's end");
    catch_up(&mut follower, &mut publisher, at(100));
}

#[test]
fn image_transfer_behind_log_restarts() {
    let mut publisher = leader(2_000);
    let mut follower = follower();
    assert_eq!(exchange(&mut follower, &mut publisher, at(0)), Ok(FollowOutcome::ImageChunkStored));
    for n in 0..=constants::REPLICATION_LOG_ENTRIES {
        publisher.publish_machine(machine("m-0"), [running("req-000001/7", n as u64)].into_iter());
    }
    assert_eq!(exchange(&mut follower, &mut publisher, at(0)), Ok(FollowOutcome::ImageChunkStored));
    catch_up(&mut follower, &mut publisher, at(0));
}

#[test]
fn maximum_log_index_is_rejected() {
    let end = Position { term: TERM, index: u64::MAX };
    let mut follower = follower();
    // The image of an empty state, said to be made there.
    let FollowResponseBody::ImageChunk(chunk) =
        leader(0).respond(&follower.request(), at(0)).expect("a response").body
    else {
        panic!("an image");
    };
    let body = FollowResponseBody::ImageChunk(ImageChunk { position: end, ..chunk });
    follower.handle_response(FollowResponse { end, body }, at(0)).expect("nothing tells yet");
    let entries = vec![Entry::Job { id: "req-1".into(), job: ReplicatedJob::default() }];
    let body = FollowResponseBody::Entries { after: end, entries, digest: None };
    let refused = follower.handle_response(FollowResponse { end, body }, at(0));
    assert!(matches!(refused, Err(FollowError::Inconsistent { .. })), "{refused:?}");
}

#[test]
fn duplicated_or_delayed_image_chunks_change_no_state() {
    let mut publisher = leader(3_000);
    let mut follower = follower();
    let first = publisher.respond(&follower.request(), at(0)).expect("a response");
    assert_eq!(follower.handle_response(first.clone(), at(0)), Ok(FollowOutcome::ImageChunkStored));
    assert_eq!(
        follower.handle_response(first.clone(), at(0)),
        Ok(FollowOutcome::EntriesApplied(0))
    );
    catch_up(&mut follower, &mut publisher, at(0));
    assert_eq!(
        follower.handle_response(first, at(0)),
        Ok(FollowOutcome::EntriesApplied(0)),
        "of the image that it has"
    );
    assert_eq!((follower.metrics().images, follower.metrics().resyncs), (1, 0));
    assert_eq!(follower.state(), publisher.state());
}

/// Whether an error is the one that a test expects.
type Expected = fn(&FollowError) -> bool;

/// Chunks of an image that no leader would send, with the errors that they lead to.
fn invalid_chunks(sound: &ImageChunk) -> Vec<(ImageChunk, Expected)> {
    let with = |change: &dyn Fn(&mut ImageChunk)| {
        let mut chunk = sound.clone();
        change(&mut chunk);
        chunk
    };
    vec![
        (with(&|chunk| chunk.bytes[3] ^= 1), |error| {
            matches!(error, FollowError::Image { source: ImageError::DigestMismatch, .. })
        }),
        (with(&|chunk| chunk.image_digest ^= 1), |error| {
            matches!(error, FollowError::Image { source: ImageError::DigestMismatch, .. })
        }),
        (with(&|chunk| chunk.index = 4), |error| {
            matches!(
                error,
                FollowError::Image { source: ImageError::OutOfOrder { expected: 0, found: 4 }, .. }
            )
        }),
        (with(&|chunk| chunk.image_bytes = u64::MAX), |error| {
            matches!(error, FollowError::Image { source: ImageError::TooLarge(u64::MAX), .. })
        }),
        (with(&|chunk| chunk.bytes.clear()), |error| {
            matches!(error, FollowError::Image { source: ImageError::ChunkLength(0), .. })
        }),
        (with(&|chunk| chunk.bytes.resize(constants::REPLICATION_CHUNK_BYTES + 1, 0)), |error| {
            matches!(error, FollowError::Image { source: ImageError::ChunkLength(_), .. })
        }),
        (with(&|chunk| chunk.position.index += 1_000), |error| {
            matches!(error, FollowError::Inconsistent { .. })
        }),
        (with(&|chunk| chunk.position.term += 1), |error| {
            matches!(error, FollowError::Inconsistent { .. })
        }),
    ]
}

#[test]
fn invalid_image_chunks_are_rejected_with_named_error() {
    let mut publisher = leader(2);
    let response = publisher.respond(&follower().request(), at(0)).expect("a response");
    let FollowResponseBody::ImageChunk(sound) = response.body else { panic!("an image") };
    for (chunk, expected) in invalid_chunks(&sound) {
        let mut follower = follower();
        let odd = FollowResponse { end: response.end, body: FollowResponseBody::ImageChunk(chunk) };
        let refused = follower.handle_response(odd, at(0)).expect_err("refused");
        assert!(expected(&refused), "{refused:?}");
        assert!(follower.state().machines.is_empty());
        catch_up(&mut follower, &mut publisher, at(0));
    }
}

#[test]
fn undecodable_state_with_valid_digest_is_rejected() {
    // The digest is that of the bytes, but the bytes are not a state.
    let bytes = vec![0xff; 64];
    let digest = xxhash_rust::xxh3::xxh3_64(&bytes);
    let position = Position { term: TERM, index: 0 };
    let chunk = ImageChunk { position, index: 0, image_bytes: 64, image_digest: digest, bytes };
    let response = FollowResponse { end: position, body: FollowResponseBody::ImageChunk(chunk) };
    let refused = follower().handle_response(response, at(0));
    assert!(
        matches!(refused, Err(FollowError::Image { source: ImageError::Undecodable(_), .. })),
        "{refused:?}"
    );
}

#[test]
fn partial_image_transfer_keeps_previous_copy() {
    let mut old = leader(3);
    let mut follower = follower();
    catch_up(&mut follower, &mut old, at(0));
    let mut new = Publisher::new(2 * TERM);
    for n in 0..3_000 {
        let name = format!("n-{n}");
        new.publish_machine(machine(&name), [].into_iter());
    }
    follower.observe_term(2 * TERM);
    assert_eq!(exchange(&mut follower, &mut new, at(10)), Ok(FollowOutcome::ImageChunkStored));
    // The new leader crashes during its image transfer: the next one has the copy of the leader before.
    let usable = follower.usable_copy(3 * TERM, at(20)).expect("the older copy");
    assert_eq!(usable.machines.len(), 3);
    follower.observe_term(3 * TERM);
    assert_eq!(
        follower.request().progress,
        FollowerProgress::Through(old.end()),
        "chunks of it are dropped"
    );
}
