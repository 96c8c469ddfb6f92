//! The scheduling snapshot: the jobs, machines and teams at one moment, as input of one scheduling round.

use crate::Resources;
use crate::resources::EPSILON;
use hookway_wire::{MachineType, Priority};

/// Minimum of a task time (s) and of the CPUs of a machine where they are a divisor, to prevent division by zero.
const MIN_DIVISOR: f64 = 0.1;

/// A job, as the policy sees it. Times are seconds since the caller's origin, durations are seconds.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Index of its team in [`SchedulingSnapshot::teams`].
    pub team: usize,
    /// Importance relative to other jobs: a job may preempt tasks of lower priority.
    pub priority: Priority,
    /// Whether the job is a gang: all tasks start together, or none does.
    pub is_gang: bool,
    /// Whether the job is a daemon: its tasks (replicas) run until the job is cancelled.
    pub is_daemon: bool,
    /// Number of tasks, completed ones included.
    pub tasks: u32,
    /// Resources that one task requests.
    pub request: Resources,
    /// Per machine type: whether the job allows it and a task fits on an empty machine of this type.
    pub machine_types: Vec<bool>,
    /// Index of the only zone that the job allows; `None` if it allows all. The index of a zone that does not exist
    /// matches no machine.
    pub zone: Option<usize>,
    /// Whether all tasks must be in the same zone.
    pub needs_one_zone: bool,
    /// Maximum number of tasks in one zone.
    pub max_tasks_per_zone: u32,
    /// Whether tasks may run on spot machines.
    pub allows_spot: bool,
    /// The caller's number for the job's image; equal numbers stand for the same image.
    pub image: u32,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Whether tasks write checkpoints and so keep their progress when they are stopped.
    pub writes_checkpoints: bool,
    /// Time that a stopped task takes to write a checkpoint, s; 0 if it writes none.
    pub checkpoint_time: f64,
    /// Time of submission, s.
    pub submitted: f64,
    /// Time by which the job should be complete, s: its own deadline, or the objective of its class. `None` without
    /// either.
    pub deadline: Option<f64>,
    /// Times by which the job should have started, s: the objectives of its class, tightest first.
    pub start_objectives: Vec<f64>,
    /// The team's estimate of a task's run time, s.
    pub estimated_task_time: f64,
    /// Number of completed tasks.
    pub completed: u32,
    /// Mean run time of the completed tasks whose run time is known, s; `None` until there is one.
    pub mean_task_time: Option<f64>,
    /// Number of tasks that are not completed, placed ones included.
    pub unfinished: u32,
    /// Number of tasks that are placed on some machine.
    pub placed: u32,
    /// Number of tasks that could be placed now.
    pub startable: u32,
    /// Whether the job has failed wherever it was tried. Such a job is retried only on resources that other jobs leave
    /// free, and preempts nothing.
    pub crash_looping: bool,
    /// Number of placed tasks per zone.
    pub placed_per_zone: Vec<u32>,
    /// Time since which tasks of the job have been waiting for resources, s.
    pub waiting_since: f64,
}

impl JobView {
    /// Whether all tasks should run at the same time, which is so for a gang and a daemon.
    pub fn needs_all_tasks_at_once(&self) -> bool {
        self.is_gang || self.is_daemon
    }

    /// Whether no task of the job has completed or is placed.
    pub fn has_never_run(&self) -> bool {
        self.completed == 0 && self.placed == 0
    }

    /// Returns the mean task time, s, or the team's estimate while no mean is known.
    pub fn task_time(&self) -> f64 {
        self.mean_task_time.unwrap_or(self.estimated_task_time).max(MIN_DIVISOR)
    }

    /// Whether the job allows machines of this type in this zone, and spot machines if `is_spot` is set.
    pub fn allows(&self, machine_type: usize, zone: usize, is_spot: bool) -> bool {
        self.machine_types.get(machine_type).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.allows_spot || !is_spot)
    }

    /// Returns the number of placed tasks in a zone.
    pub fn placed_in(&self, zone: usize) -> u32 {
        self.placed_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether one more task may be placed in this zone, given the zones of the placed tasks.
    pub fn may_use_zone(&self, zone: usize) -> bool {
        if self.placed_in(zone) >= self.max_tasks_per_zone {
            return false;
        }
        let mut zones = self.placed_per_zone.iter().enumerate();
        !self.needs_one_zone || zones.all(|(other, placed)| other == zone || *placed == 0)
    }
}

/// A task that is placed on a machine. Preemption and relocation choose among these.
#[derive(Debug, Clone)]
pub struct PlacedTaskView {
    /// The caller's identifier of the task, unique on its machine; the policy returns it in
    /// [`PlacedTaskRef`](crate::PlacedTaskRef).
    pub id: u64,
    /// Index of its job.
    pub job: usize,
    /// Resources that it requests.
    pub request: Resources,
    /// Time that the task has been running, s; 0 before it runs.
    pub running_time: f64,
    /// Whether the task is being stopped already, so that its resources become free soon.
    pub terminating: bool,
}

/// A machine, as the policy sees it.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Index of its machine type.
    pub machine_type: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub is_spot: bool,
    /// All resources of the machine, used or not.
    pub capacity: Resources,
    /// Resources that are neither used by a placed task nor held for one.
    pub free: Resources,
    /// Price of the machine per hour.
    pub price: f64,
    /// Numbers of the images in the machine's cache, as far as the leader knows ([`JobView::image`]).
    pub images: Vec<u32>,
    /// Whether the machine may get new tasks.
    pub schedulable: bool,
    /// Whether the machine has not sent a heartbeat yet. Such a machine counts when the fleet is sized, but gets no
    /// tasks.
    pub booting: bool,
    /// Indexes of jobs that failed on this machine and should not be retried on it.
    pub excluded_jobs: Vec<usize>,
    /// Index of the only job that may use the machine; `None` if it is not reserved. An index that is not in
    /// [`SchedulingSnapshot::jobs`] keeps all of these jobs off the machine.
    pub reserved_for: Option<usize>,
    /// Tasks on the machine, terminating ones included.
    pub placed_tasks: Vec<PlacedTaskView>,
}

impl MachineView {
    /// Returns the price of one CPU per hour.
    pub fn cpu_price(&self) -> f64 {
        self.price / self.capacity.cpus.max(MIN_DIVISOR)
    }

    /// Returns the resources that are free once all terminating tasks have ended.
    pub(crate) fn free_after_terminations(&self) -> Resources {
        let mut free = self.free;
        for task in self.placed_tasks.iter().filter(|task| task.terminating) {
            free.add(&task.request);
        }
        free
    }

    /// Whether reservations, exclusions and the constraints of the job permit its tasks on this machine, regardless of
    /// free resources.
    pub(crate) fn eligible_for(&self, job_index: usize, job: &JobView) -> bool {
        self.reserved_for.is_none_or(|reserved| reserved == job_index)
            && !self.excluded_jobs.contains(&job_index)
            && job.allows(self.machine_type, self.zone, self.is_spot)
    }
}

/// The CPUs and GPUs of a guarantee or a limit; 0 stands for no guarantee or no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quota {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
}

/// The usage and the quotas of a team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// Resources of the team's placed tasks, and those reserved for the team's other tasks.
    pub used: Resources,
    /// Resources that the team gets back by preemption when other teams use them.
    pub guarantee: Quota,
    /// Maximum resources that the team may use.
    pub limit: Quota,
}

impl TeamView {
    /// Returns how many more tasks with this request the limit allows.
    pub fn remaining_tasks(&self, request: &Resources) -> u32 {
        let left = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
        Resources {
            cpus: left(self.limit.cpus, self.used.cpus),
            gpus: left(self.limit.gpus, self.used.gpus),
            memory_gb: f64::INFINITY,
        }
        .max_tasks(request)
    }

    /// Whether the team has a guarantee of CPUs or GPUs.
    pub fn has_guarantee(&self) -> bool {
        self.guarantee.cpus > 0.0 || self.guarantee.gpus > 0.0
    }

    /// Whether the team uses more CPUs or GPUs than its guarantee.
    pub fn exceeds_guarantee(&self) -> bool {
        self.used.cpus > self.guarantee.cpus + EPSILON
            || self.used.gpus > self.guarantee.gpus + EPSILON
    }

    /// Whether the team has a guarantee of CPUs and would stay within its guarantee if it used `more` resources.
    pub fn guarantee_covers(&self, more: &Resources) -> bool {
        self.guarantee.cpus > 0.0
            && self.used.cpus + more.cpus <= self.guarantee.cpus + EPSILON
            && self.used.gpus + more.gpus <= self.guarantee.gpus + EPSILON
    }
}

/// The scheduling snapshot: the cluster at one moment. Other types refer to jobs, machines, teams and machine types by
/// their index here.
#[derive(Debug, Clone, Default)]
pub struct SchedulingSnapshot {
    /// Time of the snapshot, s since the caller's origin.
    pub now: f64,
    /// The lowest current price per hour of one CPU, over all machine types; 0 if unknown.
    pub cheapest_cpu_price: f64,
    /// Per class of gangs seen recently: the resources that one task requests.
    pub gang_requests: Vec<Resources>,
    /// Jobs that have not ended, and completed or cancelled ones that still have tasks on machines.
    pub jobs: Vec<JobView>,
    /// Machines whose type and zone are known.
    pub machines: Vec<MachineView>,
    /// Teams with their usage and quotas.
    pub teams: Vec<TeamView>,
    /// Machine types that the cloud offers.
    pub machine_types: Vec<MachineType>,
}

impl SchedulingSnapshot {
    /// Returns the time to fetch a job's image to a machine, s; 0 if the machine holds it, as far as the leader knows.
    pub(crate) fn fetch_time(&self, job: &JobView, machine: &MachineView) -> f64 {
        if machine.images.contains(&job.image) {
            return 0.0;
        }
        let machine_type = self.machine_types.get(machine.machine_type);
        machine_type.map_or(0.0, |machine_type| machine_type.image_fetch_s(job.image_gb))
    }

    /// Returns the length of a list with an entry for each zone: the highest zone index of all machines plus one, or 0
    /// without machines.
    pub(crate) fn zone_count(&self) -> usize {
        self.machines.iter().map(|machine| machine.zone + 1).max().unwrap_or(0)
    }
}
