//! The scheduling snapshot: jobs, machines and teams as input of the scheduling policy.

use super::{ClusterState, Job, JobKey, Machine, PlacedTask};
use hookway_policy::{
    JobView, MachineView, PlacedTaskView, Quota, Resources, SchedulingSnapshot, TeamView,
};
use hookway_time::{MonotonicTime, seconds_f64};
use hookway_wire::PurchaseOption;
use std::collections::HashMap;

/// Lower bound of the CPUs of a machine type, to avoid a division by zero.
const MIN_CPUS: f64 = 0.1;

/// A scheduling snapshot for the policy, with the keys and names that its indexes refer to.
pub(super) struct IndexedSnapshot {
    /// Input of the policy; it refers to jobs and machines by index.
    pub cluster: SchedulingSnapshot,
    /// Key of each job, by job index.
    pub job_keys: Vec<JobKey>,
    /// Name of each machine, by machine index.
    pub machine_names: Vec<String>,
}

/// The unused part of a machine.
pub(super) struct FreeResources {
    /// Capacity less the requests of placed tasks of known jobs and less what relocations hold.
    pub free: Resources,
    /// Some placed task belongs to no known job, so what it uses is unknown and not subtracted.
    pub has_unknown_tasks: bool,
}

impl ClusterState {
    /// Returns what is left of a machine's `capacity` after its placed tasks and the resources that
    /// relocations hold on it.
    pub(super) fn free_resources(
        &self,
        name: &str,
        machine: &Machine,
        capacity: Resources,
    ) -> FreeResources {
        let mut free = capacity;
        free.subtract(&self.resources_held_on(name));
        let mut has_unknown_tasks = false;
        for placed in &machine.placed_tasks {
            match placed.job.and_then(|key| self.jobs.get(&key)) {
                Some(job) => free.subtract(&job.request),
                None => has_unknown_tasks = true,
            }
        }
        FreeResources { free, has_unknown_tasks }
    }

    /// Creates the scheduling snapshot at `now`. Jobs whose end is durable are left out once they
    /// have no task on a machine, and machines while their type or zone is unknown.
    pub(super) fn scheduling_snapshot(&self, now: MonotonicTime) -> IndexedSnapshot {
        let mut job_indexes: HashMap<JobKey, usize> = HashMap::new();
        let mut job_keys = Vec::new();
        let mut jobs = Vec::new();
        for (key, job) in self.jobs.iter() {
            if job.completion.is_final() && job.placed_attempts == 0 {
                continue;
            }
            job_indexes.insert(*key, jobs.len());
            job_keys.push(*key);
            jobs.push(self.job_view(job, self.startable_task_count(job, now)));
        }
        let (machine_names, machines) = self
            .machines
            .iter()
            .filter_map(|(name, machine)| {
                Some((name.clone(), self.machine_view(name, machine, &job_indexes, now)?))
            })
            .unzip();
        let cluster = SchedulingSnapshot {
            now: now.as_seconds_f64(),
            cheapest_cpu_price: self.cheapest_cpu_price(),
            gang_requests: self
                .classes
                .values()
                .filter(|c| c.is_gang_class)
                .map(|c| c.request)
                .collect(),
            jobs,
            machines,
            teams: self.team_views(),
            machine_types: self.machine_types.clone(),
        };
        IndexedSnapshot { cluster, job_keys, machine_names }
    }

    /// Returns the lowest hourly price of a CPU, on demand or spot; 0 if there is no machine type.
    fn cheapest_cpu_price(&self) -> f64 {
        let cheapest = self
            .machine_types
            .iter()
            .flat_map(|machine_type| {
                let prices = [Some(machine_type.price_per_hour), machine_type.spot_price];
                prices.map(|price| price.map(|price| price / machine_type.cpus.max(MIN_CPUS)))
            })
            .flatten()
            .fold(f64::INFINITY, f64::min);
        if cheapest.is_finite() { cheapest } else { 0.0 }
    }

    /// Returns the quotas and the usage of each team. Usage includes replicas that a relocation has
    /// stopped and not started again yet.
    pub(super) fn team_views(&self) -> Vec<TeamView> {
        let mut teams: Vec<TeamView> = self
            .config
            .platform
            .teams
            .iter()
            .map(|team| TeamView {
                used: Resources::default(),
                guarantee: Quota { cpus: team.guaranteed_cpus, gpus: team.guaranteed_gpus },
                limit: Quota { cpus: team.max_cpus, gpus: team.max_gpus },
            })
            .collect();
        for job in self.jobs.values() {
            if let Some(team) = teams.get_mut(job.team) {
                team.used.add(&job.request.times(job.placed_attempts));
            }
        }
        for (team, request) in self.quota_of_moving_replicas() {
            if let Some(team) = teams.get_mut(team) {
                team.used.add(&request);
            }
        }
        teams
    }

    /// Returns the policy's view of a job that has `startable` tasks to place.
    pub(super) fn job_view(&self, job: &Job, startable: u32) -> JobView {
        let machine_types = self
            .machine_types
            .iter()
            .map(|offered| {
                let allowed = job.spec.machine_types.as_ref();
                allowed.is_none_or(|names| names.contains(&offered.name))
                    && Resources::of_machine_type(offered).can_hold(&job.request)
            })
            .collect();
        // A zone that is not in the settings must match no machine.
        let zone = job.spec.zone.as_ref();
        let zone = zone.map(|name| self.config.platform.zone(name).unwrap_or(usize::MAX));
        JobView {
            team: job.team,
            priority: job.spec.priority,
            is_gang: job.spec.is_gang(),
            is_daemon: job.spec.is_daemon(),
            tasks: job.spec.tasks,
            request: job.request,
            machine_types,
            zone,
            needs_one_zone: job.spec.needs_one_zone,
            max_tasks_per_zone: job.spec.max_tasks_per_zone(),
            allows_spot: job.spec.allows_spot,
            image: job.image,
            image_gb: job.spec.image_gb,
            writes_checkpoints: job.spec.writes_checkpoints(),
            checkpoint_time: if job.spec.writes_checkpoints() {
                job.spec.checkpoint_write_s
            } else {
                0.0
            },
            submitted: job.submitted_s,
            deadline: job.deadline_s,
            start_objectives: job.start_by_s.clone(),
            estimated_task_time: job.spec.estimated_run_time_s,
            completed: job.completed,
            mean_task_time: job.run_times.mean_ms().map(|ms| ms / 1000.0),
            unfinished: job.unfinished(),
            placed: job.placed_attempts,
            startable,
            crash_looping: job.is_crash_looping(),
            placed_per_zone: job.placed_per_zone.clone(),
            waiting_since: job.waiting_since.as_seconds_f64(),
        }
    }

    /// Returns the policy's view of a machine; `None` if its type or zone is unknown.
    fn machine_view(
        &self,
        name: &str,
        machine: &Machine,
        job_indexes: &HashMap<JobKey, usize>,
        now: MonotonicTime,
    ) -> Option<MachineView> {
        let machine_type =
            self.machine_types.iter().position(|t| t.name == machine.machine_type)?;
        let zone = self.config.platform.zone(&machine.zone)?;
        let capacity = Resources::of_machine_type(&self.machine_types[machine_type]);
        let FreeResources { free, has_unknown_tasks } =
            self.free_resources(name, machine, capacity);
        let takes_no_tasks = machine.is_draining() || has_unknown_tasks;
        let placed_tasks = machine
            .placed_tasks
            .iter()
            .enumerate()
            .filter_map(|(i, placed)| self.placed_task_view(i as u64, placed, job_indexes, now))
            .collect();
        let excluded_jobs = machine
            .failed_jobs
            .iter()
            .filter(|key| {
                let job = self.jobs.get(key);
                job.is_some_and(|job| job.excludes_machine(name, self.machines.len()))
            })
            .filter_map(|key| job_indexes.get(key).copied())
            .collect();
        Some(MachineView {
            machine_type,
            zone,
            is_spot: machine.is_spot,
            capacity,
            free,
            price: self.machine_types[machine_type]
                .price(PurchaseOption::from_spot(machine.is_spot)),
            images: machine.images.iter().map(|cached| cached.image).collect(),
            schedulable: !takes_no_tasks
                && self.is_sending_heartbeats(machine, now)
                && now >= machine.backoff_until
                && !self.reconciliation.machines.contains(name)
                && machine.is_admitted(now),
            booting: !machine.has_reported && !takes_no_tasks,
            excluded_jobs,
            reserved_for: machine
                .reservation
                .map(|r| job_indexes.get(&r.job).copied().unwrap_or(usize::MAX)),
            placed_tasks,
        })
    }

    /// Returns the policy's view of a placed task, with `id` as its position on the machine; `None`
    /// if its job is not in the snapshot.
    fn placed_task_view(
        &self,
        id: u64,
        placed: &PlacedTask,
        job_indexes: &HashMap<JobKey, usize>,
        now: MonotonicTime,
    ) -> Option<PlacedTaskView> {
        let key = placed.job?;
        let job = self.jobs.get(&key)?;
        let running_s = placed
            .running_since
            .map_or(0.0, |since| seconds_f64(now.saturating_duration_since(since)));
        Some(PlacedTaskView {
            id,
            job: *job_indexes.get(&key)?,
            request: job.request,
            running_time: running_s,
            terminating: placed.orphaned || placed.stop_order.is_some() || !job.is_active(),
        })
    }
}
