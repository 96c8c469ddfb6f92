//! The keys of the records in the store.

use hookway_constants as constants;
use hookway_wire::JobId;

/// Prefix of the keys that elections use.
pub const LEADER_PREFIX: &str = "lead/";
/// Key of the [`LeaderRecord`](super::LeaderRecord). Absent while there is no leader.
pub const LEADER_KEY: &str = "lead/now";
/// Key of the highest fencing token of all terms so far.
pub const LEADER_TERM_KEY: &str = "lead/term";
/// Key of the marker of complete start watermarks: the highest fencing token of the last term in
/// which the start watermarks in the store were complete. They are complete if the index of every
/// task that may have been started is below the watermark of its job.
pub const COMPLETE_WATERMARKS_KEY: &str = "lead/watermarks";
/// Key of the same marker for versions that lack [`COMPLETE_WATERMARKS_KEY`], and rely on this one.
/// Those versions write it with every election, even while the watermarks are not complete, so this
/// version writes it and never reads it.
pub const LEGACY_COMPLETE_WATERMARKS_KEY: &str = "lead/marked";
/// Prefix of the records of accepted jobs that are not finished.
pub const JOBS_PREFIX: &str = "j/";
/// Prefix of the final states of jobs.
pub const FINAL_STATES_PREFIX: &str = "f/";
/// Prefix of progress records.
pub const PROGRESS_PREFIX: &str = "p/";
/// Prefix of scheduling records and shared start watermarks.
pub const SCHEDULING_PREFIX: &str = "m/";
/// Prefix of the records of the machine registry.
pub const REGISTRY_PREFIX: &str = "r/";
/// Prefix of the image records of version 0.1.0.
pub const LEGACY_IMAGES_PREFIX: &str = "i/";
/// Prefix of the questions of controllers to the leader about job statuses.
pub const STATUS_QUESTIONS_PREFIX: &str = "q/";
/// Prefix of the leader's answers to these questions.
const STATUS_ANSWERS_PREFIX: &str = "a/";
/// Key of the [`ClassRecord`](super::ClassRecord)s of all classes of jobs, by class.
pub const CLASSES_KEY: &str = "c/lanes";

/// Text between [`SCHEDULING_PREFIX`] and the number in the keys of shared start watermarks.
const SHARED_WATERMARKS_INFIX: &str = "shared-";

/// Returns `j/<job>`, the key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// Returns `f/<job>`, the key of a job's final state.
pub fn final_state_key(job: &JobId) -> String {
    format!("{FINAL_STATES_PREFIX}{job}")
}

/// Returns the key of the progress record that begins at task `first_task`: `p/<job>/<page>` if
/// that is the first task of a page, `p/<job>/<page>/<first_task>` otherwise.
pub fn progress_key(job: &JobId, first_task: u32) -> String {
    let page = first_task / constants::PROGRESS_PAGE_TASKS;
    if first_task.is_multiple_of(constants::PROGRESS_PAGE_TASKS) {
        format!("{PROGRESS_PREFIX}{job}/{page}")
    } else {
        format!("{PROGRESS_PREFIX}{job}/{page}/{first_task}")
    }
}

/// What the key of a progress record names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressKey {
    /// The job.
    pub job: JobId,
    /// Index of the first task in the record.
    pub first_task: u32,
}

/// Returns what the key of a progress record names; `None` if the key is another one.
pub fn parse_progress_key(key: &str) -> Option<ProgressKey> {
    let parts: Vec<&str> = key.strip_prefix(PROGRESS_PREFIX)?.split('/').collect();
    let (job, first_task) = match parts.as_slice() {
        [job, page] => {
            (job, page.parse::<u32>().ok()?.checked_mul(constants::PROGRESS_PAGE_TASKS)?)
        }
        [job, _, first_task] => (job, first_task.parse().ok()?),
        _ => return None,
    };
    Some(ProgressKey { job: JobId::parse(job)?, first_task })
}

/// Returns `m/<job>`, the key of a job's scheduling record.
pub fn scheduling_key(job: &JobId) -> String {
    format!("{SCHEDULING_PREFIX}{job}")
}

/// Returns `m/shared-<number>`, the key of a record of shared start watermarks.
pub fn shared_watermarks_key(number: u64) -> String {
    format!("{SCHEDULING_PREFIX}{SHARED_WATERMARKS_INFIX}{number}")
}

/// Returns the number in the key of a record of shared start watermarks; `None` if the key is
/// another one.
pub fn parse_shared_watermarks_key(key: &str) -> Option<u64> {
    key.strip_prefix(SCHEDULING_PREFIX)?.strip_prefix(SHARED_WATERMARKS_INFIX)?.parse().ok()
}

/// Returns `r/<name>`. `name` is that of a registry record (`record-<n>`) or, for the keys of
/// version 0.1.0, of a machine.
pub fn registry_key(name: &str) -> String {
    format!("{REGISTRY_PREFIX}{name}")
}

/// Returns `q/<controller>`, the key of a controller's question about job statuses.
pub fn status_question_key(controller: &str) -> String {
    format!("{STATUS_QUESTIONS_PREFIX}{controller}")
}

/// Returns `a/<controller>`, the key of the leader's answer to a controller's question.
pub fn status_answer_key(controller: &str) -> String {
    format!("{STATUS_ANSWERS_PREFIX}{controller}")
}
