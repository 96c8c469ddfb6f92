//! Scale in: which machines are cordoned and deleted, and why.

use super::{ClusterState, CordonReason, JobOrigin, Machine, longest_worker_lease};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, millis_f64};
use hookway_wire::MachineType;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Boot time of a machine whose type is not known: longer than that of most types.
const UNKNOWN_TYPE_BOOT: Duration = Duration::from_secs(60);

/// What the scale-in decisions of one round depend on.
struct ScaleInContext<'a> {
    now: MonotonicTime,
    /// When this leader could last not answer workers: silence before that is not the machines'.
    resumed_at: MonotonicTime,
    /// Time after which the lease of a worker without a response has surely expired.
    lease: Duration,
    reconciled: bool,
    machine_types: &'a [MachineType],
    /// Idle timeout by machine type.
    idle_timeouts: HashMap<String, Duration>,
    /// Machines that the demand makes use of.
    needed: &'a HashSet<&'a str>,
    /// Zones that are partitioned.
    partitioned: &'a HashSet<String>,
    /// Machines that stay although idle.
    spares: HashSet<String>,
    /// Machines with tasks that are silent while most others of their zone are not.
    silent: HashSet<String>,
    /// Likewise, machines without a heartbeat since the failover.
    unreconciled: HashSet<String>,
}

impl ScaleInContext<'_> {
    /// Why a machine is to be cordoned, or is cordoned already; `None` if it stays.
    fn cordon_reason(&self, name: &str, machine: &Machine) -> Option<CordonReason> {
        // Deleting a machine proves its tasks gone, sooner than the expiry of its lease would.
        if self.silent.contains(name) {
            return Some(CordonReason::Silent);
        }
        // Tasks of earlier terms wait for machines without a heartbeat.
        if self.unreconciled.contains(name) {
            return Some(CordonReason::Unreconciled);
        }
        if self.boot_timed_out(machine) {
            return Some(CordonReason::BootTimeout);
        }
        if self.is_silent(machine) {
            return Some(CordonReason::Silent);
        }
        let interrupted =
            machine.interruption_at.is_some() && machine.has_reported && machine.is_empty();
        machine
            .cordon_reason
            .or_else(|| self.is_idle(name, machine).then_some(CordonReason::Idle))
            .or_else(|| interrupted.then_some(CordonReason::Interrupted))
    }

    /// Whether the machine may be deleted once it is cordoned. Tasks on a silent machine do not keep it.
    fn is_deletable(&self, name: &str, machine: &Machine) -> bool {
        self.silent.contains(name) || machine.is_empty()
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

    /// Whether the machine's lease expired so long ago that it is not expected back.
    fn is_silent(&self, machine: &Machine) -> bool {
        let silent_since = machine.last_response_at.max(self.resumed_at);
        let delay = if self.is_partitioned(machine) {
            constants::PARTITION_SCALE_IN_DELAY
        } else {
            constants::SILENT_SCALE_IN_DELAY
        };
        (machine.has_reported || machine.registered)
            && self.now >= silent_since + self.lease + delay
    }

    /// Whether the machine has had time enough to boot, without a heartbeat. One of the machine
    /// registry has been up.
    fn boot_timed_out(&self, machine: &Machine) -> bool {
        let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
        let boot_ms = machine_type.map_or(millis_f64(UNKNOWN_TYPE_BOOT), |t| t.boot_s * 1000.0);
        let timeout = Duration::from_millis((boot_ms * constants::BOOT_TIMEOUT_FACTOR) as u64)
            + constants::BOOT_TIMEOUT_MARGIN;
        !machine.has_reported
            && !machine.registered
            && self.now >= machine.created_at + timeout
            && self.now >= self.resumed_at + self.lease
    }
}

impl ClusterState {
    /// Cordons machines, and returns those to delete now.
    pub(super) fn machines_to_scale_in(
        &mut self,
        now: MonotonicTime,
        needed: &HashSet<&str>,
        partitioned: &HashSet<String>,
    ) -> Vec<String> {
        self.record_demand(now);
        let patience = self.max_heartbeat_interval() + constants::UNRECONCILED_SCALE_IN;
        let context = ScaleInContext {
            now,
            resumed_at: self.clocks.resumed_at,
            lease: longest_worker_lease(&self.config.platform),
            reconciled: self.reconciled(now),
            machine_types: &self.machine_types,
            idle_timeouts: self.idle_timeouts(),
            needed,
            partitioned,
            spares: self.spare_machines(now),
            silent: self.silent_machines(now, patience),
            unreconciled: self.unreconciled_to_delete(now, patience),
        };
        let mut surplus = Vec::new();
        for (name, machine) in &mut self.machines {
            machine.update_idle_since(now);
            if self.scaling_in.contains(name) {
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

    /// Machines without a heartbeat since the failover to delete now: none unless inherited jobs wait
    /// for them and the deletion gains time against the expiry of their leases. `patience` is the
    /// time for a worker to send a heartbeat, to try each controller with one that hangs among them,
    /// and to send another heartbeat with the new fencing token.
    fn unreconciled_to_delete(&self, now: MonotonicTime, patience: Duration) -> HashSet<String> {
        let inherited_waits = self
            .jobs
            .values()
            .any(|j| j.origin == JobOrigin::EarlierTerm && j.is_active() && !j.unplaced.is_empty());
        let leases_expire_at =
            self.reconciliation.last_answered_at + longest_worker_lease(&self.config.platform);
        let worthwhile = !self.reconciled(now)
            && inherited_waits
            && now + constants::UNRECONCILED_SCALE_IN_MIN_GAIN < leases_expire_at;
        if !worthwhile {
            return HashSet::new();
        }
        let overdue = now >= self.clocks.answering_since() + patience;
        self.unreconciled_lost_machines(|machine| {
            overdue || !machine.has_reported && machine.state_probe.is_unresponsive()
        })
    }

    /// How long a machine of each type may be idle.
    fn idle_timeouts(&self) -> HashMap<String, Duration> {
        let timeout = |t: &MachineType| (t.name.clone(), self.idle_timeout(t));
        self.machine_types.iter().map(timeout).collect()
    }

    /// How long a machine of this type may be idle. As in ski rental, keeping it costs as much as
    /// replacing it once it has been idle for as long as a new one takes to boot and to fetch an
    /// image, which is time paid for without work.
    fn idle_timeout(&self, machine_type: &MachineType) -> Duration {
        let sizes_gb: Vec<f64> = self.jobs.values().map(|job| job.spec.image_gb).collect();
        let mean_gb = if sizes_gb.is_empty() {
            0.0
        } else {
            sizes_gb.iter().sum::<f64>() / sizes_gb.len() as f64
        };
        let replacement_s = machine_type.boot_s + machine_type.fetch_s(mean_gb);
        let default_ms = (replacement_s * constants::IDLE_TIMEOUT_FACTOR * 1000.0) as u64;
        self.config.operator.idle_timeout.unwrap_or(Duration::from_millis(default_ms))
    }

    /// The cloud confirmed a deletion: the machines and all tasks on them are gone.
    pub fn scale_in_finished(&mut self, names: &[String], now: MonotonicTime) {
        for name in names {
            self.remove_machine(name, now);
        }
    }

    /// A deletion failed or its outcome is not known: it will be requested again.
    pub fn scale_in_failed(&mut self, names: &[String]) {
        for name in names {
            self.scaling_in.remove(name);
        }
    }
}
