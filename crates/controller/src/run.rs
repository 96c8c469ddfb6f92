//! Creates the actors and services of a controller, connects them and runs them.

use crate::actor::{
    ControllerActor, ControllerActorConfig, ControllerHandle, ControllerRequest, MachineTypes,
};
use crate::api::{ApiService, ApiServiceConfig, StoreClients};
use crate::cluster_state::ControllerConfig;
use crate::connection_table::ConnectionTable;
use crate::final_state_cache::FinalStateCache;
use crate::http;
use crate::leader_sync::LeaderSync;
use crate::leadership::{
    Clock, ElectionActor, ElectionActorConfig, LeadershipLease, LeadershipView, Resignation,
};
use crate::peers::{self, Peers};
use crate::settings::{OperatorSettings, PlatformSettings, Settings};
use crate::shard_lease::{ShardLessee, leader_timeout};
use crate::standby::{Standby, StandbyMode, StandbySignals};
use crate::status_relay::{StatusRelay, StatusResponder};
use hookway_clients::{CloudClient, StoreClient, WorkerClient};
use hookway_constants as constants;
use salvo::Listener;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::{Server, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address of the platform settings can't be listened on.
    #[error("can't listen on {address}: {reason}")]
    Listen {
        /// The address, as in the settings.
        address: String,
        /// The error message of the failed attempt.
        reason: String,
    },
    /// The thread of an actor, or its runtime, can't be started.
    #[error("can't start a thread: {0}")]
    Thread(#[source] std::io::Error),
}

/// Runs a controller until the process ends.
///
/// # Errors
///
/// Fails if an address can't be listened on or a thread can't be started.
pub async fn run(settings: Settings, operator: OperatorSettings) -> Result<(), StartError> {
    let listeners = Listeners::bind(&settings).await?;
    let (view_sender, view) = watch::channel(LeadershipView::default());
    let (machine_types_sender, machine_types) = watch::channel(None);
    let (request_sender, requests) = mpsc::channel(constants::CHANNEL_CAPACITY);
    let controller = ControllerHandle::new(request_sender);
    let components = Components::new(settings, operator, view, machine_types);

    // However long a scheduling round takes, the leadership lease must be extended and users must
    // be answered. So each actor has a thread of its own.
    run_on_thread("leadership", components.election_actor(view_sender).run())?;
    run_on_thread("controller", components.controller_actor(requests).run())?;
    tokio::spawn(read_machine_types(components.cloud.clone(), machine_types_sender));
    let sync = components.leader_sync(controller.clone());
    tokio::spawn(sync.clone().renew_shard_lease());
    tokio::spawn(sync.follow_leader());
    tokio::spawn(components.status_responder(controller.clone()).run());
    let relay_store = components.store_client(constants::STATUS_RELAY_REQUEST_SHARE);
    let (status_relay, relay_actor) =
        StatusRelay::new(&components.settings.controller_name, relay_store);
    tokio::spawn(relay_actor.run());
    let api = Arc::new(components.api(controller, status_relay));
    let networks = components.operator.replication.controller_networks.clone();
    tokio::spawn(peers::serve(listeners.peers, api.clone(), networks));

    log_platform_settings(&components.settings.platform);
    let (controller, address) =
        (&components.settings.controller_name, &components.settings.api_addr);
    tracing::info!(controller, address, "serving");
    Server::new(listeners.api)
        .fuse_policy(components.connection_table())
        .serve(http::service(api))
        .await;
    Ok(())
}

/// The sockets that a controller listens on: for workers and users, and for other controllers.
struct Listeners {
    api: TcpAcceptor,
    peers: tokio::net::TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen_error = |address: &str, reason: String| StartError::Listen {
            address: address.to_owned(),
            reason,
        };
        let peers = tokio::net::TcpListener::bind(&settings.peer_bind)
            .await
            .map_err(|error| listen_error(&settings.peer_bind, error.to_string()))?;
        let api = TcpListener::new(settings.api_addr.clone())
            .try_bind()
            .await
            .map_err(|error| listen_error(&settings.api_addr, error.to_string()))?;
        Ok(Self { api, peers })
    }
}

/// The settings, clients and channels that the actors and services of a controller share.
struct Components {
    settings: Settings,
    operator: OperatorSettings,
    clock: Clock,
    cloud: CloudClient,
    peers: Arc<Peers>,
    lease: Arc<LeadershipLease>,
    resignation: Resignation,
    standby_signals: StandbySignals,
    final_states: Arc<FinalStateCache>,
    view: watch::Receiver<LeadershipView>,
    machine_types: watch::Receiver<MachineTypes>,
}

impl Components {
    fn new(
        settings: Settings,
        operator: OperatorSettings,
        view: watch::Receiver<LeadershipView>,
        machine_types: watch::Receiver<MachineTypes>,
    ) -> Self {
        let cloud_rps = settings.platform.cloud.rps * constants::CLOUD_RATE_SHARE;
        let addresses =
            settings.peers.iter().map(|peer| (peer.name.clone(), peer.address.clone())).collect();
        Self {
            cloud: CloudClient::new(&settings.endpoints.cloud, cloud_rps),
            peers: Arc::new(Peers::new(addresses)),
            settings,
            operator,
            clock: Clock::default(),
            lease: Arc::default(),
            resignation: Resignation::default(),
            standby_signals: StandbySignals::default(),
            final_states: Arc::default(),
            view,
            machine_types,
        }
    }

    /// Creates a client of the store that may use `rate_share` of this controller's request rate.
    fn store_client(&self, rate_share: f64) -> StoreClient {
        let rps = self.settings.platform.store.rps * rate_share;
        StoreClient::new(&self.settings.endpoints.store, rps)
    }

    fn election_actor(&self, leadership_view: watch::Sender<LeadershipView>) -> ElectionActor {
        ElectionActor::new(ElectionActorConfig {
            controller_name: self.settings.controller_name.clone(),
            store: self.store_client(constants::LEADERSHIP_REQUEST_SHARE),
            clock: self.clock,
            lease: self.lease.clone(),
            leadership_view,
            resignation: self.resignation.clone(),
            leader_suspected: self.standby_signals.leader_suspected.clone(),
            lease_length: self.operator.replication.leader_lease_length,
            has_usable_copy: self.standby_signals.has_usable_copy.clone(),
        })
    }

    fn controller_actor(&self, requests: mpsc::Receiver<ControllerRequest>) -> ControllerActor {
        let settings = &self.settings;
        let name = &settings.controller_name;
        let workers = &settings.platform.workers;
        let leader_timeout = leader_timeout(workers.heartbeat_interval_s, workers.lease_s);
        let warm = self.operator.replication.keeps_standby_copy;
        let standby_mode = if warm { StandbyMode::Warm } else { StandbyMode::Cold };
        ControllerActor::new(ControllerActorConfig {
            cluster: ControllerConfig {
                controller_name: name.clone(),
                zone: settings.zone.clone(),
                peers: settings.peers.clone(),
                platform: settings.platform.clone(),
                operator: self.operator.clone(),
            },
            store: self.store_client(constants::CONTROLLER_REQUEST_SHARE),
            cloud: self.cloud.clone(),
            workers: WorkerClient::default(),
            clock: self.clock,
            lease: self.lease.clone(),
            leadership_view: self.view.clone(),
            resignation: self.resignation.clone(),
            machine_types: self.machine_types.clone(),
            requests,
            final_states: self.final_states.clone(),
            shard_lessee: ShardLessee::new(name, rand::random(), leader_timeout),
            standby: Standby::new(name, standby_mode, self.standby_signals.clone()),
        })
    }

    fn api(&self, controller: ControllerHandle, status_relay: StatusRelay) -> ApiService {
        let stores = StoreClients {
            submissions: self
                .store_client(constants::SUBMISSION_REQUEST_SHARE)
                .with_queue_limit(constants::SUBMISSION_QUEUE_LIMIT),
            queries: self
                .store_client(constants::STATUS_REQUEST_SHARE)
                .with_queue_limit(Duration::ZERO),
        };
        ApiService::new(ApiServiceConfig {
            platform: self.settings.platform.clone(),
            stores,
            peers: self.peers.clone(),
            controller,
            leadership_view: self.view.clone(),
            machine_types: self.machine_types.clone(),
            final_states: self.final_states.clone(),
            status_relay,
        })
    }

    fn status_responder(&self, controller: ControllerHandle) -> StatusResponder {
        StatusResponder {
            controller,
            store: self.store_client(constants::STATUS_RELAY_REQUEST_SHARE),
            leadership_view: self.view.clone(),
            peers: self.peers.names(),
            max_value_kb: self.settings.platform.store.value_kb,
        }
    }

    fn leader_sync(&self, controller: ControllerHandle) -> LeaderSync {
        LeaderSync {
            controller_name: self.settings.controller_name.clone(),
            controller,
            peers: self.peers.clone(),
            leadership_view: self.view.clone(),
        }
    }

    fn connection_table(&self) -> ConnectionTable {
        let platform = &self.settings.platform;
        ConnectionTable::for_machine(
            platform.machine_limits.max_sockets,
            platform.workers.heartbeat_interval_s,
        )
    }
}

/// Logs the quotas of teams and the service-level objectives, once at the start.
fn log_platform_settings(platform: &PlatformSettings) {
    for team in &platform.teams {
        tracing::info!(
            team = team.name,
            cpus = team.guaranteed_cpus,
            gpus = team.guaranteed_gpus,
            max_cpus = team.max_cpus,
            max_gpus = team.max_gpus,
            "team with guarantee and limit (0: none)"
        );
    }
    for objective in &platform.objectives {
        tracing::debug!(
            kind = objective.kind,
            class = objective.class,
            within_s = objective.within_s,
            "service level objective"
        );
    }
}

/// Runs an actor on a thread of its own, with its own runtime, until the process ends.
fn run_on_thread(
    name: &str,
    actor: impl Future<Output = ()> + Send + 'static,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Thread)?;
    let run = move || runtime.block_on(actor);
    let spawned = std::thread::Builder::new().name(name.into()).spawn(run);
    spawned.map(drop).map_err(StartError::Thread)
}

/// Reads the machine types and their prices periodically, until the process ends.
async fn read_machine_types(cloud: CloudClient, sender: watch::Sender<MachineTypes>) {
    loop {
        let delay = match cloud.machine_types().await {
            Ok(machine_types) => {
                let _ = sender.send(Some(Arc::new(machine_types)));
                constants::MACHINE_TYPES_INTERVAL
            }
            Err(error) => {
                tracing::debug!(%error, "reading the machine types failed");
                constants::MACHINE_TYPES_RETRY
            }
        };
        tokio::time::sleep(delay).await;
    }
}
