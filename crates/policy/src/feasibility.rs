//! Admission check: whether a job can run at all, however long it waits.

use crate::{Resources, TeamView};

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// None of the machine types that the job allows is large enough for one task.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The tasks that must run at the same time request more than the limit of the team.
    #[error("the job needs more than its team's limit")]
    ExceedsTeamLimit,
}

/// Checks that a task fits some machine type, and that the team's limit allows the tasks that must run at the same
/// time.
///
/// `machine_types` says for each type whether the job allows it and a task fits. `tasks` is the number of tasks that
/// must run at the same time: one of an array, all of a gang. The resources that the team uses now do not count.
pub fn check_feasible(
    machine_types: &[bool],
    request: &Resources,
    tasks: u32,
    team: &TeamView,
) -> Result<(), Infeasible> {
    if !machine_types.contains(&true) {
        return Err(Infeasible::NoMachineType);
    }
    let unused = TeamView { used: Resources::default(), ..team.clone() };
    if unused.remaining_tasks(request) < tasks {
        return Err(Infeasible::ExceedsTeamLimit);
    }
    Ok(())
}
