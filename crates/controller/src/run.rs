//! Puts a node together and runs it.

use crate::api::{Desk, Stores};
use crate::config::{OperatorSettings, Params, Settings};
use crate::door::Door;
use crate::holders::{Holding, patience_ms};
use crate::http;
use crate::lead::{Clock, Leadership, Validity, View};
use crate::ledger::Setup;
use crate::node::Node;
use crate::peers::{self, Peers};
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
    let params = settings.settings.clone();
    let label = settings.label.clone();
    let patience = patience_ms(params.workers.report_s, params.workers.lease_s);
    let door = Door::for_machine(params.machine_limits.max_sockets, params.workers.report_s);
    let clock = Clock::default();
    let rps = params.state.rps;
    let client = |share: f64| StoreClient::new(&settings.outside.state, rps * share);
    let stores = Stores {
        submissions: client(constants::SUBMISSION_REQUEST_SHARE)
            .patient_for(constants::SUBMISSION_QUEUE_LIMIT_MS),
        questions: client(constants::STATUS_REQUEST_SHARE).patient_for(0),
    };
    let cloud =
        CloudClient::new(&settings.outside.cloud, params.cloud.rps * constants::CLOUD_RATE_SHARE);
    let (view_tx, view) = watch::channel(View::default());
    let (machine_types_tx, machine_types) = watch::channel(None);
    let (node_tx, asks) = mpsc::channel(constants::CHANNEL_CAPACITY);
    let validity = Arc::new(Validity::default());
    let doubt = Arc::new(Notify::new());
    let signals = StandbySignals::default();

    let addresses =
        settings.siblings.iter().map(|s| (s.label.clone(), s.address.clone())).collect();
    let desk = Arc::new(Desk::new(
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

    let leadership = Leadership {
        label: label.clone(),
        store: client(constants::LEADERSHIP_REQUEST_SHARE),
        clock,
        validity: validity.clone(),
        view: view_tx,
        doubt: doubt.clone(),
        suspicion: signals.suspicion.clone(),
        lease_ms: operator.replication.leader_lease_ms,
        warm: signals.warm.clone(),
    };
    let standby = Standby::new(&label, operator.replication.standby, signals);
    let controller_networks = operator.replication.controller_networks.clone();
    let node = Node {
        setup: Setup {
            label: label.clone(),
            domain: settings.domain.clone(),
            siblings: settings
                .siblings
                .iter()
                .map(|s| (s.label.clone(), s.domain.clone()))
                .collect(),
            params,
            operator,
        },
        store: client(constants::CONTROLLER_REQUEST_SHARE),
        cloud: cloud.clone(),
        workers: WorkerClient::default(),
        clock,
        validity,
        view,
        doubt,
        machine_types,
        asks,
        finals: desk.finals.clone(),
        deserted_at: std::cell::Cell::new(None),
        holding: std::cell::RefCell::new(Holding::new(&label, rand::random(), patience)),
        standby: std::cell::RefCell::new(standby),
    };
    // The lease must be extended and users answered whatever a round of the ledger takes: each of the
    // three has a thread of its own.
    on_a_thread("leadership", leadership.run()).map_err(StartError::Thread)?;
    on_a_thread("ledger", node.run()).map_err(StartError::Thread)?;
    tokio::spawn(read_machine_types(cloud, machine_types_tx));
    tokio::spawn(peers::serve(peer_listener, desk.clone(), controller_networks));
    let holder = desk.clone();
    tokio::spawn(async move { holder.hold_block().await });
    let follower = desk.clone();
    tokio::spawn(async move { follower.follow_leader().await });
    log_settings(&settings.settings);
    tracing::info!("{label}: serving on {}", settings.api_addr);
    Server::new(acceptor).fuse_policy(door).serve(http::service(desk)).await;
    Ok(())
}

/// Says what teams may use and what is expected of classes.
fn log_settings(params: &Params) {
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
