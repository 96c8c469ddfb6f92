//! A job, as the leader knows it.

use super::Timestamp;
use super::completion::Completion;
use super::failure_history::FailureHistory;
use super::gang_state::GangState;
use super::progress::Progress;
use super::run_times::RunTimes;
use super::service_level_objectives::ServiceLevelObjectives;
use super::start_watermark::StartWatermark;
use super::startable_tasks::StartGround;
use crate::records::JobRecord;
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_time::{MonotonicTime, WallTime, seconds_f64};
use hookway_wire::{JobId, JobSpec};
use std::collections::{BTreeSet, VecDeque};

/// Identifies a job within one leader's cluster state. Never used again within a term; ascending in
/// the order in which the leader learned of the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct JobKey(u64);

impl JobKey {
    /// The key with this number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }
}

/// Whether a task is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPlacement {
    /// On no machine.
    Unplaced,
    /// On some machine, or being started there, or possibly there.
    Placed,
    /// Completed.
    Completed,
}

/// Whether a job was accepted before or during the term of this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrigin {
    /// During this term: no earlier leader has started any of it.
    ThisTerm,
    /// Before this term: an earlier leader may have started some of it.
    EarlierTerm,
}

/// What a job's state depends on beside its record.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobContext {
    /// Index of its team.
    pub team: usize,
    /// Number that stands for its image.
    pub image: u32,
    /// Number of zones.
    pub zones: usize,
    /// Largest value that the state service takes, KiB.
    pub value_kb: f64,
    /// Whether an earlier leader may have started some of it.
    pub origin: JobOrigin,
}

/// A job that is not final, or whose tasks have not all left their machines.
#[derive(Debug)]
pub(super) struct Job {
    /// Its id.
    pub id: JobId,
    /// What its user submitted.
    pub spec: JobSpec,
    /// Index of its team.
    pub team: usize,
    /// Number that stands for its image.
    pub image: u32,
    /// Resources of one task.
    pub request: Resources,
    /// When it was submitted, s on the monotonic clock (may lie before the clock's start).
    pub submitted_s: f64,
    /// When it should be complete, s on the monotonic clock.
    pub deadline_s: Option<f64>,
    /// When it should have started, s on the monotonic clock, tightest objective first.
    pub start_by_s: Vec<f64>,
    /// Whether an earlier leader may have started some of it.
    pub origin: JobOrigin,
    /// Whether each task is placed, by task index.
    pub placements: Vec<TaskPlacement>,
    /// Unplaced tasks without an orphaned attempt: those that may be placed.
    pub unplaced: BTreeSet<u32>,
    /// Task indexes of attempts that are on a machine although they should not be, one entry each.
    pub orphaned: Vec<u32>,
    /// Number of completed tasks.
    pub completed: u32,
    /// Which results are durable.
    pub progress: Progress,
    /// Number of attempts that take resources of a machine, orphaned ones included.
    pub placed: u32,
    /// Number of running tasks, for display.
    pub running: u32,
    /// `placed`, by zone index.
    pub placed_per_zone: Vec<u32>,
    /// The known run times of its completed tasks.
    pub run_times: RunTimes,
    /// The attempt of a gang.
    pub gang: GangState,
    /// How far its completion has progressed.
    pub completion: Completion,
    /// No task is started before this time.
    pub backoff_until: MonotonicTime,
    /// The failures of its tasks.
    pub failures: FailureHistory,
    /// Tasks that were restarted once for running far longer than others.
    pub restarted_tasks: BTreeSet<u32>,
    /// Why attempts ended, for the user.
    pub notes: VecDeque<String>,
    /// Since when it has been waiting for resources.
    pub waiting_since: MonotonicTime,
    /// Minimum task count, as last computed.
    pub min_tasks: u32,
    /// Minimum task count that is durable.
    pub stored_min_tasks: Option<u32>,
    /// How far its tasks may have been started.
    pub start_watermark: StartWatermark,
    /// Why its first start in this term was allowed is in the log.
    pub start_ground_logged: bool,
}

impl Job {
    /// The state of a job as it was accepted.
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
            unplaced: (0..spec.tasks).collect(),
            orphaned: Vec::new(),
            completed: 0,
            progress: Progress::new(spec.tasks, context.value_kb),
            placed: 0,
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
            start_ground_logged: false,
            spec,
        }
    }

    /// Whether all of its tasks start at once or nearly so: its minimum task count needs no record,
    /// and it shares the record of its start watermark with other small jobs.
    pub fn is_small(&self) -> bool {
        self.spec.is_gang() || self.spec.tasks <= constants::SMALL_JOB_TASKS
    }

    /// Whether the zones of its placed tasks decide where its other tasks may start.
    pub fn bound_to_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Number of tasks that are not completed.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed
    }

    /// The start watermark that lets task `index` start: some steps above it, as each raise costs a
    /// write.
    pub fn watermark_for(&self, index: u32) -> u32 {
        if self.spec.is_gang() {
            return self.spec.tasks;
        }
        let step = (self.spec.tasks / constants::START_WATERMARK_STEPS)
            .max(constants::START_WATERMARK_MIN_STEP);
        (index / step + 1).saturating_mul(step).min(self.spec.tasks)
    }

    /// Whether a task is completed.
    pub fn is_completed(&self, index: u32) -> bool {
        self.placements[index as usize] == TaskPlacement::Completed
    }

    /// Marks a task as completed. `false`: it was marked already.
    pub fn mark_completed(&mut self, index: u32) -> bool {
        if self.is_completed(index) {
            return false;
        }
        self.placements[index as usize] = TaskPlacement::Completed;
        self.unplaced.remove(&index);
        self.completed += 1;
        true
    }

    /// Counts an attempt that takes resources in a zone; `None`: the zone is not in the settings.
    pub fn count_placed(&mut self, zone: Option<usize>) {
        self.placed += 1;
        if let Some(zone) = zone {
            self.placed_per_zone[zone] += 1;
        }
    }

    /// Undoes [`Job::count_placed`].
    pub fn count_removed(&mut self, zone: Option<usize>) {
        self.placed = self.placed.saturating_sub(1);
        if let Some(zone) = zone {
            self.placed_per_zone[zone] = self.placed_per_zone[zone].saturating_sub(1);
        }
    }

    /// The results of a progress page, as this leader knows them.
    pub fn results(&self, page: usize) -> Vec<bool> {
        self.progress.range(page).map(|index| self.is_completed(index)).collect()
    }

    /// Whether some result of a progress page is not durable.
    pub fn has_unstored_results(&self, page: usize) -> bool {
        let unstored = |index: u32| self.is_completed(index) && !self.progress.is_durable(index);
        self.progress.range(page).any(unstored)
    }

    /// Adds a note for the user; the oldest one is dropped when there are too many.
    pub fn add_note(&mut self, text: String) {
        if self.notes.back() == Some(&text) {
            return;
        }
        if self.notes.len() >= constants::MAX_JOB_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(text);
    }

    /// Logs why tasks of an inherited job may be started, before the first of them is placed.
    pub fn log_first_start(&mut self, ground: StartGround) {
        if self.origin == JobOrigin::ThisTerm
            || std::mem::replace(&mut self.start_ground_logged, true)
        {
            return;
        }
        let from = self.first_startable(ground);
        tracing::info!(job = %self.id, ?ground, from, "first start of an inherited job");
    }

    /// Whether its tasks may be started at all.
    pub fn is_active(&self) -> bool {
        self.completion.is_active()
    }
}
