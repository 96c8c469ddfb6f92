//! What a decision is based on: jobs, machines and teams at one moment.

use crate::Resources;
use crate::resources::EPSILON;
use hookway_wire::{MachineType, Priority};

/// Lower bound of a task time and of the CPUs of a machine, so that neither divides by zero.
const SMALLEST_DIVISOR: f64 = 0.1;

/// A job, as the policy sees it. Times are seconds on the caller's scale.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Index of its team.
    pub team: usize,
    /// Priority.
    pub priority: Priority,
    /// A gang: all tasks start together or none does.
    pub gang: bool,
    /// A daemon: its tasks (replicas) run until it is cancelled.
    pub daemon: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// The request of one task.
    pub request: Resources,
    /// Per machine type: whether a task may run on it.
    pub machine_types: Vec<bool>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// All tasks must be in one zone.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone.
    pub max_tasks_per_zone: u32,
    /// Spot instances are allowed.
    pub spot: bool,
    /// Number of its image.
    pub image: u32,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Tasks write checkpoints, and keep their progress when they are stopped.
    pub checkpoints: bool,
    /// Time that a stopped task takes to write a checkpoint, s; 0 if it writes none.
    pub checkpoint_time: f64,
    /// When it was submitted, s.
    pub submitted: f64,
    /// When it should be complete, s: its own deadline, or the objective of its class.
    pub deadline: Option<f64>,
    /// When it should have started, s: the objectives of its class, tightest first.
    pub start_by: Vec<f64>,
    /// The team's estimate of a task's run time, s.
    pub estimated_task_time: f64,
    /// Completed tasks.
    pub completed: u32,
    /// Mean run time of completed tasks whose run time is known, s; `None` until there is one.
    pub mean_task_time: Option<f64>,
    /// Tasks that are not completed.
    pub unfinished: u32,
    /// Tasks that are placed on some machine.
    pub placed: u32,
    /// Tasks that could be placed now.
    pub startable: u32,
    /// It has failed on every machine that ran it: it is retried on leftover resources only, and preempts nothing.
    pub crash_looping: bool,
    /// Placed tasks per zone.
    pub placed_per_zone: Vec<u32>,
    /// Since when tasks of it have been waiting for resources, s.
    pub waiting_since: f64,
}

impl JobView {
    /// Whether all its tasks are wanted at the same time, as those of a gang or a daemon are.
    pub fn needs_all_tasks_at_once(&self) -> bool {
        self.gang || self.daemon
    }

    /// Whether no task of it has run or is placed.
    pub fn has_never_run(&self) -> bool {
        self.completed == 0 && self.placed == 0
    }

    /// Mean task time, s, or the team's estimate until a task has finished.
    pub fn task_time(&self) -> f64 {
        self.mean_task_time.unwrap_or(self.estimated_task_time).max(SMALLEST_DIVISOR)
    }

    /// Whether the job allows machines of this type, zone and kind.
    pub fn allows(&self, machine_type: usize, zone: usize, spot: bool) -> bool {
        self.machine_types.get(machine_type).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.spot || !spot)
    }

    /// Placed tasks in a zone.
    pub fn placed_in(&self, zone: usize) -> u32 {
        self.placed_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether one more task may be placed in this zone, given where the others are.
    pub fn may_use_zone(&self, zone: usize) -> bool {
        if self.placed_in(zone) >= self.max_tasks_per_zone {
            return false;
        }
        let mut zones = self.placed_per_zone.iter().enumerate();
        !self.one_zone || zones.all(|(other, placed)| other == zone || *placed == 0)
    }
}

/// A task on a machine, as far as preemption is concerned.
#[derive(Debug, Clone)]
pub struct PlacedTaskView {
    /// Identifies the task to the caller; the policy only returns it.
    pub id: u64,
    /// Index of its job.
    pub job: usize,
    /// Its request.
    pub request: Resources,
    /// How long it has been running, s.
    pub elapsed: f64,
    /// It is being stopped already, so its resources become free soon.
    pub terminating: bool,
}

/// A machine, as the policy sees it.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Index of its machine type.
    pub machine_type: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Spot instance.
    pub spot: bool,
    /// All resources that it has.
    pub total: Resources,
    /// Free resources.
    pub free: Resources,
    /// Its price per hour.
    pub price: f64,
    /// Images that it holds, as far as the leader knows.
    pub images: Vec<u32>,
    /// May take new tasks.
    pub schedulable: bool,
    /// Still booting: counts for the fleet, not for placement.
    pub booting: bool,
    /// Jobs that failed here and should not be retried here.
    pub excluded_by: Vec<usize>,
    /// Reserved for this job.
    pub reserved_for: Option<usize>,
    /// Tasks placed on it.
    pub placed_tasks: Vec<PlacedTaskView>,
}

impl MachineView {
    /// Price per hour of one CPU.
    pub fn cpu_price(&self) -> f64 {
        self.price / self.total.cpus.max(SMALLEST_DIVISOR)
    }

    /// What is free once the tasks that are being stopped are gone.
    pub(crate) fn free_after_terminations(&self) -> Resources {
        let mut free = self.free;
        for task in self.placed_tasks.iter().filter(|task| task.terminating) {
            free.add(&task.request);
        }
        free
    }

    /// Whether the machine may take tasks of a job, as far as reservations, exclusions and the job's own constraints
    /// go.
    pub(crate) fn eligible_for(&self, job_index: usize, job: &JobView) -> bool {
        self.reserved_for.is_none_or(|reserved| reserved == job_index)
            && !self.excluded_by.contains(&job_index)
            && job.allows(self.machine_type, self.zone, self.spot)
    }
}

/// CPUs and GPUs of a guarantee or a limit; 0 means none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quota {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

/// The usage and the quotas of a team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// Resources of its placed tasks.
    pub used: Resources,
    /// Guaranteed resources.
    pub guarantee: Quota,
    /// Maximum resources.
    pub limit: Quota,
}

impl TeamView {
    /// How many more tasks with this request the limit allows.
    pub fn remaining_tasks(&self, request: &Resources) -> u32 {
        let left = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
        Resources {
            cpus: left(self.limit.cpus, self.used.cpus),
            gpus: left(self.limit.gpus, self.used.gpus),
            memory_gb: f64::INFINITY,
        }
        .capacity_for(request)
    }

    /// Whether the team has any guarantee.
    pub fn has_guarantee(&self) -> bool {
        self.guarantee.cpus > 0.0 || self.guarantee.gpus > 0.0
    }

    /// Whether it uses more than its guarantee.
    pub fn exceeds_guarantee(&self) -> bool {
        self.used.cpus > self.guarantee.cpus + EPSILON
            || self.used.gpus > self.guarantee.gpus + EPSILON
    }

    /// Whether `more` would still lie within the guarantee.
    pub fn guarantee_covers(&self, more: &Resources) -> bool {
        self.guarantee.cpus > 0.0
            && self.used.cpus + more.cpus <= self.guarantee.cpus + EPSILON
            && self.used.gpus + more.gpus <= self.guarantee.gpus + EPSILON
    }
}

/// The cluster at one moment.
#[derive(Debug, Clone, Default)]
pub struct ClusterSnapshot {
    /// The time, s.
    pub now: f64,
    /// The lowest current price per hour of one CPU, over all machine types; 0 if unknown.
    pub cheapest_cpu_price: f64,
    /// The request of a task of each class of gangs seen recently.
    pub gang_requests: Vec<Resources>,
    /// Unfinished jobs.
    pub jobs: Vec<JobView>,
    /// Machines.
    pub machines: Vec<MachineView>,
    /// Teams.
    pub teams: Vec<TeamView>,
    /// Machine types.
    pub machine_types: Vec<MachineType>,
}

impl ClusterSnapshot {
    /// Time until a machine has a job's image, s; 0 if it holds it, as far as the leader knows.
    pub(crate) fn fetch_time(&self, job: &JobView, machine: &MachineView) -> f64 {
        if machine.images.contains(&job.image) {
            return 0.0;
        }
        let machine_type = self.machine_types.get(machine.machine_type);
        machine_type.map_or(0.0, |machine_type| machine_type.fetch_s(job.image_gb))
    }

    /// Number of zones that have machines.
    pub(crate) fn zone_count(&self) -> usize {
        self.machines.iter().map(|machine| machine.zone + 1).max().unwrap_or(0)
    }
}
