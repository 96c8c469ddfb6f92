//! What a leader publishes for warm standbys, and what a new leader uses of its replicated state.
//!
//! The replicated state is only a hint. It has addresses at which workers can be probed, jobs with
//! consecutive failures, and attempts of gangs that were being started. Only the workers tell which
//! tasks run, and only the store tells which tasks were never started.

use super::{ClusterState, Job, Machine, TaskPhase};
use crate::networks::Networks;
use hookway_constants as constants;
use hookway_replication::{
    PublishedMachine, PublishedTask, Publisher, ReplicatedJob, ReplicatedState, Stage,
};
use hookway_time::{MonotonicTime, WallTime};
use hookway_wire::{JobId, TaskState};

/// Counts of what a new leader used of its replicated state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RestoredHints {
    /// Machines whose address became known, so that they can be probed at once.
    pub addresses: usize,
    /// Jobs whose consecutive failures and backoff were restored.
    pub failing_jobs: usize,
    /// Gangs with an attempt that an earlier leader was starting.
    pub gangs: usize,
}

impl std::fmt::Display for RestoredHints {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { addresses, failing_jobs, gangs } = self;
        write!(f, "{addresses} addresses, {failing_jobs} jobs with failures, {gangs} gangs")
    }
}

fn replication_stage(phase: TaskPhase) -> Stage {
    match phase {
        TaskPhase::Planned => Stage::Planned,
        TaskPhase::Sent | TaskPhase::DispatchedDirectly(_) => Stage::Sent,
        TaskPhase::Reported(TaskState::Running | TaskState::Checkpointing) => Stage::Running,
        TaskPhase::Reported(_) => Stage::Accepted,
    }
}

fn is_published(machine: &Machine) -> bool {
    machine.has_reported && !machine.address.is_empty()
}

impl ClusterState {
    /// Marks a machine as possibly changed, to be published.
    pub(super) fn mark_unpublished(&mut self, name: &str) {
        if !self.unpublished_machines.contains(name) {
            self.unpublished_machines.insert(name.to_owned());
        }
    }

    /// Publishes the changes since the last call to standbys.
    pub fn publish(&mut self, publisher: &mut Publisher) {
        for name in std::mem::take(&mut self.unpublished_machines) {
            self.publish_machine(&name, publisher);
        }
        self.publish_jobs(publisher);
    }

    /// Publishes every difference between the published state and the cluster state.
    pub fn publish_all(&mut self, publisher: &mut Publisher) {
        self.unpublished_machines.clear();
        for name in self.machines.keys() {
            self.publish_machine(name, publisher);
        }
        publisher.retain_machines(|name| self.machines.get(name).is_some_and(is_published));
        self.publish_jobs(publisher);
    }

    fn publish_machine(&self, name: &str, publisher: &mut Publisher) {
        let Some(machine) = self.machines.get(name).filter(|m| is_published(m)) else {
            return publisher.remove_machine(name);
        };
        let published_machine = PublishedMachine {
            name,
            address: &machine.address,
            incarnation: machine.newest_message.incarnation,
        };
        let tasks = machine.placed_tasks.iter().map(|placed| PublishedTask {
            task: &placed.task,
            attempt: placed.attempt,
            stage: replication_stage(placed.phase),
        });
        publisher.publish_machine(published_machine, tasks);
    }

    fn publish_jobs(&self, publisher: &mut Publisher) {
        let mut published = 0;
        for job in self.jobs.values() {
            if let Some(replicated) = self.replicated_job(job) {
                published += 1;
                publisher.publish_job(job.id.as_str(), replicated);
            }
        }
        publisher.retain_jobs(published, |id| {
            let job = JobId::parse(id).and_then(|id| self.jobs.by_id(&id));
            job.is_some_and(|job| self.replicated_job(job).is_some())
        });
    }

    /// Returns what the next leader should know about a job in addition to its records; `None` if
    /// nothing.
    fn replicated_job(&self, job: &Job) -> Option<ReplicatedJob> {
        let attempt =
            job.gang.attempt.filter(|_| job.spec.is_gang() && job.is_active() && !job.gang.broken);
        if attempt.is_none() && job.failures.consecutive == 0 {
            return None;
        }
        let mut replicated = ReplicatedJob { gang_attempt: attempt, ..ReplicatedJob::default() };
        if job.failures.consecutive > 0 {
            replicated.consecutive_failures = job.failures.consecutive;
            let elected = self.clocks.elected;
            replicated.last_failure_unix_ms =
                elected.wall_at_monotonic(job.failures.last_at).as_unix_millis();
            replicated.backoff_until_unix_ms =
                elected.wall_at_monotonic(job.backoff_until).as_unix_millis();
            replicated.failed_machines = job.failures.machines.iter().cloned().collect();
        }
        Some(replicated)
    }

    /// Applies the parts of an earlier leader's replicated state that help this leader and can do
    /// no harm. The store's records have precedence: only machines and jobs that they name are
    /// considered.
    pub fn apply_replicated_state(
        &mut self,
        replicated_state: &ReplicatedState,
        workers: &Networks,
        now: MonotonicTime,
    ) -> RestoredHints {
        let mut restored = RestoredHints::default();
        for (name, known) in &replicated_state.machines {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            let needs_address = !machine.has_reported && machine.address.is_empty();
            if needs_address && workers.allows_socket_address(&known.address) {
                machine.address.clone_from(&known.address);
                restored.addresses += 1;
            }
        }
        for (id, replicated) in &replicated_state.jobs {
            let job = JobId::parse(id).and_then(|id| self.jobs.by_id_mut(&id));
            let Some(job) = job else { continue };
            if job.spec.is_gang() && replicated.gang_attempt.is_some() {
                job.gang.resumed_attempt = replicated.gang_attempt;
                restored.gangs += 1;
            }
            if replicated.consecutive_failures > 0 && job.failures.consecutive == 0 {
                let latest = now + constants::FAILURE_BACKOFF_MAX;
                job.failures.consecutive =
                    replicated.consecutive_failures.min(constants::MAX_RESUMED_FAILURES);
                let elected = self.clocks.elected;
                let failed_at = WallTime::from_unix_millis(replicated.last_failure_unix_ms);
                let backoff_until = WallTime::from_unix_millis(replicated.backoff_until_unix_ms);
                job.failures.last_at = elected.monotonic_at_wall(failed_at).min(now);
                job.backoff_until = elected.monotonic_at_wall(backoff_until).min(latest);
                let kept = replicated.failed_machines.iter().take(constants::MAX_FAILED_MACHINES);
                job.failures.machines = kept.cloned().collect();
                restored.failing_jobs += 1;
            }
        }
        if restored.addresses > 0 {
            self.state_probes.start_at = now;
        }
        restored
    }
}
