//! The heartbeats of a fleet's workers.

use super::{ControllerAddress, Fleet, FleetConfig};
use crate::bare_json::bare_json;
use hookway_clients::{HttpClient, HttpResponse};
use hookway_wire::{Heartbeat, HeartbeatRedirect, HeartbeatResponse};
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Time after which a worker gives up on a heartbeat (given by the protocol).
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay of the next heartbeat after one without a usable response.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum interval to the next heartbeat after a response with commands or a higher fencing token.
const PROMPT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a worker checks whether a heartbeat is due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A heartbeat, encoded as JSON.
struct EncodedHeartbeat {
    body: Vec<u8>,
    sent_at: Instant,
}

impl Fleet {
    /// Sends the heartbeats of a machine until the test ends. Follows redirects, and tries the controllers in turn
    /// while none accepts its heartbeats.
    pub(super) async fn send_heartbeats(
        self,
        machine: usize,
        controllers: Vec<ControllerAddress>,
        config: FleetConfig,
    ) {
        let clients: Vec<HttpClient> =
            controllers.iter().map(|controller| HttpClient::new(&controller.address)).collect();
        let mut target = machine % controllers.len();
        let mut next_at = Instant::now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let heartbeat = self.next_heartbeat(machine, next_at, config.worker_lease);
            let Some(EncodedHeartbeat { body, sent_at }) = heartbeat else { continue };
            let request =
                clients[target].exchange(Method::POST, "/checkin", Some(body), HEARTBEAT_TIMEOUT);
            let response = request.await;
            next_at = Instant::now() + RETRY_DELAY;
            match response {
                Ok(HttpResponse { status: StatusCode::OK, body })
                    if !self.lock().machines[machine].partitioned =>
                {
                    let changed = serde_json::from_slice::<HeartbeatResponse>(&body)
                        .is_ok_and(|response| self.apply_response(machine, &response, sent_at));
                    let interval = config.heartbeat_interval;
                    next_at =
                        sent_at + if changed { interval.min(PROMPT_INTERVAL) } else { interval };
                }
                Ok(HttpResponse { status: StatusCode::MISDIRECTED_REQUEST, body }) => {
                    let leader = redirect_target(&controllers, &body);
                    match leader.filter(|leader| *leader != target) {
                        Some(leader) => (target, next_at) = (leader, Instant::now()),
                        None => target = (target + 1) % controllers.len(),
                    }
                }
                _ => target = (target + 1) % controllers.len(),
            }
        }
    }

    /// Applies the expiry of the worker's lease if its time has come, and advances the tasks. Returns the heartbeat if
    /// one is due.
    fn next_heartbeat(
        &self,
        machine: usize,
        next_at: Instant,
        lease: Duration,
    ) -> Option<EncodedHeartbeat> {
        let mut state = self.lock();
        let now = Instant::now();
        if state.machines[machine].is_deleted() {
            return None;
        }
        state.expire_lease(machine, now, lease);
        let changed = state.advance_tasks(machine, now);
        let machine = &mut state.machines[machine];
        if machine.partitioned || now < next_at && !changed {
            return None;
        }
        let heartbeat = machine.worker.heartbeat();
        let body = serde_json::to_vec(&bare_heartbeat(heartbeat)).ok()?;
        Some(EncodedHeartbeat { body, sent_at: now })
    }

    /// Applies the response to a heartbeat and checks the starts. Returns whether the response had a higher fencing
    /// token or commands.
    fn apply_response(
        &self,
        machine: usize,
        response: &HeartbeatResponse,
        sent_at: Instant,
    ) -> bool {
        let mut state = self.lock();
        let worker = &mut state.machines[machine].worker;
        let starts_before = worker.started_attempts.len();
        let has_higher_token = response.fencing_token > worker.fencing_token;
        if worker.execute_response(response) {
            state.machines[machine].lease_started_at = sent_at;
        }
        state.check_starts(machine, starts_before);
        has_higher_token || !response.commands.is_empty()
    }
}

/// Returns a heartbeat as JSON with no more than the protocol promises: the latest tasks come first, since their order is
/// not promised.
pub(super) fn bare_heartbeat(mut heartbeat: Heartbeat) -> Value {
    heartbeat.tasks.reverse();
    bare_json(&heartbeat)
}

/// Returns the index of the controller that a redirect names, if it is one of `controllers`.
fn redirect_target(controllers: &[ControllerAddress], body: &[u8]) -> Option<usize> {
    let leader = serde_json::from_slice::<HeartbeatRedirect>(body).ok()?.leader?;
    controllers.iter().position(|controller| controller.name == leader)
}
