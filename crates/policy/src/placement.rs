//! Placement: one scheduling round decides which tasks start on which machines.

mod cost;
mod reservation;

pub(crate) use reservation::fleet_could_hold;

use crate::preemption::is_preemption_cheaper;
use crate::{JobView, MachineView, QueueEntry, Resources, SchedulingSnapshot, scheduling_queue};
use cost::machines_by_cost;
use hookway_constants as constants;
use hookway_time::millis_f64;
use reservation::reserve_machines;

/// Tasks of a job to start, with their machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Index of the job.
    pub job: usize,
    /// Index of the machine of each task; a machine occurs once for each of its tasks.
    pub machines: Vec<usize>,
}

/// The part of a team's limit that is reserved for a waiting gang.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaReservation {
    /// Index of the team.
    pub team: usize,
    /// Resources for all startable tasks of the gang.
    pub resources: Resources,
}

/// The result of a scheduling round.
#[derive(Debug, Clone, Default)]
pub struct RoundOutcome {
    /// Tasks to start, in the order of the scheduling queue.
    pub placements: Vec<Placement>,
    /// Entries of the scheduling queue, in its order, with the number of tasks that found no resources. Gangs are left
    /// out, since single tasks of them must not be placed.
    pub unplaced: Vec<QueueEntry>,
    /// Reserved parts of teams' limits, at most one per team.
    pub quota_reservations: Vec<QuotaReservation>,
}

/// Runs one scheduling round: assigns tasks to free resources in the order of the scheduling queue, within the limits
/// of teams and the zone and machine constraints of jobs. Updates the snapshot with the placed tasks and the reserved
/// machines.
pub fn place(cluster: &mut SchedulingSnapshot) -> RoundOutcome {
    let in_service = |machine: &&MachineView| machine.schedulable && !machine.booting;
    let cpu_capacity =
        cluster.machines.iter().filter(in_service).map(|machine| machine.capacity.cpus).sum();
    let queue = scheduling_queue(&cluster.jobs, cluster.now, cpu_capacity);
    let mut round = Round::new(cluster);
    for entry in queue {
        round.place_entry(entry);
    }
    round.finish()
}

/// A scheduling round in progress.
struct Round<'a> {
    cluster: &'a mut SchedulingSnapshot,
    /// The smallest request per resource; a machine with less free resources can take no task.
    smallest_request: Resources,
    /// Indexes of the machines that may have free resources for some task.
    candidates: Vec<usize>,
    /// Whether this round has reserved machines for a gang, which it does for one gang at most.
    has_machine_reservation: bool,
    outcome: RoundOutcome,
}

impl<'a> Round<'a> {
    fn new(cluster: &'a mut SchedulingSnapshot) -> Self {
        let candidates = (0..cluster.machines.len())
            .filter(|index| cluster.machines[*index].schedulable)
            .collect();
        Self {
            smallest_request: smallest_request(startable_jobs(&cluster.jobs)),
            candidates,
            cluster,
            has_machine_reservation: false,
            outcome: RoundOutcome::default(),
        }
    }

    /// Places the tasks of a queue entry, or reserves resources if the entry is for a gang that does not fit.
    fn place_entry(&mut self, entry: QueueEntry) {
        let machines = &self.cluster.machines;
        self.candidates.retain(|index| machines[*index].free.can_hold(&self.smallest_request));
        let machines = place_job(self.cluster, entry.job, entry.tasks, &self.candidates);
        let job = &self.cluster.jobs[entry.job];
        let placed = machines.len() as u32;
        if !job.is_gang && placed < entry.tasks.min(job.startable) {
            let tasks = entry.tasks - placed;
            self.outcome.unplaced.push(QueueEntry { tasks, ..entry });
        }
        if !machines.is_empty() {
            self.outcome.placements.push(Placement { job: entry.job, machines });
        } else if job.is_gang && !entry.is_backfill && !job.crash_looping {
            self.reserve_for_gang(entry.job);
        }
    }

    /// Reserves quota and machines for a gang that found no resources.
    ///
    /// A gang needs all its resources at once, so arrays that use whatever becomes free would starve it. Quota is
    /// reserved immediately for the first waiting gang of a team, since tasks preempted for the gang would otherwise
    /// restart within that quota. Machines are reserved after `GANG_RESERVATION_DELAY`. A gang that the existing
    /// machines can't hold even when they are cleared must not block its team's other jobs indefinitely: it gets no
    /// reservations after `MAX_GANG_RESERVATION_WAIT`.
    fn reserve_for_gang(&mut self, job_index: usize) {
        let job = &self.cluster.jobs[job_index];
        let waited_ms = (self.cluster.now - job.waiting_since) * 1000.0;
        let waited_too_long = waited_ms >= millis_f64(constants::MAX_GANG_RESERVATION_WAIT);
        if waited_too_long && !fleet_could_hold(self.cluster, job_index) {
            return;
        }
        let within_quota = self.reserve_quota(job_index);
        let waited_long_enough = waited_ms >= millis_f64(constants::GANG_RESERVATION_DELAY);
        if within_quota && !self.has_machine_reservation && waited_long_enough {
            self.has_machine_reservation = reserve_machines(self.cluster, job_index);
        }
    }

    /// Reserves quota for a gang unless another gang of the team has a reservation. Returns `false` if the team's
    /// limit does not allow the gang now; the quota is reserved in this case too.
    fn reserve_quota(&mut self, job_index: usize) -> bool {
        let job = &self.cluster.jobs[job_index];
        let reservation =
            QuotaReservation { team: job.team, resources: job.request.times(job.startable) };
        let mut reservations = self.outcome.quota_reservations.iter();
        if reservations.any(|other| other.team == reservation.team) {
            return true;
        }
        let Some(team) = self.cluster.teams.get_mut(reservation.team) else { return true };
        let within_limit = team.remaining_tasks(&reservation.resources) > 0;
        team.used.add(&reservation.resources);
        self.outcome.quota_reservations.push(reservation);
        within_limit
    }

    /// Returns the outcome. Quota reserved during the round no longer counts as used in the snapshot.
    fn finish(self) -> RoundOutcome {
        for reservation in &self.outcome.quota_reservations {
            self.cluster.teams[reservation.team].used.subtract(&reservation.resources);
        }
        self.outcome
    }
}

/// Returns the jobs with tasks to start.
pub(crate) fn startable_jobs(jobs: &[JobView]) -> impl Iterator<Item = &JobView> {
    jobs.iter().filter(|job| job.startable > 0)
}

/// Returns the smallest request of these jobs for each resource; infinite amounts without jobs.
pub(crate) fn smallest_request<'a>(jobs: impl Iterator<Item = &'a JobView>) -> Resources {
    let infinite = Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY };
    jobs.fold(infinite, |smallest, job| Resources {
        cpus: smallest.cpus.min(job.request.cpus),
        gpus: smallest.gpus.min(job.request.gpus),
        memory_gb: smallest.memory_gb.min(job.request.memory_gb),
    })
}

/// Whether one more task of the job may be placed on the machine now.
fn is_usable(job_index: usize, job: &JobView, machine: &MachineView) -> bool {
    machine.schedulable
        && !machine.booting
        && machine.eligible_for(job_index, job)
        && machine.free.can_hold(&job.request)
        && job.may_use_zone(machine.zone)
}

/// Places up to `tasks` tasks of an array or a daemon, or either all startable tasks of a gang or none. Updates the
/// snapshot and returns the machine of each task.
fn place_job(
    cluster: &mut SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
    candidates: &[usize],
) -> Vec<usize> {
    let job = &cluster.jobs[job_index];
    let team = cluster.teams.get(job.team).cloned().unwrap_or_default();
    let tasks = tasks.min(job.startable);
    let allowed = team.remaining_tasks(&job.request).min(tasks);
    if allowed == 0 || (job.is_gang && allowed < tasks) {
        return Vec::new();
    }
    let is_gang = job.is_gang;
    let zone = zone_for_first_task(cluster, job_index);
    let ranking = machines_by_cost(cluster, job_index, zone, candidates);
    if is_gang {
        place_gang(cluster, job_index, tasks, &ranking)
    } else {
        assign_tasks(cluster, job_index, allowed, &ranking)
    }
}

/// Returns the zone with free resources for most tasks, if the job must be in one zone and has no task placed yet;
/// otherwise `None`.
fn zone_for_first_task(cluster: &SchedulingSnapshot, job_index: usize) -> Option<usize> {
    let job = &cluster.jobs[job_index];
    if !job.needs_one_zone || job.placed_per_zone.iter().any(|placed| *placed > 0) {
        return None;
    }
    (0..cluster.zone_count()).max_by_key(|zone| tasks_fitting_in_zone(cluster, job_index, *zone))
}

/// Returns how many tasks of the job fit in the free resources of a zone.
fn tasks_fitting_in_zone(cluster: &SchedulingSnapshot, job_index: usize, zone: usize) -> u32 {
    let job = &cluster.jobs[job_index];
    cluster
        .machines
        .iter()
        .filter(|machine| machine.zone == zone && is_usable(job_index, job, machine))
        .fold(0u32, |sum, machine| sum.saturating_add(machine.free.max_tasks(&job.request)))
}

/// Assigns up to `tasks` tasks to machines in the order of a ranking, and returns the machine of each task.
fn assign_tasks(
    cluster: &mut SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
    ranking: &[usize],
) -> Vec<usize> {
    let mut machines = Vec::new();
    for &index in ranking {
        while (machines.len() as u32) < tasks
            && is_usable(job_index, &cluster.jobs[job_index], &cluster.machines[index])
        {
            assign(cluster, job_index, index);
            machines.push(index);
        }
        if machines.len() as u32 == tasks {
            break;
        }
    }
    machines
}

/// Assigns one task of the job to a machine in the snapshot.
fn assign(cluster: &mut SchedulingSnapshot, job_index: usize, machine: usize) {
    let request = cluster.jobs[job_index].request;
    let zone = cluster.machines[machine].zone;
    cluster.machines[machine].free.subtract(&request);
    let job = &mut cluster.jobs[job_index];
    if let Some(team) = cluster.teams.get_mut(job.team) {
        team.used.add(&request);
    }
    job.placed += 1;
    job.startable -= 1;
    if let Some(placed) = job.placed_per_zone.get_mut(zone) {
        *placed += 1;
    }
}

/// Assigns all `tasks` of a gang and returns their machines; or returns none and leaves the snapshot as it was.
fn place_gang(
    cluster: &mut SchedulingSnapshot,
    job_index: usize,
    tasks: u32,
    ranking: &[usize],
) -> Vec<usize> {
    let job_before = cluster.jobs[job_index].clone();
    let teams_before = cluster.teams.clone();
    let request = job_before.request;
    let machines = assign_tasks(cluster, job_index, tasks, ranking);
    // Undo the assignment: the decision whether to wait needs the snapshot as it was before.
    for &index in &machines {
        cluster.machines[index].free.add(&request);
    }
    let job_assigned = std::mem::replace(&mut cluster.jobs[job_index], job_before);
    let teams_assigned = std::mem::replace(&mut cluster.teams, teams_before);
    let complete = machines.len() as u32 == tasks;
    if !complete || should_wait_for_preemption(cluster, job_index, &machines) {
        return Vec::new();
    }
    for &index in &machines {
        cluster.machines[index].free.subtract(&request);
    }
    cluster.jobs[job_index] = job_assigned;
    cluster.teams = teams_assigned;
    machines
}

/// Whether a gang that found resources on these machines should wait for preemption on other machines instead.
///
/// The tasks of a gang start together, so a single image fetch delays all of them. Waiting is cheaper than the fetch
/// if machines that hold the image are being cleared for the gang, or can be cleared at a lower cost.
fn should_wait_for_preemption(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    machines: &[usize],
) -> bool {
    let job = &cluster.jobs[job_index];
    let longest_fetch = machines
        .iter()
        .map(|index| cluster.fetch_time(job, &cluster.machines[*index]))
        .fold(0.0, f64::max);
    if longest_fetch <= 0.0 || job.crash_looping {
        return false;
    }
    // If any machine that is being cleared lacks the image, waiting does not save the fetch: the gang starts now.
    let mut reserved = cluster
        .machines
        .iter()
        .filter(|machine| machine.reserved_for == Some(job_index))
        .peekable();
    let being_cleared = reserved.peek().is_some()
        && reserved.all(|machine| cluster.fetch_time(job, machine) <= 0.0);
    let gang_cpus = job.request.cpus * f64::from(job.tasks);
    being_cleared || is_preemption_cheaper(cluster, job_index, longest_fetch * gang_cpus)
}

#[cfg(test)]
mod tests;
