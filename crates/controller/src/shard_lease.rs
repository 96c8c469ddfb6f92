//! Leased blocks as far as check-ins go: who may answer a zone's workers when the leader can't.
//!
//! The leader leases the block of a zone's machines to a controller in that zone. While the leader can
//! be reached, the holder sends workers on to it. When it has not been for a while (the zone is cut off,
//! or the leader has no lease because the state service is away), the holder answers the workers of its
//! block under the token that they know: their leases go on and their tasks run, nothing new is started,
//! and only tasks of jobs that are over for good are stopped. When the block's lease ends, it stops.
//!
//! The leader, and any later one, must not take a task for gone while a holder may have kept its worker
//! alive. [`ShardLessor`] reckons this, from what holders say in each renewal and, when one is silent, from
//! when its lease surely ends. docs/safety.md has the proof.

use hookway_constants as constants;
use hookway_wire::{Command, Heartbeat, HeartbeatResponse, JobId, TaskId, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A controller asks for its block, and says what it did with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaseRenewal {
    /// Who asks.
    pub controller: String,
    /// Tells this process from earlier ones under its name.
    pub process_nonce: u64,
    /// How long this process has been running, ms.
    pub uptime_ms: u64,
    /// Term and stamp of the last answer that it has taken; leases of other terms were dropped then.
    pub acknowledged: Option<(u64, u64)>,
    /// How long ago it last answered a worker as a holder, ms; `None`: never in this process.
    pub extended_ago_ms: Option<u64>,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// The leader's term.
    pub term: u64,
    /// The leader's clock, to be echoed: what the next renewal says was said after this moment.
    pub granted_at_ms: u64,
    /// Zones whose machines are in the block.
    pub zones: Vec<String>,
    /// Length of the lease, from when the renewal was sent, ms; 0: none.
    pub lease_ms: u64,
}

fn drift(ms: u64) -> u64 {
    (ms as f64 * constants::CLOCK_DRIFT).ceil() as u64
}

/// What the leader knows of another controller.
#[derive(Debug, Default)]
struct LesseeState {
    zone: String,
    /// The process that has echoed a stamp of this term.
    process_nonce: Option<u64>,
    /// Its lease, of this term or an earlier one, has surely ended then, ms.
    lease_expires_at: u64,
    /// Up to then it is known whom it answered, ms.
    accounted_until: u64,
    /// It answered no worker between then and `clear_until`, ms.
    last_extension_at: u64,
}

/// The leader's reckoning of who may have answered workers.
#[derive(Debug)]
pub struct ShardLessor {
    own_zone: String,
    zones: Vec<String>,
    lessees: BTreeMap<String, LesseeState>,
}

impl ShardLessor {
    /// For a leader that won at `won_at` at the latest, among these controllers (name and zone).
    /// Whatever leases earlier leaders gave, they gave before that moment.
    pub fn new(
        own_zone: &str,
        siblings: &[(String, String)],
        zones: &[String],
        lease_ms: u64,
        won_at: u64,
    ) -> Self {
        let until = won_at + lease_ms + drift(lease_ms);
        let known = |(label, zone): &(String, String)| {
            (
                label.clone(),
                LesseeState {
                    zone: zone.clone(),
                    lease_expires_at: until,
                    ..LesseeState::default()
                },
            )
        };
        Self {
            own_zone: own_zone.to_owned(),
            zones: zones.to_vec(),
            lessees: siblings.iter().map(known).collect(),
        }
    }

    /// A controller asks for its block. `None`: it is not one of the siblings.
    /// The lease is `lease_ms` long, at most what this was made with.
    pub fn renew(
        &mut self,
        term: u64,
        renewal: &ShardLeaseRenewal,
        lease_ms: u64,
        now: u64,
    ) -> Option<ShardLease> {
        let zone = self.lessees.get(&renewal.controller)?.zone.clone();
        // One holder for a block at a time, and the leader's own zone is the leader's.
        let other = self.lessees.iter().any(|(label, s)| {
            *label != renewal.controller
                && s.process_nonce.is_some()
                && s.zone == zone
                && s.lease_expires_at > now
        });
        let sibling = self.lessees.get_mut(&renewal.controller)?;
        // Renewals can arrive late, and after their process is gone. Only one that echoes a stamp of
        // this term was surely sent since then, and by the process that runs now.
        let echo = renewal.acknowledged.filter(|(t, stamp)| *t == term && *stamp <= now);
        let mut lease = ShardLease { term, granted_at_ms: now, zones: vec![], lease_ms: 0 };
        let Some((_, stamp)) = echo else { return Some(lease) };
        // A late one of a process that is gone: the one that runs now has echoed a later stamp.
        if sibling.process_nonce.is_some_and(|n| n != renewal.process_nonce)
            && stamp <= sibling.accounted_until
        {
            return Some(lease);
        }
        if let Some(ago) = renewal.extended_ago_ms {
            sibling.last_extension_at =
                sibling.last_extension_at.max(now.saturating_sub(ago) + drift(ago));
        }
        if sibling.process_nonce != Some(renewal.process_nonce) {
            // This process has dropped leases of other terms. An earlier one under its name was gone
            // when this one began.
            let begun = now.saturating_sub(renewal.uptime_ms) + drift(renewal.uptime_ms);
            sibling.last_extension_at =
                sibling.last_extension_at.max(sibling.lease_expires_at.min(begun));
            sibling.process_nonce = Some(renewal.process_nonce);
            sibling.lease_expires_at = 0;
        }
        sibling.accounted_until = sibling.accounted_until.max(stamp);
        if lease_ms > 0 && zone != self.own_zone && !other && self.zones.contains(&zone) {
            lease.lease_ms = lease_ms;
            lease.zones.push(zone);
            sibling.lease_expires_at =
                sibling.lease_expires_at.max(now + lease_ms + drift(lease_ms));
        }
        Some(lease)
    }

    /// Zones whose block the leader holds itself: its own, and those without a controller.
    pub fn own_shard(&self) -> Vec<String> {
        let manned = |zone: &String| self.lessees.values().any(|s| s.zone == *zone);
        self.zones.iter().filter(|z| **z == self.own_zone || !manned(z)).cloned().collect()
    }

    /// Whether the lease of a worker is surely over at `now` that the leader last answered at
    /// `answered`: for as long as the worker's lease no controller answered it. `zone` is empty where it
    /// is not known.
    pub fn worker_lease_expired(
        &self,
        zone: &str,
        answered: u64,
        worker_lease: u64,
        now: u64,
    ) -> bool {
        let manned = self.own_zone == zone || self.lessees.values().any(|s| s.zone == zone);
        // The block of a zone without a controller was an earlier leader's, whichever that was.
        let may_hold = |s: &&LesseeState| !manned || s.zone == zone;
        let mut last = answered;
        let mut clear = now;
        let mut open_until = 0;
        for sibling in self.lessees.values().filter(may_hold) {
            last = last.max(sibling.last_extension_at);
            if sibling.lease_expires_at > sibling.accounted_until {
                clear = clear.min(sibling.accounted_until);
                open_until = open_until.max(sibling.lease_expires_at);
            }
        }
        last + worker_lease <= clear || last.max(open_until) + worker_lease <= now
    }
}

/// A holder's answer to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLeaseExtension {
    /// What the worker is told.
    pub response: HeartbeatResponse,
    /// It may go out before this moment only, ms.
    pub valid_until: u64,
}

#[derive(Debug, Clone)]
struct HeldShard {
    term: u64,
    zones: Vec<String>,
    expires_at: u64,
}

/// A controller's own side: the block that it holds.
#[derive(Debug)]
pub struct ShardLessee {
    controller: String,
    process_nonce: u64,
    /// After so long without the leader it answers workers itself, ms.
    leader_timeout_ms: u64,
    shard: Option<HeldShard>,
    acknowledged: Option<(u64, u64)>,
    /// When the leader was last there, ms.
    last_leader_contact: u64,
    last_extension_at: Option<u64>,
}

impl ShardLessee {
    /// Of a process that has just begun.
    pub fn new(label: &str, nonce: u64, patience_ms: u64) -> Self {
        let label = label.to_owned();
        Self {
            controller: label,
            process_nonce: nonce,
            leader_timeout_ms: patience_ms,
            shard: None,
            acknowledged: None,
            last_leader_contact: 0,
            last_extension_at: None,
        }
    }

    /// What to send to the leader at `now`, ms since the process began.
    pub fn renewal(&self, now: u64) -> ShardLeaseRenewal {
        ShardLeaseRenewal {
            controller: self.controller.clone(),
            process_nonce: self.process_nonce,
            uptime_ms: now,
            acknowledged: self.acknowledged,
            extended_ago_ms: self.last_extension_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// The leader's answer to a renewal that was sent at `sent`.
    pub fn lease_granted(&mut self, lease: ShardLease, sent: u64, now: u64) {
        // An older leader's answer proves nothing and gives nothing.
        let known =
            self.shard.as_ref().map(|g| g.term).max(self.acknowledged.map(|(term, _)| term));
        if known.is_some_and(|term| lease.term < term) {
            return;
        }
        self.last_leader_contact = now;
        if self.shard.as_ref().is_some_and(|g| g.term != lease.term) {
            self.shard = None;
        }
        self.acknowledged = Some((lease.term, lease.granted_at_ms));
        if lease.lease_ms > 0 {
            let until = (sent + lease.lease_ms).saturating_sub(drift(lease.lease_ms));
            self.shard =
                Some(HeldShard { term: lease.term, zones: lease.zones, expires_at: until });
        }
    }

    /// This node leads and is entitled to at `now`: its own block is leased from this moment.
    pub fn hold_as_leader(&mut self, term: u64, zones: Vec<String>, lease_ms: u64, now: u64) {
        self.last_leader_contact = now;
        self.acknowledged = None;
        let until = (now + lease_ms).saturating_sub(drift(lease_ms));
        self.shard = Some(HeldShard { term, zones, expires_at: until });
    }

    /// This node has won the leadership: what it held under an earlier leader it holds no more.
    pub fn leadership_won(&mut self, term: u64) {
        self.shard = Some(HeldShard { term, zones: vec![], expires_at: 0 });
        self.acknowledged = None;
    }

    /// Whether the leader was there a moment ago. Where it was not, workers that report here had better look for
    /// the holder of their block than be sent back to a leader that does not answer them.
    pub fn leader_reachable(&self, now: u64) -> bool {
        now < self.last_leader_contact + self.leader_timeout_ms
    }

    /// The answer that keeps a worker of this block alive while the leader can't be reached; `None` if
    /// this node may not give one, or need not: a worker without tasks has nothing to lose, and shall go
    /// on looking for the leader.
    ///
    /// `over` tells whether a job is durably over. That is a fact, whoever tells it: nobody will ever want
    /// its tasks again, so stopping them needs no right beyond the one to answer.
    pub fn extend_worker_lease(
        &mut self,
        report: &Heartbeat,
        now: u64,
        over: impl Fn(&JobId) -> bool,
    ) -> Option<WorkerLeaseExtension> {
        let grant = self.shard.as_ref().filter(|g| now < g.expires_at)?;
        let late = !self.leader_reachable(now);
        let mine = grant.zones.contains(&report.zone);
        // A token above the term's range is a later leader's.
        let known = report.fencing_token < grant.term + constants::TOKENS_PER_TERM;
        let busy = report.tasks.iter().any(|p| p.state != TaskState::Ended);
        if !(late && mine && known && busy) {
            return None;
        }
        self.last_extension_at = Some(now);
        let ended = |p: &&TaskStatus| p.state == TaskState::Ended;
        let useless = |p: &&TaskStatus| TaskId::parse(&p.task).is_some_and(|t| over(&t.job));
        let stop = |p: &TaskStatus| Command::Kill {
            task: p.task.clone(),
            attempt: p.attempt,
            grace_s: 0.0,
        };
        let commands = report.tasks.iter().filter(|p| !ended(p) && useless(p)).map(stop).collect();
        let answer =
            HeartbeatResponse { fencing_token: report.fencing_token.max(grant.term), commands };
        Some(WorkerLeaseExtension { response: answer, valid_until: grant.expires_at })
    }
}

/// How long a holder waits for the leader before it answers workers: a worker that lost the leader just
/// after a report must be answered within its lease, with as much time left for the tries in between;
/// and a change of leader must be over by then, so that workers go straight to the new one.
pub fn leader_timeout_ms(report_s: f64, lease_s: f64) -> u64 {
    ((lease_s - report_s * constants::MAX_HEARTBEAT_INTERVAL_FACTOR).max(0.0) * 500.0) as u64
}

#[cfg(test)]
mod tests;
