//! The periodic work of a leader.

use super::messages::ClusterEvent;
use super::term::{ActiveTerm, BackgroundTasks, TermTimers};
use super::{ControllerActor, MachineTypes};
use crate::cluster_state::ClusterState;
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use std::time::Duration;

/// Interval between log lines with a summary of the cluster state.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

impl ControllerActor {
    /// Does the periodic work that is due. Called every `TICK_INTERVAL`, or later if the actor is busy.
    pub(super) fn tick(&mut self, active: &mut ActiveTerm) {
        let now = self.config.clock.now();
        debug_assert!(active.cluster.is_none() || self.config.standby.may_decide(active.term()));
        if !suspend_or_resume(active, now) {
            return;
        }
        let ActiveTerm { cluster: Some(cluster), background_tasks, timers, machine_types, .. } =
            active
        else {
            return;
        };
        self.lease_own_shard(cluster, now);
        cluster.update_clocks(self.config.clock.timestamp());
        if self.step_down_if_isolated(cluster, now) {
            return;
        }
        self.update_machine_types(cluster, machine_types);
        run_scheduling_round(cluster, timers, now);
        self.run_autoscaling_round(cluster, background_tasks, timers, now);
        log_summary(cluster, timers, now);
        self.request_machine_list(cluster, background_tasks, timers, now);
        self.send_state_probes(active, now);
        self.dispatch(active);
    }

    /// Leases the leader's own shard to this controller, unless the cluster state allows no shard
    /// lease at `now`. The caller ensures that the leadership lease holds at `now`.
    fn lease_own_shard(&mut self, cluster: &ClusterState, now: MonotonicTime) {
        let lease_length = cluster.shard_lease_length(now);
        if !lease_length.is_zero() {
            let zones = cluster.own_shard();
            self.config.shard_lessee.lease_own_shard(cluster.term(), zones, lease_length, now);
        }
    }

    /// Gives up the leadership if no worker sends heartbeats any more, because this controller may
    /// be partitioned from the workers. Does so at most once per `STEP_DOWN_INTERVAL`, because the
    /// workers may be the cause. Returns whether it gave up the leadership.
    fn step_down_if_isolated(&mut self, cluster: &ClusterState, now: MonotonicTime) -> bool {
        let is_allowed = self
            .stepped_down_at
            .is_none_or(|last_at| now >= last_at + constants::STEP_DOWN_INTERVAL);
        let should_step_down = cluster.is_isolated_from_workers(now) && is_allowed;
        if should_step_down {
            tracing::info!(term = cluster.term(), "stepping down: no worker sends heartbeats");
            self.stepped_down_at = Some(now);
            self.config.resignation.request(cluster.term());
        }
        should_step_down
    }

    fn update_machine_types(&self, cluster: &mut ClusterState, known: &mut MachineTypes) {
        let current = self.config.machine_types.borrow().clone();
        if current != *known {
            cluster.set_machine_types(
                current.as_ref().map(|types| types.to_vec()).unwrap_or_default(),
            );
            *known = current;
        }
    }

    fn run_autoscaling_round(
        &self,
        cluster: &mut ClusterState,
        background_tasks: &mut BackgroundTasks,
        timers: &mut TermTimers,
        now: MonotonicTime,
    ) {
        let interval = constants::AUTOSCALING_INTERVAL.max(2 * cluster.round_interval());
        if timers.autoscaling.restart_if_due(interval, now) {
            for action in cluster.autoscaling_round(now) {
                self.spawn_scaling_action(background_tasks, action);
            }
        }
    }

    /// Requests the list of machines from the cloud. It does so sooner if a heartbeat is overdue,
    /// because the list shows whether the machine still exists, and later for large fleets, whose
    /// list takes longer to read.
    fn request_machine_list(
        &self,
        cluster: &ClusterState,
        background_tasks: &mut BackgroundTasks,
        timers: &mut TermTimers,
        now: MonotonicTime,
    ) {
        let shortest = constants::CLOUD_LIST_INTERVAL;
        let machine_count = u32::try_from(cluster.machine_count()).unwrap_or(u32::MAX);
        let interval = shortest + constants::CLOUD_LIST_PER_MACHINE * machine_count;
        let is_due =
            |interval| timers.last_machine_list_at.is_none_or(|last_at| now >= last_at + interval);
        let is_needed_sooner = is_due(shortest) && cluster.has_overdue_heartbeat(now);
        if !(is_due(interval) || is_needed_sooner) {
            return;
        }
        timers.last_machine_list_at = Some(now);
        let (cloud, clock, events) =
            (self.config.cloud.clone(), self.config.clock, background_tasks.events.clone());
        background_tasks.spawn(async move {
            let requested_at = clock.now();
            match cloud.machines().await {
                Ok(machines) => {
                    let listed = ClusterEvent::MachinesListed { machines, requested_at };
                    let _ = events.send(listed.into()).await;
                }
                Err(error) => tracing::debug!(%error, "listing machines failed"),
            }
        });
    }
}

/// Suspends decisions while the leadership lease has expired, and resumes them when it holds again.
/// Returns whether decisions may be made at `now`.
///
/// After a suspension or a pause of the process, the cluster state restarts its heartbeat timeouts,
/// because workers may have sent heartbeats that this controller could not receive.
fn suspend_or_resume(active: &mut ActiveTerm, now: MonotonicTime) -> bool {
    let (term, lease_holds) = (active.term(), active.background_tasks.authority.holds_at(now));
    let Some(cluster) = &mut active.cluster else { return false };
    if !lease_holds {
        if !active.suspended {
            tracing::info!(term, "leadership lease expired, decisions suspended");
            active.suspended = true;
        }
        return false;
    }
    let process_paused = now >= active.timers.last_tick_at + constants::MIN_PROCESS_PAUSE;
    active.timers.last_tick_at = now;
    if process_paused || active.suspended {
        cluster.record_resumption(now);
    }
    if active.suspended {
        tracing::info!(term, "leadership lease holds again, decisions resumed");
        active.suspended = false;
    }
    true
}

fn run_scheduling_round(cluster: &mut ClusterState, timers: &mut TermTimers, now: MonotonicTime) {
    let interval = cluster.round_interval().max(constants::SCHEDULING_INTERVAL);
    if timers.scheduling.restart_if_due(interval, now) {
        cluster.scheduling_round(now);
    }
}

fn log_summary(cluster: &ClusterState, timers: &mut TermTimers, now: MonotonicTime) {
    if timers.summary.restart_if_due(SUMMARY_INTERVAL, now) {
        let summary = cluster.summary(now);
        tracing::info!(term = cluster.term(), cluster = %summary, "cluster summary");
    }
}
