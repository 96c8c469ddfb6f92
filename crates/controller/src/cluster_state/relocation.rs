//! Relocations under way: replicas of daemons that move to other machines so that a job finds room
//! (`hookway_policy::relocate`).
//!
//! A relocation takes two steps. While the machines that the replicas go to are cleared, nothing is stopped for it. Once
//! each has room, the replicas are stopped, at most one of a daemon at a time, and started there. The room at both ends
//! is held for as long: it counts as used for everybody else, as does a moving replica's part of its team's limit. A
//! relocation ends when the job has its room, or when its reason is gone. It lives in the memory of a leader; a replica
//! that was stopped and not started yet is started by the next leader like any other.

use super::snapshot::SchedulingSnapshot;
use super::{ClusterState, JobKey, Machine, TaskAttempt};
use hookway_constants as constants;
use hookway_policy::{Preemption, RelocationLimits, Resources, Victim, relocate};
use hookway_time::MonotonicTime;

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskOnMachine {
    /// The machine.
    machine: String,
    /// The attempt.
    attempt: TaskAttempt,
}

/// How far a replica has moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveStep {
    /// The machine that it goes to may have to be cleared first.
    AwaitsRoom,
    /// Its stop is decided.
    Stopping,
}

/// A replica that moves.
#[derive(Debug, Clone)]
struct ReplicaMove {
    /// Its job.
    job: JobKey,
    /// Index of the replica.
    index: u32,
    /// The replica where it is.
    from: TaskOnMachine,
    /// The machine that it goes to.
    to: String,
    step: MoveStep,
}

/// Replicas that move so that a job finds room.
#[derive(Debug, Clone)]
pub(super) struct Relocation {
    /// The job that gets the room.
    job: JobKey,
    /// The machine of each of its tasks; none once its reason is gone and only replicas that were stopped have to be
    /// started.
    room: Vec<String>,
    /// Tasks of lower priority to stop together with the replicas.
    victims: Vec<TaskOnMachine>,
    moves: Vec<ReplicaMove>,
    /// It is given up then.
    deadline: MonotonicTime,
}

/// Why a relocation ends without its job getting the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The job has ended, was cancelled, is backing off or has found room elsewhere.
    JobNotWaiting,
    /// A machine takes no tasks any more.
    MachineUnusable,
    /// A step took too long.
    TimedOut,
}

impl Relocation {
    /// Its job has its room, or does not need it any more.
    fn keep_only_stopped_replicas(&mut self) {
        self.room.clear();
        self.victims.clear();
        self.moves.retain(|moving| moving.step == MoveStep::Stopping);
    }

    fn is_finished(&self) -> bool {
        self.room.is_empty() && self.moves.is_empty()
    }
}

impl ClusterState {
    /// Resources of a machine that are held for replicas that come and for jobs that get room.
    pub(super) fn resources_held_on(&self, name: &str) -> Resources {
        let mut held = Resources::default();
        for relocation in &self.relocations {
            let room = relocation.room.iter().map(|machine| (relocation.job, machine));
            let moves = relocation.moves.iter().map(|moving| (moving.job, &moving.to));
            for (key, _) in room.chain(moves).filter(|(_, machine)| *machine == name) {
                if let Some(job) = self.jobs.get(&key) {
                    held.add(&job.request);
                }
            }
        }
        held
    }

    /// What teams need for replicas that were stopped and not started yet, as pairs of a team's index and a request.
    pub(super) fn quota_of_moving_replicas(&self) -> impl Iterator<Item = (usize, Resources)> {
        let moves = self.relocations.iter().flat_map(|relocation| &relocation.moves);
        moves.filter_map(|moving| {
            let job = self.jobs.get(&moving.job)?;
            job.unplaced.contains(&moving.index).then_some((job.team, job.request))
        })
    }

    /// Begins relocations for jobs that the round found no room for, on the round's snapshot.
    pub(super) fn begin_relocations(
        &mut self,
        snapshot: &SchedulingSnapshot,
        preemptions: &[Preemption],
        now: MonotonicTime,
    ) {
        let moving = self.relocations.iter().map(|relocation| relocation.moves.len()).sum();
        let busy = |key: &JobKey| {
            let uses = |relocation: &Relocation| {
                relocation.job == *key || relocation.moves.iter().any(|moving| moving.job == *key)
            };
            self.relocations.iter().any(uses)
        };
        let keys = snapshot.job_keys.iter().enumerate();
        let limits = RelocationLimits {
            busy_jobs: keys.filter(|(_, key)| busy(key)).map(|(index, _)| index).collect(),
            max_moves: constants::MAX_REPLICAS_MOVING.saturating_sub(moving),
        };
        for planned in relocate(&snapshot.cluster, preemptions, limits) {
            self.begin_relocation(snapshot, planned, now);
        }
    }

    fn begin_relocation(
        &mut self,
        snapshot: &SchedulingSnapshot,
        planned: hookway_policy::Relocation,
        now: MonotonicTime,
    ) {
        let name = |machine: usize| snapshot.machine_names[machine].clone();
        let job = snapshot.job_keys[planned.job];
        let mut moves = Vec::new();
        for replica_move in planned.moves {
            let key = snapshot.job_keys[replica_move.job];
            let Some(from) = self.task_on_machine(snapshot, &replica_move.replica) else { return };
            let Some(index) = self.index_of(&from) else { return };
            let to = name(replica_move.target);
            for Victim { machine, task } in replica_move.victims {
                self.preempt_task(&name(machine), task as usize, key, now);
            }
            moves.push(ReplicaMove { job: key, index, from, to, step: MoveStep::AwaitsRoom });
        }
        let victims = planned.victims.iter();
        let victims = victims.filter_map(|victim| self.task_on_machine(snapshot, victim)).collect();
        let room = planned.task_machines.into_iter().map(name).collect();
        let deadline = now + constants::RELOCATION_STEP_TIMEOUT;
        let relocation = Relocation { job, room, victims, moves, deadline };
        self.log_begin(&relocation);
        self.relocations.push(relocation);
    }

    fn log_begin(&self, relocation: &Relocation) {
        let Some(job) = self.jobs.get(&relocation.job) else { return };
        for moving in &relocation.moves {
            tracing::info!(
                job = %job.id, replica = %moving.from.attempt.task, from = %moving.from.machine,
                to = %moving.to, "replica to move so that job finds room"
            );
        }
    }

    /// The attempt that a victim of the snapshot is.
    fn task_on_machine(
        &self,
        snapshot: &SchedulingSnapshot,
        victim: &Victim,
    ) -> Option<TaskOnMachine> {
        let machine = snapshot.machine_names[victim.machine].clone();
        let placed = self.machines.get(&machine)?.placed_tasks.get(victim.task as usize)?;
        let attempt = placed.task_attempt();
        Some(TaskOnMachine { machine, attempt })
    }

    /// Position of an attempt in its machine's placed tasks; `None` if it is not there any more.
    fn position_of(&self, task: &TaskOnMachine) -> Option<usize> {
        let placed_tasks = &self.machines.get(&task.machine)?.placed_tasks;
        placed_tasks.iter().position(|placed| {
            placed.attempt == task.attempt.attempt && placed.task == task.attempt.task
        })
    }

    fn index_of(&self, task: &TaskOnMachine) -> Option<u32> {
        let position = self.position_of(task)?;
        Some(self.machines.get(&task.machine)?.placed_tasks.get(position)?.index)
    }

    /// Advances the relocations under way at `now`, and ends those whose reason is gone.
    pub(super) fn advance_relocations(&mut self, now: MonotonicTime) {
        let steps =
            [Self::end_without_reason, Self::start_replicas, Self::start_job, Self::stop_replicas];
        for at in 0..self.relocations.len() {
            let mut relocation = self.relocations[at].clone();
            for step in steps {
                step(self, &mut relocation, now);
                // What it holds from now on counts in the next step.
                self.relocations[at] = relocation.clone();
            }
        }
        self.relocations.retain(|relocation| !relocation.is_finished());
    }

    /// Gives up a relocation whose reason is gone; replicas that were stopped for it are still started.
    fn end_without_reason(&mut self, relocation: &mut Relocation, now: MonotonicTime) {
        if let Some(reason) = self.end_reason(relocation, now) {
            let job = self.jobs.get(&relocation.job).map(|job| &job.id);
            tracing::info!(?job, ?reason, "relocation ended without room for the job");
            relocation.keep_only_stopped_replicas();
        }
        if relocation.room.is_empty() && now >= relocation.deadline {
            relocation.moves.clear();
        }
    }

    /// Why a relocation must end; `None` while it goes on, or once only its replicas have to be started.
    fn end_reason(&self, relocation: &Relocation, now: MonotonicTime) -> Option<EndReason> {
        if relocation.room.is_empty() {
            return None;
        }
        let waiting = self
            .jobs
            .get(&relocation.job)
            .is_some_and(|job| self.startable_now(job, now) as usize >= relocation.room.len());
        if !waiting {
            return Some(EndReason::JobNotWaiting);
        }
        let awaiting = |moving: &&ReplicaMove| moving.step == MoveStep::AwaitsRoom;
        let targets = relocation.moves.iter().filter(awaiting).map(|moving| &moving.to);
        let unusable = |name: &String| {
            let machine = self.machines.get(name);
            machine.is_none_or(|machine| machine.is_draining() || !self.reports(machine, now))
        };
        if relocation.room.iter().chain(targets).any(unusable) {
            return Some(EndReason::MachineUnusable);
        }
        (now >= relocation.deadline).then_some(EndReason::TimedOut)
    }

    /// Decides the stops of replicas whose targets have room, once all of the relocation have. One replica of a daemon
    /// at a time, and only while all others of it are placed.
    fn stop_replicas(&mut self, relocation: &mut Relocation, now: MonotonicTime) {
        if !relocation.moves.iter().all(|moving| self.has_held_room(&moving.to)) {
            return;
        }
        let mut moves = std::mem::take(&mut relocation.moves);
        for at in 0..moves.len() {
            let moving = &moves[at];
            let complete = self.jobs.get(&moving.job).is_some_and(|job| job.unplaced.is_empty());
            let one_is_stopping = moves
                .iter()
                .any(|other| other.job == moving.job && other.step == MoveStep::Stopping);
            if moving.step != MoveStep::AwaitsRoom || !complete || one_is_stopping {
                continue;
            }
            if let Some(position) = self.position_of(&moving.from) {
                self.stop_moving_replica(moving, position, relocation.job, now);
                relocation.deadline = now + constants::RELOCATION_STEP_TIMEOUT;
            }
            moves[at].step = MoveStep::Stopping;
        }
        relocation.moves = moves;
        for victim in std::mem::take(&mut relocation.victims) {
            if let Some(position) = self.position_of(&victim) {
                self.preempt_task(&victim.machine, position, relocation.job, now);
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

    /// Starts replicas that have left their machines on those that they go to.
    fn start_replicas(&mut self, relocation: &mut Relocation, now: MonotonicTime) {
        let mut moves = std::mem::take(&mut relocation.moves);
        moves.retain(|moving| {
            if self.position_of(&moving.from).is_some() {
                return true;
            }
            // One that ended by itself, has no need to run, or runs already is no concern of the relocation.
            let ended_by_itself = moving.step == MoveStep::AwaitsRoom;
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

    /// Whether a replica that was stopped waits for its start, and its target is there for it.
    fn may_start_replica(&self, moving: &ReplicaMove, now: MonotonicTime) -> bool {
        let waits = self.jobs.get(&moving.job).is_some_and(|job| {
            job.unplaced.contains(&moving.index) && self.startable_now(job, now) > 0
        });
        let target = self.machines.get(&moving.to);
        waits
            && target.is_some_and(|target| !target.is_draining() && self.reports(target, now))
            && self.zones_allow(moving.job, std::slice::from_ref(&moving.to))
    }

    /// Starts the tasks of the job once all their room is free.
    fn start_job(&mut self, relocation: &mut Relocation, now: MonotonicTime) {
        let room = &relocation.room;
        let ready = !room.is_empty()
            && room.iter().all(|machine| self.can_start_on(machine, now))
            && self.zones_allow(relocation.job, room)
            && self.quota_allows(relocation.job, room.len());
        if ready {
            self.place_tasks(relocation.job, room, now);
            relocation.keep_only_stopped_replicas();
        }
    }

    /// Whether the constraints of a job allow one task more on each of these machines.
    fn zones_allow(&self, key: JobKey, machines: &[String]) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let mut view = self.job_view(job, 0);
        machines.iter().all(|name| {
            let zone = self.machines.get(name).and_then(|m| self.config.platform.zone(&m.zone));
            let Some(zone) = zone.filter(|zone| view.may_use_zone(*zone)) else { return false };
            if let Some(placed) = view.placed_per_zone.get_mut(zone) {
                *placed += 1;
            }
            true
        })
    }

    /// Whether the limit of a job's team allows so many tasks more.
    fn quota_allows(&self, key: JobKey, tasks: usize) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let teams = self.team_views();
        teams.get(job.team).is_none_or(|team| team.remaining_tasks(&job.request) as usize >= tasks)
    }

    /// Whether a machine has all the room that is held on it.
    fn has_held_room(&self, name: &str) -> bool {
        let Some(machine) = self.machines.get(name) else { return false };
        let machine_type = self.machine_types.iter().find(|t| t.name == machine.machine_type);
        machine_type.is_some_and(|machine_type| {
            let total = Resources::of_machine_type(machine_type);
            let left = self.free_resources(name, machine, total);
            !left.has_unknown_tasks && left.free.fits(&Resources::default())
        })
    }

    /// Whether a machine takes tasks now, and has all the room that is held on it.
    fn can_start_on(&self, name: &str, now: MonotonicTime) -> bool {
        let takes_tasks = |machine: &Machine| {
            !machine.is_draining()
                && machine.registered
                && now >= machine.backoff_until
                && machine.is_admitted(now)
                && self.reports(machine, now)
        };
        self.machines.get(name).is_some_and(takes_tasks) && self.has_held_room(name)
    }
}
