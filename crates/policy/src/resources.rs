use hookway_wire::{JobSpec, MachineType};
use serde::{Deserialize, Serialize};

/// Tolerance when amounts are compared, so that sums of decimals don't refuse an exact fit.
const EPSILON: f64 = 1e-6;

/// An amount of what a machine offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "ram")]
    pub memory_gb: f64,
}

impl Resources {
    /// What one task of a job takes.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// What a machine of a type offers.
    pub fn of_machine_type(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// Whether `need` fits in.
    pub fn fits(&self, need: &Self) -> bool {
        need.cpus <= self.cpus + EPSILON
            && need.gpus <= self.gpus + EPSILON
            && need.memory_gb <= self.memory_gb + EPSILON
    }

    /// Takes `need` away.
    pub fn subtract(&mut self, need: &Self) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory_gb -= need.memory_gb;
    }

    /// Adds `need`.
    pub fn add(&mut self, need: &Self) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.memory_gb += need.memory_gb;
    }

    /// So many times this.
    pub fn times(&self, n: u32) -> Self {
        let n = f64::from(n);
        Self { cpus: self.cpus * n, gpus: self.gpus * n, memory_gb: self.memory_gb * n }
    }

    /// How many times `need` fits in.
    pub fn capacity_for(&self, need: &Self) -> u32 {
        let times = |have: f64, want: f64| {
            if want <= 0.0 { f64::INFINITY } else { ((have + EPSILON) / want).floor().max(0.0) }
        };
        let least = times(self.cpus, need.cpus)
            .min(times(self.gpus, need.gpus))
            .min(times(self.memory_gb, need.memory_gb));
        if least >= f64::from(u32::MAX) { u32::MAX } else { least as u32 }
    }

    /// The largest share of `total` that `self` is, over what `total` has.
    pub fn dominant_share_of(&self, total: &Self) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, total.cpus)
            .max(part(self.gpus, total.gpus))
            .max(part(self.memory_gb, total.memory_gb))
    }
}
