//! HTTP handlers of a fleet: direct commands to its workers, and the API of its cloud.

use super::Fleet;
use super::heartbeats::bare_heartbeat;
use super::state::{FleetMachine, MACHINE_TYPE};
use crate::bare_json::bare_json;
use crate::machine_types;
use hookway_wire::{
    DirectCommands, ListedMachine, MachineList, MachineNames, MachineState, MachineTypes,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Age of all machines when the fleet starts, as the machine list gives it.
const INITIAL_MACHINE_AGE: Duration = Duration::from_secs(600);
/// Time for which the machine list still has a deleted machine.
const LIST_LAG: Duration = Duration::from_secs(4);
/// Default and maximum number of machines in a page of the list (given by the protocol).
const MAX_PAGE_MACHINES: usize = 500;
/// Maximum number of machines that one request deletes (given by the protocol).
const MAX_DELETED_MACHINES: usize = 100;

/// Accepts direct commands for one machine.
pub(super) struct CommandHandler {
    pub(super) fleet: Fleet,
    /// Index of the machine in the fleet.
    pub(super) machine: usize,
}

#[async_trait]
impl Handler for CommandHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Ok(commands) = req.parse_json::<DirectCommands>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if self.fleet.is_unreachable(self.machine) {
            return std::future::pending().await;
        }
        let mut state = self.fleet.lock();
        let machine = &mut state.machines[self.machine];
        let starts_before = machine.worker.started_attempts.len();
        match machine.worker.execute_direct_commands(&commands) {
            Some(heartbeat) => {
                res.render(Json(bare_heartbeat(heartbeat)));
                state.check_starts(self.machine, starts_before);
            }
            None => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(bare_heartbeat(machine.worker.heartbeat())));
            }
        }
    }
}

/// The kinds of requests to the cloud.
#[derive(Debug, Clone, Copy)]
pub(super) enum CloudCall {
    ListMachineTypes,
    ListMachines,
    ScaleOut,
    Delete,
}

/// Handles one kind of request to the cloud.
pub(super) struct CloudHandler {
    pub(super) fleet: Fleet,
    pub(super) call: CloudCall,
}

#[async_trait]
impl Handler for CloudHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.call {
            CloudCall::ListMachineTypes => {
                let types = MachineTypes { machine_types: machine_types() };
                res.render(Json(bare_json(&types)));
            }
            CloudCall::ScaleOut => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render(Json(json!({ "error": "no capacity" })));
            }
            CloudCall::ListMachines => res.render(Json(bare_json(&self.list_machines(req)))),
            CloudCall::Delete => match req.parse_json::<MachineNames>().await {
                Ok(names) if names.machines.len() <= MAX_DELETED_MACHINES => {
                    self.delete(&names.machines);
                    res.status_code(StatusCode::OK);
                }
                _ => {
                    res.status_code(StatusCode::BAD_REQUEST);
                }
            },
        }
    }
}

impl CloudHandler {
    /// Returns a page of the machine list: the machines after the requested one, in the order of their creation.
    fn list_machines(&self, req: &Request) -> MachineList {
        let after = req.query::<String>("After");
        let requested = req.query::<usize>("Most").unwrap_or(MAX_PAGE_MACHINES);
        let page_length = requested.clamp(1, MAX_PAGE_MACHINES);
        let listed = |machine: &FleetMachine| ListedMachine {
            name: machine.worker.machine_name().to_owned(),
            address: Some(machine.address.clone()),
            machine_type: MACHINE_TYPE.into(),
            zone: machine.worker.zone().to_owned(),
            spot: false,
            state: MachineState::Running,
            age_s: (INITIAL_MACHINE_AGE + machine.created_at.elapsed()).as_secs_f64(),
        };
        let state = self.fleet.lock();
        let is_after =
            |machine: &&FleetMachine| Some(machine.worker.machine_name()) != after.as_deref();
        let skipped = match &after {
            Some(_) => state.machines.iter().take_while(is_after).count() + 1,
            None => 0,
        };
        let is_listed = |machine: &&FleetMachine| {
            machine.deleted_at.is_none_or(|deleted_at| deleted_at.elapsed() < LIST_LAG)
        };
        let mut machines: Vec<ListedMachine> =
            state.machines.iter().skip(skipped).filter(is_listed).map(listed).collect();
        let has_next = machines.len() > page_length;
        machines.truncate(page_length);
        MachineList { machines, has_next }
    }

    fn delete(&self, names: &[String]) {
        let mut state = self.fleet.lock();
        for index in 0..state.machines.len() {
            if names.iter().any(|name| *name == state.machines[index].worker.machine_name()) {
                state.lose_tasks(index);
                state.machines[index].deleted_at.get_or_insert_with(Instant::now);
            }
        }
    }
}
