//! HTTP handlers of a fleet: direct commands to its workers, and the API of its cloud.

use super::Fleet;
use super::state::{FleetMachine, MACHINE_TYPE};
use crate::machine_types;
use hookway_wire::{
    DirectCommands, ListedMachine, MachineList, MachineNames, MachineState, MachineTypes,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json;

/// Age of all machines in the machine list, in seconds.
const MACHINE_AGE_S: f64 = 600.0;

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
        let mut state = self.fleet.lock();
        let machine = &mut state.machines[self.machine];
        if machine.partitioned || machine.deleted {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let starts_before = machine.worker.started_attempts.len();
        match machine.worker.execute_direct_commands(&commands) {
            Some(heartbeat) => {
                res.render(Json(heartbeat));
                state.check_starts(self.machine, starts_before);
            }
            None => {
                res.status_code(StatusCode::CONFLICT);
                res.render(Json(machine.worker.heartbeat()));
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
                res.render(Json(MachineTypes { machine_types: machine_types() }));
            }
            CloudCall::ScaleOut => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render(Json(json!({ "error": "no capacity" })));
            }
            CloudCall::ListMachines => res.render(Json(self.list_machines())),
            CloudCall::Delete => {
                let Ok(names) = req.parse_json::<MachineNames>().await else { return };
                self.delete(&names.machines);
                res.render(Json(json!({})));
            }
        }
    }
}

impl CloudHandler {
    fn list_machines(&self) -> MachineList {
        let listed = |machine: &FleetMachine| ListedMachine {
            name: machine.worker.machine_name().to_owned(),
            address: Some(machine.address.clone()),
            machine_type: MACHINE_TYPE.into(),
            zone: machine.worker.zone().to_owned(),
            spot: false,
            state: MachineState::Running,
            age_s: MACHINE_AGE_S,
        };
        let state = self.fleet.lock();
        let existing = state.machines.iter().filter(|machine| !machine.deleted);
        MachineList { machines: existing.map(listed).collect(), has_next: false }
    }

    fn delete(&self, names: &[String]) {
        let mut state = self.fleet.lock();
        for index in 0..state.machines.len() {
            if names.iter().any(|name| *name == state.machines[index].worker.machine_name()) {
                state.lose_tasks(index);
                state.machines[index].deleted = true;
            }
        }
    }
}
