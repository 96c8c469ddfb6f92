//! The status of jobs, as far as the leader can prove it.

use super::{ClusterState, Job, JobKey, JobOrigin, Machine, PlacedTask, TaskPhase};
use crate::proven_status::{JobDetails, JobEvidence, NoTaskRuns, ProvenStatus};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::JobId;
use std::num::NonZeroU32;

/// The result of looking up the status of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobLookup {
    /// What the leader can prove about a job in the cluster state.
    Known(JobEvidence),
    /// The transaction with the final record is in flight, or its outcome is unknown: only the
    /// store can tell whether the job has ended.
    FinalStateIndeterminate {
        /// What the leader can prove if the job has not ended.
        unless_ended: JobEvidence,
    },
    /// The job is not in the cluster state: it has ended, was not seen yet, or was never accepted.
    UnknownJob,
}

impl ClusterState {
    /// Looks up the status of a job at `now`.
    pub fn status(&self, id: &JobId, now: MonotonicTime) -> JobLookup {
        let jobs = &self.jobs;
        let Some((key, job)) = jobs.key(id).and_then(|key| Some((key, jobs.get(&key)?))) else {
            return JobLookup::UnknownJob;
        };
        if let Some(record) = job.completion.final_record() {
            return JobLookup::Known(JobEvidence::Proven(ProvenStatus::ended(id, record)));
        }
        let evidence = self.evidence_of_unfinished(key, job, now);
        if job.completion.commit_outstanding() {
            JobLookup::FinalStateIndeterminate { unless_ended: evidence }
        } else {
            JobLookup::Known(evidence)
        }
    }

    /// Returns what is proven about a job, provided that it has not ended.
    fn evidence_of_unfinished(&self, key: JobKey, job: &Job, now: MonotonicTime) -> JobEvidence {
        let details = JobDetails {
            id: job.id.clone(),
            done: job.completed,
            team: Some(job.spec.team.clone()),
            leader: Some(self.config.controller_name.clone()),
            notes: job.notes.iter().cloned().collect(),
        };
        if let Some(running) = NonZeroU32::new(job.running) {
            return JobEvidence::Proven(ProvenStatus::running(details, running));
        }
        if self.may_have_unknown_attempt(job, now) || self.may_have_begun_to_run(key, job, now) {
            return JobEvidence::MayBeRunning(details);
        }
        JobEvidence::Proven(ProvenStatus::queued(details, NoTaskRuns::AttemptsKnown))
    }

    /// Whether an earlier leader may have started a task of the job on a machine that is not
    /// reconciled. Completed tasks, and those that are known to be on a machine, are on no other.
    fn may_have_unknown_attempt(&self, job: &Job, now: MonotonicTime) -> bool {
        let may_be_started = ..job.start_watermark.never_started_from();
        job.origin == JobOrigin::EarlierTerm
            && job.placeable.range(may_be_started).next().is_some()
            && !self.is_reconciled(now)
    }

    /// Whether a known attempt of the job may have begun to run too long ago for the status, since
    /// its worker has not been heard from.
    fn may_have_begun_to_run(&self, key: JobKey, job: &Job, now: MonotonicTime) -> bool {
        if job.placed_attempts == 0 {
            return false;
        }
        let may_run = |machine: &Machine, placed: &PlacedTask| {
            placed.job == Some(key) && placed.may_run_unnoticed(machine, now)
        };
        self.machines
            .values()
            .any(|machine| machine.placed_tasks.iter().any(|placed| may_run(machine, placed)))
    }
}

impl ClusterState {
    /// Requests state probes at `now` of the workers whose silence keeps the status of a job from
    /// being proven. Their answers prove it, unless the leader does not know all attempts. Returns
    /// whether there are probes to send: none if too many workers would have to be asked.
    pub fn request_status_probes(&mut self, id: &JobId, now: MonotonicTime) -> bool {
        let Some(key) = self.jobs.key(id) else { return false };
        let is_unheard = |placed: &PlacedTask, machine: &Machine| {
            placed.job == Some(key) && placed.may_run_unnoticed(machine, now)
        };
        let unheard: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.placed_tasks.iter().any(|p| is_unheard(p, machine)))
            .map(|(name, _)| name.clone())
            .take(constants::MAX_STATUS_PROBES + 1)
            .collect();
        // A probe would overtake a direct dispatch, which the worker would then refuse.
        let is_dispatching = |name: &String| self.direct_dispatch.is_in_flight(name);
        if unheard.len() > constants::MAX_STATUS_PROBES || unheard.iter().any(is_dispatching) {
            return false;
        }
        unheard.iter().for_each(|name| self.state_probes.request_for_status(name));
        !unheard.is_empty()
    }
}

impl PlacedTask {
    /// Whether the attempt, which is not known to run, may have been running at `now` for longer
    /// than a status may lag.
    fn may_run_unnoticed(&self, machine: &Machine, now: MonotonicTime) -> bool {
        let known_not_to_run_at = match self.phase {
            TaskPhase::Planned => return false,
            // A heartbeat that was sent before the dispatch may arrive after it.
            TaskPhase::DispatchedDirectly(_) => self.placed_at,
            TaskPhase::Sent => machine.expected_heartbeat.responded_at,
            TaskPhase::Reported(_) => machine.states_known_at,
        };
        now > known_not_to_run_at + constants::MAX_STATUS_LAG
    }
}
