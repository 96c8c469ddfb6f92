//! Status of a controller's replication, for operators (`GET /replication`).

use serde::{Deserialize, Serialize};

/// Summary of a distribution of durations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationStatus {
    /// Number of durations; 0 if none was recorded, and then all other fields are 0.
    pub count: u64,
    /// Median, in ms.
    pub p50_ms: u64,
    /// 99th percentile, in ms.
    pub p99_ms: u64,
    /// Maximum, in ms.
    pub longest_ms: u64,
}

/// Durations of the failovers to this controller, by phase.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// From the last response of the previous leader to the expiry of its leadership lease, or to the
    /// election if this controller did not observe the expiry.
    pub detection: DurationStatus,
    /// From the expiry of the previous leader's lease to the election of this controller.
    pub election: DurationStatus,
    /// From the election until all records in the store were read.
    pub catching_up: DurationStatus,
    /// From the end of catching up to the first task start.
    pub first_start: DurationStatus,
    /// The whole failover: from the last response of the previous leader to the first task start.
    #[serde(rename = "whole")]
    pub total: DurationStatus,
}

/// Replication status of a controller: its phase, its copy of the leader's cluster state, and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// Phase of the promotion: `following`, `suspecting`, `fencing`, `catching up` or `active`.
    pub phase: String,
    /// Name of the leader that this controller follows, or followed last; `None` if it has followed none since the
    /// start of the process or, if it was the leader itself, since the end of its own last term.
    pub leader: Option<String>,
    /// `usable`, or the reason why the replicated copy of the cluster state is not usable.
    pub copy: String,
    /// Term of the leader whose state was copied; `None` without a copy.
    pub term: Option<u64>,
    /// Index of the last replication log entry in the copy; `None` without a copy.
    pub index: Option<u64>,
    /// Number of machines in the copy.
    pub machines: usize,
    /// Number of tasks in the copy.
    pub tasks: usize,
    /// Replication lag at the last accepted response of the leader, in log entries.
    pub lag_entries: u64,
    /// Time since the copy became incomplete, in ms; 0 while it is complete.
    pub lag_ms: u64,
    /// Durations of the past periods in which the copy was incomplete.
    pub lag: DurationStatus,
    /// Number of replication snapshots applied.
    #[serde(rename = "images")]
    pub snapshots: u64,
    /// Number of rejected responses after which a new replication snapshot was necessary.
    pub resyncs: u64,
    /// Durations of the failovers to this controller.
    #[serde(rename = "takeover")]
    pub failover: FailoverStatus,
}
