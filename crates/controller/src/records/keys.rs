//! The keys of records.

use hookway_constants as constants;
use hookway_wire::JobId;

/// Prefix of the keys that elections use.
pub const LEADER_PREFIX: &str = "lead/";
/// The leader.
pub const LEADER_KEY: &str = "lead/now";
/// The highest fencing token so far.
pub const LEADER_TERM_KEY: &str = "lead/term";
/// The highest fencing token of the last term in which the start watermarks in the state service were
/// complete: every task that may have been started lies below the watermark of its job.
pub const COMPLETE_WATERMARKS_KEY: &str = "lead/watermarks";
/// The same for versions before [`COMPLETE_WATERMARKS_KEY`], which rely on it. They write it with
/// every election, also before it holds, so this version writes it and never reads it.
pub const LEADER_WATERMARKS_KEY: &str = "lead/marked";
/// Prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "j/";
/// Prefix of final states.
pub const FINAL_STATES_PREFIX: &str = "f/";
/// Prefix of progress records.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of scheduling records and shared start watermarks.
pub const SCHEDULING_PREFIX: &str = "m/";
/// Prefix of the machine registry.
pub const REGISTRY_PREFIX: &str = "r/";
/// Prefix of the image records of version 0.1.0.
pub const LEGACY_IMAGES_PREFIX: &str = "i/";
/// What classes of jobs request.
pub const CLASSES_KEY: &str = "c/lanes";

/// What follows [`SCHEDULING_PREFIX`] in the keys of shared start watermarks.
const SHARED_WATERMARKS: &str = "shared-";

/// `j/<job>`.
pub fn job_key(job: &JobId) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// `f/<job>`.
pub fn final_state_key(job: &JobId) -> String {
    format!("{FINAL_STATES_PREFIX}{job}")
}

/// The key of the progress record whose first task is `first_task`.
pub fn progress_key(job: &JobId, first_task: u32) -> String {
    let page = first_task / constants::PROGRESS_PAGE_TASKS;
    if first_task.is_multiple_of(constants::PROGRESS_PAGE_TASKS) {
        format!("{PROGRESS_PREFIX}{job}/{page}")
    } else {
        format!("{PROGRESS_PREFIX}{job}/{page}/{first_task}")
    }
}

/// The job and the first task of the key of a progress record.
pub fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let parts: Vec<&str> = key.strip_prefix(PROGRESS_PREFIX)?.split('/').collect();
    let (job, first_task) = match parts.as_slice() {
        [job, page] => {
            (job, page.parse::<u32>().ok()?.checked_mul(constants::PROGRESS_PAGE_TASKS)?)
        }
        [job, _, first_task] => (job, first_task.parse().ok()?),
        _ => return None,
    };
    Some((JobId::parse(job)?, first_task))
}

/// `m/<job>`.
pub fn scheduling_key(job: &JobId) -> String {
    format!("{SCHEDULING_PREFIX}{job}")
}

/// `m/shared-<number>`.
pub fn shared_watermarks_key(number: u64) -> String {
    format!("{SCHEDULING_PREFIX}{SHARED_WATERMARKS}{number}")
}

/// The number in the key of shared start watermarks.
pub fn parse_shared_watermarks_key(key: &str) -> Option<u64> {
    key.strip_prefix(SCHEDULING_PREFIX)?.strip_prefix(SHARED_WATERMARKS)?.parse().ok()
}

/// `r/<name>`: the name of a registry record or, in version 0.1.0, of a machine.
pub fn registry_key(name: &str) -> String {
    format!("{REGISTRY_PREFIX}{name}")
}
