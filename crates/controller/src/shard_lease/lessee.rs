//! The lessee's side of a shard lease: the shard that this controller has leased, and its responses
//! to the workers of that shard.

use super::messages::{ShardLease, ShardLeaseAcknowledgement, ShardLeaseRenewal};
use crate::clock_drift::earliest_expiry;
use hookway_constants as constants;
use hookway_time::{MonotonicTime, whole_millis};
use hookway_wire::{Command, Heartbeat, HeartbeatResponse, JobId, TaskId, TaskState, TaskStatus};
use std::time::Duration;

/// A lessee's response to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLeaseExtension {
    /// The response to send to the worker.
    pub response: HeartbeatResponse,
    /// The expiry of the shard lease. The response must be sent before this time.
    pub valid_until: MonotonicTime,
}

#[derive(Debug, Clone)]
struct LeasedShard {
    term: u64,
    zones: Vec<String>,
    /// The earliest possible expiry, as this controller must assume it.
    expires_at: MonotonicTime,
}

/// The shard lease of this controller, and its contact with the leader. All times are readings of
/// this controller's monotonic clock.
#[derive(Debug)]
pub struct ShardLessee {
    controller: String,
    process_nonce: u64,
    /// How long this controller waits without contact with the leader before it answers workers
    /// itself.
    leader_timeout: Duration,
    shard: Option<LeasedShard>,
    acknowledged: Option<ShardLeaseAcknowledgement>,
    last_leader_contact_at: MonotonicTime,
    /// When this process last extended a worker lease; `None` if it never did.
    last_extension_at: Option<MonotonicTime>,
}

impl ShardLessee {
    /// Creates the state of a process that has just started, which has no shard lease.
    /// `process_nonce` distinguishes it from earlier processes of the same controller.
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

    /// Returns the renewal to send to the leader at `now`. The readings of the clock count from the
    /// start of the process, so `now` is also the uptime.
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

    /// Applies the leader's response to a renewal that was sent at `sent_at`. Drops the lease of
    /// another term.
    pub fn apply_renewal_response(
        &mut self,
        lease: ShardLease,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let shard_term = self.shard.as_ref().map(|shard| shard.term);
        let known_term = shard_term.max(self.acknowledged.map(|acknowledged| acknowledged.term));
        // A response of an earlier leader does not prove contact with the current one.
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

    /// Leases the leader's own shard, which is in `zones`, to this controller for `length`. The
    /// caller ensures that this controller leads `term` and that its leadership lease holds at
    /// `now`.
    pub fn lease_own_shard(
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

    /// Drops the shard lease of an earlier term, because this controller was elected for `term`. An
    /// expired lease of `term` replaces it, so that late responses of earlier leaders are ignored.
    pub fn leadership_won(&mut self, term: u64) {
        self.shard = Some(LeasedShard { term, zones: vec![], expires_at: MonotonicTime::ZERO });
        self.acknowledged = None;
    }

    /// Whether this controller has had contact with the leader within the timeout. If not, workers
    /// should look for the lessee of their shard instead of being redirected to a leader that does
    /// not answer.
    pub fn leader_reachable(&self, now: MonotonicTime) -> bool {
        now < self.last_leader_contact_at + self.leader_timeout
    }

    /// Returns the response that extends the lease of a worker of this shard while the leader is
    /// unreachable. Returns `None` if this controller must not extend the lease, or need not: a
    /// worker without unfinished tasks loses nothing, and continues to look for the leader.
    ///
    /// `job_finished` tells whether a job is durably finished. A finished job stays finished, so
    /// stopping its tasks needs no authority beyond the one to respond.
    pub fn extend_worker_lease(
        &mut self,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        job_finished: impl Fn(&JobId) -> bool,
    ) -> Option<WorkerLeaseExtension> {
        let shard = self.shard.as_ref().filter(|shard| now < shard.expires_at)?;
        let in_shard = shard.zones.contains(&heartbeat.zone);
        // A token above the token range of the shard lease's term belongs to a later leader.
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

/// Returns the commands that stop the reported tasks of finished jobs, without a grace period.
fn kill_commands(heartbeat: &Heartbeat, job_finished: impl Fn(&JobId) -> bool) -> Vec<Command> {
    let should_stop = |status: &&TaskStatus| {
        status.state != TaskState::Ended
            && TaskId::parse(&status.task).is_some_and(|task| job_finished(&task.job))
    };
    let kill = |status: &TaskStatus| Command::Kill {
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s: 0.0,
    };
    heartbeat.tasks.iter().filter(should_stop).map(kill).collect()
}

/// Returns how long a lessee waits without contact with the leader before it answers workers
/// itself: half of what remains of the worker lease after the longest heartbeat interval.
///
/// A worker that loses contact with the leader right after a heartbeat must be answered within its
/// lease; the other half of the remainder is for its retries. A failover must be complete by the
/// end of this timeout, so that workers are redirected straight to the new leader.
pub fn leader_timeout(heartbeat_interval_s: f64, worker_lease_s: f64) -> Duration {
    let longest_interval_s = heartbeat_interval_s * constants::MAX_HEARTBEAT_INTERVAL_FACTOR;
    let slack_s = (worker_lease_s - longest_interval_s).max(0.0);
    Duration::from_millis((slack_s * 1_000.0 / 2.0) as u64)
}
