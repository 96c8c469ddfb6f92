//! Expiry of workers' leases: the tasks of a worker whose lease has certainly expired have ended.

use super::task_removal::TaskRemoval;
use super::{ClusterState, longest_worker_lease};
use hookway_time::MonotonicTime;

impl ClusterState {
    /// Removes the tasks on machines whose workers' leases have certainly expired at `now`, and
    /// cancels planned starts on machines that have sent no heartbeat for too long.
    pub fn expire_leases(&mut self, now: MonotonicTime) {
        self.queue_confirmable_cancellations(now);
        let start_timeout = self.planned_start_timeout();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            if self.expire_lease_if_silent(&name, now) {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            if now >= machine.last_response_at + start_timeout {
                self.cancel_planned_starts(&name, now);
            }
        }
    }

    /// Returns whether the lease of a machine's worker has certainly expired. If so, removes the
    /// machine's tasks and marks the incarnation of the worker as expired.
    pub(super) fn expire_lease_if_silent(&mut self, name: &str, now: MonotonicTime) -> bool {
        let lease = longest_worker_lease(&self.config.platform);
        let Some(machine) = self.machines.get_mut(name) else { return false };
        let (zone, answered_at) = (&machine.zone, machine.lease_began_by());
        if !self.shard_lessor.worker_lease_expired(zone, answered_at, lease, now) {
            return false;
        }
        if machine.is_live() {
            tracing::info!(machine = %name, "worker lease expired");
            machine.expired_incarnation = machine.newest_message.incarnation;
            self.remove_all_tasks(name, now, TaskRemoval::Lost);
        }
        self.reconciliation.machines.remove(name);
        true
    }
}
