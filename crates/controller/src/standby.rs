//! A controller's side as a warm standby: the copy of the leader's picture, the judgement of its silence, and the
//! steps by which this controller takes over. Owned by the node's actor.

use crate::leadership::LeadershipView;
use hookway_replication::{
    DurationHistogram, Event, FailureDetector, FollowAnswer, FollowOutcome, FollowRequest,
    Follower, Phase, Promotion, ReplicatedState, Step, UnusableCopy,
};
use hookway_wire::{DurationStatus, FailoverStatus, ReplicationStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// What a standby shares with the actor that seeks leadership.
#[derive(Debug, Clone, Default)]
pub struct StandbySignals {
    /// Rung when the leader's silence is unusual.
    pub leader_suspected: Arc<Notify>,
    /// Whether this node has a usable copy.
    pub has_warm_copy: Arc<AtomicBool>,
}

/// A controller as a standby, and on its way to lead.
#[derive(Debug)]
pub struct Standby {
    controller_name: String,
    /// Whether it follows the leader; the steps of a takeover are kept in any case.
    follows: bool,
    follower: Follower,
    detector: FailureDetector,
    promotion: Promotion,
    signals: StandbySignals,
    /// The leader that is followed, and its term.
    leader: Option<(String, u64)>,
}

impl Standby {
    /// Of a process that has just begun.
    pub fn new(label: &str, follows: bool, signals: StandbySignals) -> Self {
        Self {
            controller_name: label.to_owned(),
            follows,
            follower: Follower::new(label),
            detector: FailureDetector::default(),
            promotion: Promotion::default(),
            signals,
            leader: None,
        }
    }

    /// What the state service says of who leads has changed.
    pub fn view_changed(&mut self, view: &LeadershipView, now: u64) {
        if view.own_term.is_some() {
            return;
        }
        let leader = view.leader.clone().zip(view.leader_term);
        let other = leader.filter(|(label, _)| *label != self.controller_name);
        let Some((label, term)) = other else {
            return self.step(Event::LeaseExpired, now);
        };
        self.promotion.observe_term(term);
        self.follower.observe_term(term);
        self.step(Event::OtherLeader, now);
        if self.leader.as_ref().is_none_or(|known| *known != (label.clone(), term)) {
            self.detector.reset();
            self.leader = Some((label, term));
        }
    }

    /// What to ask the leader next; its silence is judged on the way.
    pub fn next_request(&mut self, now: u64) -> Option<FollowRequest> {
        if !self.follows {
            return None;
        }
        if self.detector.suspects(now) {
            self.step(Event::LeaderSilent, now);
        }
        self.signals.has_warm_copy.store(self.copy(u64::MAX, now).is_ok(), Ordering::Relaxed);
        Some(self.follower.request())
    }

    /// The leader's answer.
    pub fn followed(&mut self, answer: FollowAnswer, now: u64) {
        match self.follower.handle_answer(answer, now) {
            Ok(progress) => {
                self.detector.record_message(now);
                self.step(Event::LeaderResponded, now);
                self.log_progress(&progress);
            }
            Err(e) => tracing::info!("replication: {e}; fetching an image"),
        }
    }

    fn log_progress(&self, progress: &FollowOutcome) {
        let FollowOutcome::ImageApplied { differing } = progress else { return };
        let state = self.follower.state();
        tracing::info!(
            "replication: image taken, {} machines, {} tasks",
            state.machines.len(),
            state.task_count()
        );
        if !differing.is_empty() {
            tracing::error!("replication: the copy was wrong about {}", differing.join(", "));
        }
    }

    /// The state service has recorded this node as the leader of a term. `false`: it must not lead, since a later
    /// term is known.
    pub fn elected(&mut self, term: u64, now: u64) -> bool {
        self.allowed(Event::Elected { term }, now) == Some(Step::ReadRecords)
    }

    /// The records were read, in a reading that began in this term. `false`: it is not this node's any more.
    pub fn records_read(&mut self, term: u64, now: u64) -> bool {
        self.allowed(Event::RecordsRead { term }, now) == Some(Step::Lead)
    }

    /// Whether this node may decide as the leader of a term, as far as the steps of its takeover go.
    pub fn may_decide(&self, term: u64) -> bool {
        self.promotion.may_dispatch(term)
    }

    /// The first start of the term went out, or a later one.
    pub fn start_dispatched(&mut self, now: u64) {
        let before = self.promotion.metrics().whole.count();
        self.step(Event::Dispatched, now);
        let times = self.promotion.metrics();
        if times.whole.count() > before {
            tracing::info!(
                "takeover: first start; last sign of the old leader until now {}",
                times.whole
            );
        }
    }

    /// This node leads no more.
    pub fn deposed(&mut self, now: u64) {
        self.step(Event::Deposed, now);
        self.detector.reset();
        self.leader = None;
    }

    /// The copy of an earlier leader's picture, for the leader of a term.
    pub fn copy(&self, term: u64, now: u64) -> Result<&ReplicatedState, UnusableCopy> {
        if !self.follows {
            return Err(UnusableCopy::Empty);
        }
        self.follower.usable(term, now)
    }

    fn step(&mut self, event: Event, now: u64) {
        if self.allowed(event, now) == Some(Step::ReadLeader) {
            tracing::info!("the leader is silent for unusually long: asking the state service");
            self.signals.leader_suspected.notify_one();
        }
    }

    fn allowed(&mut self, event: Event, now: u64) -> Option<Step> {
        match self.promotion.handle(event, now) {
            Ok(step) => Some(step),
            Err(e) => {
                tracing::error!("takeover: {event:?} refused: {e}");
                None
            }
        }
    }

    /// How things stand, for operators.
    pub fn status(&self, now: u64) -> ReplicationStatus {
        let metrics = self.follower.metrics();
        let times = self.promotion.metrics();
        let position = self.follower.position();
        let state = self.follower.state();
        ReplicationStatus {
            phase: phase_name(self.promotion.phase()).to_owned(),
            leader: self.leader.as_ref().map(|(label, _)| label.clone()),
            copy: self.copy(u64::MAX, now).err().map_or("usable".to_owned(), |why| why.to_string()),
            term: position.map(|p| p.term),
            index: position.map(|p| p.index),
            machines: state.machines.len(),
            tasks: state.task_count(),
            lag_entries: metrics.lag_entries,
            lag_ms: metrics.lag_ms(now),
            lag: durations(&metrics.lag),
            images: metrics.images,
            resyncs: metrics.resyncs,
            failover: FailoverStatus {
                detection: durations(&times.detection),
                election: durations(&times.election),
                catching_up: durations(&times.catching_up),
                first_start: durations(&times.first_dispatch),
                whole: durations(&times.whole),
            },
        }
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Following => "following",
        Phase::Suspecting => "suspecting",
        Phase::Fencing => "fencing",
        Phase::CatchingUp(_) => "catching up",
        Phase::Active(_) => "active",
    }
}

fn durations(times: &DurationHistogram) -> DurationStatus {
    DurationStatus {
        count: times.count(),
        p50_ms: times.quantile(0.5),
        p99_ms: times.quantile(0.99),
        longest_ms: times.quantile(1.0),
    }
}
