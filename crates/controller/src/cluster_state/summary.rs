//! A summary of the cluster, for the log.

use super::ClusterState;
use hookway_time::MonotonicTime;

/// The state of the cluster in one line of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Of these, jobs that count as started although no durable record says so.
    pub assumed_started: usize,
    /// Machines, booting ones included.
    pub machines: usize,
    /// Machines that are up.
    pub up: usize,
    /// Placed tasks.
    pub tasks: usize,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs that placed tasks take.
    pub placed: f64,
    /// CPUs that startable tasks are waiting for.
    pub waiting: f64,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} jobs", self.jobs)?;
        if self.assumed_started > 0 {
            write!(f, " ({} assumed started)", self.assumed_started)?;
        }
        write!(f, ", {} machines ({} up), ", self.machines, self.up)?;
        write!(f, "{} tasks placed; CPUs: {:.0} up, ", self.tasks, self.cpus)?;
        write!(f, "{:.0} placed, {:.0} waited for", self.placed, self.waiting)
    }
}

impl ClusterState {
    /// A summary of the cluster at `now`.
    pub fn summary(&self, now: MonotonicTime) -> Summary {
        let cluster = self.scheduling_snapshot(now).cluster;
        let up = || cluster.machines.iter().filter(|machine| !machine.booting);
        let total: f64 = up().map(|machine| machine.total.cpus).sum();
        let free: f64 = up().map(|machine| machine.free.cpus).sum();
        let waiting: f64 =
            cluster.jobs.iter().map(|job| f64::from(job.startable) * job.request.cpus).sum();
        Summary {
            jobs: self.jobs.len(),
            assumed_started: self.commit_queue.watermark_marker.assumed_jobs(),
            machines: self.machines.len(),
            up: up().count(),
            tasks: self.machines.values().map(|machine| machine.placed_tasks.len()).sum(),
            cpus: total.abs(),
            placed: (total - free).abs(),
            waiting: waiting.abs(),
        }
    }
}
