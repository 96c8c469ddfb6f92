//! The admission check: rejects a job that can never run on this platform.

use crate::settings::PlatformSettings;
use hookway_policy::{Infeasible, Quota, Resources, TeamView, check_feasible};
use hookway_wire::{JobSpec, MachineType};

/// Why a job can never run. The text becomes the error in the response to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum AdmissionError {
    #[error("unknown team {0}")]
    UnknownTeam(String),
    #[error("tasks that must spread can't all be in one zone")]
    SpreadExceedsZones,
    #[error(transparent)]
    Infeasible(#[from] Infeasible),
}

/// Checks that a job can run at some time: that its team exists, that `machine_types` and the zones
/// fit its tasks, and that the team's limit allows the tasks that must run at the same time.
pub(super) fn check_admission(
    spec: &JobSpec,
    platform: &PlatformSettings,
    machine_types: &[MachineType],
) -> Result<(), AdmissionError> {
    let Some(team) = platform.teams.iter().find(|team| team.name == spec.team) else {
        return Err(AdmissionError::UnknownTeam(spec.team.clone()));
    };
    let request = Resources::of_task(spec);
    let suitable_types: Vec<bool> = machine_types
        .iter()
        .map(|machine_type| is_suitable(machine_type, spec, &request))
        .collect();
    // All tasks of a gang or a daemon run at the same time, so the suitable zones together must be
    // allowed to run all of them.
    let needs_all_at_once = spec.needs_all_tasks_at_once();
    if needs_all_at_once && suitable_types.contains(&true) {
        let zones = count_suitable_zones(spec, platform, machine_types, &request);
        let max_tasks = u64::from(spec.max_tasks_per_zone()) * zones as u64;
        if max_tasks < u64::from(spec.tasks) {
            return Err(AdmissionError::SpreadExceedsZones);
        }
    }
    let min_tasks = if needs_all_at_once { spec.tasks } else { 1 };
    let limit = Quota { cpus: team.max_cpus, gpus: team.max_gpus };
    let team = TeamView { limit, ..TeamView::default() };
    Ok(check_feasible(&suitable_types, &request, min_tasks, &team)?)
}

/// Whether the job allows machines of this type, and a task fits such a machine.
fn is_suitable(machine_type: &MachineType, spec: &JobSpec, request: &Resources) -> bool {
    spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        && Resources::of_machine_type(machine_type).can_hold(request)
}

/// Returns the number of zones in which tasks of a job can run at the same time: at most one if the
/// job requires a single zone.
fn count_suitable_zones(
    spec: &JobSpec,
    platform: &PlatformSettings,
    machine_types: &[MachineType],
    request: &Resources,
) -> usize {
    let is_suitable_zone = |zone: &&String| {
        spec.zone.as_ref().is_none_or(|required| required == *zone)
            && machine_types.iter().any(|machine_type| {
                machine_type.zones.contains(zone) && is_suitable(machine_type, spec, request)
            })
    };
    let max_zones = if spec.needs_one_zone { 1 } else { usize::MAX };
    platform.zones.iter().filter(is_suitable_zone).take(max_zones).count()
}
