//! Scale in: decides which machines are cordoned and deleted, and why.

use super::{ClusterState, CordonReason, JobOrigin, Machine, longest_worker_lease};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use hookway_wire::MachineType;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Assumed boot time of a machine of unknown type: longer than that of most types.
const UNKNOWN_TYPE_BOOT: Duration = Duration::from_secs(60);

/// Inputs of the scale-in decisions of one round.
struct ScaleInContext<'a> {
    now: MonotonicTime,
    /// End of the last period in which this leader could not answer workers. Silence before it does
    /// not count against the machines.
    resumed_at: MonotonicTime,
    /// Time after the last response by which the lease of a worker has certainly expired.
    lease: Duration,
    reconciled: bool,
    machine_types: &'a [MachineType],
    /// Idle timeout by name of the machine type.
    idle_timeouts: HashMap<String, Duration>,
    /// Machines that the autoscaling plan needs for the demand.
    needed: &'a HashSet<&'a str>,
    /// Names of the partitioned zones.
    partitioned: &'a HashSet<String>,
    /// Machines to keep although they may be idle.
    spares: HashSet<String>,
    /// Machines that have tasks and are silent while most other machines of their zone are not.
    silent: HashSet<String>,
    /// Machines to delete because they sent no heartbeat since the failover, while most other
    /// machines of their zone did.
    unreconciled: HashSet<String>,
}

impl ScaleInContext<'_> {
    /// Returns why a machine is to be cordoned or stay cordoned; `None` if it is not to be
    /// cordoned.
    fn cordon_reason(&self, name: &str, machine: &Machine) -> Option<CordonReason> {
        if machine.cordon_reason == Some(CordonReason::WorkerRestarted) {
            return machine.cordon_reason;
        }
        // Deletion proves that the machine's tasks have ended sooner than the expiry of the lease
        // would.
        if self.silent.contains(name) {
            return Some(CordonReason::Silent);
        }
        // Tasks that earlier leaders may have started there can't be restarted before it is known
        // whether they still run.
        if self.unreconciled.contains(name) {
            return Some(CordonReason::Unreconciled);
        }
        if self.boot_timed_out(machine) {
            return Some(CordonReason::BootTimeout);
        }
        if self.is_long_silent(machine) {
            return Some(CordonReason::Silent);
        }
        let interrupted =
            machine.interruption_at.is_some() && machine.has_reported && machine.is_empty();
        machine
            .cordon_reason
            .or_else(|| self.is_idle(name, machine).then_some(CordonReason::Idle))
            .or_else(|| interrupted.then_some(CordonReason::Interrupted))
    }

    /// Whether a cordoned machine may be deleted: it is empty, or it is silent or its worker has
    /// begun anew, and its tasks are given up.
    fn is_deletable(&self, name: &str, machine: &Machine) -> bool {
        let has_restarted = machine.cordon_reason == Some(CordonReason::WorkerRestarted);
        self.silent.contains(name) || has_restarted || machine.is_empty()
    }

    fn is_partitioned(&self, machine: &Machine) -> bool {
        self.partitioned.contains(&machine.zone)
    }

    /// Whether the machine has been without a task for longer than its type's idle timeout, and is
    /// neither needed nor a spare.
    fn is_idle(&self, name: &str, machine: &Machine) -> bool {
        let idle = machine
            .idle_since
            .map_or(Duration::ZERO, |since| self.now.saturating_duration_since(since));
        let timeout = self.idle_timeouts.get(&machine.machine_type);
        machine.has_reported
            && self.reconciled
            && !self.is_partitioned(machine)
            && !self.needed.contains(name)
            && timeout.is_some_and(|timeout| idle >= *timeout)
            && !self.spares.contains(name)
    }

    /// Whether the lease of the machine's worker expired so long ago that the machine is not
    /// expected to come back.
    fn is_long_silent(&self, machine: &Machine) -> bool {
        let silent_since = machine.last_response_at.max(self.resumed_at);
        let delay = if self.is_partitioned(machine) {
            constants::PARTITION_SCALE_IN_DELAY
        } else {
            constants::SILENT_SCALE_IN_DELAY
        };
        (machine.has_reported || machine.has_durable_registration)
            && self.now >= silent_since + self.lease + delay
    }

    /// Whether the machine has sent no heartbeat although it had enough time to boot. A machine in
    /// the machine registry has booted before.
    fn boot_timed_out(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
        let boot_ms = machine_type.map_or(millis_f64(UNKNOWN_TYPE_BOOT), |t| t.boot_s * 1000.0);
        let timeout = Duration::from_millis((boot_ms * constants::BOOT_TIMEOUT_FACTOR) as u64)
            + constants::BOOT_TIMEOUT_MARGIN;
        !machine.has_reported
            && !machine.has_durable_registration
            && self.now >= machine.created_at + timeout
            && self.now >= self.resumed_at + self.lease
    }
}

impl ClusterState {
    /// Updates which machines are cordoned, and returns the names of those to delete now.
    pub(super) fn machines_to_scale_in(
        &mut self,
        now: MonotonicTime,
        needed: &HashSet<&str>,
        partitioned: &HashSet<String>,
    ) -> Vec<String> {
        self.record_demand(now);
        let max_silence = self.max_heartbeat_interval() + constants::UNRECONCILED_SCALE_IN_DELAY;
        let context = ScaleInContext {
            now,
            resumed_at: self.clocks.resumed_at,
            lease: longest_worker_lease(&self.config.platform),
            reconciled: self.is_reconciled(now),
            machine_types: &self.machine_types,
            idle_timeouts: self.idle_timeouts(),
            needed,
            partitioned,
            spares: self.spare_machines(now),
            silent: self.silent_machines(now, max_silence),
            unreconciled: self.unreconciled_to_delete(now, max_silence),
        };
        let mut surplus = Vec::new();
        for (name, machine) in &mut self.machines {
            machine.update_idle_since(now);
            if self.machines_being_deleted.contains(name) {
                continue;
            }
            machine.cordon_reason = context.cordon_reason(name, machine);
            if let Some(reason) = machine.cordon_reason
                && context.is_deletable(name, machine)
            {
                tracing::info!(machine = %name, %reason, "machine to be scaled in");
                surplus.push(name.clone());
            }
        }
        surplus
    }

    /// Returns the machines without a heartbeat since the failover that are to be deleted now.
    /// There are none unless jobs of earlier terms wait for them, and deletion would prove the end
    /// of their tasks sooner than the expiry of their leases by more than
    /// [`constants::UNRECONCILED_SCALE_IN_MIN_GAIN`]. `max_silence` covers the time for a worker to
    /// send a heartbeat, to try each controller while one of them hangs, and to send another
    /// heartbeat with the new fencing token.
    fn unreconciled_to_delete(&self, now: MonotonicTime, max_silence: Duration) -> HashSet<String> {
        let earlier_job_waits = self.jobs.values().any(|j| {
            j.origin == JobOrigin::EarlierTerm && j.is_active() && !j.placeable.is_empty()
        });
        let leases_expire_at =
            self.clocks.elected_at() + longest_worker_lease(&self.config.platform);
        let worthwhile = !self.is_reconciled(now)
            && earlier_job_waits
            && now + constants::UNRECONCILED_SCALE_IN_MIN_GAIN < leases_expire_at;
        if !worthwhile {
            return HashSet::new();
        }
        let overdue = now >= self.clocks.answering_since() + max_silence;
        self.unreconciled_lost_machines(|machine| {
            overdue || !machine.has_reported && machine.state_probe.is_unresponsive()
        })
    }

    /// Returns the idle timeout of each machine type, by name.
    fn idle_timeouts(&self) -> HashMap<String, Duration> {
        let timeout = |t: &MachineType| (t.name.clone(), self.idle_timeout(t));
        self.machine_types.iter().map(timeout).collect()
    }

    /// Returns how long a machine of this type may be idle before it is scaled in: the operator's
    /// setting, or a multiple of the time that a new machine takes to boot and to fetch an image.
    /// As in the ski rental problem, keeping an idle machine for that time costs as much as
    /// replacing it, since a new machine is paid for while it boots and fetches.
    fn idle_timeout(&self, machine_type: &MachineType) -> Duration {
        let sizes_gb: Vec<f64> = self.jobs.values().map(|job| job.spec.image_gb).collect();
        let mean_gb = if sizes_gb.is_empty() {
            0.0
        } else {
            sizes_gb.iter().sum::<f64>() / sizes_gb.len() as f64
        };
        let replacement_s = machine_type.boot_s + machine_type.image_fetch_s(mean_gb);
        let default_ms = (replacement_s * constants::IDLE_TIMEOUT_FACTOR * 1000.0) as u64;
        self.config.operator.idle_timeout.unwrap_or(Duration::from_millis(default_ms))
    }

    /// Removes machines whose deletion the cloud has confirmed, and all tasks on them.
    pub fn scale_in_finished(&mut self, names: &[String], now: MonotonicTime) {
        for name in names {
            self.remove_machine(name, now);
        }
    }

    /// Records that a deletion failed or that its outcome is unknown: it is requested again in a
    /// later round if the machine is still to be deleted.
    pub fn scale_in_failed(&mut self, names: &[String]) {
        for name in names {
            self.machines_being_deleted.remove(name);
        }
    }
}
