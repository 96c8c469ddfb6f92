//! Relocation (descheduling): moves replicas of daemons to other machines, so that a job finds resources that only
//! these replicas use. A replica neither ends by itself nor is preempted by a job of the same priority, so a job that
//! is bound to the zone of the replica's machine would wait indefinitely although the replica could run elsewhere.

use crate::placement::smallest_request;
use crate::preemption::{
    Displaceable, ImageLocality, SearchScope, find_preemption, is_due_for_preemption, may_preempt,
    victims_on_machine,
};
use crate::scheduling_queue::first_start_order;
use crate::{
    JobView, MachineView, PlacedTaskRef, PlacedTaskView, Preemption, Resources, SchedulingSnapshot,
    TeamView,
};
use hookway_constants as constants;
use hookway_time::millis_f64;
use std::collections::{HashMap, HashSet};

/// The move of one replica to another machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaMove {
    /// Index of the replica's job.
    pub job: usize,
    /// The replica on its present machine.
    pub replica: PlacedTaskRef,
    /// Index of the machine that the replica moves to.
    pub target: usize,
    /// Tasks to preempt on the target for the replica; empty if the target has enough free resources.
    pub victims: Vec<PlacedTaskRef>,
}

/// The moves and preemptions that free resources for one job, the beneficiary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocation {
    /// Index of the beneficiary.
    pub job: usize,
    /// Index of the machine planned for each task that the beneficiary can start.
    pub task_machines: Vec<usize>,
    /// Tasks to preempt on these machines.
    pub victims: Vec<PlacedTaskRef>,
    /// Moves of replicas away from these machines.
    pub moves: Vec<ReplicaMove>,
}

/// Limits of one call of [`relocate`].
#[derive(Debug, Clone, Default)]
pub struct RelocationLimits {
    /// Indexes of the jobs that benefit from a relocation in progress, or of which a replica is moving. They neither
    /// benefit from a new relocation nor move further replicas.
    pub busy_jobs: HashSet<usize>,
    /// Maximum number of replicas that begin to move, over all relocations.
    pub max_moves: usize,
}

/// Plans relocations for gangs and daemons that neither found resources nor can get any by preemption. `preemptions`
/// are those of the same round: relocations use neither their machines nor their beneficiaries.
///
/// For every replica that moves, the plan has a target with enough free resources, or one on which tasks that the
/// replica's job may preempt are stopped first. These have a lower priority, unless they are preempted for a team's
/// guarantee. Apart from that case, each relocation therefore ends with fewer waiting tasks of at least the
/// beneficiary's priority than it began with, and a sequence of relocations terminates.
pub fn relocate(
    cluster: &SchedulingSnapshot,
    preemptions: &[Preemption],
    limits: RelocationLimits,
) -> Vec<Relocation> {
    let RelocationLimits { mut busy_jobs, mut max_moves } = limits;
    busy_jobs.extend(preemptions.iter().map(|preemption| preemption.job));
    let mut waiting = waiting_jobs(cluster, &busy_jobs);
    waiting.sort_by(|a, b| first_start_order(&cluster.jobs[*a], &cluster.jobs[*b], cluster.now));
    let mut taken = vec![false; cluster.machines.len()];
    for machine in preemptions.iter().flat_map(|preemption| &preemption.machines) {
        taken[*machine] = true;
    }
    let mut relocations = Vec::new();
    for job in waiting {
        let Some(relocation) = relocate_for(cluster, job, &taken, &busy_jobs) else { continue };
        if relocation.moves.len() > max_moves {
            continue;
        }
        max_moves -= relocation.moves.len();
        busy_jobs.insert(job);
        busy_jobs.extend(relocation.moves.iter().map(|replica_move| replica_move.job));
        let targets = relocation.moves.iter().map(|replica_move| replica_move.target);
        for machine in relocation.task_machines.iter().copied().chain(targets) {
            taken[machine] = true;
        }
        relocations.push(relocation);
    }
    relocations
}

/// Returns the gangs and daemons that have waited for at least `RELOCATION_WAIT`, are due for preemption and not busy.
fn waiting_jobs(cluster: &SchedulingSnapshot, busy_jobs: &HashSet<usize>) -> Vec<usize> {
    let delay_s = millis_f64(constants::RELOCATION_WAIT) / 1000.0;
    let is_waiting = |index: &usize| {
        let job = &cluster.jobs[*index];
        job.needs_all_tasks_at_once()
            && job.startable > 0
            && cluster.now - job.waiting_since >= delay_s
            && !busy_jobs.contains(index)
            && is_due_for_preemption(cluster, *index)
    };
    (0..cluster.jobs.len()).filter(is_waiting).collect()
}

/// Plans the relocation that lets all startable tasks of a gang, or one replica of a daemon, start; `None` if there is
/// none, or if preemption alone is enough.
fn relocate_for(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    taken: &[bool],
    busy_jobs: &HashSet<usize>,
) -> Option<Relocation> {
    let job = &cluster.jobs[job_index];
    let tasks = if job.is_gang { job.startable } else { 1 };
    let team = cluster.teams.get(job.team);
    if team.is_some_and(|team| team.remaining_tasks(&job.request) < tasks) {
        return None;
    }
    let movable = MovableReplicas::find(cluster, job_index, taken, busy_jobs);
    let preemption = SearchScope::preemption(taken);
    if movable.is_empty() || find_preemption(cluster, job_index, tasks, preemption).is_some() {
        return None;
    }
    let scope = SearchScope {
        taken,
        locality: ImageLocality::Any,
        displaceable: Displaceable::PreemptibleOrMovable(&movable),
    };
    let found = find_preemption(cluster, job_index, tasks, scope)?;
    let mut planner = MovePlanner::new(cluster, taken, &found.task_machines);
    let mut victims = Vec::new();
    for task in found.preemption.victims {
        let placed = placed_task(cluster, &task)?;
        if may_preempt(cluster, job_index, placed) {
            victims.push(task);
        } else {
            planner.plan_move(task, placed.job)?;
        }
    }
    let task_machines = found.task_machines;
    Some(Relocation { job: job_index, task_machines, victims, moves: planner.moves })
}

fn placed_task<'a>(
    cluster: &'a SchedulingSnapshot,
    task_ref: &PlacedTaskRef,
) -> Option<&'a PlacedTaskView> {
    let machine = &cluster.machines[task_ref.machine];
    machine.placed_tasks.iter().find(|placed| placed.id == task_ref.task)
}

/// Returns the job as it is after one of its replicas in `zone` has stopped.
fn without_replica(job: &JobView, zone: usize) -> JobView {
    let mut job = job.clone();
    job.placed = job.placed.saturating_sub(1);
    if let Some(placed) = job.placed_per_zone.get_mut(zone) {
        *placed = placed.saturating_sub(1);
    }
    job
}

/// How a machine can take a replica.
enum ReplicaFit {
    /// The replica fits in the free resources.
    Immediate,
    /// The replica fits once these tasks, by their `id`, have been preempted.
    AfterPreemption(Vec<u64>),
}

/// Determines how machine `index` with the resources `free` can take a replica of `job`; `None` if it can't. `job`
/// does not include the replica.
fn replica_fit(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    job: &JobView,
    index: usize,
    free: &Resources,
) -> Option<ReplicaFit> {
    let machine = &cluster.machines[index];
    let usable = machine.schedulable
        && !machine.booting
        && machine.eligible_for(job_index, job)
        && job.may_use_zone(machine.zone);
    if !usable {
        return None;
    }
    if free.can_hold(&job.request) {
        return Some(ReplicaFit::Immediate);
    }
    let victims = victims_on_machine(cluster, job_index, index, 1, Displaceable::Preemptible)?;
    // Without victims the machine has the resources, but the plan has assigned them to other replicas.
    (!victims.tasks.is_empty()).then_some(ReplicaFit::AfterPreemption(victims.tasks))
}

/// The replicas of a daemon in one zone. The same machines can take any of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ReplicaGroup {
    job: usize,
    zone: usize,
}

/// The first two machines that could take one replica of a group, as far as there are any. Two suffice: at least one of
/// them is not the machine that the replica is on.
type Targets = [Option<usize>; 2];

/// The replicas that may move to another machine for a job, with their possible targets.
#[derive(Debug, Default)]
pub(crate) struct MovableReplicas {
    targets: HashMap<ReplicaGroup, Targets>,
}

/// Machines that may have free resources for a replica, or may be cleared for one.
struct PossibleTargets {
    /// Per zone: indexes of the machines.
    by_zone: Vec<Vec<usize>>,
}

impl PossibleTargets {
    /// Finds the machines, except `taken` ones, that have free resources for the smallest replica, or a task of lower
    /// priority than the daemon with the highest priority. If a team has a guarantee, any task counts. With this
    /// selection, not all machines have to be checked for each of possibly thousands of daemons.
    fn find(cluster: &SchedulingSnapshot, taken: &[bool]) -> Self {
        let daemons = || cluster.jobs.iter().filter(|job| job.is_daemon);
        let highest = daemons().map(|job| job.priority).max();
        let smallest = smallest_request(daemons());
        let any_guarantee = cluster.teams.iter().any(TeamView::has_guarantee);
        let mut by_zone = vec![Vec::new(); cluster.zone_count()];
        for (index, machine) in cluster.machines.iter().enumerate() {
            let can_be_cleared = |task: &PlacedTaskView| {
                any_guarantee
                    || highest.is_some_and(|highest| cluster.jobs[task.job].priority < highest)
            };
            let is_possible_target =
                machine.free.can_hold(&smallest) || machine.placed_tasks.iter().any(can_be_cleared);
            if is_possible_target && machine.schedulable && !machine.booting && !taken[index] {
                by_zone[machine.zone].push(index);
            }
        }
        Self { by_zone }
    }

    /// Returns the machines in the zones that the job may use.
    fn for_job(&self, job: &JobView) -> impl Iterator<Item = usize> {
        let zones = self.by_zone.iter().enumerate().filter(|(zone, _)| job.may_use_zone(*zone));
        let zones = zones.filter(|(zone, _)| job.zone.is_none_or(|only| only == *zone));
        zones.flat_map(|(_, machines)| machines.iter().copied())
    }
}

impl MovableReplicas {
    /// Finds the replicas on machines that the job may use, of at most the job's priority. Replicas of a daemon stay
    /// if any of its replicas is not placed.
    fn find(
        cluster: &SchedulingSnapshot,
        job_index: usize,
        taken: &[bool],
        busy_jobs: &HashSet<usize>,
    ) -> Self {
        let job = &cluster.jobs[job_index];
        let possible = PossibleTargets::find(cluster, taken);
        let mut movable = Self::default();
        for (index, machine) in cluster.machines.iter().enumerate() {
            let usable =
                machine.schedulable && !taken[index] && machine.eligible_for(job_index, job);
            if !usable || !job.may_use_zone(machine.zone) {
                continue;
            }
            for task in &machine.placed_tasks {
                let other = &cluster.jobs[task.job];
                let complete_daemon = other.is_daemon && other.placed >= other.tasks;
                if task.job != job_index
                    && complete_daemon
                    && other.priority <= job.priority
                    && !busy_jobs.contains(&task.job)
                {
                    let group = ReplicaGroup { job: task.job, zone: machine.zone };
                    let targets = movable.targets.entry(group);
                    targets.or_insert_with(|| find_targets(cluster, group, &possible));
                }
            }
        }
        movable
    }

    fn is_empty(&self) -> bool {
        self.targets.values().all(|targets| targets[0].is_none())
    }

    /// Whether a task of machine `index` is a replica that could run on another machine.
    pub(crate) fn includes(
        &self,
        task: &PlacedTaskView,
        machine: &MachineView,
        index: usize,
    ) -> bool {
        let group = ReplicaGroup { job: task.job, zone: machine.zone };
        let targets = self.targets.get(&group).into_iter().flatten();
        targets.flatten().any(|target| *target != index)
    }
}

/// Returns the first two machines that could take a replica of the group.
fn find_targets(
    cluster: &SchedulingSnapshot,
    group: ReplicaGroup,
    possible: &PossibleTargets,
) -> Targets {
    let job = without_replica(&cluster.jobs[group.job], group.zone);
    let takes_replica = |index: &usize| {
        let free = &cluster.machines[*index].free;
        replica_fit(cluster, group.job, &job, *index, free).is_some()
    };
    let mut found = possible.for_job(&job).filter(takes_replica);
    [found.next(), found.next()]
}

/// A machine that could take a replica.
struct TargetCandidate {
    machine: usize,
    /// Time to fetch the replica's image, s.
    fetch_time: f64,
    /// Tasks to preempt first, by their `id`.
    victims: Vec<u64>,
}

impl TargetCandidate {
    /// Whether this candidate is better than the other: without preemption rather than with it, then with the shorter
    /// image fetch.
    fn precedes(&self, other: &Self) -> bool {
        let order = |candidate: &Self| (!candidate.victims.is_empty(), candidate.fetch_time);
        order(self) < order(other)
    }
}

/// Assigns the replicas of one relocation to machines.
struct MovePlanner<'a> {
    cluster: &'a SchedulingSnapshot,
    /// Per machine: whether it takes no (further) replica, since it is taken for another job, cleared for the
    /// beneficiary, or cleared for a replica.
    closed: Vec<bool>,
    /// Free resources of the machines that take replicas, less those of the replicas.
    free: HashMap<usize, Resources>,
    /// Jobs of which replicas move, as they are after the moves planned so far.
    jobs: HashMap<usize, JobView>,
    moves: Vec<ReplicaMove>,
}

impl<'a> MovePlanner<'a> {
    fn new(cluster: &'a SchedulingSnapshot, taken: &[bool], cleared: &[usize]) -> Self {
        let mut closed = taken.to_vec();
        for machine in cleared {
            closed[*machine] = true;
        }
        Self { cluster, closed, free: HashMap::new(), jobs: HashMap::new(), moves: Vec::new() }
    }

    /// Plans the move of a replica to the best target; `None` if there is none.
    fn plan_move(&mut self, replica: PlacedTaskRef, job_index: usize) -> Option<()> {
        let cluster = self.cluster;
        let source_zone = cluster.machines[replica.machine].zone;
        let before_move = self.jobs.get(&job_index).unwrap_or(&cluster.jobs[job_index]);
        let mut job = without_replica(before_move, source_zone);
        let TargetCandidate { machine: target, victims, .. } = self.best_target(job_index, &job)?;
        self.closed[target] |= !victims.is_empty();
        let free = self.free.entry(target).or_insert(cluster.machines[target].free);
        free.subtract(&job.request);
        job.placed += 1;
        if let Some(placed) = job.placed_per_zone.get_mut(cluster.machines[target].zone) {
            *placed += 1;
        }
        self.jobs.insert(job_index, job);
        let victims =
            victims.into_iter().map(|task| PlacedTaskRef { machine: target, task }).collect();
        self.moves.push(ReplicaMove { job: job_index, replica, target, victims });
        Some(())
    }

    /// Returns the best target for a replica of `job`, which does not include the replica.
    fn best_target(&self, job_index: usize, job: &JobView) -> Option<TargetCandidate> {
        let mut best: Option<TargetCandidate> = None;
        for (index, machine) in self.cluster.machines.iter().enumerate() {
            if self.closed[index] {
                continue;
            }
            let free = self.free.get(&index).unwrap_or(&machine.free);
            let victims = match replica_fit(self.cluster, job_index, job, index, free) {
                None => continue,
                Some(ReplicaFit::Immediate) => Vec::new(),
                Some(ReplicaFit::AfterPreemption(victims)) => victims,
            };
            let fetch_time = self.cluster.fetch_time(job, machine);
            let candidate = TargetCandidate { machine: index, fetch_time, victims };
            if best.as_ref().is_none_or(|best| candidate.precedes(best)) {
                best = Some(candidate);
            }
        }
        best
    }
}

#[cfg(test)]
mod tests;
