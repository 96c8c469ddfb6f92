//! The records that the controllers keep in the store, as JSON.
//!
//! | key | record |
//! | --- | --- |
//! | `lead/now` | [`LeaderRecord`]: the leader; attached to its lease |
//! | `lead/term` | the highest fencing token of all terms so far; never decreases |
//! | `lead/watermarks` | the value of `lead/term` in the last term with complete start watermarks |
//! | `lead/marked` | the same marker for earlier versions; written, never read |
//! | `j/<job>` | [`JobRecord`]: an accepted job that is not finished |
//! | `f/<job>` | [`FinalRecord`]: the final state of a job; written once, never changed |
//! | `p/<job>/<page>` | [`ProgressRecord`]: the completed tasks of a page of tasks |
//! | `p/<job>/<page>/<task>` | the same from `<task>` on, where a value can't hold a whole page |
//! | `m/<job>` | [`JobSchedulingRecord`]: hints for the next leader, and the job's start watermark |
//! | `m/shared-<n>` | [`SharedStartWatermarksRecord`]: small jobs that may have been started |
//! | `r/record-<n>` | [`MachineRegistryRecord`]: machines that may have tasks |
//! | `q/<controller>` | [`StatusQuestionRecord`]: jobs whose status a controller asks the leader for |
//! | `a/<controller>` | [`StatusAnswerRecord`]: the leader's answer to the last question |
//! | `c/lanes` | a [`ClassRecord`] for each class of jobs: hints for the next leader |
//!
//! Version 0.1.0 wrote `r/<machine>` and `i/<machine>` ([`LegacyImagesRecord`]) instead of
//! `r/record-<n>`. A leader still reads both, and replaces them by `r/record-<n>`.

mod job;
mod keys;
mod leader;
mod machine_registry;
mod progress;
mod scheduling;
mod status_relay;

pub use job::{FinalRecord, JobRecord};
pub use keys::{
    CLASSES_KEY, COMPLETE_WATERMARKS_KEY, FINAL_STATES_PREFIX, JOBS_PREFIX, LEADER_KEY,
    LEADER_PREFIX, LEADER_TERM_KEY, LEGACY_COMPLETE_WATERMARKS_KEY, LEGACY_IMAGES_PREFIX,
    PROGRESS_PREFIX, ProgressKey, REGISTRY_PREFIX, SCHEDULING_PREFIX, STATUS_QUESTIONS_PREFIX,
    final_state_key, job_key, parse_progress_key, parse_shared_watermarks_key, progress_key,
    registry_key, scheduling_key, shared_watermarks_key, status_answer_key, status_question_key,
};
pub use leader::LeaderRecord;
pub use machine_registry::{
    ImageRecord, LegacyImagesRecord, MachineRegistryEntry, MachineRegistryRecord,
};
pub use progress::ProgressRecord;
pub use scheduling::{ClassRecord, JobSchedulingRecord, SharedStartWatermarksRecord};
pub use status_relay::{StatusAnswerRecord, StatusQuestionRecord};

use serde::Serialize;

/// Whether the JSON text of a record is at most `value_kb` KiB, the maximum size of a value.
pub fn fits_value_limit(record: &impl Serialize, value_kb: f64) -> bool {
    let length = serde_json::to_string(record).map_or(usize::MAX, |text| text.len());
    length as f64 <= value_kb * 1024.0
}

#[cfg(test)]
mod tests;
