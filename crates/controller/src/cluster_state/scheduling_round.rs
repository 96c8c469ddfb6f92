//! The scheduling round: stops tasks that must not go on, places tasks, and preempts others for
//! tasks that no machine has free resources for.

use super::snapshot::IndexedSnapshot;
use super::{ClusterState, JobKey, MachineReservation};
use hookway_constants as constants;
use hookway_policy::{PlacedTaskRef, QueueEntry, QuotaReservation, min_tasks, place, preempt};
use hookway_time::MonotonicTime;
use std::collections::HashSet;
use std::time::Duration;

/// Lower bound of the CPU share available to rounds, to avoid a division by zero.
const MIN_CORE_SHARE: f64 = 0.001;

/// Tasks of a job that the last round found no free resources for.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnplacedDemand {
    /// Key of the job that the tasks belong to.
    pub job: JobKey,
    /// Number of tasks that heartbeats may still place before the next round.
    pub tasks: u32,
    /// Whether the tasks are placed as backfill only: they exceed the job's minimum task count, or
    /// belong to a job without an objective. `false` for entries of aged and of crash-looping jobs,
    /// even without an objective (see [`QueueEntry::is_backfill`]).
    pub is_backfill: bool,
}

/// Results of the last scheduling round that placement at heartbeats uses until the next one.
#[derive(Debug, Default)]
pub(super) struct LastRound {
    /// When the round took place; [`MonotonicTime::ZERO`] before the first one.
    pub at: MonotonicTime,
    /// Tasks that were not placed for lack of free resources, in the order of the scheduling queue.
    pub unplaced: Vec<UnplacedDemand>,
    /// Parts of teams' quotas that are reserved for waiting gangs.
    pub quota_reservations: Vec<QuotaReservation>,
    /// Names of the machines reserved for a job that tasks were preempted for, or for a waiting
    /// gang.
    pub reserved_machines: HashSet<String>,
}

impl ClusterState {
    /// Returns the minimum interval between two rounds: the estimated CPU time of a round, divided
    /// by the share of a core that rounds may use, within fixed bounds.
    pub fn round_interval(&self) -> Duration {
        let machines = self.machines.len() as f64;
        let waiting_jobs =
            self.jobs.values().filter(|j| j.is_active() && !j.placeable.is_empty()).count() as f64;
        let per_machine_us =
            constants::ROUND_COST_PER_MACHINE_US + waiting_jobs * constants::ROUND_COST_PER_PAIR_US;
        let cost_ms = machines * per_machine_us / 1000.0;
        let share = self.config.platform.machine_limits.core_share * constants::ROUND_CORE_SHARE;
        Duration::from_millis((cost_ms / share.max(MIN_CORE_SHARE)) as u64)
            .clamp(constants::HEARTBEAT_ROUND_INTERVAL, constants::MAX_ROUND_INTERVAL)
    }

    /// Runs one scheduling round at `now`.
    pub fn scheduling_round(&mut self, now: MonotonicTime) {
        self.last_round.at = now;
        self.expire_leases(now);
        self.end_reconciliation_if_due(now);
        self.admit_machines(now);
        self.repair_gangs(now);
        self.drain_machines(now);
        self.restart_stuck_tasks(now);
        self.clear_failures_of_stable_daemons(now);
        self.release_reservations(now);
        self.advance_relocations(now);
        if self.jobs.is_empty() || self.machine_types.is_empty() {
            return;
        }
        let mut snapshot = self.scheduling_snapshot(now);
        self.update_min_tasks(&snapshot);
        self.last_round.unplaced.clear();
        self.last_round.quota_reservations.clear();
        self.last_round.reserved_machines.clear();
        if snapshot.cluster.jobs.iter().any(|job| job.startable > 0) {
            self.place_startable_tasks(&mut snapshot, now);
            self.preempt_for_unplaced_tasks(&snapshot, now);
        }
    }

    /// Allows every known machine to take new tasks for the length of a shard lease.
    fn admit_machines(&mut self, now: MonotonicTime) {
        let until = now + self.config.operator.shard_lease_length;
        for machine in self.machines.values_mut() {
            machine.admit(until);
        }
    }

    /// Updates the minimum task counts of the jobs with a deadline and a known mean task time.
    fn update_min_tasks(&mut self, snapshot: &IndexedSnapshot) {
        for (key, job) in snapshot.job_keys.iter().zip(&snapshot.cluster.jobs) {
            if job.deadline.is_some() && job.mean_task_time.is_some() {
                self.set_min_tasks(*key, min_tasks(job, snapshot.cluster.now));
            }
        }
    }

    /// Places the tasks that free resources suffice for, and keeps the other ones and the
    /// reservations of the round for placement at heartbeats.
    fn place_startable_tasks(&mut self, snapshot: &mut IndexedSnapshot, now: MonotonicTime) {
        let placed = place(&mut snapshot.cluster);
        let unplaced = |entry: &QueueEntry| UnplacedDemand {
            job: snapshot.job_keys[entry.job],
            tasks: entry.tasks,
            is_backfill: entry.is_backfill,
        };
        self.last_round.unplaced = placed.unplaced.iter().map(unplaced).collect();
        self.last_round.quota_reservations = placed.quota_reservations;
        for (name, machine) in snapshot.machine_names.iter().zip(&snapshot.cluster.machines) {
            if machine.reserved_for.is_some() {
                self.last_round.reserved_machines.insert(name.clone());
            }
        }
        for placement in placed.placements {
            let names = placement.machines.iter().map(|i| snapshot.machine_names[*i].clone());
            let machines: Vec<String> = names.collect();
            self.place_tasks(snapshot.job_keys[placement.job], &machines, now);
        }
    }

    /// Preempts tasks for jobs that lack free resources, and reserves the machines of the
    /// victims for those jobs. Where preemption is not enough, relocations begin.
    fn preempt_for_unplaced_tasks(&mut self, snapshot: &IndexedSnapshot, now: MonotonicTime) {
        let until = now + constants::PREEMPTED_MACHINE_RESERVATION;
        let preemptions = preempt(&snapshot.cluster);
        for preemption in &preemptions {
            let job = snapshot.job_keys[preemption.job];
            for machine in &preemption.machines {
                if let Some(machine) = self.machines.get_mut(&snapshot.machine_names[*machine]) {
                    machine.reservation = Some(MachineReservation { job, until });
                }
            }
            for PlacedTaskRef { machine, task } in &preemption.victims {
                let name = &snapshot.machine_names[*machine];
                self.preempt_task(name, *task as usize, job, now);
            }
        }
        self.begin_relocations(snapshot, &preemptions, now);
    }
}
