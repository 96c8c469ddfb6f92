//! Autoscaling: how many machines of which kind the fleet should have. A plan assigns waiting tasks to the existing
//! machines, and tasks that do not fit there to new machines from the cheapest offers of the cloud. The assignment
//! only sizes the fleet; it places no task.

use crate::placement::{fleet_could_hold, smallest_request, startable_jobs};
use crate::{JobView, MachineView, Resources, SchedulingSnapshot, desired_tasks};

/// Maximum number of machines that one plan adds, which bounds the duration of a round. The next round adds more.
const MAX_PLANNED_MACHINES: usize = 64;

/// Work time over which the costs of boot and image fetch are spread when offers are compared, s.
const NOMINAL_WORK_S: f64 = 60.0;

/// A kind of machine that the cloud can provide now.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineOffer {
    /// Index of the machine type.
    pub machine_type: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Whether these are spot machines rather than on-demand ones.
    pub is_spot: bool,
    /// Price of one machine per hour.
    pub price: f64,
}

/// Machines to add from one offer.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOut {
    /// Index of the offer in the list given to [`plan_scaling`].
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// The result of an autoscaling round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to add, by offer.
    pub scale_out: Vec<ScaleOut>,
    /// Per existing machine: whether the plan assigned a waiting task to it.
    pub needed: Vec<bool>,
}

/// A machine that the plan adds.
struct PlannedMachine {
    /// Index of the offer.
    offer: usize,
    /// Resources that no task is assigned to.
    free: Resources,
}

/// The tasks of a job that the plan has not assigned to a machine yet.
struct Shortage {
    /// Number of tasks.
    tasks: u32,
    /// Per zone: how many of the tasks it may hold.
    per_zone: Vec<u32>,
}

impl Shortage {
    /// Assigns up to `fitting` tasks to a zone and returns how many.
    fn assign(&mut self, fitting: u32, zone: usize) -> u32 {
        let tasks = fitting.min(self.tasks).min(self.per_zone[zone]);
        self.tasks -= tasks;
        self.per_zone[zone] -= tasks;
        tasks
    }
}

/// A scaling plan in progress; assigns the tasks of one job after another to machines.
struct Planner<'a> {
    cluster: &'a SchedulingSnapshot,
    offers: &'a [MachineOffer],
    zone_count: usize,
    /// Per existing machine: free resources less those of assigned tasks.
    free: Vec<Resources>,
    /// Per team: used resources, including those of the tasks that the plan counts.
    used: Vec<Resources>,
    /// Indexes of the machines with free resources for some task, in the order in which the plan uses them.
    machines: Vec<usize>,
    planned: Vec<PlannedMachine>,
    plan: ScalingPlan,
}

/// Plans which machines to add, and which of the existing machines are needed. Tasks are first assigned to the free
/// resources of machines that are schedulable or booting, then to machines that the plan adds.
pub fn plan_scaling(cluster: &SchedulingSnapshot, offers: &[MachineOffer]) -> ScalingPlan {
    let smallest = smallest_request(startable_jobs(&cluster.jobs));
    let mut planner = Planner::new(cluster, offers, &smallest);
    for job_index in jobs_to_scale_for(cluster) {
        let mut shortage = planner.compute_shortage(job_index, &smallest);
        planner.assign_to_existing_machines(job_index, &mut shortage);
        planner.assign_to_planned_machines(job_index, &mut shortage);
        planner.add_machines(job_index, &mut shortage);
        if planner.planned.len() >= MAX_PLANNED_MACHINES {
            return planner.plan;
        }
    }
    planner.add_machines_for_crash_looping_arrays();
    planner.plan
}

impl<'a> Planner<'a> {
    fn new(
        cluster: &'a SchedulingSnapshot,
        offers: &'a [MachineOffer],
        smallest: &Resources,
    ) -> Self {
        let zones = cluster.machines.iter().map(|machine| machine.zone);
        let zones = zones.chain(offers.iter().map(|offer| offer.zone));
        Self {
            cluster,
            offers,
            zone_count: zones.max().map_or(0, |last| last + 1),
            free: cluster.machines.iter().map(|machine| machine.free).collect(),
            used: cluster.teams.iter().map(|team| team.used).collect(),
            machines: machines_with_free_resources(cluster, smallest),
            planned: Vec::new(),
            plan: ScalingPlan { scale_out: vec![], needed: vec![false; cluster.machines.len()] },
        }
    }

    /// Returns the tasks to provide resources for, within the limit of the job's team, and counts their resources as
    /// used by the team. Also drops the machines whose free resources are less than `smallest`.
    fn compute_shortage(&mut self, job_index: usize, smallest: &Resources) -> Shortage {
        let job = &self.cluster.jobs[job_index];
        let provisioning_time = provisioning_time(self.cluster, job);
        let desired = desired_tasks(job, self.cluster.now, provisioning_time);
        let mut tasks = desired.saturating_sub(job.placed).min(job.startable);
        if let Some(team) = self.cluster.teams.get(job.team) {
            let mut team = team.clone();
            team.used = self.used[job.team];
            tasks = tasks.min(team.remaining_tasks(&job.request));
            for _ in 0..tasks {
                self.used[job.team].add(&job.request);
            }
        }
        self.machines.retain(|index| self.free[*index].can_hold(smallest));
        Shortage { tasks, per_zone: self.tasks_allowed_per_zone(job_index, tasks) }
    }

    /// Returns how many more tasks of a job each zone may hold. Without these bounds, a gang that must spread, or stay
    /// in one zone, would seem to fit on machines that it must not use, and no machines would be added for it.
    fn tasks_allowed_per_zone(&self, job_index: usize, tasks: u32) -> Vec<u32> {
        let job = &self.cluster.jobs[job_index];
        let mut allowed: Vec<u32> = (0..self.zone_count)
            .map(|zone| job.max_tasks_per_zone.saturating_sub(job.placed_in(zone)))
            .collect();
        if !job.needs_one_zone || job.tasks <= 1 {
            return allowed;
        }
        // Prefer the zone that the job is in; then a zone with free resources for all tasks of a gang, or a quarter of
        // those of an array; then one where machines can be added; then the one with most free resources.
        let enough = if job.is_gang { tasks } else { tasks.div_ceil(4) };
        let best = (0..self.zone_count).max_by_key(|zone| {
            let fitting = self.tasks_fitting_in_zone(job_index, *zone).min(tasks);
            (job.placed_in(*zone), fitting >= enough, self.has_offer(job, *zone), fitting)
        });
        for (zone, allowed) in allowed.iter_mut().enumerate() {
            if Some(zone) != best {
                *allowed = 0;
            }
        }
        allowed
    }

    /// Returns how many tasks of the job fit in the unassigned resources of a zone.
    fn tasks_fitting_in_zone(&self, job_index: usize, zone: usize) -> u32 {
        let job = &self.cluster.jobs[job_index];
        let in_zone =
            self.machines.iter().filter(|index| self.cluster.machines[**index].zone == zone);
        in_zone
            .filter(|index| may_use(self.cluster, job_index, &self.cluster.machines[**index]))
            .fold(0, |sum: u32, index| {
                sum.saturating_add(self.free[*index].max_tasks(&job.request))
            })
    }

    fn has_offer(&self, job: &JobView, zone: usize) -> bool {
        self.offers.iter().any(|offer| offer.zone == zone && allows_offer(job, offer))
    }

    /// Assigns tasks to machines that are schedulable or booting.
    fn assign_to_existing_machines(&mut self, job_index: usize, shortage: &mut Shortage) {
        let job = &self.cluster.jobs[job_index];
        for &index in &self.machines {
            let machine = &self.cluster.machines[index];
            if shortage.tasks == 0 {
                break;
            }
            if !may_use(self.cluster, job_index, machine) {
                continue;
            }
            let tasks = shortage.assign(self.free[index].max_tasks(&job.request), machine.zone);
            if tasks > 0 {
                self.plan.needed[index] = true;
                subtract_tasks(&mut self.free[index], &job.request, tasks);
            }
        }
    }

    /// Assigns tasks to machines that the plan already adds for other jobs.
    fn assign_to_planned_machines(&mut self, job_index: usize, shortage: &mut Shortage) {
        let job = &self.cluster.jobs[job_index];
        for machine in &mut self.planned {
            let offer = &self.offers[machine.offer];
            if shortage.tasks == 0 {
                break;
            }
            if allows_offer(job, offer) {
                let fitting = machine.free.max_tasks(&job.request);
                let tasks = shortage.assign(fitting, offer.zone);
                subtract_tasks(&mut machine.free, &job.request, tasks);
            }
        }
    }

    /// Adds machines for the remaining tasks, each from the offer with the lowest price per task.
    fn add_machines(&mut self, job_index: usize, shortage: &mut Shortage) {
        let job = &self.cluster.jobs[job_index];
        while shortage.tasks > 0 && self.planned.len() < MAX_PLANNED_MACHINES {
            let Some(cheapest) = self.cheapest_offer(job, shortage) else { break };
            let offer = &self.offers[cheapest.offer];
            let tasks = shortage.assign(cheapest.tasks_per_machine, offer.zone);
            let machine_type = &self.cluster.machine_types[offer.machine_type];
            let mut free = Resources::of_machine_type(machine_type);
            subtract_tasks(&mut free, &job.request, tasks);
            self.planned.push(PlannedMachine { offer: cheapest.offer, free });
            self.add_to_plan(cheapest.offer);
        }
    }

    fn add_to_plan(&mut self, offer: usize) {
        match self.plan.scale_out.iter_mut().find(|scale_out| scale_out.offer == offer) {
            Some(scale_out) => scale_out.count += 1,
            None => self.plan.scale_out.push(ScaleOut { offer, count: 1 }),
        }
    }

    /// Adds a machine for each crash-looping array that no existing or planned machine could run, earlier additions
    /// included. One machine thus serves all such arrays that it could run.
    fn add_machines_for_crash_looping_arrays(&mut self) {
        for (job_index, job) in self.cluster.jobs.iter().enumerate() {
            if !job.crash_looping || job.is_gang || job.startable == 0 {
                continue;
            }
            let mut planned = self.plan.scale_out.iter().map(|added| &self.offers[added.offer]);
            let could_run = |machine: &MachineView| {
                may_use(self.cluster, job_index, machine) && machine.capacity.can_hold(&job.request)
            };
            let has_machine = self.cluster.machines.iter().any(could_run);
            if has_machine || planned.any(|offer| allows_offer(job, offer)) {
                continue;
            }
            let one_task = Shortage { tasks: 1, per_zone: vec![1; self.zone_count] };
            if let Some(cheapest) = self.cheapest_offer(job, &one_task) {
                self.plan.scale_out.push(ScaleOut { offer: cheapest.offer, count: 1 });
            }
        }
    }

    /// Returns the offer with the lowest price per task; `None` if no offer can provide a machine for the job.
    fn cheapest_offer(&self, job: &JobView, shortage: &Shortage) -> Option<CheapestOffer> {
        let mut cheapest: Option<CheapestOffer> = None;
        for (index, offer) in self.offers.iter().enumerate() {
            if !allows_offer(job, offer) || shortage.per_zone[offer.zone] == 0 {
                continue;
            }
            let machine_type = self.cluster.machine_types.get(offer.machine_type)?;
            let fitting = Resources::of_machine_type(machine_type).max_tasks(&job.request);
            if fitting == 0 {
                continue;
            }
            let tasks = fitting.min(shortage.tasks).min(shortage.per_zone[offer.zone]);
            // The price is also due while the machine boots and fetches the image.
            let fetch = machine_type.image_fetch_s(job.image_gb);
            let overhead = 1.0 + (machine_type.boot_s + fetch) / NOMINAL_WORK_S;
            let price = offer.price * overhead / f64::from(tasks);
            if cheapest.as_ref().is_none_or(|found| price < found.price_per_task) {
                cheapest = Some(CheapestOffer {
                    offer: index,
                    tasks_per_machine: fitting,
                    price_per_task: price,
                });
            }
        }
        cheapest
    }
}

/// The offer with the lowest price per task for a job.
struct CheapestOffer {
    /// Index of the offer.
    offer: usize,
    /// Number of tasks that fit on an empty machine.
    tasks_per_machine: u32,
    /// Price per hour and task, including the share of boot and image fetch.
    price_per_task: f64,
}

fn subtract_tasks(free: &mut Resources, request: &Resources, tasks: u32) {
    for _ in 0..tasks {
        free.subtract(request);
    }
}

fn allows_offer(job: &JobView, offer: &MachineOffer) -> bool {
    job.allows(offer.machine_type, offer.zone, offer.is_spot)
}

/// Returns the machines with free resources for some task: running before booting, in use before empty, cheap before
/// expensive. Expensive machines thus tend to stay idle and are scaled in.
fn machines_with_free_resources(cluster: &SchedulingSnapshot, smallest: &Resources) -> Vec<usize> {
    let mut machines: Vec<usize> = (0..cluster.machines.len())
        .filter(|index| cluster.machines[*index].free.can_hold(smallest))
        .collect();
    machines.sort_by(|a, b| {
        let (a, b) = (&cluster.machines[*a], &cluster.machines[*b]);
        let state = |machine: &MachineView| (machine.booting, machine.placed_tasks.is_empty());
        state(a).cmp(&state(b)).then(a.cpu_price().total_cmp(&b.cpu_price()))
    });
    machines
}

/// Returns the jobs that machines may be added for, by priority and age.
///
/// For a crash-looping job, machines are added only if the existing ones could not run it. Such a job must not wait
/// indefinitely, since machines may have caused its failures. Machines are added for one crash-looping gang at a time;
/// for crash-looping arrays see [`Planner::add_machines_for_crash_looping_arrays`].
fn jobs_to_scale_for(cluster: &SchedulingSnapshot) -> Vec<usize> {
    let gang_beyond_fleet = (0..cluster.jobs.len()).find(|index| {
        let job = &cluster.jobs[*index];
        job.crash_looping && job.is_gang && job.startable > 0 && !fleet_could_hold(cluster, *index)
    });
    let mut order: Vec<usize> = (0..cluster.jobs.len())
        .filter(|index| !cluster.jobs[*index].crash_looping || Some(*index) == gang_beyond_fleet)
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&cluster.jobs[*a], &cluster.jobs[*b]);
        b.priority.cmp(&a.priority).then(a.submitted.total_cmp(&b.submitted))
    });
    order
}

/// Whether the plan may assign tasks of the job to an existing machine, regardless of free resources.
fn may_use(cluster: &SchedulingSnapshot, job_index: usize, machine: &MachineView) -> bool {
    (machine.schedulable || machine.booting)
        && machine.eligible_for(job_index, &cluster.jobs[job_index])
}

/// Returns the shortest time in which a machine added now could run a task of the job, s: boot and image fetch. 0 if
/// the job allows no machine type.
fn provisioning_time(cluster: &SchedulingSnapshot, job: &JobView) -> f64 {
    let fastest = cluster
        .machine_types
        .iter()
        .enumerate()
        .filter(|(index, _)| job.machine_types.get(*index).copied().unwrap_or(false))
        .map(|(_, machine_type)| machine_type.boot_s + machine_type.image_fetch_s(job.image_gb))
        .fold(f64::INFINITY, f64::min);
    if fastest.is_finite() { fastest } else { 0.0 }
}

#[cfg(test)]
mod tests;
