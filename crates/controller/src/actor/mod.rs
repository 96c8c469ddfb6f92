//! The controller actor. While this controller leads, the actor owns the cluster state and sends
//! the decisions of the cluster state to the store, the cloud and the workers. Otherwise it answers
//! requests as a follower.
//!
//! One loop handles all inputs in turn: changes of leadership, requests (`requests`), events from
//! background tasks (`events`) and the periodic work of a leader (`timer`). The loop never waits
//! for I/O. Background tasks (`dispatch`, `store_io`) do the I/O; they belong to a term and are
//! aborted when it ends.

mod dispatch;
mod events;
mod handle;
mod messages;
mod requests;
mod store_io;
mod term;
mod timer;

pub use handle::ControllerHandle;
pub use messages::{ControllerRequest, HeartbeatReply, PreparedRenewal, Reply};

use crate::cluster_state::ControllerConfig;
use crate::final_state_cache::FinalStateCache;
use crate::leadership::{Clock, LeaderTerm, LeadershipLease, LeadershipView, Resignation};
use crate::shard_lease::ShardLessee;
use crate::standby::Standby;
use hookway_clients::{CloudClient, StoreClient, WorkerClient};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::MachineType;
use std::sync::Arc;
use term::ActiveTerm;
use tokio::sync::{mpsc, watch};

/// The machine types that the cloud offers; `None` until they have been read.
pub type MachineTypes = Option<Arc<Vec<MachineType>>>;

/// The dependencies of the controller actor, some of them shared with the rest of the controller.
#[derive(Debug)]
pub struct ControllerActorConfig {
    /// The configuration that each new cluster state gets, with the name and zone of this
    /// controller.
    pub cluster: ControllerConfig,
    /// The client of the store, with a request rate of its own.
    pub store: StoreClient,
    /// The client of the cloud, for scaling and for the machine list.
    pub cloud: CloudClient,
    /// The client of all workers, for direct dispatch and state probes.
    pub workers: WorkerClient,
    /// The clock of this process. Leadership lease expiries must be readings of a copy of it.
    pub clock: Clock,
    /// The leadership lease. The election actor updates it.
    pub lease: Arc<LeadershipLease>,
    /// The current leader, published by the election actor.
    pub leadership_view: watch::Receiver<LeadershipView>,
    /// The term that the election actor should give up.
    pub resignation: Resignation,
    /// The machine types that the cloud offers, read periodically.
    pub machine_types: watch::Receiver<MachineTypes>,
    /// Requests from the API, from other controllers and from `leader_sync`.
    pub requests: mpsc::Receiver<ControllerRequest>,
    /// The final states of jobs, shared with the API, which answers status requests from them.
    pub final_states: Arc<FinalStateCache>,
    /// The shard lease of this controller, granted by itself as the leader or by another leader.
    pub shard_lessee: ShardLessee,
    /// The copy of the leader's cluster state, and the state of a failover to this controller.
    pub standby: Standby,
}

/// The controller actor. It has a thread of its own; see [`ControllerHandle`] for how to reach it.
#[derive(Debug)]
pub struct ControllerActor {
    config: ControllerActorConfig,
    /// When this controller last stepped down because it received no heartbeats; `None` if it never
    /// did.
    stepped_down_at: Option<MonotonicTime>,
}

impl ControllerActor {
    /// Creates the actor. It does nothing until [`run`](Self::run) is called.
    pub fn new(config: ControllerActorConfig) -> Self {
        Self { config, stepped_down_at: None }
    }

    /// Leads or answers requests as a follower until a channel is closed, that is, until the
    /// process ends.
    pub async fn run(mut self) {
        loop {
            let view = self.config.leadership_view.borrow_and_update().clone();
            self.config.standby.leadership_view_changed(&view, self.config.clock.now());
            match view.own_term {
                Some(leader_term) => self.lead(leader_term).await,
                None => {
                    tokio::select! {
                        changed = self.config.leadership_view.changed() => if changed.is_err() { return },
                        request = self.config.requests.recv() => match request {
                            Some(request) => self.handle_as_follower(request),
                            None => return,
                        },
                    }
                }
            }
        }
    }

    /// Leads until the term ends. Gives up the leadership at once if this or a later term is known
    /// already.
    async fn lead(&mut self, leader_term: LeaderTerm) {
        if !self.config.standby.election_won(leader_term.term(), self.config.clock.now()) {
            self.config.resignation.request(leader_term.term());
            // Waits until the election actor has given up the leadership.
            let _ = self.config.leadership_view.changed().await;
            return;
        }
        self.lead_term(leader_term).await;
        self.config.standby.deposed(self.config.clock.now());
    }

    /// Runs the event loop of a leader. Returns when the term has ended or a channel is closed.
    async fn lead_term(&mut self, leader_term: LeaderTerm) {
        self.config.shard_lessee.leadership_won(leader_term.term());
        let (events, mut event_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let mut active =
            ActiveTerm::new(leader_term, &self.config.lease, self.config.clock, events);
        self.spawn_record_read(&mut active);
        let mut timer = tokio::time::interval(constants::TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.config.leadership_view.changed() => {
                    let own_term = self.config.leadership_view.borrow_and_update().own_term.clone();
                    if changed.is_err() || own_term.as_ref() != Some(&active.leader_term) {
                        return;
                    }
                }
                request = self.config.requests.recv() => match request {
                    Some(request) => self.handle_as_leader(&mut active, request),
                    None => return,
                },
                event = event_receiver.recv() => match event {
                    Some(event) => self.handle_event(&mut active, event),
                    None => return,
                },
                _ = timer.tick() => self.tick(&mut active),
            }
            active.background_tasks.reap_finished();
        }
    }
}
