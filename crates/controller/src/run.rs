//! Puts a node together and runs it.

use crate::actor::{ControllerActor, ControllerActorConfig};
use crate::api_service::{ApiService, StoreClients};
use crate::cluster_state::ControllerConfig;
use crate::connection_table::ConnectionTable;
use crate::http;
use crate::leadership::{Clock, Leadership, LeadershipConfig, LeadershipLease, LeadershipView};
use crate::peers::{self, Peers};
use crate::settings::{OperatorSettings, PlatformSettings, Settings};
use crate::shard_lease::{ShardLessee, leader_timeout_ms};
use crate::standby::{Standby, StandbySignals};
use hookway_clients::{CloudClient, StoreClient, WorkerClient};
use hookway_constants as constants;
use hookway_wire::MachineType;
use salvo::conn::TcpListener;
use salvo::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be used.
    #[error("can't listen on {0}: {1}")]
    Listen(String, String),
    /// No thread for an actor.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
}

/// Runs a node until the process ends.
pub async fn run(settings: Settings, operator: OperatorSettings) -> Result<(), StartError> {
    let params = settings.platform.clone();
    let label = settings.controller_name.clone();
    let patience = leader_timeout_ms(params.workers.heartbeat_interval_s, params.workers.lease_s);
    let connections = ConnectionTable::for_machine(
        params.machine_limits.max_sockets,
        params.workers.heartbeat_interval_s,
    );
    let clock = Clock::default();
    let rps = params.state.rps;
    let client = |share: f64| StoreClient::new(&settings.endpoints.state, rps * share);
    let stores = StoreClients {
        submissions: client(constants::SUBMISSION_REQUEST_SHARE)
            .with_queue_limit(constants::SUBMISSION_QUEUE_LIMIT_MS),
        queries: client(constants::STATUS_REQUEST_SHARE).with_queue_limit(0),
    };
    let cloud =
        CloudClient::new(&settings.endpoints.cloud, params.cloud.rps * constants::CLOUD_RATE_SHARE);
    let (view_tx, view) = watch::channel(LeadershipView::default());
    let (machine_types_tx, machine_types) = watch::channel(None);
    let (node_tx, asks) = mpsc::channel(constants::CHANNEL_CAPACITY);
    let validity = Arc::new(LeadershipLease::default());
    let doubt = Arc::new(Notify::new());
    let signals = StandbySignals::default();

    let addresses = settings.peers.iter().map(|s| (s.name.clone(), s.address.clone())).collect();
    let api = Arc::new(ApiService::new(
        params.clone(),
        label.clone(),
        stores,
        Peers::new(addresses),
        node_tx,
        view.clone(),
        machine_types.clone(),
    ));
    let peer_listener = tokio::net::TcpListener::bind(&settings.peer_bind)
        .await
        .map_err(|e| StartError::Listen(settings.peer_bind.clone(), e.to_string()))?;
    let acceptor = TcpListener::new(settings.api_addr.clone())
        .try_bind()
        .await
        .map_err(|e| StartError::Listen(settings.api_addr.clone(), e.to_string()))?;

    let leadership = Leadership::new(LeadershipConfig {
        controller_name: label.clone(),
        store: client(constants::LEADERSHIP_REQUEST_SHARE),
        clock,
        lease: validity.clone(),
        view: view_tx,
        leadership_lost: doubt.clone(),
        leader_suspected: signals.leader_suspected.clone(),
        lease_ms: operator.replication.leader_lease_ms,
        has_warm_copy: signals.has_warm_copy.clone(),
    });
    let standby = Standby::new(&label, operator.replication.standby, signals);
    let controller_networks = operator.replication.controller_networks.clone();
    let node = ControllerActor::new(ControllerActorConfig {
        cluster: ControllerConfig {
            controller_name: label.clone(),
            zone: settings.zone.clone(),
            peers: settings.peers.iter().map(|s| (s.name.clone(), s.zone.clone())).collect(),
            platform: params,
            operator,
        },
        store: client(constants::CONTROLLER_REQUEST_SHARE),
        cloud: cloud.clone(),
        workers: WorkerClient::default(),
        clock,
        lease: validity,
        view,
        leadership_lost: doubt,
        machine_types,
        requests: asks,
        final_states: api.final_states.clone(),
        shard_lessee: ShardLessee::new(&label, rand::random(), patience),
        standby,
    });
    // The lease must be extended and users answered whatever a round of the ledger takes: each of the
    // three has a thread of its own.
    on_a_thread("leadership", leadership.run()).map_err(StartError::Thread)?;
    on_a_thread("ledger", node.run()).map_err(StartError::Thread)?;
    tokio::spawn(read_machine_types(cloud, machine_types_tx));
    tokio::spawn(peers::serve(peer_listener, api.clone(), controller_networks));
    let holder = api.clone();
    tokio::spawn(async move { holder.renew_shard_lease_loop().await });
    let follower = api.clone();
    tokio::spawn(async move { follower.follow_leader_loop().await });
    log_settings(&settings.platform);
    tracing::info!("{label}: serving on {}", settings.api_addr);
    Server::new(acceptor).fuse_policy(connections).serve(http::service(api)).await;
    Ok(())
}

/// Says what teams may use and what is expected of classes.
fn log_settings(params: &PlatformSettings) {
    for t in &params.teams {
        tracing::info!(
            "team {}: {} CPUs and {} GPUs guaranteed, at most {} and {} (0: none)",
            t.name,
            t.cpus,
            t.gpus,
            t.cpus_max,
            t.gpus_max
        );
    }
    for o in &params.objectives {
        let class = o.class.as_deref().unwrap_or("-");
        tracing::debug!("aim: {} of {class} within {:?} s", o.kind, o.within_s);
    }
}

/// Runs an actor on a thread of its own until the process ends.
fn on_a_thread(
    name: &str,
    actor: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || runtime.block_on(actor);
    std::thread::Builder::new().name(name.into()).spawn(run).map(drop)
}

/// Keeps the machine types and their prices up to date.
async fn read_machine_types(cloud: CloudClient, out: watch::Sender<Option<Arc<Vec<MachineType>>>>) {
    loop {
        let wait = match cloud.machine_types().await {
            Ok(machine_types) => {
                let _ = out.send(Some(Arc::new(machine_types)));
                constants::MACHINE_TYPES_INTERVAL_MS
            }
            Err(e) => {
                tracing::debug!("machine types: {e}");
                constants::MACHINE_TYPES_RETRY_MS
            }
        };
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}
