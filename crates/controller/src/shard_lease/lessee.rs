//! A controller's own side: the shard that it has leased, and its answers to workers.

use super::messages::{ShardLease, ShardLeaseAcknowledgement, ShardLeaseRenewal};
use crate::clock_drift::earliest_expiry;
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use hookway_wire::{Command, Heartbeat, HeartbeatResponse, JobId, TaskId, TaskState, TaskStatus};
use std::time::Duration;

/// A lessee's response to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLeaseExtension {
    /// The response for the worker.
    pub response: HeartbeatResponse,
    /// It must be sent before this time, when the shard lease expires.
    pub valid_until: MonotonicTime,
}

/// A shard lease that this controller has.
#[derive(Debug, Clone)]
struct LeasedShard {
    term: u64,
    zones: Vec<String>,
    /// The earliest expiry.
    expires_at: MonotonicTime,
}

/// The shard lease of this controller. All times are of its monotonic clock.
#[derive(Debug)]
pub struct ShardLessee {
    controller: String,
    process_nonce: u64,
    /// After this long without the leader, it answers workers itself.
    leader_timeout: Duration,
    shard: Option<LeasedShard>,
    acknowledged: Option<ShardLeaseAcknowledgement>,
    last_leader_contact_at: MonotonicTime,
    /// When it last extended a worker lease.
    last_extension_at: Option<MonotonicTime>,
}

impl ShardLessee {
    /// Creates the state of a process that has just started. `process_nonce` distinguishes it from
    /// earlier processes of the same name.
    pub fn new(controller: &str, process_nonce: u64, leader_timeout: Duration) -> Self {
        Self {
            controller: controller.to_owned(),
            process_nonce,
            leader_timeout,
            shard: None,
            acknowledged: None,
            last_leader_contact_at: MonotonicTime::ZERO,
            last_extension_at: None,
        }
    }

    /// The renewal to send to the leader at `now`. The clock began when the process started.
    pub fn renewal(&self, now: MonotonicTime) -> ShardLeaseRenewal {
        ShardLeaseRenewal {
            controller: self.controller.clone(),
            process_nonce: self.process_nonce,
            uptime_ms: now.as_millis(),
            acknowledged: self.acknowledged,
            extended_ago_ms: self
                .last_extension_at
                .map(|at| whole_millis(now.saturating_duration_since(at))),
        }
    }

    /// Takes the leader's response to a renewal that was sent at `sent_at`.
    pub fn lease_granted(&mut self, lease: ShardLease, sent_at: MonotonicTime, now: MonotonicTime) {
        let shard_term = self.shard.as_ref().map(|shard| shard.term);
        let known_term = shard_term.max(self.acknowledged.map(|acknowledged| acknowledged.term));
        // The response of an earlier leader proves no contact with the present one.
        if known_term.is_some_and(|term| lease.term < term) {
            return;
        }
        self.last_leader_contact_at = now;
        if shard_term.is_some_and(|term| term != lease.term) {
            self.shard = None;
        }
        self.acknowledged = Some(ShardLeaseAcknowledgement {
            term: lease.term,
            granted_at_ms: lease.granted_at_ms,
        });
        let length = Duration::from_millis(lease.lease_ms);
        if !length.is_zero() {
            self.shard = Some(LeasedShard {
                term: lease.term,
                zones: lease.zones,
                expires_at: earliest_expiry(sent_at, length),
            });
        }
    }

    /// Leases the leader's own shard to itself, for `length`. This controller leads, and its leadership lease
    /// holds at `now`.
    pub fn hold_as_leader(
        &mut self,
        term: u64,
        zones: Vec<String>,
        length: Duration,
        now: MonotonicTime,
    ) {
        self.last_leader_contact_at = now;
        self.acknowledged = None;
        self.shard = Some(LeasedShard { term, zones, expires_at: earliest_expiry(now, length) });
    }

    /// Drops the shard lease of an earlier leader: this controller was elected for `term`.
    pub fn leadership_won(&mut self, term: u64) {
        self.shard = Some(LeasedShard { term, zones: vec![], expires_at: MonotonicTime::ZERO });
        self.acknowledged = None;
    }

    /// Whether the leader was reachable recently. If not, workers had better look for the lessee of
    /// their shard than be redirected to a leader that does not answer.
    pub fn leader_reachable(&self, now: MonotonicTime) -> bool {
        now < self.last_leader_contact_at + self.leader_timeout
    }

    /// The response that extends the lease of a worker of this shard while the leader is
    /// unreachable. `None` if this controller must not give one, or need not: a worker without
    /// unfinished tasks loses nothing, and continues to look for the leader.
    ///
    /// `job_finished` tells whether a job is durably finished. That cannot change, so stopping its
    /// tasks needs no authority beyond the one to respond.
    pub fn extend_worker_lease(
        &mut self,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        job_finished: impl Fn(&JobId) -> bool,
    ) -> Option<WorkerLeaseExtension> {
        let shard = self.shard.as_ref().filter(|shard| now < shard.expires_at)?;
        let in_shard = shard.zones.contains(&heartbeat.zone);
        // A token above the range of the term belongs to a later leader.
        let token_known = heartbeat.fencing_token < shard.term + constants::TOKENS_PER_TERM;
        let has_tasks = heartbeat.tasks.iter().any(|task| task.state != TaskState::Ended);
        if self.leader_reachable(now) || !in_shard || !token_known || !has_tasks {
            return None;
        }
        let response = HeartbeatResponse {
            fencing_token: heartbeat.fencing_token.max(shard.term),
            commands: kill_commands(heartbeat, job_finished),
        };
        let valid_until = shard.expires_at;
        self.last_extension_at = Some(now);
        Some(WorkerLeaseExtension { response, valid_until })
    }
}

/// The commands that stop the reported tasks of finished jobs.
fn kill_commands(heartbeat: &Heartbeat, job_finished: impl Fn(&JobId) -> bool) -> Vec<Command> {
    let stops = |status: &&TaskStatus| {
        status.state != TaskState::Ended
            && TaskId::parse(&status.task).is_some_and(|task| job_finished(&task.job))
    };
    let kill = |status: &TaskStatus| Command::Kill {
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s: 0.0,
    };
    heartbeat.tasks.iter().filter(stops).map(kill).collect()
}

/// How long a lessee waits for the leader before it answers workers itself: half of what the
/// worker lease leaves after the longest heartbeat interval (both in s).
///
/// A worker that lost the leader right after a heartbeat must be answered within its lease, with as
/// much time left for its retries. A failover must be complete by then, so that workers go straight
/// to the new leader.
pub fn leader_timeout(heartbeat_interval_s: f64, worker_lease_s: f64) -> Duration {
    let longest_interval_s = heartbeat_interval_s * constants::MAX_HEARTBEAT_INTERVAL_FACTOR;
    let slack_s = (worker_lease_s - longest_interval_s).max(0.0);
    Duration::from_millis((slack_s * 1_000.0 / 2.0) as u64)
}
