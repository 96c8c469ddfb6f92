//! The leader's view of a job: its specification, its tasks and what is durable of their results.

use super::Timestamp;
use super::completion::Completion;
use super::failure_history::FailureHistory;
use super::gang_state::GangState;
use super::progress::Progress;
use super::run_times::RunTimes;
use super::service_level_objectives::ServiceLevelObjectives;
use super::start_watermark::StartWatermark;
use super::startable_tasks::StartReason;
use crate::records::JobRecord;
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_time::{MonotonicTime, WallTime, seconds_f64};
use hookway_wire::{JobId, JobSpec};
use std::collections::{BTreeSet, VecDeque};

/// Identifies a job within one leader's cluster state. Keys are unique within a term and ascend in
/// the order in which the leader learned of the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct JobKey(u64);

impl JobKey {
    /// Creates the key from its position in the order in which jobs were added.
    pub fn new(number: u64) -> Self {
        Self(number)
    }
}

/// Whether a task still has to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPlacement {
    /// No machine has an attempt of the task that this leader wants to keep.
    Unplaced,
    /// An attempt runs on a machine, is being started there, or may have been started there.
    Placed,
    /// The task has succeeded and never runs again.
    Completed,
}

/// Whether a job was accepted before or during the term of this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrigin {
    /// During this term: no earlier leader has started any of its tasks.
    ThisTerm,
    /// Before this term: an earlier leader may have started some of its tasks.
    EarlierTerm,
}

/// Inputs to the initial state of a job that its record does not contain.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobContext {
    /// Index of the job's team in the platform settings.
    pub team: usize,
    /// Numeric id of the job's image, see [`ImageIds`](super::ImageIds).
    pub image: u32,
    /// Number of zones in the platform settings.
    pub zones: usize,
    /// Maximum size of a value in the store, KiB.
    pub max_value_kb: f64,
    /// Whether earlier leaders may have started some of the job's tasks.
    pub origin: JobOrigin,
}

/// A job whose end is not durable yet, or that still has tasks on machines.
#[derive(Debug)]
pub(super) struct Job {
    /// The id that users and the store know the job by.
    pub id: JobId,
    /// The specification that the user submitted.
    pub spec: JobSpec,
    /// Index of the job's team in the platform settings.
    pub team: usize,
    /// Numeric id of the job's image, see [`ImageIds`](super::ImageIds).
    pub image: u32,
    /// Resources that one task requests.
    pub request: Resources,
    /// When the job was submitted, s on the monotonic clock. Negative if that was before the clock
    /// was created.
    pub submitted_s: f64,
    /// When the job should be complete, s on the monotonic clock; `None` if it has no deadline.
    pub deadline_s: Option<f64>,
    /// When the job should have started, s on the monotonic clock, tightest objective first.
    pub start_by_s: Vec<f64>,
    /// Whether earlier leaders may have started some of the job's tasks.
    pub origin: JobOrigin,
    /// Placement of each task, by task index.
    pub placements: Vec<TaskPlacement>,
    /// Indexes of the tasks that may be placed: unplaced ones without an orphaned attempt.
    pub placeable: BTreeSet<u32>,
    /// Task indexes of the attempts that should not be on their machine, one entry per attempt.
    pub orphaned_attempts: Vec<u32>,
    /// Number of completed tasks.
    pub completed: u32,
    /// The results that are durable.
    pub progress: Progress,
    /// Number of attempts that occupy resources of a machine, including orphaned ones.
    pub placed_attempts: u32,
    /// Number of running tasks, as shown to users.
    pub running: u32,
    /// `placed_attempts`, by zone index. Attempts in a zone that is not in the settings are not
    /// counted.
    pub placed_per_zone: Vec<u32>,
    /// Run times of completed tasks, where they are known.
    pub run_times: RunTimes,
    /// The current attempt of a gang; unused for other kinds of job.
    pub gang: GangState,
    /// Whether the job is active, ending or final.
    pub completion: Completion,
    /// No task of the job is started before this time.
    pub backoff_until: MonotonicTime,
    /// Consecutive failures of the job's tasks, and the machines where they failed.
    pub failures: FailureHistory,
    /// Tasks that were restarted for running far longer than others; each is restarted only once.
    pub restarted_tasks: BTreeSet<u32>,
    /// Messages for the user, such as why attempts ended; oldest first.
    pub notes: VecDeque<String>,
    /// When the job last started to wait for resources.
    pub waiting_since: MonotonicTime,
    /// The last computed minimum task count: the tasks that must run to meet the deadline.
    pub min_tasks: u32,
    /// The minimum task count in the store; `None` if the store has none.
    pub stored_min_tasks: Option<u32>,
    /// Which tasks may have been started, by this leader or earlier ones.
    pub start_watermark: StartWatermark,
    /// The log already says why the first start in this term was allowed.
    pub start_reason_logged: bool,
}

impl Job {
    /// Creates the state of a job from its record, as if none of its tasks had been started.
    pub fn new(
        record: JobRecord,
        objectives: &ServiceLevelObjectives,
        context: &JobContext,
        at: Timestamp,
    ) -> Self {
        let spec = record.spec;
        let accepted_at = WallTime::from_unix_millis(record.accepted_at_ms);
        let age_s = seconds_f64(at.wall.saturating_duration_since(accepted_at));
        let submitted_s = at.monotonic.as_seconds_f64() - age_s;
        let tasks = spec.tasks as usize;
        Self {
            id: spec.id.clone(),
            team: context.team,
            image: context.image,
            request: Resources::of_task(&spec),
            submitted_s,
            deadline_s: objectives.deadline_s.map(|d| submitted_s + d),
            start_by_s: objectives.start_s.iter().map(|s| submitted_s + s).collect(),
            origin: context.origin,
            placements: vec![TaskPlacement::Unplaced; tasks],
            placeable: (0..spec.tasks).collect(),
            orphaned_attempts: Vec::new(),
            completed: 0,
            progress: Progress::new(spec.tasks, context.max_value_kb),
            placed_attempts: 0,
            running: 0,
            placed_per_zone: vec![0; context.zones],
            run_times: RunTimes::default(),
            gang: GangState::default(),
            completion: Completion::active(),
            backoff_until: MonotonicTime::ZERO,
            failures: FailureHistory::default(),
            restarted_tasks: BTreeSet::new(),
            notes: VecDeque::new(),
            waiting_since: at.monotonic,
            min_tasks: 0,
            stored_min_tasks: None,
            start_watermark: StartWatermark::new(record.has_start_watermark),
            start_reason_logged: false,
            spec,
        }
    }

    /// Whether all tasks start at once or nearly so. The minimum task count of such a job is not
    /// stored, and its start watermark is in a record shared with other small jobs.
    pub fn is_small(&self) -> bool {
        self.spec.is_gang() || self.spec.tasks <= constants::MAX_SMALL_JOB_TASKS
    }

    /// Whether the zones of the placed tasks restrict where the other tasks may start.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.needs_one_zone || self.spec.must_spread
    }

    /// Returns the number of tasks that are not completed.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed
    }

    /// Returns the start watermark to store before task `index` starts. Watermarks rise in steps
    /// of many tasks, because each raise costs a write.
    pub fn watermark_for(&self, index: u32) -> u32 {
        if self.spec.is_gang() {
            return self.spec.tasks;
        }
        let step = (self.spec.tasks / constants::START_WATERMARK_STEPS)
            .max(constants::START_WATERMARK_MIN_STEP);
        (index / step + 1).saturating_mul(step).min(self.spec.tasks)
    }

    /// Whether the task with this index is completed.
    pub fn is_completed(&self, index: u32) -> bool {
        self.placements[index as usize] == TaskPlacement::Completed
    }

    /// Marks a task as completed. Returns `false` if it was completed already.
    pub fn mark_completed(&mut self, index: u32) -> bool {
        if self.is_completed(index) {
            return false;
        }
        self.placements[index as usize] = TaskPlacement::Completed;
        self.placeable.remove(&index);
        self.completed += 1;
        true
    }

    /// Counts an attempt that occupies resources in a zone; `None` for a zone that is not in the
    /// settings.
    pub fn count_placed(&mut self, zone: Option<usize>) {
        self.placed_attempts += 1;
        if let Some(zone) = zone {
            self.placed_per_zone[zone] += 1;
        }
    }

    /// Reverses [`Job::count_placed`] for an attempt that has left its machine.
    pub fn count_removed(&mut self, zone: Option<usize>) {
        self.placed_attempts = self.placed_attempts.saturating_sub(1);
        if let Some(zone) = zone {
            self.placed_per_zone[zone] = self.placed_per_zone[zone].saturating_sub(1);
        }
    }

    /// Returns whether each task of a progress page is completed, durable or not.
    pub fn completed_flags(&self, page: usize) -> Vec<bool> {
        self.progress.range(page).map(|index| self.is_completed(index)).collect()
    }

    /// Whether a progress page has a completed task whose result is not durable.
    pub fn has_unstored_results(&self, page: usize) -> bool {
        let unstored = |index: u32| self.is_completed(index) && !self.progress.is_durable(index);
        self.progress.range(page).any(unstored)
    }

    /// Adds a note for the user, unless the newest one has the same text. Beyond
    /// [`constants::MAX_JOB_NOTES`] the oldest note is dropped.
    pub fn add_note(&mut self, text: String) {
        if self.notes.back() == Some(&text) {
            return;
        }
        if self.notes.len() >= constants::MAX_JOB_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(text);
    }

    /// Logs, before the first placement in this term, why tasks of a job of an earlier term may be
    /// started.
    pub fn log_first_start(&mut self, reason: StartReason) {
        if self.origin == JobOrigin::ThisTerm
            || std::mem::replace(&mut self.start_reason_logged, true)
        {
            return;
        }
        let from = self.first_startable_index(reason);
        tracing::info!(job = %self.id, ground = ?reason, from, "first start of an inherited job");
    }

    /// Whether the job is not ending, so that its tasks may be started.
    pub fn is_active(&self) -> bool {
        self.completion.is_active()
    }
}
