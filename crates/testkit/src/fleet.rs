//! A fleet of machines and the cloud that lists them, over HTTP on loopback and on the real clock.
//!
//! Workers send heartbeats, keep their leases and run tasks; tasks of a gang wait for each other. Every start is
//! checked against the tasks on all other machines.

mod heartbeats;
mod http;
mod state;

use crate::loopback::serve;
use hookway_wire::{ExitCause, JobSpec};
use http::{CloudCall, CloudHandler, CommandHandler};
use salvo::prelude::*;
use state::FleetState;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Zones of the machines, assigned in turn.
const ZONES: [&str; 2] = ["a", "b"];

/// The kind of change of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// A worker accepted the start command.
    Start,
    /// The task ended for this cause.
    End(ExitCause),
    /// The worker's lease expired, or its machine was deleted.
    Lost,
}

/// A change of a task on a machine, as the fleet's history records it.
#[derive(Debug, Clone)]
pub struct HistoryEvent {
    /// When the fleet recorded the event.
    pub at: Instant,
    /// Name of the machine, `m-<index>`.
    pub machine: String,
    /// Id of the task, `<job id>/<index>`.
    pub task: String,
    /// Number of the attempt, as in the start command.
    pub attempt: u64,
    /// The kind of change.
    pub event: TaskEvent,
}

/// A controller that workers send heartbeats to.
#[derive(Debug, Clone)]
pub struct ControllerAddress {
    /// Name of the controller, as redirects of heartbeats give it.
    pub name: String,
    /// Address (`host:port`) of its API.
    pub address: String,
}

/// Size and timing of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Number of machines, assigned to the zones in turn.
    pub machines: usize,
    /// Interval between the heartbeats of a worker while nothing changes.
    pub heartbeat_interval: Duration,
    /// Time after which a worker without a response to its heartbeats kills all its tasks.
    pub worker_lease: Duration,
    /// Run time of each task, not including the image fetch and the wait for its gang.
    pub task_run_time: Duration,
}

/// A fleet of machines with scripted workers. Machines are indexed from 0.
#[derive(Clone, Default)]
pub struct Fleet(Arc<Mutex<FleetState>>);

impl Fleet {
    /// Starts machines in two zones, whose workers send heartbeats to `controllers` (at least one).
    ///
    /// # Errors
    ///
    /// An I/O error if no port is free.
    pub async fn start(
        config: FleetConfig,
        controllers: &[ControllerAddress],
    ) -> std::io::Result<Self> {
        let fleet = Self::default();
        fleet.lock().run_time = config.task_run_time;
        for index in 0..config.machines {
            let handler = CommandHandler { fleet: fleet.clone(), machine: index };
            let address = serve(Router::with_path("orders").post(handler)).await?;
            fleet.lock().add_machine(index, ZONES[index % ZONES.len()], address);
            tokio::spawn(fleet.clone().send_heartbeats(index, controllers.to_vec(), config));
        }
        Ok(fleet)
    }

    /// Starts a cloud API that lists and deletes these machines, and refuses to create more for lack of capacity.
    /// Returns its address.
    ///
    /// # Errors
    ///
    /// An I/O error if no port is free.
    pub async fn start_cloud(&self) -> std::io::Result<String> {
        let handler = |call| CloudHandler { fleet: self.clone(), call };
        let machines = Router::with_path("rentals")
            .get(handler(CloudCall::ListMachines))
            .post(handler(CloudCall::ScaleOut))
            .push(Router::with_path("delete").post(handler(CloudCall::Delete)));
        let machine_types = Router::with_path("flavors").get(handler(CloudCall::ListMachineTypes));
        serve(Router::new().push(machine_types).push(machines)).await
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a job, so that the workers know whether its tasks form a gang. Call this before submitting the job.
    pub fn register_job(&self, spec: JobSpec) {
        self.lock().jobs.push(spec);
    }

    /// Partitions machines from all controllers: they neither send heartbeats nor accept commands or responses.
    pub fn partition(&self, machines: Range<usize>) {
        self.lock().machines[machines].iter_mut().for_each(|machine| machine.partitioned = true);
    }

    /// Ends the partition of machines that [`Fleet::partition`] began.
    pub fn end_partition(&self, machines: Range<usize>) {
        self.lock().machines[machines].iter_mut().for_each(|machine| machine.partitioned = false);
    }

    /// Whether requests to a machine get no response: it is partitioned or was deleted.
    fn is_unreachable(&self, machine: usize) -> bool {
        let machine = &self.lock().machines[machine];
        machine.partitioned || machine.is_deleted()
    }

    /// Returns all changes of tasks, oldest first.
    pub fn history(&self) -> Vec<HistoryEvent> {
        self.lock().history.clone()
    }

    /// Returns the task ids and attempts of a job that were started, oldest first.
    pub fn started_attempts(&self, job: &str) -> Vec<(String, u64)> {
        let of_job = |entry: &&HistoryEvent| {
            entry.event == TaskEvent::Start && job_of_task(&entry.task) == job
        };
        let state = self.lock();
        let started = state.history.iter().filter(of_job);
        started.map(|entry| (entry.task.clone(), entry.attempt)).collect()
    }

    /// Returns a description of each violation of the invariants: a task is on one machine at most, and a worker starts
    /// each attempt at most once.
    pub fn invariant_violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}

/// Returns the id of a task's job.
fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}
