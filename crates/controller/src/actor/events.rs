//! Handles the events that the background tasks of a term report.

use super::ControllerActor;
use super::messages::{ClusterEvent, ControllerEvent};
use super::term::ActiveTerm;
use crate::cluster_state::{ClusterState, CompletedJob, JobOrigin, LoadedRecords, Timestamp};
use hookway_time::MonotonicTime;

impl ControllerActor {
    pub(super) fn handle_event(&mut self, active: &mut ActiveTerm, event: ControllerEvent) {
        let at = self.config.clock.timestamp();
        match event {
            ControllerEvent::RecordsRead { records, revision } => {
                self.records_read(active, records, revision, at);
            }
            ControllerEvent::StoreUnavailable => active.pending_cancellations.store_unavailable(),
            ControllerEvent::JobWatchFellBehind => {
                tracing::info!(term = active.term(), "job watch fell behind, reading all jobs");
            }
            ControllerEvent::Cluster(event) => self.handle_cluster_event(active, event, at),
        }
    }

    fn handle_cluster_event(
        &mut self,
        active: &mut ActiveTerm,
        event: ClusterEvent,
        at: Timestamp,
    ) {
        let now = at.monotonic;
        let Some(cluster) = &mut active.cluster else { return };
        match event {
            ClusterEvent::JobAdded { key, value } => {
                cluster.add_job(&key, value, at, JobOrigin::ThisTerm)
            }
            ClusterEvent::CommitFinished { commit, result } => {
                cluster.apply_commit_outcome(commit, result, now);
                self.finish_jobs(active);
                self.resign_if_leadership_lost(active);
                self.dispatch(active);
            }
            ClusterEvent::ScaleOutFinished { request, machines } => {
                cluster.scale_out_finished(&request, machines, now);
                // If the cloud has refused the machines, the next tick requests capacity elsewhere.
                active.timers.autoscaling.make_due();
            }
            ClusterEvent::ScaleInFinished { machines, deleted: true } => {
                cluster.scale_in_finished(&machines, now);
            }
            ClusterEvent::ScaleInFinished { machines, deleted: false } => {
                cluster.scale_in_failed(&machines);
            }
            ClusterEvent::DirectStartSent { machine, fencing_token, delivery } => {
                cluster.apply_direct_dispatch_outcome(&machine, fencing_token, delivery, now);
            }
            ClusterEvent::MachinesListed { machines, requested_at } => {
                cluster.machines_listed(&machines, requested_at, now);
                self.send_state_probes(active, now);
            }
            ClusterEvent::StateProbed { machine, heartbeat } => {
                cluster.apply_state_probe_outcome(&machine, heartbeat, now);
                self.send_state_probes(active, now);
            }
        }
    }

    /// Creates the cluster state of the term from the records in the store, and starts to watch for
    /// jobs accepted after `revision`.
    fn records_read(
        &mut self,
        active: &mut ActiveTerm,
        records: LoadedRecords,
        revision: u64,
        at: Timestamp,
    ) {
        let term = active.term();
        if !self.config.standby.records_read(term, at.monotonic) {
            return;
        }
        let machine_types = self.config.machine_types.borrow().as_ref().map(|types| types.to_vec());
        let mut cluster = ClusterState::new(
            self.config.cluster.clone(),
            term,
            active.leader_term.precondition(),
            machine_types.unwrap_or_default(),
            records,
            at,
        );
        self.warm_start(&mut cluster, at.monotonic);
        tracing::info!(term, cluster = %cluster.summary(at.monotonic), "cluster state loaded");
        active.cluster = Some(cluster);
        self.spawn_job_watch(active, revision);
    }

    /// Completes the cluster state from this controller's copy of the previous leader's cluster
    /// state. A controller without a usable copy starts from the records alone.
    fn warm_start(&self, cluster: &mut ClusterState, now: MonotonicTime) {
        let term = cluster.term();
        match self.config.standby.copy(term, now) {
            Ok(copy) => {
                let networks = &self.config.cluster.operator.replication.worker_networks;
                let recovered = cluster.apply_replicated_state(copy, networks, now);
                tracing::info!(term, %recovered, "warm start");
            }
            Err(reason) => tracing::info!(term, %reason, "cold start"),
        }
    }

    /// Caches the final states that a commit has made durable, and replies to the users who wait
    /// for the cancellation of these jobs.
    fn finish_jobs(&self, active: &mut ActiveTerm) {
        let Some(cluster) = &mut active.cluster else { return };
        for CompletedJob { id, record } in cluster.take_completed_jobs() {
            // The cluster state no longer has the job, but its user will request the status once
            // more. Without the cache, that request would take two reads of the store.
            self.config.final_states.insert_if_final(&record.status(&id).into());
            active.pending_cancellations.job_finished(&id, &record);
        }
    }

    /// Gives up the leadership if a transaction has shown that this controller no longer leads.
    fn resign_if_leadership_lost(&self, active: &ActiveTerm) {
        if active.cluster.as_ref().is_some_and(ClusterState::leadership_lost) {
            self.config.resignation.request(active.term());
        }
    }
}
