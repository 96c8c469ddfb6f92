//! The standby role of a controller: it keeps a copy of the leader's cluster state, detects a
//! silent leader, and tracks the steps of a failover to this controller. The controller actor owns
//! this state.

use crate::leadership::LeadershipView;
use hookway_replication::{
    DurationHistogram, FailoverAction, FailoverEvent, FailoverMetrics, FailoverPhase,
    FailureDetector, FollowOutcome, FollowRequest, FollowResponse, Follower, Promotion,
    ReplicatedState, UnusableCopy,
};
use hookway_time::{MonotonicTime, whole_millis};
use hookway_wire::{DurationStatus, FailoverStatus, ReplicationStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Signals from a standby to the election actor. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct StandbySignals {
    /// Notified when the leader has been silent for unusually long, so that the leader key is read
    /// at once.
    pub leader_suspected: Arc<Notify>,
    /// Whether this controller has a usable copy of the cluster state. Updated before each
    /// replication request.
    pub has_usable_copy: Arc<AtomicBool>,
}

/// Whether a controller keeps a copy of the leader's cluster state while it does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyMode {
    /// The controller follows the leader and keeps a copy.
    Warm,
    /// The controller keeps no copy. After a failover it has only the records in the store.
    Cold,
}

/// The state of a controller that follows a leader, and of a failover to this controller.
#[derive(Debug)]
pub struct Standby {
    controller_name: String,
    mode: StandbyMode,
    follower: Follower,
    detector: FailureDetector,
    /// The state machine of a failover. It is used in both modes.
    promotion: Promotion,
    signals: StandbySignals,
    /// The other controller that this one followed last. `None` until this controller first follows
    /// another one, and again from the end of each term of its own.
    followed_leader: Option<FollowedLeader>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct FollowedLeader {
    name: String,
    term: u64,
}

impl Standby {
    /// Creates the state of a controller whose process has just started. It has no copy and follows
    /// nobody yet.
    pub fn new(controller_name: &str, mode: StandbyMode, signals: StandbySignals) -> Self {
        Self {
            controller_name: controller_name.to_owned(),
            mode,
            follower: Follower::new(controller_name),
            detector: FailureDetector::default(),
            promotion: Promotion::default(),
            signals,
            followed_leader: None,
        }
    }

    /// Handles a change of the leadership while this controller does not lead. The beginning and
    /// end of its own terms are reported by [`election_won`](Self::election_won) and
    /// [`deposed`](Self::deposed).
    pub fn leadership_view_changed(&mut self, view: &LeadershipView, now: MonotonicTime) {
        if view.own_term.is_some() {
            return;
        }
        match self.other_leader(view) {
            Some(leader) => self.follow(leader, now),
            None => self.advance_and_notify(FailoverEvent::LeaseExpired, now),
        }
    }

    /// Returns the current leader, if there is one and it is another controller.
    fn other_leader(&self, view: &LeadershipView) -> Option<FollowedLeader> {
        let name = view.leader.clone().filter(|name| *name != self.controller_name)?;
        Some(FollowedLeader { name, term: view.leader_term? })
    }

    fn follow(&mut self, leader: FollowedLeader, now: MonotonicTime) {
        self.promotion.observe_term(leader.term);
        self.follower.observe_term(leader.term);
        self.advance_and_notify(FailoverEvent::OtherLeader, now);
        if self.followed_leader.as_ref() != Some(&leader) {
            // The intervals between the new leader's responses have not been measured yet.
            self.detector.reset();
            self.followed_leader = Some(leader);
        }
    }

    /// Returns the next replication request to the leader; `None` in cold mode. Because it is
    /// called periodically, it also checks whether the leader has been silent for too long.
    pub fn next_request(&mut self, now: MonotonicTime) -> Option<FollowRequest> {
        if self.mode == StandbyMode::Cold {
            return None;
        }
        if self.detector.suspects(now) {
            self.advance_and_notify(FailoverEvent::LeaderSilent, now);
        }
        self.signals.has_usable_copy.store(self.usable_copy(now).is_ok(), Ordering::Relaxed);
        Some(self.follower.request())
    }

    /// Applies the leader's response to a replication request to the copy.
    pub fn handle_response(&mut self, response: FollowResponse, now: MonotonicTime) {
        match self.follower.apply_response(response, now) {
            Ok(outcome) => {
                self.detector.record_message(now);
                self.advance_and_notify(FailoverEvent::LeaderResponded, now);
                self.log_outcome(&outcome);
            }
            Err(error) => {
                tracing::info!(%error, "replication response rejected, requesting again")
            }
        }
    }

    /// Logs only replication snapshots: log entries arrive several times a second.
    fn log_outcome(&self, outcome: &FollowOutcome) {
        let FollowOutcome::SnapshotApplied { differing } = outcome else { return };
        let state = self.follower.state();
        tracing::info!(
            machines = state.machines.len(),
            tasks = state.task_count(),
            "replication snapshot applied"
        );
        if !differing.is_empty() {
            tracing::error!(differing = differing.join(", "), "replicated copy was inconsistent");
        }
    }

    /// Begins the failover to this controller, which the store has recorded as the leader of
    /// `term`. Returns `false` if the controller must not lead, because this or a later term is
    /// known already.
    pub fn election_won(&mut self, term: u64, now: MonotonicTime) -> bool {
        self.advance(FailoverEvent::Elected { term }, now) == Some(FailoverAction::ReadRecords)
    }

    /// Makes this controller the active leader, after it has read the records of earlier leaders.
    /// The read began in `term`. Returns `false` if that term has ended since.
    pub fn records_read(&mut self, term: u64, now: MonotonicTime) -> bool {
        self.advance(FailoverEvent::RecordsRead { term }, now) == Some(FailoverAction::Lead)
    }

    /// Whether the failover has reached the phase in which this controller may decide as the leader
    /// of `term`. Does not check the leadership lease.
    pub fn may_decide(&self, term: u64) -> bool {
        self.promotion.may_dispatch(term)
    }

    /// Records that a command that starts a task was dispatched. The first one of a term completes
    /// the failover.
    pub fn start_dispatched(&mut self, now: MonotonicTime) {
        let completed_before = self.promotion.metrics().total.count();
        self.advance_and_notify(FailoverEvent::Dispatched, now);
        let duration = &self.promotion.metrics().total;
        if duration.count() > completed_before {
            tracing::info!(%duration, "failover complete: first task start dispatched");
        }
    }

    /// Returns to following, because this controller no longer leads.
    pub fn deposed(&mut self, now: MonotonicTime) {
        self.advance_and_notify(FailoverEvent::Deposed, now);
        self.detector.reset();
        self.followed_leader = None;
    }

    /// Returns the copy of an earlier leader's cluster state, for this controller as the leader of
    /// `term`.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no usable copy; [`UnusableCopy::NoCopy`] in cold mode.
    pub fn copy(&self, term: u64, now: MonotonicTime) -> Result<&ReplicatedState, UnusableCopy> {
        if self.mode == StandbyMode::Cold {
            return Err(UnusableCopy::NoCopy);
        }
        self.follower.usable_copy(term, now)
    }

    /// Returns the copy if this controller could use it as the leader of a later term.
    fn usable_copy(&self, now: MonotonicTime) -> Result<&ReplicatedState, UnusableCopy> {
        self.copy(u64::MAX, now)
    }

    /// Advances the failover, and notifies the election actor if the leader is suspected to have
    /// failed.
    fn advance_and_notify(&mut self, event: FailoverEvent, now: MonotonicTime) {
        if self.advance(event, now) == Some(FailoverAction::ReadLeader) {
            tracing::info!("leader suspected, reading the leader key");
            self.signals.leader_suspected.notify_one();
        }
    }

    /// Advances the failover and returns the action that follows; `None` if the event is of a wrong
    /// term.
    fn advance(&mut self, event: FailoverEvent, now: MonotonicTime) -> Option<FailoverAction> {
        match self.promotion.apply_event(event, now) {
            Ok(action) => Some(action),
            Err(error) => {
                tracing::error!(?event, %error, "invalid failover event");
                None
            }
        }
    }

    /// Returns the state of replication and the durations of failovers, for operators.
    pub fn status(&self, now: MonotonicTime) -> ReplicationStatus {
        let metrics = self.follower.metrics();
        let position = self.follower.position();
        let state = self.follower.state();
        let copy = match self.usable_copy(now) {
            Ok(_) => "usable".to_owned(),
            Err(reason) => reason.to_string(),
        };
        ReplicationStatus {
            phase: phase_name(self.promotion.phase()).to_owned(),
            leader: self.followed_leader.as_ref().map(|leader| leader.name.clone()),
            copy,
            term: position.map(|position| position.term),
            index: position.map(|position| position.index),
            machines: state.machines.len(),
            tasks: state.task_count(),
            lag_entries: metrics.lag_entries,
            lag_ms: whole_millis(metrics.current_lag(now)),
            lag: duration_status(&metrics.lag),
            snapshots: metrics.snapshots,
            resyncs: metrics.resyncs,
            failover: failover_status(self.promotion.metrics()),
        }
    }
}

fn phase_name(phase: FailoverPhase) -> &'static str {
    match phase {
        FailoverPhase::Following => "following",
        FailoverPhase::Suspecting => "suspecting",
        FailoverPhase::Fencing => "fencing",
        FailoverPhase::CatchingUp(_) => "catching up",
        FailoverPhase::Active(_) => "active",
    }
}

fn failover_status(metrics: &FailoverMetrics) -> FailoverStatus {
    FailoverStatus {
        detection: duration_status(&metrics.detection),
        election: duration_status(&metrics.election),
        catching_up: duration_status(&metrics.catching_up),
        first_start: duration_status(&metrics.first_dispatch),
        total: duration_status(&metrics.total),
    }
}

fn duration_status(durations: &DurationHistogram) -> DurationStatus {
    let quantile_ms = |quantile| whole_millis(durations.quantile(quantile));
    DurationStatus {
        count: durations.count(),
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        longest_ms: quantile_ms(1.0),
    }
}
