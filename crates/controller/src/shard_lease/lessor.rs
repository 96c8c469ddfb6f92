//! The leader's side: which controller has which shard, and until when it may have extended worker
//! leases.

use super::messages::{ShardLease, ShardLeaseRenewal};
use crate::clock_drift::{latest_expiry, latest_past};
use crate::settings::PeerController;
use hookway_time::{MonotonicTime, whole_millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// The zone of a worker that has not sent a heartbeat to this leader.
pub const UNKNOWN_ZONE: &str = "";

/// What the leader knows about another controller. All times are of the leader's monotonic clock.
#[derive(Debug, Default)]
struct LesseeState {
    zone: String,
    /// The process that acknowledged a lease of this term.
    process_nonce: Option<u64>,
    /// The latest expiry of its lease, of this term or an earlier one.
    lease_expires_at: MonotonicTime,
    /// Up to this time its extensions of worker leases are known from its renewals.
    accounted_until: MonotonicTime,
    /// The latest of the extensions that are known; none followed until `accounted_until`.
    last_extension_at: MonotonicTime,
}

impl LesseeState {
    /// A controller that may have a lease of an earlier leader until `lease_expires_at`.
    fn of_earlier_term(zone: String, lease_expires_at: MonotonicTime) -> Self {
        Self { zone, lease_expires_at, ..Self::default() }
    }

    /// Whether it may extend worker leases after the time up to which it is accounted for.
    fn may_extend(&self) -> bool {
        self.lease_expires_at > self.accounted_until
    }

    /// Accounts for what a renewal states. Returns whether it was proven to come from the running
    /// process after it dropped the leases of earlier terms; only then a lease may be granted.
    fn account_for(&mut self, renewal: &ShardLeaseRenewal, term: u64, now: MonotonicTime) -> bool {
        // Renewals can arrive late, and after the end of their process. Only one that acknowledges
        // a lease of this term was certainly sent in it, by the process that runs now.
        let acknowledged = renewal
            .acknowledged
            .filter(|lease| lease.term == term)
            .map(|lease| MonotonicTime::from_millis(lease.granted_at_ms))
            .filter(|granted_at| *granted_at <= now);
        let Some(granted_at) = acknowledged else { return false };
        let other_process = self.process_nonce != Some(renewal.process_nonce);
        // A late renewal of an earlier process: the running one has acknowledged a later lease.
        if other_process && self.process_nonce.is_some() && granted_at <= self.accounted_until {
            return false;
        }
        if let Some(age_ms) = renewal.extended_ago_ms {
            let extended_at = latest_past(now, Duration::from_millis(age_ms));
            self.last_extension_at = self.last_extension_at.max(extended_at);
        }
        if other_process {
            // This process has dropped the leases of other terms. The previous process of this name
            // had ended when this one started.
            let started_at = latest_past(now, Duration::from_millis(renewal.uptime_ms));
            self.last_extension_at =
                self.last_extension_at.max(self.lease_expires_at.min(started_at));
            self.process_nonce = Some(renewal.process_nonce);
            self.lease_expires_at = MonotonicTime::ZERO;
        }
        self.accounted_until = self.accounted_until.max(granted_at);
        true
    }
}

/// The leader's record of who may have extended worker leases.
#[derive(Debug)]
pub struct ShardLessor {
    own_zone: String,
    zones: Vec<String>,
    /// By the name of the controller.
    lessees: BTreeMap<String, LesseeState>,
}

impl ShardLessor {
    /// Creates the record of a leader that was elected at `elected_at` at the latest, with these
    /// other controllers. Earlier leaders granted their leases, of at most `lease_length`, before
    /// that time.
    pub fn new(
        own_zone: &str,
        controllers: &[PeerController],
        zones: &[String],
        lease_length: Duration,
        elected_at: MonotonicTime,
    ) -> Self {
        let expires_at = latest_expiry(elected_at, lease_length);
        let lessee = |controller: &PeerController| {
            let state = LesseeState::of_earlier_term(controller.zone.clone(), expires_at);
            (controller.name.clone(), state)
        };
        Self {
            own_zone: own_zone.to_owned(),
            zones: zones.to_vec(),
            lessees: controllers.iter().map(lessee).collect(),
        }
    }

    /// Handles a renewal; `None` if it comes from an unknown controller. `lease_length` is at most the length that this record was created with.
    pub fn renew(
        &mut self,
        term: u64,
        renewal: &ShardLeaseRenewal,
        lease_length: Duration,
        now: MonotonicTime,
    ) -> Option<ShardLease> {
        let zone = self.lessees.get(&renewal.controller)?.zone.clone();
        // A shard has one lessee at a time, and the shard of the leader's own zone is the leader's.
        let leasable = zone != self.own_zone
            && self.zones.contains(&zone)
            && !self.leased_to_other(&zone, &renewal.controller, now);
        let lessee = self.lessees.get_mut(&renewal.controller)?;
        let mut lease =
            ShardLease { term, granted_at_ms: now.as_millis(), zones: vec![], lease_ms: 0 };
        if lessee.account_for(renewal, term, now) && leasable && !lease_length.is_zero() {
            lease.lease_ms = whole_millis(lease_length);
            lease.zones.push(zone);
            let expires_at = latest_expiry(now, lease_length);
            lessee.lease_expires_at = lessee.lease_expires_at.max(expires_at);
        }
        Some(lease)
    }

    /// Whether a controller other than `controller` may have the shard of `zone` at `now`.
    fn leased_to_other(&self, zone: &str, controller: &str, now: MonotonicTime) -> bool {
        self.lessees.iter().any(|(name, lessee)| {
            name != controller
                && lessee.process_nonce.is_some()
                && lessee.zone == zone
                && lessee.lease_expires_at > now
        })
    }

    /// The zones of the leader's own shard: its own zone, and those without a controller.
    pub fn own_shard(&self) -> Vec<String> {
        let own = |zone: &&String| **zone == self.own_zone || !self.has_lessee(zone);
        self.zones.iter().filter(own).cloned().collect()
    }

    fn has_lessee(&self, zone: &str) -> bool {
        self.lessees.values().any(|lessee| lessee.zone == zone)
    }

    /// Whether the lease of a worker has certainly expired at `now`: no controller extended it for
    /// `worker_lease`, which includes clock drift and margin. The leader last answered the worker at `last_response_at`. `zone` is
    /// [`UNKNOWN_ZONE`] if it is not known: then those of all lessees count.
    pub fn worker_lease_expired(
        &self,
        zone: &str,
        last_response_at: MonotonicTime,
        worker_lease: Duration,
        now: MonotonicTime,
    ) -> bool {
        let zone_has_controller = self.own_zone == zone || self.has_lessee(zone);
        // The shard of a zone without a controller was leased by earlier leaders, to any of them.
        let may_have_shard = |lessee: &&LesseeState| !zone_has_controller || lessee.zone == zone;
        let mut last_extension_at = last_response_at;
        let mut all_accounted_until = now;
        let mut last_shard_expiry = MonotonicTime::ZERO;
        for lessee in self.lessees.values().filter(may_have_shard) {
            last_extension_at = last_extension_at.max(lessee.last_extension_at);
            if lessee.may_extend() {
                all_accounted_until = all_accounted_until.min(lessee.accounted_until);
                last_shard_expiry = last_shard_expiry.max(lessee.lease_expires_at);
            }
        }
        let expired_while_all_accounted = last_extension_at + worker_lease <= all_accounted_until;
        // Whoever extended it unseen did so before the latest expiry of a shard lease.
        let latest_extension_at = last_extension_at.max(last_shard_expiry);
        let expired_after_every_shard_lease = latest_extension_at + worker_lease <= now;
        expired_while_all_accounted || expired_after_every_shard_lease
    }
}
