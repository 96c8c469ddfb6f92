//! What the leader knows of a job class: the requests and constraints of its jobs, and their recent
//! demand.

use crate::records::ClassRecord;
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_time::MonotonicTime;
use hookway_wire::JobSpec;
use std::collections::{HashSet, VecDeque};

/// Number of machines that a class needed at one moment.
#[derive(Debug, Clone, Copy)]
struct Demand {
    at: MonotonicTime,
    machines: usize,
}

/// Requests, constraints and recent demand of the jobs of one class.
#[derive(Debug, Clone)]
pub(super) struct ClassHistory {
    /// Maximum request of a task, separately for each resource.
    pub request: Resources,
    /// Size of the largest image of the class, GB.
    pub image_gb: f64,
    /// Numeric ids of the images of those jobs of the class that this leader has added.
    pub images: HashSet<u32>,
    /// Whether all jobs of the class may use spot machines.
    pub allows_spot: bool,
    /// Whether the first job of the class was a gang; later jobs do not change this.
    pub is_gang_class: bool,
    /// Demand within the last [`constants::DEMAND_WINDOW`], oldest first.
    demand: VecDeque<Demand>,
}

impl ClassHistory {
    /// Creates the history from the record of the class in the store.
    pub fn from_record(record: &ClassRecord) -> Self {
        Self {
            request: record.request,
            image_gb: record.image_gb,
            images: HashSet::new(),
            demand: VecDeque::new(),
            allows_spot: record.allows_spot,
            is_gang_class: record.is_gang_class,
        }
    }

    /// Creates the history of a class whose first job is `spec`, without that job itself. The first
    /// job decides whether the class is a gang class.
    pub fn before_first_job(spec: &JobSpec) -> Self {
        Self::from_record(&ClassRecord {
            request: Resources::of_task(spec),
            image_gb: 0.0,
            allows_spot: true,
            is_gang_class: spec.is_gang(),
        })
    }

    /// Returns the record of the class that is stored for the next leader. Images and demand are
    /// not part of it.
    pub fn record(&self) -> ClassRecord {
        ClassRecord {
            request: self.request,
            image_gb: self.image_gb,
            allows_spot: self.allows_spot,
            is_gang_class: self.is_gang_class,
        }
    }

    /// Adds a job to the history.
    pub fn add_job(&mut self, spec: &JobSpec, image: u32) {
        let request = Resources::of_task(spec);
        self.request.cpus = self.request.cpus.max(request.cpus);
        self.request.gpus = self.request.gpus.max(request.gpus);
        self.request.memory_gb = self.request.memory_gb.max(request.memory_gb);
        self.image_gb = self.image_gb.max(spec.image_gb);
        self.images.insert(image);
        self.allows_spot &= spec.allows_spot;
    }

    /// Records the number of machines needed at `now`, and drops demand that is older than
    /// [`constants::DEMAND_WINDOW`].
    pub fn record_demand(&mut self, machines: usize, now: MonotonicTime) {
        self.demand.push_back(Demand { at: now, machines });
        let is_old = |demand: &Demand| now > demand.at + constants::DEMAND_WINDOW;
        while self.demand.front().is_some_and(is_old) {
            self.demand.pop_front();
        }
    }

    /// Returns the largest number of machines needed at one moment of the demand window; 0 if no
    /// demand is recorded.
    pub fn peak_demand(&self) -> usize {
        self.demand.iter().map(|demand| demand.machines).max().unwrap_or(0)
    }
}
