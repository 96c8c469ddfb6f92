//! Relocations in progress: replicas of daemons that move to other machines to free resources for
//! another job, the beneficiary. `hookway_policy::relocate` plans them.
//!
//! A relocation has two steps. First, lower-priority tasks are stopped on the machines that the
//! replicas move to (the targets), and all replicas run on. Once every target has the free
//! resources, the replicas are stopped, at most one of a daemon at a time, and started on their
//! targets. Throughout, the resources on the targets and on the machines that the beneficiary will
//! use are held: they count as used for all other jobs, and a stopped replica still counts against
//! its team's limit. A relocation ends when the beneficiary is placed and the stopped replicas are
//! started, or when it is aborted. It is kept only in the leader's memory: a replica that was
//! stopped and not started again is started by the next leader like any unplaced task.

mod conditions;

use super::snapshot::IndexedSnapshot;
use super::{ClusterState, JobKey, TaskAttempt};
use hookway_constants as constants;
use hookway_policy::{PlacedTaskRef, Preemption, RelocationLimits, Resources, relocate};
use hookway_time::MonotonicTime;

/// An attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskOnMachine {
    machine: String,
    attempt: TaskAttempt,
}

/// Progress of the move of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveStep {
    /// The replica still runs; its target may have to be cleared first.
    AwaitingTarget,
    /// The stop of the replica is decided.
    Stopping,
}

/// The move of one replica of a daemon to its target.
#[derive(Debug, Clone)]
struct ReplicaMove {
    /// Key of the daemon.
    job: JobKey,
    /// Task index of the replica.
    index: u32,
    /// The attempt that is to be stopped, and its machine.
    from: TaskOnMachine,
    /// Name of the target machine.
    to: String,
    step: MoveStep,
}

/// A relocation in progress.
#[derive(Debug, Clone)]
pub(super) struct ActiveRelocation {
    /// Key of the job that the relocation frees resources for.
    beneficiary: JobKey,
    /// Machine for each task of the beneficiary that is to be placed. Empty once they are placed or
    /// the relocation is aborted, so that only stopped replicas have to be started.
    task_machines: Vec<String>,
    /// Lower-priority tasks on the beneficiary's machines, to be stopped when the replicas are.
    victims: Vec<TaskOnMachine>,
    moves: Vec<ReplicaMove>,
    /// The relocation is aborted at this time; each stop of a replica extends it.
    deadline: MonotonicTime,
}

/// Why a relocation ends before its beneficiary is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AbortReason {
    /// The beneficiary has fewer tasks to start than the relocation has machines for: it has ended,
    /// was cancelled, backs off, or was placed elsewhere.
    JobNotWaiting,
    /// A machine of the beneficiary, or a target, was removed, is draining or misses its
    /// heartbeats.
    MachineUnusable,
    /// A step exceeded [`constants::RELOCATION_STEP_TIMEOUT`].
    TimedOut,
}

impl ActiveRelocation {
    /// Drops everything but the replicas that must be started again, since the beneficiary is
    /// placed or the relocation is aborted.
    fn keep_only_stopped_replicas(&mut self) {
        self.task_machines.clear();
        self.victims.clear();
        self.moves.retain(|moving| moving.step == MoveStep::Stopping);
    }

    fn is_finished(&self) -> bool {
        self.task_machines.is_empty() && self.moves.is_empty()
    }
}

impl ClusterState {
    /// Returns the resources of a machine that relocations hold for moving replicas and for
    /// beneficiaries.
    pub(super) fn resources_held_on(&self, name: &str) -> Resources {
        let mut held = Resources::default();
        for relocation in &self.relocations {
            let task_machines =
                relocation.task_machines.iter().map(|machine| (relocation.beneficiary, machine));
            let moves = relocation.moves.iter().map(|moving| (moving.job, &moving.to));
            for (key, _) in task_machines.chain(moves).filter(|(_, machine)| *machine == name) {
                if let Some(job) = self.jobs.get(&key) {
                    held.add(&job.request);
                }
            }
        }
        held
    }

    /// Returns the team index and the request of each moving replica that is stopped and not
    /// started again yet.
    pub(super) fn quota_of_moving_replicas(&self) -> impl Iterator<Item = (usize, Resources)> {
        let moves = self.relocations.iter().flat_map(|relocation| &relocation.moves);
        moves.filter_map(|moving| {
            let job = self.jobs.get(&moving.job)?;
            job.placeable.contains(&moving.index).then_some((job.team, job.request))
        })
    }

    /// Plans relocations for jobs that the round found no free resources for, and begins them.
    /// `snapshot` and `preemptions` are those of the round.
    pub(super) fn begin_relocations(
        &mut self,
        snapshot: &IndexedSnapshot,
        preemptions: &[Preemption],
        now: MonotonicTime,
    ) {
        let moving = self.relocations.iter().map(|relocation| relocation.moves.len()).sum();
        let busy = |key: &JobKey| {
            let uses = |relocation: &ActiveRelocation| {
                relocation.beneficiary == *key
                    || relocation.moves.iter().any(|moving| moving.job == *key)
            };
            self.relocations.iter().any(uses)
        };
        let keys = snapshot.job_keys.iter().enumerate();
        let limits = RelocationLimits {
            busy_jobs: keys.filter(|(_, key)| busy(key)).map(|(index, _)| index).collect(),
            max_moves: constants::MAX_MOVING_REPLICAS.saturating_sub(moving),
        };
        for planned in relocate(&snapshot.cluster, preemptions, limits) {
            self.begin_relocation(snapshot, planned, now);
        }
    }

    fn begin_relocation(
        &mut self,
        snapshot: &IndexedSnapshot,
        planned: hookway_policy::Relocation,
        now: MonotonicTime,
    ) {
        let name = |machine: usize| snapshot.machine_names[machine].clone();
        let beneficiary = snapshot.job_keys[planned.job];
        let mut moves = Vec::new();
        for replica_move in planned.moves {
            let key = snapshot.job_keys[replica_move.job];
            let Some(from) = self.task_on_machine(snapshot, &replica_move.replica) else { return };
            let Some(index) = self.task_index(&from) else { return };
            let to = name(replica_move.target);
            for PlacedTaskRef { machine, task } in replica_move.victims {
                self.preempt_task(&name(machine), task as usize, key, now);
            }
            moves.push(ReplicaMove { job: key, index, from, to, step: MoveStep::AwaitingTarget });
        }
        let victims = planned.victims.iter();
        let victims = victims.filter_map(|victim| self.task_on_machine(snapshot, victim)).collect();
        let task_machines = planned.task_machines.into_iter().map(name).collect();
        let deadline = now + constants::RELOCATION_STEP_TIMEOUT;
        let relocation = ActiveRelocation { beneficiary, task_machines, victims, moves, deadline };
        self.log_moves(&relocation);
        self.relocations.push(relocation);
    }

    fn log_moves(&self, relocation: &ActiveRelocation) {
        let Some(job) = self.jobs.get(&relocation.beneficiary) else { return };
        for moving in &relocation.moves {
            tracing::info!(
                job = %job.id, replica = %moving.from.attempt.task, from = %moving.from.machine,
                to = %moving.to, "replica to move to make capacity for job"
            );
        }
    }

    /// Returns the attempt that `task_ref` refers to in the snapshot; `None` if it has left its
    /// machine.
    fn task_on_machine(
        &self,
        snapshot: &IndexedSnapshot,
        task_ref: &PlacedTaskRef,
    ) -> Option<TaskOnMachine> {
        let machine = snapshot.machine_names[task_ref.machine].clone();
        let placed = self.machines.get(&machine)?.placed_tasks.get(task_ref.task as usize)?;
        let attempt = placed.task_attempt();
        Some(TaskOnMachine { machine, attempt })
    }

    /// Returns the position of an attempt in its machine's placed tasks; `None` if it has left the
    /// machine.
    fn position_of(&self, task: &TaskOnMachine) -> Option<usize> {
        let placed_tasks = &self.machines.get(&task.machine)?.placed_tasks;
        placed_tasks.iter().position(|placed| {
            placed.attempt == task.attempt.attempt && placed.task == task.attempt.task
        })
    }

    fn task_index(&self, task: &TaskOnMachine) -> Option<u32> {
        let position = self.position_of(task)?;
        Some(self.machines.get(&task.machine)?.placed_tasks.get(position)?.index)
    }

    /// Advances the relocations in progress at `now`, and removes the finished ones.
    pub(super) fn advance_relocations(&mut self, now: MonotonicTime) {
        let steps = [
            Self::abort_if_obsolete,
            Self::start_replicas,
            Self::place_beneficiary,
            Self::stop_replicas,
        ];
        for i in 0..self.relocations.len() {
            let mut relocation = self.relocations[i].clone();
            for step in steps {
                step(self, &mut relocation, now);
                // The next step must see the resources that the relocation holds after this one.
                self.relocations[i] = relocation.clone();
            }
        }
        self.relocations.retain(|relocation| !relocation.is_finished());
    }

    /// Aborts a relocation that is obsolete or timed out. Replicas that were stopped for it are
    /// still started on their targets until the deadline has passed; after that they are placed
    /// like any other task.
    fn abort_if_obsolete(&mut self, relocation: &mut ActiveRelocation, now: MonotonicTime) {
        if let Some(reason) = self.abort_reason(relocation, now) {
            let job = self.jobs.get(&relocation.beneficiary).map(|job| &job.id);
            tracing::info!(?job, ?reason, "relocation ended without capacity for the job");
            relocation.keep_only_stopped_replicas();
        }
        if relocation.task_machines.is_empty() && now >= relocation.deadline {
            relocation.moves.clear();
        }
    }

    /// Returns why a relocation must be aborted; `None` if it need not be, or if only stopped
    /// replicas have to be started.
    fn abort_reason(
        &self,
        relocation: &ActiveRelocation,
        now: MonotonicTime,
    ) -> Option<AbortReason> {
        if relocation.task_machines.is_empty() {
            return None;
        }
        let waiting = self.jobs.get(&relocation.beneficiary).is_some_and(|job| {
            self.startable_task_count(job, now) as usize >= relocation.task_machines.len()
        });
        if !waiting {
            return Some(AbortReason::JobNotWaiting);
        }
        let awaiting = |moving: &&ReplicaMove| moving.step == MoveStep::AwaitingTarget;
        let targets = relocation.moves.iter().filter(awaiting).map(|moving| &moving.to);
        let unusable = |name: &String| {
            let machine = self.machines.get(name);
            machine.is_none_or(|machine| {
                machine.is_draining() || !self.is_sending_heartbeats(machine, now)
            })
        };
        if relocation.task_machines.iter().chain(targets).any(unusable) {
            return Some(AbortReason::MachineUnusable);
        }
        (now >= relocation.deadline).then_some(AbortReason::TimedOut)
    }

    /// Decides to stop the replicas of a relocation once all its targets have the resources that
    /// are held there. One replica of a daemon is stopped at a time, and only while all of the
    /// daemon's replicas are placed. The relocation's other victims are stopped along with the
    /// replicas.
    fn stop_replicas(&mut self, relocation: &mut ActiveRelocation, now: MonotonicTime) {
        if !relocation.moves.iter().all(|moving| self.has_held_resources(&moving.to)) {
            return;
        }
        let mut moves = std::mem::take(&mut relocation.moves);
        for i in 0..moves.len() {
            let moving = &moves[i];
            let complete = self.jobs.get(&moving.job).is_some_and(|job| job.placeable.is_empty());
            let one_is_stopping = moves
                .iter()
                .any(|other| other.job == moving.job && other.step == MoveStep::Stopping);
            if moving.step != MoveStep::AwaitingTarget || !complete || one_is_stopping {
                continue;
            }
            if let Some(position) = self.position_of(&moving.from) {
                self.stop_moving_replica(moving, position, relocation.beneficiary, now);
                relocation.deadline = now + constants::RELOCATION_STEP_TIMEOUT;
            }
            moves[i].step = MoveStep::Stopping;
        }
        relocation.moves = moves;
        for victim in std::mem::take(&mut relocation.victims) {
            if let Some(position) = self.position_of(&victim) {
                self.preempt_task(&victim.machine, position, relocation.beneficiary, now);
            }
        }
    }

    fn stop_moving_replica(
        &mut self,
        moving: &ReplicaMove,
        position: usize,
        beneficiary: JobKey,
        now: MonotonicTime,
    ) {
        let beneficiary = self.jobs.get(&beneficiary).map(|job| job.id.clone());
        if let (Some(job), Some(beneficiary)) = (self.jobs.get_mut(&moving.job), beneficiary) {
            let note = format!("task {} moves to {} for {beneficiary}", moving.index, moving.to);
            job.add_note(note);
        }
        self.stop_task(&moving.from.machine, position, now);
    }

    /// Starts stopped replicas on their targets once they have left their machines.
    fn start_replicas(&mut self, relocation: &mut ActiveRelocation, now: MonotonicTime) {
        let mut moves = std::mem::take(&mut relocation.moves);
        moves.retain(|moving| {
            if self.position_of(&moving.from).is_some() {
                return true;
            }
            // The relocation drops a replica that ended without being stopped, that need not be
            // started any more, or whose target can't be used: it is placed like any other task.
            let ended_by_itself = moving.step == MoveStep::AwaitingTarget;
            if ended_by_itself || !self.may_start_replica(moving, now) {
                return false;
            }
            if !self.can_start_on(&moving.to, now) {
                return true;
            }
            let replica = &moving.from.attempt.task;
            tracing::info!(%replica, from = %moving.from.machine, to = %moving.to, "replica moved");
            self.place_tasks(moving.job, std::slice::from_ref(&moving.to), now);
            false
        });
        relocation.moves = moves;
    }

    /// Places the tasks of the beneficiary once the resources held for all of them are free.
    fn place_beneficiary(&mut self, relocation: &mut ActiveRelocation, now: MonotonicTime) {
        let task_machines = &relocation.task_machines;
        let ready = !task_machines.is_empty()
            && task_machines.iter().all(|machine| self.can_start_on(machine, now))
            && self.zones_allow(relocation.beneficiary, task_machines)
            && self.limit_allows(relocation.beneficiary, task_machines.len());
        if ready {
            self.place_tasks(relocation.beneficiary, task_machines, now);
            relocation.keep_only_stopped_replicas();
        }
    }
}
