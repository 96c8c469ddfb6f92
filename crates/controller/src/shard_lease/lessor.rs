//! The leader's side of shard leases: which controller has leased which shard, and until when each
//! may have extended worker leases.

use super::messages::{ShardLease, ShardLeaseRenewal};
use crate::clock_drift::{latest_event_time, latest_expiry};
use crate::settings::PeerController;
use hookway_time::{MonotonicTime, whole_millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// Stands for the zone of a worker that has sent no heartbeat to this leader, which therefore
/// doesn't know the zone.
pub const UNKNOWN_ZONE: &str = "";

/// What the leader knows about the shard leases of another controller. All times are readings of
/// the leader's monotonic clock.
#[derive(Debug, Default)]
struct LesseeState {
    zone: String,
    /// The process that last acknowledged a lease of this term; `None` if none has yet.
    process_nonce: Option<u64>,
    /// The latest possible expiry of the controller's shard lease, whether of this term or an
    /// earlier one.
    lease_expires_at: MonotonicTime,
    /// Up to this time, the renewals account for all worker lease extensions of the controller.
    extensions_known_until: MonotonicTime,
    /// The latest possible time of the last known extension. No other one followed until
    /// `extensions_known_until`.
    last_extension_at: MonotonicTime,
}

impl LesseeState {
    /// Creates the state of a controller that may have a shard lease of an earlier leader until
    /// `lease_expires_at`.
    fn with_lease_of_earlier_term(zone: String, lease_expires_at: MonotonicTime) -> Self {
        Self { zone, lease_expires_at, ..Self::default() }
    }

    /// Whether the controller may extend worker leases, or may have done so, after the time up to
    /// which its extensions are known.
    fn may_have_unknown_extensions(&self) -> bool {
        self.lease_expires_at > self.extensions_known_until
    }

    /// Applies the report in a renewal. Returns whether the renewal proves that the running process
    /// sent it, after that process dropped the leases of earlier terms. Only then may a lease be
    /// granted.
    fn apply_renewal(
        &mut self,
        renewal: &ShardLeaseRenewal,
        term: u64,
        now: MonotonicTime,
    ) -> bool {
        // A renewal can arrive late, even after the end of the process that sent it. Only a renewal
        // that acknowledges a lease of this term was certainly sent in this term, by a process that
        // received that lease.
        let acknowledged = renewal
            .acknowledged
            .filter(|lease| lease.term == term)
            .map(|lease| MonotonicTime::from_millis(lease.granted_at_ms))
            .filter(|granted_at| *granted_at <= now);
        let Some(granted_at) = acknowledged else { return false };
        let is_other_process = self.process_nonce != Some(renewal.process_nonce);
        // This is a late renewal of an earlier process: the running process has acknowledged a
        // lease that was granted at the same time or later.
        if is_other_process
            && self.process_nonce.is_some()
            && granted_at <= self.extensions_known_until
        {
            return false;
        }
        if let Some(age_ms) = renewal.extended_ago_ms {
            let extended_at = latest_event_time(now, Duration::from_millis(age_ms));
            self.last_extension_at = self.last_extension_at.max(extended_at);
        }
        if is_other_process {
            // This process has dropped the leases of other terms. The previous process of this
            // controller had ended when this one started, so it extended no worker lease
            // afterwards.
            let started_at = latest_event_time(now, Duration::from_millis(renewal.uptime_ms));
            self.last_extension_at =
                self.last_extension_at.max(self.lease_expires_at.min(started_at));
            self.process_nonce = Some(renewal.process_nonce);
            self.lease_expires_at = MonotonicTime::ZERO;
        }
        self.extensions_known_until = self.extensions_known_until.max(granted_at);
        true
    }
}

/// The leader's record of the shard leases of its term, and of the controllers that may have
/// extended worker leases.
#[derive(Debug)]
pub struct ShardLessor {
    own_zone: String,
    zones: Vec<String>,
    /// All other controllers, by name.
    lessees: BTreeMap<String, LesseeState>,
}

impl ShardLessor {
    /// Creates the record of a leader that was elected at `elected_at` or earlier. `controllers`
    /// are the other controllers, `zones` all zones of the cluster. Earlier leaders granted their
    /// shard leases, whose length is at most `lease_length`, before `elected_at`.
    pub fn new(
        own_zone: &str,
        controllers: &[PeerController],
        zones: &[String],
        lease_length: Duration,
        elected_at: MonotonicTime,
    ) -> Self {
        let expires_at = latest_expiry(elected_at, lease_length);
        let lessee = |controller: &PeerController| {
            let state =
                LesseeState::with_lease_of_earlier_term(controller.zone.clone(), expires_at);
            (controller.name.clone(), state)
        };
        Self {
            own_zone: own_zone.to_owned(),
            zones: zones.to_vec(),
            lessees: controllers.iter().map(lessee).collect(),
        }
    }

    /// Responds to a renewal; `None` if it comes from an unknown controller. A response whose
    /// `lease_ms` is 0 grants no lease. `lease_length`, the length of a lease granted at `now`,
    /// must not exceed the length that this record was created with; if it is 0, no lease is
    /// granted.
    pub fn respond_to_renewal(
        &mut self,
        term: u64,
        renewal: &ShardLeaseRenewal,
        lease_length: Duration,
        now: MonotonicTime,
    ) -> Option<ShardLease> {
        let zone = self.lessees.get(&renewal.controller)?.zone.clone();
        // A shard has at most one lessee at a time. The leader keeps the shard of its own zone.
        let is_leasable = zone != self.own_zone
            && self.zones.contains(&zone)
            && !self.is_leased_to_other(&zone, &renewal.controller, now);
        let lessee = self.lessees.get_mut(&renewal.controller)?;
        let mut lease =
            ShardLease { term, granted_at_ms: now.as_millis(), zones: vec![], lease_ms: 0 };
        if lessee.apply_renewal(renewal, term, now) && is_leasable && !lease_length.is_zero() {
            lease.lease_ms = whole_millis(lease_length);
            lease.zones.push(zone);
            let expires_at = latest_expiry(now, lease_length);
            lessee.lease_expires_at = lessee.lease_expires_at.max(expires_at);
        }
        Some(lease)
    }

    /// Whether a controller other than `controller` may hold a lease of this term on the shard of
    /// `zone` at `now`.
    fn is_leased_to_other(&self, zone: &str, controller: &str, now: MonotonicTime) -> bool {
        self.lessees.iter().any(|(name, lessee)| {
            name != controller
                && lessee.process_nonce.is_some()
                && lessee.zone == zone
                && lessee.lease_expires_at > now
        })
    }

    /// Returns the zones of the leader's own shard: its own zone, and the zones without a
    /// controller.
    pub fn own_shard(&self) -> Vec<String> {
        let is_own = |zone: &&String| **zone == self.own_zone || !self.has_lessee(zone);
        self.zones.iter().filter(is_own).cloned().collect()
    }

    fn has_lessee(&self, zone: &str) -> bool {
        self.lessees.values().any(|lessee| lessee.zone == zone)
    }

    /// Whether the lease of a worker has certainly expired at `now`: no controller extended it for
    /// a span of `worker_lease`, which includes clock drift and a margin.
    ///
    /// `last_response_at` is when the leader last answered the worker. If `zone` is
    /// [`UNKNOWN_ZONE`], the extensions of all lessees count.
    pub fn worker_lease_expired(
        &self,
        zone: &str,
        last_response_at: MonotonicTime,
        worker_lease: Duration,
        now: MonotonicTime,
    ) -> bool {
        let zone_has_controller = self.own_zone == zone || self.has_lessee(zone);
        // Each leader leases the shard of a zone without a controller to itself, and any of the
        // other controllers may have been an earlier leader.
        let may_have_shard = |lessee: &&LesseeState| !zone_has_controller || lessee.zone == zone;
        let mut last_extension_at = last_response_at;
        let mut all_extensions_known_until = now;
        let mut last_shard_expiry = MonotonicTime::ZERO;
        for lessee in self.lessees.values().filter(may_have_shard) {
            last_extension_at = last_extension_at.max(lessee.last_extension_at);
            if lessee.may_have_unknown_extensions() {
                all_extensions_known_until =
                    all_extensions_known_until.min(lessee.extensions_known_until);
                last_shard_expiry = last_shard_expiry.max(lessee.lease_expires_at);
            }
        }
        let expired_while_all_known =
            last_extension_at + worker_lease <= all_extensions_known_until;
        // An extension that is not known yet happened before the latest expiry of a shard lease.
        let latest_extension_at = last_extension_at.max(last_shard_expiry);
        let expired_after_all_shard_leases = latest_extension_at + worker_lease <= now;
        expired_while_all_known || expired_after_all_shard_leases
    }
}
