//! Warm standbys: the replication log, replication snapshots, digests, and failure detection.

use std::time::Duration;

/// Whether controllers keep a standby copy of the leader's cluster state unless the operator settings say
/// otherwise.
pub const DEFAULT_STANDBY: bool = true;
/// Interval between two requests of a standby to the leader. The standby copy lags by up to this time.
pub const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the leader compares its whole cluster state with what it has published. In between, it
/// publishes only what changed.
pub const FULL_PUBLISH_INTERVAL: Duration = Duration::from_millis(10_000);
/// Interval at which a standby checks in the store whether a leader that does not respond still holds its lease.
pub const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of entries in the replication log: some seconds of the largest fleets. A standby that is further
/// behind gets a replication snapshot, which costs less than as many entries.
pub const MAX_REPLICATION_LOG_ENTRIES: usize = 16_384;
/// Maximum size of the entries, or of a chunk of a replication snapshot, in one message between controllers, bytes.
/// Well below [`MAX_PEER_FRAME_BYTES`](crate::MAX_PEER_FRAME_BYTES).
pub const MAX_REPLICATION_CHUNK_BYTES: usize = 32 * 1024;
/// Maximum size of a replication snapshot, bytes. A machine with its tasks takes some 200 bytes, so this is enough
/// for 100,000 machines.
pub const MAX_REPLICATION_SNAPSHOT_BYTES: usize = 32 * 1024 * 1024;
/// Time that a leader serves the chunks of a replication snapshot before it creates a new one.
pub const REPLICATION_SNAPSHOT_LIFETIME: Duration = Duration::from_millis(5_000);
/// Number of ranges into which names are divided for digests. One range is hashed at a time, since hashing the whole
/// cluster state at once would delay a scheduling round of the leader.
pub const REPLICATION_DIGEST_RANGES: u32 = 16;
/// Interval between two digests. All `REPLICATION_DIGEST_RANGES` ranges are compared within 16 s.
pub const REPLICATION_DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum age of the leader's last response for a standby copy to be used at a failover.
pub const MAX_REPLICATION_COPY_AGE: Duration = Duration::from_millis(60_000);
/// Maximum number of names in the log line about the differences between a standby copy and the leader.
pub const MAX_REPLICATION_NAMED_DIFFERENCES: usize = 8;
/// Maximum number of intervals between messages of the leader that the failure detector keeps, the most recent ones.
pub const DETECTOR_WINDOW: usize = 64;
/// Minimum number of intervals between messages that the failure detector needs before it suspects the leader.
pub const DETECTOR_MIN_SAMPLES: usize = 8;
/// The failure detector suspects the leader after the mean interval plus this many standard deviations without a
/// message.
pub const DETECTOR_DEVIATIONS: f64 = 6.0;
/// Minimum time without a message before the failure detector suspects the leader. A lost packet is retransmitted
/// within this time.
pub const DETECTOR_MIN_SILENCE: Duration = Duration::from_millis(1_000);
/// Longest duration that histograms record; longer durations are recorded as this one.
pub const MAX_RECORDED_DURATION: Duration = Duration::from_millis(3_600_000);
