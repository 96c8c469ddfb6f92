//! The controller actor. While this controller leads, the actor owns the cluster state and carries
//! out its decisions at the state service, the cloud and the workers. Otherwise it answers requests
//! as a follower.
//!
//! One loop handles everything in turn: changes of leadership, requests (`requests`), events of
//! background tasks (`events`) and the periodic duties of a leader (`timer`). Nothing in it waits
//! for I/O: that is done by background tasks of the term (`dispatch`, `store_io`), which end with it.

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
use crate::leadership::{Clock, LeaderTerm, LeadershipLease, LeadershipView};
use crate::shard_lease::ShardLessee;
use crate::standby::Standby;
use hookway_clients::{CloudClient, StoreClient, WorkerClient};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::MachineType;
use std::sync::Arc;
use term::ActiveTerm;
use tokio::sync::{Notify, mpsc, watch};

/// The machine types that the cloud offers; `None` until they have been read.
pub type MachineTypes = Option<Arc<Vec<MachineType>>>;

/// What the controller actor needs, and shares with the rest of the controller.
#[derive(Debug)]
pub struct ControllerActorConfig {
    /// The configuration of the cluster state.
    pub cluster: ControllerConfig,
    /// The client of the state service.
    pub store: StoreClient,
    /// The client of the cloud.
    pub cloud: CloudClient,
    /// The client of the workers.
    pub workers: WorkerClient,
    /// The clock of this process.
    pub clock: Clock,
    /// The leadership lease, updated by the election actor.
    pub lease: Arc<LeadershipLease>,
    /// Who leads, published by the election actor.
    pub view: watch::Receiver<LeadershipView>,
    /// Notified when this controller gives up its leadership.
    pub resign_requested: Arc<Notify>,
    /// The machine types.
    pub machine_types: watch::Receiver<MachineTypes>,
    /// The requests.
    pub requests: mpsc::Receiver<ControllerRequest>,
    /// The final states of jobs, shared with the API.
    pub final_states: Arc<FinalStateCache>,
    /// The shard lease of this controller.
    pub shard_lessee: ShardLessee,
    /// The copy of the leader's cluster state, and the steps of a failover.
    pub standby: Standby,
}

/// The controller actor.
#[derive(Debug)]
pub struct ControllerActor {
    config: ControllerActorConfig,
    /// When this controller last stepped down for lack of heartbeats.
    stepped_down_at: Option<MonotonicTime>,
}

impl ControllerActor {
    /// Creates the actor; nothing happens before it runs.
    pub fn new(config: ControllerActorConfig) -> Self {
        Self { config, stepped_down_at: None }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let view = self.config.view.borrow_and_update().clone();
            self.config.standby.view_changed(&view, self.config.clock.now());
            match view.own_term {
                Some(leader_term) => self.lead(leader_term).await,
                None => {
                    tokio::select! {
                        changed = self.config.view.changed() => if changed.is_err() { return },
                        request = self.config.requests.recv() => match request {
                            Some(request) => self.handle_as_follower(request),
                            None => return,
                        },
                    }
                }
            }
        }
    }

    /// Leads until the term ends; gives the leadership back if a later term is known already.
    async fn lead(&mut self, leader_term: LeaderTerm) {
        if !self.config.standby.elected(leader_term.term, self.config.clock.now()) {
            self.config.resign_requested.notify_one();
            // Until the election actor has released the leadership.
            let _ = self.config.view.changed().await;
            return;
        }
        self.lead_term(leader_term).await;
        self.config.standby.deposed(self.config.clock.now());
    }

    /// The loop of a leader. Returns when the term has ended or a channel is closed.
    async fn lead_term(&mut self, leader_term: LeaderTerm) {
        self.config.shard_lessee.leadership_won(leader_term.term);
        let (events, mut event_receiver) = mpsc::channel(constants::CHANNEL_CAPACITY);
        let mut active =
            ActiveTerm::new(leader_term, &self.config.lease, self.config.clock, events);
        self.spawn_state_load(&mut active);
        let mut timer = tokio::time::interval(constants::TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.config.view.changed() => {
                    let own_term = self.config.view.borrow_and_update().own_term.clone();
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
            active.tasks.reap_finished();
        }
    }
}
