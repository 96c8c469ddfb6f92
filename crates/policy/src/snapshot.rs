use crate::Resources;
use hookway_wire::{MachineType, Priority};

/// What the policy knows of a job.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Index of its team.
    pub team: usize,
    /// Priority.
    pub priority: Priority,
    /// A gang starts whole or not at all.
    pub gang: bool,
    /// Its tasks run until it is cancelled: all of them are wanted all the time.
    pub daemon: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    pub request: Resources,
    /// Per machine type: whether a task may run on it.
    pub machine_types: Vec<bool>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone.
    pub max_tasks_per_zone: u32,
    /// Spot machines are allowed.
    pub spot: bool,
    /// Number that stands for its image.
    pub image: u32,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Tasks keep progress when stopped.
    pub checkpoints: bool,
    /// Time that a stopped task takes to save, s; 0 if it does not.
    pub checkpoint_time: f64,
    /// When it was submitted, s.
    pub submitted: f64,
    /// When it should be complete, s: its own deadline, or what the aims say of its class.
    pub deadline: Option<f64>,
    /// When it should have started, s: what the aims say of its class, tightest first.
    pub start_by: Vec<f64>,
    /// Owner's estimate of a task's time, s.
    pub estimated_task_time: f64,
    /// Tasks that are finished.
    pub completed: u32,
    /// Mean time of those whose time is known, s; `None` until one has finished.
    pub mean_task_time: Option<f64>,
    /// Tasks that are not finished.
    pub unfinished: u32,
    /// Tasks that hold a place on some machine.
    pub placed: u32,
    /// Tasks that could be placed now.
    pub startable: u32,
    /// It fails wherever it was tried: it is tried again with what is left, and nothing makes room for
    /// it.
    pub crash_looping: bool,
    /// Tasks that hold a place, per zone.
    pub placed_per_zone: Vec<u32>,
    /// Since when tasks of it have been waiting for room, s.
    pub waiting_since: f64,
}

impl JobView {
    /// Whether all its tasks are wanted at the same time: of a gang, and of a daemon.
    pub fn needs_all_tasks_at_once(&self) -> bool {
        self.gang || self.daemon
    }

    /// Whether nothing of it has run or runs.
    pub fn has_never_run(&self) -> bool {
        self.completed == 0 && self.placed == 0
    }

    /// Mean task time, or the team's estimate as a prior.
    pub fn task_time(&self) -> f64 {
        self.mean_task_time.unwrap_or(self.estimated_task_time).max(0.1)
    }

    /// Whether a machine of this type, zone and kind is allowed at all.
    pub fn allows(&self, machine_type: usize, zone: usize, spot: bool) -> bool {
        self.machine_types.get(machine_type).copied().unwrap_or(false)
            && self.zone.is_none_or(|y| y == zone)
            && (self.spot || !spot)
    }

    /// Whether one more task may be in this zone, given where the others are.
    pub fn may_use_zone(&self, zone: usize) -> bool {
        let here = self.placed_per_zone.get(zone).copied().unwrap_or(0);
        if here >= self.max_tasks_per_zone {
            return false;
        }
        !self.one_zone || self.placed_per_zone.iter().enumerate().all(|(z, n)| z == zone || *n == 0)
    }
}

/// A task on a machine, as far as making room is concerned.
#[derive(Debug, Clone)]
pub struct PlacedTaskView {
    /// The caller's number for it.
    pub id: u64,
    /// Its job.
    pub job: usize,
    /// What it takes.
    pub request: Resources,
    /// How long it has been running, s.
    pub elapsed: f64,
    /// It is being stopped already, so its room comes free soon.
    pub terminating: bool,
}

/// What the policy knows of a machine.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Machine type.
    pub machine_type: usize,
    /// Zone.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// All it has.
    pub total: Resources,
    /// What is free.
    pub free: Resources,
    /// Its price per hour.
    pub price: f64,
    /// Images that it is thought to hold.
    pub images: Vec<u32>,
    /// Takes new tasks.
    pub schedulable: bool,
    /// Still booting: counts for the fleet, not for placement.
    pub booting: bool,
    /// Jobs that failed here and should not be tried here again.
    pub excluded_by: Vec<usize>,
    /// Kept for this job.
    pub reserved_for: Option<usize>,
    /// What is on it.
    pub placed_tasks: Vec<PlacedTaskView>,
}

impl MachineView {
    /// Price per hour of one CPU.
    pub fn cpu_price(&self) -> f64 {
        self.price / self.total.cpus.max(0.1)
    }
}

/// A team's use and bounds.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// What its tasks hold.
    pub used: Resources,
    /// Guaranteed CPUs and GPUs (0: none).
    pub guarantee: (f64, f64),
    /// Most CPUs and GPUs (0: no limit).
    pub limit: (f64, f64),
}

impl TeamView {
    /// How many more tasks the limit allows.
    pub fn remaining_tasks(&self, need: &Resources) -> u32 {
        let left = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
        Resources {
            cpus: left(self.limit.0, self.used.cpus),
            gpus: left(self.limit.1, self.used.gpus),
            memory_gb: f64::INFINITY,
        }
        .capacity_for(need)
    }

    /// Whether it uses more than it is guaranteed.
    pub fn exceeds_guarantee(&self) -> bool {
        self.used.cpus > self.guarantee.0 + 1e-6 || self.used.gpus > self.guarantee.1 + 1e-6
    }

    /// Whether `more` still lies within the guarantee.
    pub fn guarantee_covers(&self, more: &Resources) -> bool {
        self.guarantee.0 > 0.0
            && self.used.cpus + more.cpus <= self.guarantee.0 + 1e-6
            && self.used.gpus + more.gpus <= self.guarantee.1 + 1e-6
    }
}

/// Everything that a decision looks at.
#[derive(Debug, Clone, Default)]
pub struct ClusterSnapshot {
    /// Now, s.
    pub now: f64,
    /// The lowest current price per hour of one CPU, on any machine type; 0 if unknown.
    pub cheapest_cpu_price: f64,
    /// What a task takes of each class of gangs that was seen of late.
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
