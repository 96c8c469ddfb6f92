//! Status of a controller's replication, for operators (`GET /replication`).

use serde::{Deserialize, Serialize};

/// Summary of a distribution of durations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationStatus {
    /// Number of measurements.
    pub count: u64,
    /// Median in ms.
    pub p50_ms: u64,
    /// 99th percentile in ms.
    pub p99_ms: u64,
    /// Maximum in ms.
    pub longest_ms: u64,
}

/// Durations of the failovers to this controller, by phase.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// From the last message of the previous leader to the expiry of its leadership lease.
    pub detection: DurationStatus,
    /// From the expiry of the lease to the election.
    pub election: DurationStatus,
    /// From the election until all records were read.
    pub catching_up: DurationStatus,
    /// From the end of catching up to the first task start.
    pub first_start: DurationStatus,
    /// The whole failover: from the last message of the previous leader to the first task start.
    pub whole: DurationStatus,
}

/// Replication status of a controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// Phase of the promotion: `following`, `suspecting`, `fencing`, `catching up` or `active`.
    pub phase: String,
    /// Name of the leader that this controller follows, or followed last.
    pub leader: Option<String>,
    /// `usable`, or the reason why the replicated copy of the cluster state is not usable.
    pub copy: String,
    /// Leader term of the copy.
    pub term: Option<u64>,
    /// Index of the last entry of that term's log in the copy.
    pub index: Option<u64>,
    /// Number of machines in the copy.
    pub machines: usize,
    /// Number of tasks in the copy.
    pub tasks: usize,
    /// Replication lag at the leader's last response, in log entries.
    pub lag_entries: u64,
    /// Time since the copy was last complete, in ms; 0 while it is complete.
    pub lag_ms: u64,
    /// Durations of the past periods in which the copy was incomplete.
    pub lag: DurationStatus,
    /// Number of full state images applied.
    pub images: u64,
    /// Number of responses rejected, each followed by a resynchronization.
    pub resyncs: u64,
    /// Failovers to this controller.
    #[serde(rename = "takeover")]
    pub failover: FailoverStatus,
}
