//! One-line summary of the cluster for the log.

use super::ClusterState;
use hookway_time::MonotonicTime;

/// Counts of jobs, machines, tasks and CPUs at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Jobs in the cluster state, including ended ones that still have tasks on machines.
    pub jobs: usize,
    /// Jobs among them whose tasks are assumed to have been started although no durable record says
    /// so.
    pub jobs_assumed_started: usize,
    /// Machines, including booting ones.
    pub machines: usize,
    /// Machines of a known type and zone that are not booting.
    pub up: usize,
    /// Tasks that occupy resources of a machine.
    pub tasks: usize,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs of the machines that are up that tasks use or relocations hold.
    pub placed_cpus: f64,
    /// CPUs that startable tasks are waiting for.
    pub waiting_cpus: f64,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} jobs", self.jobs)?;
        if self.jobs_assumed_started > 0 {
            write!(f, " ({} assumed started)", self.jobs_assumed_started)?;
        }
        write!(f, ", {} machines ({} up), ", self.machines, self.up)?;
        write!(f, "{} tasks placed; CPUs: {:.0} up, ", self.tasks, self.cpus)?;
        write!(f, "{:.0} placed, {:.0} waited for", self.placed_cpus, self.waiting_cpus)
    }
}

impl ClusterState {
    /// Returns the summary of the cluster at `now`.
    pub fn summary(&self, now: MonotonicTime) -> Summary {
        let cluster = self.scheduling_snapshot(now).cluster;
        let up = || cluster.machines.iter().filter(|machine| !machine.booting);
        let total: f64 = up().map(|machine| machine.capacity.cpus).sum();
        let free: f64 = up().map(|machine| machine.free.cpus).sum();
        let waiting_cpus: f64 =
            cluster.jobs.iter().map(|job| f64::from(job.startable) * job.request.cpus).sum();
        // `abs`: the sum of no CPUs is -0.0, which would be printed with its sign.
        Summary {
            jobs: self.jobs.len(),
            jobs_assumed_started: self.commit_queue.watermark_marker.assumed_jobs(),
            machines: self.machines.len(),
            up: up().count(),
            tasks: self.machines.values().map(|machine| machine.placed_tasks.len()).sum(),
            cpus: total.abs(),
            placed_cpus: (total - free).abs(),
            waiting_cpus: waiting_cpus.abs(),
        }
    }
}
