//! The keys of records.

use hookway_constants as constants;
use hookway_wire::JobId;

/// Prefix of the keys that elections use.
pub const LEADER_PREFIX: &str = "lead/";
/// The leader.
pub const LEADER_KEY: &str = "lead/now";
/// The highest fencing token so far.
pub const LEADER_TERM_KEY: &str = "lead/term";
/// The highest fencing token of the last leader that recorded start watermarks. Versions without
/// shared watermarks wrote `lead/marks` instead. So if a leader of one kind follows one of the other,
/// it finds no watermarks of the last term, and assumes that all tasks may have been started.
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

/// What the key of a progress record says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressKey {
    /// The job.
    pub job: JobId,
    /// The first task of the record.
    pub first_task: u32,
}

/// The key of a record about one job: `<prefix><job>`, and what may follow after a `/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParsedKey {
    /// `j/<job>`: an accepted job.
    Job(JobId),
    /// `f/<job>`: a final state.
    FinalState(JobId),
    /// `p/<job>/<page>` or `p/<job>/<page>/<task>`: progress.
    Progress(ProgressKey),
    /// `p/<job>` with a place that can't be read. It still is about this job, so it is not orphaned while the
    /// job lives.
    UnknownProgress(JobId),
    /// `m/<job>`: hints for the next leader and a start watermark.
    Scheduling(JobId),
}

impl ParsedKey {
    /// Parses a key; `None` if it is not that of a record about one job.
    pub fn parse(key: &str) -> Option<Self> {
        let (prefix, rest) = key.split_at(key.find('/')? + 1);
        let (job, place) = rest.split_once('/').unwrap_or((rest, ""));
        let job = JobId::parse(job)?;
        match prefix {
            JOBS_PREFIX => Some(Self::Job(job)),
            FINAL_STATES_PREFIX => Some(Self::FinalState(job)),
            PROGRESS_PREFIX => Some(match parse_first_task(place) {
                Some(first_task) => Self::Progress(ProgressKey { job, first_task }),
                None => Self::UnknownProgress(job),
            }),
            SCHEDULING_PREFIX => Some(Self::Scheduling(job)),
            _ => None,
        }
    }

    /// The job that the record is about.
    pub fn into_job(self) -> JobId {
        match self {
            Self::Job(job)
            | Self::FinalState(job)
            | Self::Progress(ProgressKey { job, .. })
            | Self::UnknownProgress(job)
            | Self::Scheduling(job) => job,
        }
    }
}

/// The first task of a progress record whose key ends with `<page>` or `<page>/<task>`.
fn parse_first_task(place: &str) -> Option<u32> {
    match place.split_once('/') {
        None => place.parse::<u32>().ok()?.checked_mul(constants::PROGRESS_PAGE_TASKS),
        Some((_, first_task)) => first_task.parse().ok(),
    }
}

/// Parses the key of a progress record.
pub fn parse_progress_key(key: &str) -> Option<ProgressKey> {
    match ParsedKey::parse(key)? {
        ParsedKey::Progress(progress) => Some(progress),
        _ => None,
    }
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
