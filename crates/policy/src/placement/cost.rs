//! The placement cost, which ranks the machines for a task (bin packing).

use super::is_usable;
use crate::{JobView, MachineView, SchedulingSnapshot};
use hookway_constants as constants;

/// Upper bound of the price excess in the placement cost, in multiples of the cheapest price per CPU, so that the
/// price does not outweigh all other costs.
const MAX_PRICE_EXCESS: f64 = 4.0;

/// Returns the placement cost of a task of the job on the machine, in seconds of image fetch; lower is better. The
/// cost is the time to fetch the image (image locality) plus penalties that keep whole machines free for work that
/// needs them.
pub(super) fn placement_cost(
    cluster: &SchedulingSnapshot,
    job: &JobView,
    machine: &MachineView,
) -> f64 {
    let mut cost = constants::IMAGE_FETCH_WEIGHT * cluster.fetch_time(job, machine);
    // Prefer machines in use to empty ones, and small machines to large ones, of which a larger share stays free.
    let share_left_free = 1.0 - job.request.dominant_share_of(&machine.free).min(1.0);
    cost += constants::LOOSE_FIT_PENALTY_S * share_left_free;
    if machine.placed_tasks.is_empty() {
        cost += constants::EMPTY_MACHINE_PENALTY_S;
    }
    // Leave machines that are large enough for a gang's task to gangs: preempting other tasks there loses their work.
    let could_hold_gang_task =
        || cluster.gang_requests.iter().any(|request| machine.capacity.can_hold(request));
    if !job.is_gang && could_hold_gang_task() {
        cost += constants::GANG_MACHINE_PENALTY_S;
    }
    // Use expensive machines last, so that they become idle first and are scaled in.
    let cheapest = cluster.cheapest_cpu_price;
    if cheapest > 0.0 {
        let excess = machine.cpu_price() / cheapest - 1.0;
        cost += constants::PRICE_PENALTY_S * excess.clamp(0.0, MAX_PRICE_EXCESS);
    }
    cost
}

/// A machine with its placement cost.
struct RankedMachine {
    cost: f64,
    index: usize,
}

/// Returns those of the candidates that the job could use now, lowest placement cost first; only those in `zone` if
/// one is given. Placing a task lowers the cost of its machine for the next task and leaves the cost of the other
/// machines unchanged, so one ranking is enough to place any number of tasks.
pub(super) fn machines_by_cost(
    cluster: &SchedulingSnapshot,
    job_index: usize,
    zone: Option<usize>,
    candidates: &[usize],
) -> Vec<usize> {
    let job = &cluster.jobs[job_index];
    let mut ranking: Vec<RankedMachine> = candidates
        .iter()
        .map(|index| (*index, &cluster.machines[*index]))
        .filter(|(_, machine)| zone.is_none_or(|zone| zone == machine.zone))
        .filter(|(_, machine)| is_usable(job_index, job, machine))
        .map(|(index, machine)| RankedMachine {
            cost: placement_cost(cluster, job, machine),
            index,
        })
        .collect();
    ranking.sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost).then(a.index.cmp(&b.index)));
    ranking.into_iter().map(|machine| machine.index).collect()
}
