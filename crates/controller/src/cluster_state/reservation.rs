//! Reservations of machines for the jobs that tasks were preempted for.

use super::{ClusterState, JobKey, Machine};
use hookway_time::MonotonicTime;

/// The reservation of a machine for the job that tasks on it were preempted for. The machine takes
/// no tasks of other jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MachineReservation {
    /// Key of the only job whose tasks the machine takes.
    pub job: JobKey,
    /// When the reservation ends at the latest. It ends sooner when a task of the job is placed on
    /// the machine, or when [`ClusterState::release_reservations`] finds that it serves no purpose.
    pub until: MonotonicTime,
}

/// Why a reservation ends before the job has used it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// The job has no task to start: it has ended, was cancelled, backs off, or was placed
    /// elsewhere.
    JobNotWaiting,
    /// The machine is cordoned, has an interruption notice, or misses its heartbeats.
    MachineUnusable,
    /// The time limit has passed, most likely because the victims did not stop in time.
    TimedOut,
}

impl ClusterState {
    /// Ends the reservations that serve no purpose any more at `now`.
    pub(super) fn release_reservations(&mut self, now: MonotonicTime) {
        let mut released = Vec::new();
        for (name, machine) in &self.machines {
            let Some(reservation) = machine.reservation else { continue };
            if let Some(reason) = self.release_reason(machine, reservation, now) {
                let job = self.jobs.get(&reservation.job).map(|job| &job.id);
                tracing::debug!(machine = %name, ?job, ?reason, "reservation of machine ended");
                released.push(name.clone());
            }
        }
        for name in released {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.reservation = None;
            }
        }
    }

    /// Returns why a reservation must end; `None` if it stays.
    fn release_reason(
        &self,
        machine: &Machine,
        reservation: MachineReservation,
        now: MonotonicTime,
    ) -> Option<ReleaseReason> {
        let job = self.jobs.get(&reservation.job);
        if job.is_none_or(|job| self.startable_task_count(job, now) == 0) {
            return Some(ReleaseReason::JobNotWaiting);
        }
        if machine.is_draining() || !self.is_sending_heartbeats(machine, now) {
            return Some(ReleaseReason::MachineUnusable);
        }
        (now >= reservation.until).then_some(ReleaseReason::TimedOut)
    }
}
