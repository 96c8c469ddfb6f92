//! Machines that are kept for jobs that tasks were preempted for, and what ends that.

use super::{ClusterState, JobKey, Machine};
use hookway_time::MonotonicTime;

/// A machine that takes no tasks but those of one job, for which tasks were preempted there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MachineReservation {
    /// The job.
    pub job: JobKey,
    /// When the reservation ends at the latest. Placing the job's tasks there ends it, and whatever
    /// [`ClusterState::release_reservations`] finds.
    pub until: MonotonicTime,
}

/// Why a reservation ends before the job has used it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// The job has ended, was cancelled, is backing off or has found room elsewhere.
    JobNotWaiting,
    /// The machine is to be scaled in, is reclaimed or is silent.
    MachineUnusable,
    /// The stops took too long.
    TimedOut,
}

impl ClusterState {
    /// Ends the reservations at `now` whose reason is gone.
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

    /// Why a reservation must end; `None` if it stays.
    fn release_reason(
        &self,
        machine: &Machine,
        reservation: MachineReservation,
        now: MonotonicTime,
    ) -> Option<ReleaseReason> {
        let job = self.jobs.get(&reservation.job);
        if job.is_none_or(|job| self.startable_now(job, now) == 0) {
            return Some(ReleaseReason::JobNotWaiting);
        }
        if machine.is_draining() || !self.reports(machine, now) {
            return Some(ReleaseReason::MachineUnusable);
        }
        (now >= reservation.until).then_some(ReleaseReason::TimedOut)
    }
}
