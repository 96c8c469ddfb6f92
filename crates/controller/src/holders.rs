//! Leased blocks as far as check-ins go: who may answer a zone's workers when the leader can't.
//!
//! The leader leases the block of a zone's machines to a controller in that zone. While the leader can
//! be reached, the holder sends workers on to it. When it has not been for a while (the zone is cut off,
//! or the leader has no lease because the state service is away), the holder answers the workers of its
//! block under the token that they know: their leases go on and their tasks run, nothing new is started,
//! and only tasks of jobs that are over for good are stopped. When the block's lease ends, it stops.
//!
//! The leader, and any later one, must not take a task for gone while a holder may have kept its worker
//! alive. [`Holders`] reckons this, from what holders say in each renewal and, when one is silent, from
//! when its lease surely ends. docs/safety.md has the proof.

use hookway_constants as constants;
use hookway_wire::{Command, Heartbeat, HeartbeatResponse, JobId, TaskId, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A controller asks for its block, and says what it did with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Who asks.
    pub label: String,
    /// Tells this process from earlier ones under its name.
    pub nonce: u64,
    /// How long this process has been running, ms.
    pub uptime_ms: u64,
    /// Term and stamp of the last answer that it has taken; leases of other terms were dropped then.
    pub echo: Option<(u64, u64)>,
    /// How long ago it last answered a worker as a holder, ms; `None`: never in this process.
    pub answered_ago_ms: Option<u64>,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockLease {
    /// The leader's term.
    pub term: u64,
    /// The leader's clock, to be echoed: what the next renewal says was said after this moment.
    pub stamp: u64,
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
struct Sibling {
    zone: String,
    /// The process that has echoed a stamp of this term.
    nonce: Option<u64>,
    /// Its lease, of this term or an earlier one, has surely ended then, ms.
    until: u64,
    /// Up to then it is known whom it answered, ms.
    clear_until: u64,
    /// It answered no worker between then and `clear_until`, ms.
    answered: u64,
}

/// The leader's reckoning of who may have answered workers.
#[derive(Debug)]
pub struct Holders {
    own_zone: String,
    zones: Vec<String>,
    siblings: BTreeMap<String, Sibling>,
}

impl Holders {
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
            (label.clone(), Sibling { zone: zone.clone(), until, ..Sibling::default() })
        };
        Self {
            own_zone: own_zone.to_owned(),
            zones: zones.to_vec(),
            siblings: siblings.iter().map(known).collect(),
        }
    }

    /// A controller asks for its block. `None`: it is not one of the siblings.
    /// The lease is `lease_ms` long, at most what this was made with.
    pub fn renew(
        &mut self,
        term: u64,
        renewal: &Renewal,
        lease_ms: u64,
        now: u64,
    ) -> Option<BlockLease> {
        let zone = self.siblings.get(&renewal.label)?.zone.clone();
        // One holder for a block at a time, and the leader's own zone is the leader's.
        let other = self.siblings.iter().any(|(label, s)| {
            *label != renewal.label && s.nonce.is_some() && s.zone == zone && s.until > now
        });
        let sibling = self.siblings.get_mut(&renewal.label)?;
        // Renewals can arrive late, and after their process is gone. Only one that echoes a stamp of
        // this term was surely sent since then, and by the process that runs now.
        let echo = renewal.echo.filter(|(t, stamp)| *t == term && *stamp <= now);
        let mut lease = BlockLease { term, stamp: now, zones: vec![], lease_ms: 0 };
        let Some((_, stamp)) = echo else { return Some(lease) };
        // A late one of a process that is gone: the one that runs now has echoed a later stamp.
        if sibling.nonce.is_some_and(|n| n != renewal.nonce) && stamp <= sibling.clear_until {
            return Some(lease);
        }
        if let Some(ago) = renewal.answered_ago_ms {
            sibling.answered = sibling.answered.max(now.saturating_sub(ago) + drift(ago));
        }
        if sibling.nonce != Some(renewal.nonce) {
            // This process has dropped leases of other terms. An earlier one under its name was gone
            // when this one began.
            let begun = now.saturating_sub(renewal.uptime_ms) + drift(renewal.uptime_ms);
            sibling.answered = sibling.answered.max(sibling.until.min(begun));
            sibling.nonce = Some(renewal.nonce);
            sibling.until = 0;
        }
        sibling.clear_until = sibling.clear_until.max(stamp);
        if lease_ms > 0 && zone != self.own_zone && !other && self.zones.contains(&zone) {
            lease.lease_ms = lease_ms;
            lease.zones.push(zone);
            sibling.until = sibling.until.max(now + lease_ms + drift(lease_ms));
        }
        Some(lease)
    }

    /// Zones whose block the leader holds itself: its own, and those without a controller.
    pub fn own_block(&self) -> Vec<String> {
        let manned = |zone: &String| self.siblings.values().any(|s| s.zone == *zone);
        self.zones.iter().filter(|z| **z == self.own_zone || !manned(z)).cloned().collect()
    }

    /// Whether the lease of a worker is surely over at `now` that the leader last answered at
    /// `answered`: for as long as the worker's lease no controller answered it. `zone` is empty where it
    /// is not known.
    pub fn lease_over(&self, zone: &str, answered: u64, worker_lease: u64, now: u64) -> bool {
        let manned = self.own_zone == zone || self.siblings.values().any(|s| s.zone == zone);
        // The block of a zone without a controller was an earlier leader's, whichever that was.
        let may_hold = |s: &&Sibling| !manned || s.zone == zone;
        let mut last = answered;
        let mut clear = now;
        let mut open_until = 0;
        for sibling in self.siblings.values().filter(may_hold) {
            last = last.max(sibling.answered);
            if sibling.until > sibling.clear_until {
                clear = clear.min(sibling.clear_until);
                open_until = open_until.max(sibling.until);
            }
        }
        last + worker_lease <= clear || last.max(open_until) + worker_lease <= now
    }
}

/// A holder's answer to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptAlive {
    /// What the worker is told.
    pub answer: HeartbeatResponse,
    /// It may go out before this moment only, ms.
    pub until: u64,
}

#[derive(Debug, Clone)]
struct Grant {
    term: u64,
    zones: Vec<String>,
    until: u64,
}

/// A controller's own side: the block that it holds.
#[derive(Debug)]
pub struct Holding {
    label: String,
    nonce: u64,
    /// After so long without the leader it answers workers itself, ms.
    patience_ms: u64,
    grant: Option<Grant>,
    echo: Option<(u64, u64)>,
    /// When the leader was last there, ms.
    contact: u64,
    answered: Option<u64>,
}

impl Holding {
    /// Of a process that has just begun.
    pub fn new(label: &str, nonce: u64, patience_ms: u64) -> Self {
        let label = label.to_owned();
        Self { label, nonce, patience_ms, grant: None, echo: None, contact: 0, answered: None }
    }

    /// What to send to the leader at `now`, ms since the process began.
    pub fn renewal(&self, now: u64) -> Renewal {
        Renewal {
            label: self.label.clone(),
            nonce: self.nonce,
            uptime_ms: now,
            echo: self.echo,
            answered_ago_ms: self.answered.map(|at| now.saturating_sub(at)),
        }
    }

    /// The leader's answer to a renewal that was sent at `sent`.
    pub fn leased(&mut self, lease: BlockLease, sent: u64, now: u64) {
        // An older leader's answer proves nothing and gives nothing.
        let known = self.grant.as_ref().map(|g| g.term).max(self.echo.map(|(term, _)| term));
        if known.is_some_and(|term| lease.term < term) {
            return;
        }
        self.contact = now;
        if self.grant.as_ref().is_some_and(|g| g.term != lease.term) {
            self.grant = None;
        }
        self.echo = Some((lease.term, lease.stamp));
        if lease.lease_ms > 0 {
            let until = (sent + lease.lease_ms).saturating_sub(drift(lease.lease_ms));
            self.grant = Some(Grant { term: lease.term, zones: lease.zones, until });
        }
    }

    /// This node leads and is entitled to at `now`: its own block is leased from this moment.
    pub fn lead(&mut self, term: u64, zones: Vec<String>, lease_ms: u64, now: u64) {
        self.contact = now;
        self.echo = None;
        let until = (now + lease_ms).saturating_sub(drift(lease_ms));
        self.grant = Some(Grant { term, zones, until });
    }

    /// This node has won the leadership: what it held under an earlier leader it holds no more.
    pub fn won(&mut self, term: u64) {
        self.grant = Some(Grant { term, zones: vec![], until: 0 });
        self.echo = None;
    }

    /// Whether the leader was there a moment ago. Where it was not, workers that report here had better look for
    /// the holder of their block than be sent back to a leader that does not answer them.
    pub fn leader_in_touch(&self, now: u64) -> bool {
        now < self.contact + self.patience_ms
    }

    /// The answer that keeps a worker of this block alive while the leader can't be reached; `None` if
    /// this node may not give one, or need not: a worker without tasks has nothing to lose, and shall go
    /// on looking for the leader.
    ///
    /// `over` tells whether a job is durably over. That is a fact, whoever tells it: nobody will ever want
    /// its tasks again, so stopping them needs no right beyond the one to answer.
    pub fn keep(
        &mut self,
        report: &Heartbeat,
        now: u64,
        over: impl Fn(&JobId) -> bool,
    ) -> Option<KeptAlive> {
        let grant = self.grant.as_ref().filter(|g| now < g.until)?;
        let late = !self.leader_in_touch(now);
        let mine = grant.zones.contains(&report.zone);
        // A token above the term's range is a later leader's.
        let known = report.fencing_token < grant.term + constants::TOKENS_PER_TERM;
        let busy = report.tasks.iter().any(|p| p.state != TaskState::Ended);
        if !(late && mine && known && busy) {
            return None;
        }
        self.answered = Some(now);
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
        Some(KeptAlive { answer, until: grant.until })
    }
}

/// How long a holder waits for the leader before it answers workers: a worker that lost the leader just
/// after a report must be answered within its lease, with as much time left for the tries in between;
/// and a change of leader must be over by then, so that workers go straight to the new one.
pub fn patience_ms(report_s: f64, lease_s: f64) -> u64 {
    ((lease_s - report_s * constants::MAX_HEARTBEAT_INTERVAL_FACTOR).max(0.0) * 500.0) as u64
}

#[cfg(test)]
mod tests;
