//! What a controller tells operators of its replication (`GET /replication`).

use serde::{Deserialize, Serialize};

/// A distribution of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationStatus {
    /// Number of times.
    pub count: u64,
    /// Half of them are no longer, ms.
    pub p50_ms: u64,
    /// 99% of them are no longer, ms.
    pub p99_ms: u64,
    /// The longest, ms.
    pub longest_ms: u64,
}

/// How long takeovers by this controller took, by phase.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeoverStatus {
    /// From the last sign of the old leader to the end of its lease.
    pub detection: DurationStatus,
    /// From there to the election.
    pub election: DurationStatus,
    /// From there until all records were read.
    pub catching_up: DurationStatus,
    /// From there to the first start.
    pub first_start: DurationStatus,
    /// From the last sign to the first start.
    pub whole: DurationStatus,
}

/// How a controller's replication stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// `following`, `suspecting`, `fencing`, `catching up` or `active`.
    pub phase: String,
    /// The leader that it follows, or followed last.
    pub leader: Option<String>,
    /// `usable`, or why the copy is not.
    pub copy: String,
    /// Term of the copy.
    pub term: Option<u64>,
    /// The last entry of that term's log that the copy has.
    pub index: Option<u64>,
    /// Machines in the copy.
    pub machines: usize,
    /// Tasks in the copy.
    pub tasks: usize,
    /// Entries that the copy lacked at the leader's last answer.
    pub lag_entries: u64,
    /// For how long it has lacked entries, ms.
    pub lag_ms: u64,
    /// How long it lacked entries until it had all.
    pub lag: DurationStatus,
    /// Images that it took.
    pub images: u64,
    /// Answers that it refused.
    pub resyncs: u64,
    /// Takeovers by this controller.
    pub takeover: TakeoverStatus,
}
