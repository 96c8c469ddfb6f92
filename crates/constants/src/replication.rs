//! Warm standbys: the replication log, images, digests, and failure detection.

use std::time::Duration;

/// Whether controllers keep a standby copy of the leader's cluster state unless the operator settings
/// say otherwise.
pub const STANDBY_DEFAULT: bool = true;
/// Interval between two requests of a standby to the leader. Its copy lags by up to this time.
pub const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the leader compares its whole cluster state with what it has published;
/// in between it publishes only what changed.
pub const FULL_PUBLISH_INTERVAL: Duration = Duration::from_millis(10_000);
/// Interval at which a standby reads in the store whether a leader that does not respond still leads.
pub const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum entries of the replication log: some seconds of the largest fleets. A standby that is
/// further behind gets an image, which costs less than as many entries.
pub const REPLICATION_LOG_ENTRIES: usize = 16_384;
/// Maximum bytes of entries, or of a chunk of an image, in one message between controllers: well below
/// [`PEER_FRAME_LIMIT`](crate::PEER_FRAME_LIMIT).
pub const REPLICATION_CHUNK_BYTES: usize = 32 * 1024;
/// Maximum size of an image, bytes: some 200 per machine with its tasks, so enough for 100,000
/// machines.
pub const REPLICATION_IMAGE_LIMIT: usize = 32 * 1024 * 1024;
/// How long a leader serves the chunks of an image before it creates a new one.
pub const REPLICATION_IMAGE_LIFETIME: Duration = Duration::from_millis(5_000);
/// Number of ranges into which names are divided for digests. One range is hashed at a time, so that
/// hashing the whole state delays no round of the leader.
pub const REPLICATION_DIGEST_RANGES: u32 = 16;
/// Interval between two digests: all ranges are compared within 16 s.
pub const REPLICATION_DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// A copy is not used at a failover if the last response of the leader is older than this.
pub const REPLICATION_STALE: Duration = Duration::from_millis(60_000);
/// Maximum number of names in the log line about the differences of a diverged copy.
pub const REPLICATION_MAX_NAMED_DIFFERENCES: usize = 8;
/// Number of intervals between messages of the leader that the failure detector keeps, newest ones.
pub const DETECTOR_WINDOW: usize = 64;
/// Minimum number of measured intervals before the failure detector suspects the leader.
pub const DETECTOR_MIN_SAMPLES: usize = 8;
/// The failure detector suspects the leader after the mean interval plus this many standard deviations without a
/// message.
pub const DETECTOR_DEVIATIONS: f64 = 6.0;
/// Minimum time without a message before the failure detector suspects the leader: a lost packet is retransmitted
/// within it.
pub const DETECTOR_MIN_SILENCE: Duration = Duration::from_millis(1_000);
/// Longest duration that histograms record; longer ones count as this one.
pub const MAX_RECORDED_DURATION: Duration = Duration::from_millis(3_600_000);
