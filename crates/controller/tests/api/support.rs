//! A controller's API with a scripted controller actor behind it.

use hookway_clients::StoreClient;
use hookway_controller::actor::{ControllerHandle, ControllerRequest, HeartbeatReply};
use hookway_controller::api::{ApiService, ApiServiceConfig, StoreClients};
use hookway_controller::cluster_state::{CancelOutcome, JobLookup};
use hookway_controller::http::service;
use hookway_controller::leadership::LeadershipView;
use hookway_controller::peers::Peers;
use hookway_controller::settings::Settings;
use hookway_replication::{FollowResponse, FollowResponseBody, Position};
use hookway_testkit::SETTINGS;
use hookway_wire::{
    ErrorBody, HeartbeatResponse, JobId, JobState, JobStatus, MachineType, ReplicationStatus,
};
use salvo::Service;
use salvo::http::StatusCode;
use salvo::test::{ResponseExt, TestClient};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

pub const JOB: &str = r#"{"NameId":"req-000412","Lane":"train","Owner":"vision","Shape":"group","Rank":"high",
 "Pieces":4,"Vcpus":8.0,"Gpus":0,"RamGb":64.0,"Bundle":"img-07","ImageGb":6.2,"Flavors":["g8"],"Yard":null,
 "Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"SnapshotEveryS":30.0,"SnapshotS":4.0}"#;

/// The role of the scripted controller.
#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Leader,
    /// Its leadership lease expired between the decision and the response.
    FormerLeader,
    Follower,
}

pub fn known(id: &JobId, state: JobState) -> JobStatus {
    JobStatus {
        id: id.clone(),
        state,
        done: 1,
        running: 0,
        team: Some("vision".into()),
        leader: None,
        notes: vec![],
    }
}

/// A controller's API with a scripted actor behind it and no state service.
pub fn api(role: Role, machine_types_known: bool) -> Service {
    api_at(role, machine_types_known, LeadershipView::default(), None)
}

/// `api` with a view of the leader and a state service.
pub fn api_at(
    role: Role,
    machine_types_known: bool,
    leadership: LeadershipView,
    store: Option<&str>,
) -> Service {
    service(api_service(role, machine_types_known, leadership, store, 2000.0))
}

/// The API service itself, with this rate of status queries at the state service.
pub fn api_service(
    role: Role,
    machine_types_known: bool,
    leadership: LeadershipView,
    store: Option<&str>,
    status_rate: f64,
) -> Arc<ApiService> {
    api_service_with(SETTINGS, role, machine_types_known, leadership, store, status_rate)
}

/// Responses of a scripted controller actor in a role.
struct ScriptedController {
    role: Role,
}

impl ScriptedController {
    async fn run(self, mut requests: mpsc::Receiver<ControllerRequest>) {
        while let Some(request) = requests.recv().await {
            self.handle(request);
        }
    }

    fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    fn handle(&self, request: ControllerRequest) {
        match request {
            ControllerRequest::Heartbeat { reply, .. } => drop(reply.send(self.heartbeat_reply())),
            ControllerRequest::Status { job, reply } => {
                let _ = reply.send(self.leads().then(|| lookup(&job)));
            }
            ControllerRequest::Cancel { job, reply } => {
                let outcome = CancelOutcome::Final(known(&job, JobState::Cancelled));
                let _ = reply.send(self.leads().then_some(outcome));
            }
            ControllerRequest::AdoptJob { reply, .. } => drop(reply.send(Some(()))),
            ControllerRequest::RenewShardLease { reply, .. } => drop(reply.send(None)),
            ControllerRequest::PrepareShardLeaseRenewal(reply) => drop(reply.send(None)),
            ControllerRequest::Follow { reply, .. } => {
                let end = Position { term: 7, index: 0 };
                let body =
                    FollowResponseBody::Entries { after: end, entries: vec![], digest: None };
                let _ = reply.send(self.leads().then_some(FollowResponse { end, body }));
            }
            ControllerRequest::PrepareFollow(reply) => drop(reply.send(None)),
            ControllerRequest::ReplicationStatus(reply) => {
                let phase = if self.leads() { "active" } else { "following" }.to_owned();
                let _ = reply.send(Some(ReplicationStatus { phase, ..Default::default() }));
            }
            ControllerRequest::ShardLeaseGranted { .. } | ControllerRequest::Followed(_) => {}
        }
    }

    fn heartbeat_reply(&self) -> HeartbeatReply {
        let response = HeartbeatResponse { fencing_token: 7, commands: vec![] };
        let now = Instant::now();
        match self.role {
            Role::Leader => {
                HeartbeatReply::Respond { response, valid_until: now + Duration::from_secs(60) }
            }
            Role::FormerLeader => HeartbeatReply::Respond { response, valid_until: now },
            Role::Follower => HeartbeatReply::Redirect(Some("worker-2".into())),
        }
    }
}

/// The state of a job at the scripted leader.
fn lookup(job: &JobId) -> JobLookup {
    match job.as_str() {
        "req-000001" => JobLookup::Known(known(job, JobState::Running)),
        "req-000002" => JobLookup::Known(known(job, JobState::Done)),
        _ => JobLookup::UnknownJob,
    }
}

fn gpu_machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 12.0,
        spot_price: Some(4.5),
        boot_s: 45.0,
        zones: vec!["a".into()],
    }
}

/// `api_service` with other settings.
pub fn api_service_with(
    settings: &str,
    role: Role,
    machine_types_known: bool,
    leadership: LeadershipView,
    store: Option<&str>,
    status_rate: f64,
) -> Arc<ApiService> {
    let (requests, requests_rx) = mpsc::channel(16);
    tokio::spawn(ScriptedController { role }.run(requests_rx));
    let settings = Settings::parse(settings).expect("valid settings");
    let (_, view) = watch::channel(leadership);
    let (_, machine_types) =
        watch::channel(machine_types_known.then(|| Arc::new(vec![gpu_machine_type()])));
    let store_address = store.unwrap_or(&settings.endpoints.state);
    let submissions = StoreClient::new(store_address, 2000.0);
    // No process listens at this address.
    let peers = Peers::new(HashMap::from([("worker-1".into(), "127.0.0.1:1".into())]));
    let queries = StoreClient::new(store_address, status_rate).with_queue_limit(Duration::ZERO);
    let stores = StoreClients { submissions, queries };
    let api_service = ApiService::new(ApiServiceConfig {
        platform: settings.platform,
        stores,
        peers: Arc::new(peers),
        controller: ControllerHandle::new(requests),
        view,
        machine_types,
        final_states: Arc::default(),
    });
    Arc::new(api_service)
}

pub async fn post(service: &Service, path: &str, body: &str) -> (StatusCode, String, bool) {
    let url = format!("http://127.0.0.1:8080{path}");
    let mut response = TestClient::post(url).body(body.to_owned()).send(service).await;
    let retry = response.headers().contains_key("retry-after");
    let text = response.take_string().await.unwrap_or_default();
    (response.status_code.unwrap_or_default(), text, retry)
}

pub async fn get(service: &Service, path: &str) -> (StatusCode, String, bool) {
    let url = format!("http://127.0.0.1:8080{path}");
    let mut response = TestClient::get(url).send(service).await;
    let retry = response.headers().contains_key("retry-after");
    let text = response.take_string().await.unwrap_or_default();
    (response.status_code.unwrap_or_default(), text, retry)
}

pub fn reason(text: &str) -> String {
    serde_json::from_str::<ErrorBody>(text).expect("a JSON error").error
}
