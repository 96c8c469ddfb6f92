use super::Timestamp;
use super::progress::Progress;
use crate::records::{FinalRecord, JobRecord};
use hookway_constants as constants;
use hookway_policy::Resources;
use hookway_wire::{ExitCause, Heartbeat, JobId, JobSpec, JobState, TaskState};
use std::collections::{BTreeSet, HashSet, VecDeque};

/// The newest so many members of a set; older ones are forgotten, so that memory stays bounded over
/// a long term.
#[derive(Debug)]
pub struct BoundedSet<T> {
    members: HashSet<T>,
    order: VecDeque<T>,
    most: usize,
}

impl<T: Clone + Eq + std::hash::Hash> BoundedSet<T> {
    /// An empty set that keeps `most` members.
    pub fn new(most: usize) -> Self {
        Self { members: HashSet::new(), order: VecDeque::new(), most }
    }

    /// Adds a member.
    pub fn insert(&mut self, member: T) {
        if self.members.insert(member.clone()) {
            self.order.push_back(member);
            if self.order.len() > self.most
                && let Some(old) = self.order.pop_front()
            {
                self.members.remove(&old);
            }
        }
    }

    /// Whether it is a member still.
    pub fn contains<Q>(&self, member: &Q) -> bool
    where
        T: std::borrow::Borrow<Q>,
        Q: Eq + std::hash::Hash + ?Sized,
    {
        self.members.contains(member)
    }
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPlacement {
    /// On no machine.
    Unplaced,
    /// On some machine, or on its way there, or possibly there.
    Placed,
    /// Completed.
    Completed,
}

/// What is expected of a job, in s after its submission.
#[derive(Debug, Clone, Default)]
pub struct ServiceLevelObjectives {
    /// When it should be complete.
    pub deadline_s: Option<f64>,
    /// When it should have started, tightest aim first.
    pub start_s: Vec<f64>,
}

/// What a job's picture needs to know beside its record.
#[derive(Debug, Clone, Copy)]
pub struct JobContext {
    /// Index of its team.
    pub team: usize,
    /// Number that stands for its image.
    pub image: u32,
    /// Number of zones.
    pub zones: usize,
    /// Largest value that the state service takes, KiB.
    pub value_kb: f64,
    /// An earlier leader may have started some of it.
    pub inherited: bool,
}

/// A job that is not over, or not yet off all machines.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What its user submitted.
    pub spec: JobSpec,
    /// Index of its team.
    pub team: usize,
    /// Number that stands for its image.
    pub image: u32,
    /// What a task takes.
    pub request: Resources,
    /// When it was submitted, s on the steady clock (may lie before the clock's start).
    pub submitted: f64,
    /// When it should be complete, likewise.
    pub deadline: Option<f64>,
    /// When it should have started, likewise, tightest aim first.
    pub start_by: Vec<f64>,
    /// An earlier leader may have started some of it.
    pub inherited: bool,
    /// Per task.
    pub placements: Vec<TaskPlacement>,
    /// Tasks that are `Free`.
    pub unplaced: BTreeSet<u32>,
    /// Tasks that a machine has although it should not, one entry each.
    pub orphaned: Vec<u32>,
    /// Completed tasks.
    pub completed: u32,
    /// Which results are in the store.
    pub progress: Progress,
    /// Tasks that hold a place.
    pub placed: u32,
    /// Tasks that run, for display.
    pub running: u32,
    /// Tasks that hold a place, per zone.
    pub placed_per_zone: Vec<u32>,
    /// Sum of known run times, ms.
    pub run_time_sum_ms: u64,
    /// Number of known run times.
    pub run_time_count: u32,
    /// Attempt number that a gang's tasks share.
    pub gang_attempt: Option<u64>,
    /// Attempt of a gang that an earlier leader was starting, as this leader's copy has it.
    pub resumed_attempt: Option<u64>,
    /// Until then that attempt may be completed, ms; set once nothing of it can be anywhere unknown.
    pub resume_deadline: Option<u64>,
    /// What was found of that attempt waits for the rest, which may be started.
    pub completing: bool,
    /// The gang's attempt has lost a task or is being stopped: all of it must go.
    pub broken: bool,
    /// What it is to end as, once that is durable.
    pub intended_end: Option<JobState>,
    /// When its user asked this leader to cancel it, ms; `None` if another controller decided it.
    pub cancel_asked_at: Option<u64>,
    /// The end is being written, or whether it was written is not known.
    pub end_in_flight: bool,
    /// Some transaction with its end had no answer: it may be carried out at any time.
    pub end_indeterminate: bool,
    /// It is over, and that is durable.
    pub final_record: Option<FinalRecord>,
    /// No start before this time, ms.
    pub backoff_until: u64,
    /// Tries in a row that ended with an error.
    pub consecutive_failures: u32,
    /// When the last of those did, ms.
    pub last_failure_at: u64,
    /// Machines that tasks of it failed on, the last ones.
    pub failed_machines: VecDeque<String>,
    /// Tasks that were given up once for running far longer than others.
    pub restarted_tasks: BTreeSet<u32>,
    /// Why attempts ended.
    pub notes: VecDeque<String>,
    /// Since when it has been waiting for room, ms.
    pub waiting_since: u64,
    /// Minimum, as last computed.
    pub min_tasks: u32,
    /// Minimum in the store.
    pub stored_min_tasks: Option<u32>,
    /// Accepted by a version that marks how far its tasks may have been started.
    pub has_start_watermark: bool,
    /// Tasks below this may be started: the store says so.
    pub watermark_stored: u32,
    /// What the store is to say.
    pub watermark_target: u32,
    /// Whether the store says what `opened` does; `false` only for jobs of leaders without marks.
    pub watermark_recorded: bool,
    /// Tasks from this on were not started by any earlier leader.
    pub never_started_from: u32,
    /// The record that it shares with other small jobs, which says that it may have been started.
    pub shared_watermark: Option<u64>,
}

impl Job {
    /// A job as it was accepted.
    pub fn new(
        record: JobRecord,
        aims: &ServiceLevelObjectives,
        context: &JobContext,
        at: Timestamp,
    ) -> Self {
        let spec = record.spec;
        let age = (at.wall as f64 - record.accepted_at_ms as f64).max(0.0) / 1000.0;
        let submitted = at.monotonic as f64 / 1000.0 - age;
        let tasks = spec.tasks as usize;
        Self {
            id: spec.id.clone(),
            team: context.team,
            image: context.image,
            request: Resources::of_task(&spec),
            submitted,
            deadline: aims.deadline_s.map(|d| submitted + d),
            start_by: aims.start_s.iter().map(|s| submitted + s).collect(),
            inherited: context.inherited,
            placements: vec![TaskPlacement::Unplaced; tasks],
            unplaced: (0..spec.tasks).collect(),
            orphaned: Vec::new(),
            completed: 0,
            progress: Progress::new(spec.tasks, context.value_kb),
            placed: 0,
            running: 0,
            placed_per_zone: vec![0; context.zones],
            run_time_sum_ms: 0,
            run_time_count: 0,
            gang_attempt: None,
            resumed_attempt: None,
            resume_deadline: None,
            completing: false,
            broken: false,
            intended_end: None,
            cancel_asked_at: None,
            end_in_flight: false,
            end_indeterminate: false,
            final_record: None,
            backoff_until: 0,
            consecutive_failures: 0,
            last_failure_at: 0,
            failed_machines: VecDeque::new(),
            restarted_tasks: BTreeSet::new(),
            notes: VecDeque::new(),
            waiting_since: at.monotonic,
            min_tasks: 0,
            stored_min_tasks: None,
            has_start_watermark: record.has_start_watermark,
            watermark_stored: 0,
            watermark_target: 0,
            watermark_recorded: true,
            never_started_from: 0,
            shared_watermark: None,
            spec,
        }
    }

    /// All of it starts at once or nearly so: it has no minimum worth a record, and shares its mark.
    pub fn is_small(&self) -> bool {
        self.spec.is_gang() || self.spec.tasks <= constants::SMALL_JOB_TASKS
    }

    /// Where one of its tasks is decides where others may start.
    pub fn bound_to_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Tasks that are not completed.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed
    }

    /// So far the store should let tasks be started so that `index` can be: some more than that, as
    /// each step costs a write.
    pub fn watermark_for(&self, index: u32) -> u32 {
        if self.spec.is_gang() {
            return self.spec.tasks;
        }
        let step = (self.spec.tasks / constants::START_WATERMARK_STEPS)
            .max(constants::START_WATERMARK_MIN_STEP);
        (index / step + 1).saturating_mul(step).min(self.spec.tasks)
    }

    /// The results of a chunk, as they are in memory.
    pub fn results(&self, chunk: usize) -> Vec<bool> {
        self.progress
            .range(chunk)
            .map(|i| self.placements[i as usize] == TaskPlacement::Completed)
            .collect()
    }

    /// Whether some result of a chunk is not in the store.
    pub fn has_unstored_results(&self, chunk: usize) -> bool {
        let unstored = |i: u32| {
            self.placements[i as usize] == TaskPlacement::Completed && !self.progress.is_durable(i)
        };
        self.progress.range(chunk).any(unstored)
    }

    /// Keeps a reason for the user.
    pub fn add_note(&mut self, text: String) {
        if self.notes.back() == Some(&text) {
            return;
        }
        if self.notes.len() >= constants::MAX_JOB_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(text);
    }

    /// Mean time of the tasks whose time is known, ms.
    pub fn mean_run_time_ms(&self) -> Option<f64> {
        (self.run_time_count > 0)
            .then(|| self.run_time_sum_ms as f64 / f64::from(self.run_time_count))
    }

    /// The same, once enough tasks have finished to judge a machine by it.
    pub fn reliable_mean_run_time_ms(&self) -> Option<f64> {
        self.mean_run_time_ms().filter(|_| self.run_time_count >= constants::RELIABLE_MEAN_TASKS)
    }

    /// Whether tasks of it may be started at all.
    pub fn is_active(&self) -> bool {
        self.intended_end.is_none() && self.final_record.is_none()
    }
}

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Decided, but in no answer yet: it can be dropped freely.
    Planned,
    /// The command went out in the answer to the worker's last report. The next report tells whether
    /// it arrived.
    Sent,
    /// The command was sent straight to the worker under this token, and its outcome is not known. It
    /// may arrive until the worker has seen a higher token.
    SentDirectly(u64),
    /// The worker has it.
    Reported(TaskState),
}

/// A stop that was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopOrder {
    /// Time to save, s.
    pub grace_s: f64,
    /// When it was decided, ms.
    pub decided_at: u64,
}

/// A task that holds a place on a machine.
#[derive(Debug, Clone)]
pub struct PlacedTask {
    /// The job; `None` if it is not in the ledger (over, most likely).
    pub job: Option<u64>,
    /// The task, as the protocol writes it.
    pub task: String,
    /// Its number in the job.
    pub index: u32,
    /// The attempt.
    pub attempt: u64,
    /// How far it has come.
    pub phase: TaskPhase,
    /// Should not be there: stopped on sight.
    pub orphaned: bool,
    /// A stop.
    pub stop: Option<StopOrder>,
    /// The worker was told to stop it without waiting for its report.
    pub stop_dispatched: bool,
    /// When it was first seen running, ms.
    pub running_since: Option<u64>,
    /// When its place was taken, ms.
    pub placed_at: u64,
    /// Found in a report: nobody here knows when it began.
    pub adopted: bool,
}

/// An ended task that the worker still reports.
#[derive(Debug, Clone)]
pub struct EndedTask {
    /// The job, if it is in the ledger.
    pub job: Option<u64>,
    /// The task.
    pub task: String,
    /// Its number.
    pub index: u32,
    /// The attempt.
    pub attempt: u64,
    /// Why it ended.
    pub cause: ExitCause,
}

/// What the worker's next report shows if it has taken an answer.
#[derive(Debug, Clone, Default)]
pub struct ExpectedHeartbeat {
    /// The answer's token, if it was higher than the one that the report carried.
    pub fencing_token: Option<u64>,
    /// Starts: the attempts are there, in whatever state.
    pub starts: Vec<(String, u64)>,
    /// Attempts that are not there any more.
    pub reaps: Vec<(String, u64)>,
    /// When it was given, ms.
    pub responded_at: u64,
    /// The last answer before that one, ms.
    pub responded_before: u64,
}

impl ExpectedHeartbeat {
    /// Whether the answer was taken; `None` if it had nothing that would show.
    pub fn acknowledged(&self, report: &Heartbeat) -> Option<bool> {
        if self.fencing_token.is_none() && self.starts.is_empty() && self.reaps.is_empty() {
            return None;
        }
        let there = |(task, attempt): &(String, u64)| {
            report.tasks.iter().any(|p| p.attempt == *attempt && p.task == *task)
        };
        let shown = self.fencing_token.is_none_or(|t| report.fencing_token >= t)
            && self.starts.iter().all(there)
            && !self.reaps.iter().any(there);
        Some(shown)
    }
}

/// A new leader's questions to a worker that has not shown its token yet.
#[derive(Debug, Clone, Copy, Default)]
pub struct StateProbe {
    /// One is under way.
    pub in_flight: bool,
    /// Those that were not answered, in a row.
    pub unanswered: u32,
    /// When the last one was sent, ms.
    pub last_sent_at: Option<u64>,
}

impl StateProbe {
    /// Whether it may be asked again.
    fn due(&self, now: u64) -> bool {
        let waited = |at: u64| now >= at + constants::STATE_PROBE_RETRY_MS;
        !self.in_flight && self.last_sent_at.is_none_or(waited)
    }

    /// It is asked now.
    pub fn begin(&mut self, now: u64) {
        self.in_flight = true;
        self.last_sent_at = Some(now);
    }

    /// It answered, or did not.
    pub fn end(&mut self, answered: bool) {
        self.in_flight = false;
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
    }

    /// It does not answer: its worker, or the way to it, is gone.
    pub fn is_unresponsive(&self) -> bool {
        !self.in_flight && self.unanswered >= constants::MAX_UNANSWERED_STATE_PROBES
    }
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Machine type; empty until known.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Where its worker listens; empty until known.
    pub address: String,
    /// Its worker has reported to this leader.
    pub has_reported: bool,
    /// How this leader's questions what is on it went.
    pub state_probe: StateProbe,
    /// Newest message: session and sequence number.
    pub newest_message: (u64, u64),
    /// Newest report that it sent by itself: session and sequence number.
    pub newest_heartbeat: (u64, u64),
    /// Added to the term to make its token: raised with each start that is sent straight to it.
    pub token_offset: u64,
    /// A start is under way to it.
    pub direct_dispatch_in_flight: bool,
    /// Its next report is expected before this, ms.
    pub heartbeat_expected_by: u64,
    /// Sessions up to this one are surely over.
    pub expired_incarnation: u64,
    /// What its next report shows if it has taken the last answer.
    pub expected_heartbeat: ExpectedHeartbeat,
    /// Answers in a row that it surely did not take.
    pub unacknowledged_responses: u32,
    /// Last time when anyone entitled may have answered its worker, and it may have heard, ms.
    pub last_response_at: u64,
    /// Its entry in the roster is durable.
    pub registered: bool,
    /// Rented or first seen, ms (may be reckoned back by its listed age).
    pub created_at: u64,
    /// Surely in the cloud's list since then, ms (may lie before the clock's start).
    pub first_listed_at: Option<i64>,
    /// What is on it.
    pub placed_tasks: Vec<PlacedTask>,
    /// What has ended on it.
    pub ended_tasks: Vec<EndedTask>,
    /// The cloud takes it at this time, ms.
    pub interruption_at: Option<u64>,
    /// Takes nothing new until then, ms.
    pub backoff_until: u64,
    /// Jobs that failed here since a task completed here.
    pub failed_jobs: Vec<u64>,
    /// Tasks in a row that took far longer here than others of their job.
    pub consecutive_slow_tasks: u32,
    /// To be emptied and returned, for this reason.
    pub cordon_reason: Option<&'static str>,
    /// Nothing on it since, ms.
    pub idle_since: Option<u64>,
    /// Images on it, least recently used first, with size.
    pub images: Vec<(u32, f64)>,
    /// Images that the store says it holds.
    pub stored_images: Vec<u32>,
    /// Kept for a job until, ms.
    pub reserved_for_gang: Option<(u64, u64)>,
}

impl Machine {
    /// A machine that nothing is known of.
    pub fn new(now: u64) -> Self {
        Self {
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            address: String::new(),
            has_reported: false,
            state_probe: StateProbe::default(),
            newest_message: (0, 0),
            newest_heartbeat: (0, 0),
            token_offset: 0,
            direct_dispatch_in_flight: false,
            heartbeat_expected_by: 0,
            expected_heartbeat: ExpectedHeartbeat::default(),
            unacknowledged_responses: 0,
            expired_incarnation: 0,
            last_response_at: now,
            registered: false,
            created_at: now,
            first_listed_at: None,
            placed_tasks: Vec::new(),
            ended_tasks: Vec::new(),
            interruption_at: None,
            backoff_until: 0,
            failed_jobs: Vec::new(),
            consecutive_slow_tasks: 0,
            cordon_reason: None,
            idle_since: None,
            images: Vec::new(),
            stored_images: Vec::new(),
            reserved_for_gang: None,
        }
    }

    /// Whether it should be asked what is on it: it has not reported, or its report came before this leader's token
    /// did and another one is not to be expected at once.
    pub fn needs_state_probe(&self, now: u64) -> bool {
        let reports_soon =
            self.has_reported && now < self.last_response_at + constants::PROMPT_HEARTBEAT_MS;
        self.state_probe.due(now)
            && !reports_soon
            && !self.address.is_empty()
            && self.cordon_reason.is_none()
    }

    /// What its newest message says of the machine itself.
    pub fn update_from(&mut self, report: &Heartbeat, now: u64) {
        self.newest_message = (report.incarnation, report.sequence);
        self.interruption_at =
            report.interruption_notice_s.map(|s| now + (s.max(0.0) * 1000.0) as u64);
        self.address.clone_from(&report.addr);
        self.machine_type.clone_from(&report.machine_type);
        self.zone.clone_from(&report.zone);
        self.spot = report.spot;
    }

    /// The images on it, in no order of use.
    pub fn image_ids(&self) -> Vec<u32> {
        let mut set: Vec<u32> = self.images.iter().map(|(i, _)| *i).collect();
        set.sort_unstable();
        set
    }

    /// An image was used on it; older ones give way beyond `cache_gb`.
    pub fn use_image(&mut self, image: u32, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        let mut sum: f64 = self.images.iter().map(|(_, g)| g).sum();
        while self.images.len() > 1 && sum > cache_gb {
            sum -= self.images.remove(0).1;
        }
    }
}

#[cfg(test)]
mod tests;
