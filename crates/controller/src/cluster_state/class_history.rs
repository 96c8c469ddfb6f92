//! What the leader has seen of each job class.

use crate::records::ClassRecord;
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_time::MonotonicTime;
use hookway_wire::JobSpec;
use std::collections::{HashSet, VecDeque};

/// Number of machines that a class needed at a time.
#[derive(Debug, Clone, Copy)]
struct Demand {
    at: MonotonicTime,
    machines: usize,
}

/// What the leader has seen of a job class.
#[derive(Debug, Clone)]
pub(super) struct ClassHistory {
    /// Largest request of a task.
    pub request: Resources,
    /// Size of the largest image, GB.
    pub image_gb: f64,
    /// Its images.
    pub images: HashSet<u32>,
    /// Whether its jobs may use spot machines.
    pub spot: bool,
    /// Whether its jobs are gangs.
    pub gangs: bool,
    /// Recent demand, oldest first.
    demand: VecDeque<Demand>,
}

impl ClassHistory {
    /// The history of a class as the state service has it.
    pub fn from_record(record: &ClassRecord) -> Self {
        Self {
            request: record.request,
            image_gb: record.image_gb,
            images: HashSet::new(),
            demand: VecDeque::new(),
            spot: record.spot,
            gangs: record.gangs,
        }
    }

    /// The history of a class before its first job, which decides whether the class has gangs.
    pub fn before_first_job(spec: &JobSpec) -> Self {
        Self::from_record(&ClassRecord {
            request: Resources::of_task(spec),
            image_gb: 0.0,
            spot: true,
            gangs: spec.is_gang(),
        })
    }

    /// What the next leader should know of the class.
    pub fn record(&self) -> ClassRecord {
        ClassRecord {
            request: self.request,
            image_gb: self.image_gb,
            spot: self.spot,
            gangs: self.gangs,
        }
    }

    /// Takes in a job of the class.
    pub fn add_job(&mut self, spec: &JobSpec, image: u32) {
        let request = Resources::of_task(spec);
        self.request.cpus = self.request.cpus.max(request.cpus);
        self.request.gpus = self.request.gpus.max(request.gpus);
        self.request.memory_gb = self.request.memory_gb.max(request.memory_gb);
        self.image_gb = self.image_gb.max(spec.image_gb);
        self.images.insert(image);
        self.spot &= spec.spot;
    }

    /// Records the number of machines needed at `now`, and drops what is too old.
    pub fn record_demand(&mut self, machines: usize, now: MonotonicTime) {
        self.demand.push_back(Demand { at: now, machines });
        let is_old = |demand: &Demand| now > demand.at + constants::DEMAND_WINDOW;
        while self.demand.front().is_some_and(is_old) {
            self.demand.pop_front();
        }
    }

    /// The largest recent demand, machines.
    pub fn peak_demand(&self) -> usize {
        self.demand.iter().map(|demand| demand.machines).max().unwrap_or(0)
    }
}
