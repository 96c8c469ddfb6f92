//! Carries out the decisions of the cluster state in background tasks: commits to the store, direct
//! dispatch and state probes to workers, and scaling actions of the cloud.

use super::ControllerActor;
use super::messages::{ClusterEvent, ControllerEvent};
use super::store_io::commit_and_reread;
use super::term::{ActiveTerm, Authority, BackgroundTasks, TermTimers};
use crate::cluster_state::{
    ClusterState, DirectStart, DirectStop, ScalingAction, StateProbeRequest,
};
use hookway_clients::{CloudClient, CloudError, Delivery, ScaleOutOutcome};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::ScaleOutRequest;
use std::time::Duration;
use tokio::time::sleep;

/// Delay after a failed request to the cloud, before it is retried or reported as failed.
const CLOUD_RETRY: Duration = Duration::from_secs(1);

impl ControllerActor {
    /// Sends the commands for direct dispatch and the transaction that are due, if the leadership
    /// lease holds.
    pub(super) fn dispatch(&mut self, active: &mut ActiveTerm) {
        let now = self.config.clock.now();
        if !active.background_tasks.authority.holds_at(now) {
            return;
        }
        let ActiveTerm { cluster: Some(cluster), background_tasks, timers, .. } = active else {
            return;
        };
        self.send_direct_stops(cluster, background_tasks, now);
        self.send_direct_starts(cluster, background_tasks, timers, now);
        self.send_next_commit(cluster, background_tasks, now);
    }

    fn send_direct_stops(
        &self,
        cluster: &mut ClusterState,
        background_tasks: &mut BackgroundTasks,
        now: MonotonicTime,
    ) {
        for DirectStop { address, commands } in cluster.take_direct_stops(now) {
            let workers = self.config.workers.clone();
            background_tasks.spawn(async move { workers.stop(&address, &commands).await });
        }
    }

    fn send_direct_starts(
        &mut self,
        cluster: &mut ClusterState,
        background_tasks: &mut BackgroundTasks,
        timers: &mut TermTimers,
        now: MonotonicTime,
    ) {
        // Every heartbeat calls this function, and most machines with planned starts wait for a
        // commit, so searching for starts each time would be wasted work.
        if !timers.direct_dispatch.restart_if_due(constants::DIRECT_DISPATCH_INTERVAL, now) {
            return;
        }
        let starts = cluster.take_direct_starts(now);
        if !starts.is_empty() {
            self.config.standby.start_dispatched(now);
        }
        for DirectStart { machine, address, commands } in starts {
            let (workers, authority) =
                (self.config.workers.clone(), background_tasks.authority.clone());
            background_tasks.spawn_event(async move {
                // The lease may have expired since this task was queued, for example while the
                // process was paused. Then the start must not be sent.
                let delivery = if authority.holds() {
                    workers.send(&address, &commands).await
                } else {
                    Delivery::NotSent
                };
                let fencing_token = commands.fencing_token;
                ClusterEvent::DirectStartSent { machine, fencing_token, delivery }
            });
        }
    }

    fn send_next_commit(
        &self,
        cluster: &mut ClusterState,
        background_tasks: &mut BackgroundTasks,
        now: MonotonicTime,
    ) {
        let Some(commit) = cluster.next_commit(now) else { return };
        let (store, events) = (self.config.store.clone(), background_tasks.events.clone());
        background_tasks.spawn_event(async move {
            let report_unavailable = || drop(events.try_send(ControllerEvent::StoreUnavailable));
            let result = commit_and_reread(&store, &commit, report_unavailable).await;
            ClusterEvent::CommitFinished { commit, result }
        });
    }

    /// Asks workers that have not shown this leader's fencing token yet what they run, if the
    /// leadership lease holds.
    pub(super) fn send_state_probes(&self, active: &mut ActiveTerm, now: MonotonicTime) {
        if !active.background_tasks.authority.holds_at(now) {
            return;
        }
        let ActiveTerm { cluster: Some(cluster), background_tasks, .. } = active else { return };
        for StateProbeRequest { machine, address, fencing_token } in cluster.take_state_probes(now)
        {
            let workers = self.config.workers.clone();
            background_tasks.spawn_event(async move {
                let heartbeat = workers.probe_state(&address, fencing_token).await;
                ClusterEvent::StateProbed { machine, heartbeat }
            });
        }
    }

    pub(super) fn spawn_scaling_action(
        &self,
        background_tasks: &mut BackgroundTasks,
        action: ScalingAction,
    ) {
        let (cloud, authority) = (self.config.cloud.clone(), background_tasks.authority.clone());
        match action {
            ScalingAction::ScaleOut(request) => {
                background_tasks.spawn_event(scale_out(
                    cloud,
                    authority,
                    background_tasks.term(),
                    request,
                ));
            }
            ScalingAction::ScaleIn(machines) => {
                background_tasks.spawn_event(scale_in(cloud, authority, machines));
            }
        }
    }
}

/// Requests machines until the outcome is known, and pauses while the leadership lease has expired.
/// After an unclear outcome it repeats the request with the same id, to which the cloud responds
/// with the machines that it has started already, or starts them now.
async fn scale_out(
    cloud: CloudClient,
    authority: Authority,
    term: u64,
    request: ScaleOutRequest,
) -> ClusterEvent {
    loop {
        if !authority.holds() {
            sleep(constants::STORE_RETRY_DELAY).await;
            continue;
        }
        match cloud.scale_out(&request).await {
            Ok(ScaleOutOutcome::Created(machines)) => {
                return ClusterEvent::ScaleOutFinished { request, machines: Some(machines) };
            }
            Ok(ScaleOutOutcome::NoCapacity) | Err(CloudError::Unexpected { .. }) => {
                return ClusterEvent::ScaleOutFinished { request, machines: None };
            }
            Err(error) => {
                tracing::debug!(request = request.request_id, term, %error, "scale-out failed");
                sleep(CLOUD_RETRY).await;
            }
        }
    }
}

/// Deletes machines, unless the leadership lease has expired: a later leader may have placed tasks
/// on them since.
async fn scale_in(cloud: CloudClient, authority: Authority, machines: Vec<String>) -> ClusterEvent {
    let deleted = if !authority.holds() {
        false
    } else if let Err(error) = cloud.delete(&machines).await {
        tracing::debug!(?machines, %error, "scale-in failed");
        sleep(CLOUD_RETRY).await;
        false
    } else {
        true
    };
    ClusterEvent::ScaleInFinished { machines, deleted }
}
