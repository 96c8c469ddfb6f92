//! Amounts of resources, which machines have and tasks request.

use hookway_wire::{JobSpec, MachineType};
use serde::{Deserialize, Serialize};

/// Tolerance of comparisons between amounts, so that rounding errors in sums of decimals don't reject an exact fit.
pub(crate) const EPSILON: f64 = 1e-6;

/// An amount of each resource: what a machine has, or what a task requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPUs; fractions are possible.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "ram")]
    pub memory_gb: f64,
}

impl Resources {
    /// Returns the request of one task of a job.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Returns the capacity of a machine of this type.
    pub fn of_machine_type(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// Whether this amount can hold `request`, with a small tolerance.
    pub fn can_hold(&self, request: &Self) -> bool {
        request.cpus <= self.cpus + EPSILON
            && request.gpus <= self.gpus + EPSILON
            && request.memory_gb <= self.memory_gb + EPSILON
    }

    /// Subtracts an amount; the result may be negative.
    pub fn subtract(&mut self, amount: &Self) {
        self.cpus -= amount.cpus;
        self.gpus -= amount.gpus;
        self.memory_gb -= amount.memory_gb;
    }

    /// Adds an amount of each resource.
    pub fn add(&mut self, amount: &Self) {
        self.cpus += amount.cpus;
        self.gpus += amount.gpus;
        self.memory_gb += amount.memory_gb;
    }

    /// Returns this amount multiplied by `factor`.
    pub fn times(&self, factor: u32) -> Self {
        let factor = f64::from(factor);
        Self {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Returns how many tasks with this request fit in this amount; `u32::MAX` for an empty request.
    pub fn max_tasks(&self, request: &Self) -> u32 {
        let tasks = |available: f64, requested: f64| {
            if requested <= 0.0 {
                f64::INFINITY
            } else {
                ((available + EPSILON) / requested).floor().max(0.0)
            }
        };
        let fitting = tasks(self.cpus, request.cpus)
            .min(tasks(self.gpus, request.gpus))
            .min(tasks(self.memory_gb, request.memory_gb));
        if fitting >= f64::from(u32::MAX) { u32::MAX } else { fitting as u32 }
    }

    /// Returns the dominant share: the largest of the shares that this amount has of each resource in `total`.
    /// Resources that `total` lacks count as 0.
    pub fn dominant_share_of(&self, total: &Self) -> f64 {
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}
