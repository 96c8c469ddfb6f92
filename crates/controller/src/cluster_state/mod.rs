//! The leader's picture of jobs, machines and what is where, and every decision that follows from it.
//!
//! No I/O and no clock: the caller says what happened and when (milliseconds on its steady clock),
//! and carries out what comes back.

mod autoscaling;
mod command_dispatch;
mod commit_queue;
mod commits;
mod completion;
mod direct_dispatch;
mod failure_attribution;
mod heartbeat;
mod machine_registry;
mod model;
mod progress;
mod recovery;
mod scheduling;
mod shared_watermarks;
mod standby_feed;
mod task_removal;

pub use autoscaling::ScalingAction;
pub use commit_queue::{CommitResult, PendingCommit, RereadKey};
pub use completion::{CancelOutcome, JobLookup};
pub use model::{
    BoundedSet, EndedTask, ExpectedHeartbeat, Job, JobContext, Machine, PlacedTask,
    ServiceLevelObjectives, StopOrder, TaskPhase, TaskPlacement,
};
pub use progress::Progress;
pub use standby_feed::WarmStart;

use crate::blocks::Blocks;
use crate::records::{ClassRecord, FinalRecord, JobRecord};
use crate::settings::{OperatorSettings, PlatformSettings};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal, ShardLessor};
use commit_queue::CommitQueue;
use hookway_constants as constants;
use hookway_wire::{JobId, JobSpec, JobState, KeyValue, MachineType, Precondition};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// What does not change while a node leads.
#[derive(Debug, Clone)]
pub struct ControllerConfig {
    /// This node's name.
    pub controller_name: String,
    /// This node's zone.
    pub zone: String,
    /// The other controllers, with their zones.
    pub peers: Vec<(String, String)>,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The operators' settings.
    pub operator: OperatorSettings,
}

/// What a new leader read from the state service.
#[derive(Debug, Clone, Default)]
pub struct LoadedState {
    /// `j/`.
    pub jobs: Vec<KeyValue>,
    /// `p/`.
    pub progress: Vec<KeyValue>,
    /// `m/`.
    pub scheduling: Vec<KeyValue>,
    /// `r/`.
    pub registry: Vec<KeyValue>,
    /// `i/`.
    pub images: Vec<KeyValue>,
    /// `c/classes`.
    pub classes: Option<KeyValue>,
    /// The leader before kept marks of how far tasks of jobs may have been started.
    pub has_start_watermarks: bool,
}

/// Two readings of the same moment: the steady clock and the time of day, both in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Steady clock.
    pub monotonic: u64,
    /// Time of day.
    pub wall: u64,
}

impl Timestamp {
    /// The time of day at a reading of the steady clock, ms.
    fn wall_at_monotonic(&self, steady: u64) -> u64 {
        (self.wall + steady).saturating_sub(self.monotonic)
    }

    /// The reading of the steady clock at a time of day, ms.
    fn monotonic_at_wall(&self, wall: u64) -> u64 {
        self.monotonic.saturating_add(wall).saturating_sub(self.wall)
    }
}

/// How things stand, in one line of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Machines, booting ones included.
    pub machines: usize,
    /// Machines that are up.
    pub up: usize,
    /// Tasks that hold a place.
    pub tasks: usize,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs that tasks hold.
    pub placed: f64,
    /// CPUs that startable tasks are waiting for.
    pub waiting: f64,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} jobs, {} machines ({} up), ", self.jobs, self.machines, self.up)?;
        write!(f, "{} tasks placed; CPUs: {:.0} up, ", self.tasks, self.cpus)?;
        write!(f, "{:.0} placed, {:.0} waited for", self.placed, self.waiting)
    }
}

/// The leader's ledger.
#[derive(Debug)]
pub struct ClusterState {
    config: ControllerConfig,
    term: u64,
    next_attempt: u64,
    next_request: u64,
    next_job: u64,
    machine_types: Vec<MachineType>,
    image_ids: HashMap<String, u32>,
    image_names: Vec<String>,
    jobs: BTreeMap<u64, Job>,
    job_keys: HashMap<JobId, u64>,
    /// Jobs that ended in this term: a late event must not bring them back.
    ended_jobs: BoundedSet<JobId>,
    machines: BTreeMap<String, Machine>,
    /// Machines that this leader knows to be gone: late reports must not bring them back.
    removed_machines: BoundedSet<String>,
    blocks: Blocks,
    /// Machines of the roster that have not reported to this leader yet.
    unreconciled_machines: BTreeSet<String>,
    /// When those may have been answered last by an earlier leader.
    unreconciled_since: u64,
    /// Which controllers may answer workers while the leader can't.
    shard_lessor: ShardLessor,
    /// When this leader could last not answer workers; silence before that is not the workers'.
    resumed_at: u64,
    commit_queue: CommitQueue,
    completed_jobs: Vec<(JobId, FinalRecord)>,
    unavailable_capacity: HashMap<(usize, usize, bool), u64>,
    pending_scale_outs: Vec<autoscaling::PendingScaleOut>,
    scaling_in: HashSet<String>,
    last_round: u64,
    /// Turns that found no room in the last round, in order: what reports fill free room with.
    unplaced_demand: Vec<scheduling::UnplacedDemand>,
    /// What the last round set aside of teams' limits for gangs that wait.
    quota_reservations: Vec<hookway_policy::QuotaReservation>,
    /// Machines that the last round kept for gangs that wait.
    reserved_machines: HashSet<String>,
    /// Tasks on machines that belong to no job in this ledger.
    unknown_tasks: usize,
    /// Machines with starts that no worker was told of yet.
    machines_with_planned_starts: BTreeSet<String>,
    /// Messages with starts that are under way straight to workers.
    direct_dispatches_in_flight: usize,
    /// Workers that are being asked what is on their machines.
    state_probes_in_flight: usize,
    /// Cancelled jobs whose tasks may not be gone in time yet.
    unproven_cancellations: BTreeSet<u64>,
    /// Some task may have to be stopped that its worker was not told about.
    stops_due: bool,
    /// When this leader won, ms.
    elected_at: u64,
    /// Workers that have not reported are asked from then on what is on their machines, ms.
    state_probes_from: u64,
    /// Both clocks when this leader won.
    elected_at_timestamp: Timestamp,
    /// It was said that everything of earlier terms is accounted for.
    reconciliation_logged: bool,
    /// Machines that may have changed since the last time that changes were published.
    unpublished_machines: HashSet<String>,
    /// Both clocks, as last told.
    last_timestamp: Timestamp,
    /// What was seen of each class.
    classes: HashMap<String, ClassHistory>,
}

/// What was seen of a class.
#[derive(Debug, Clone)]
struct ClassHistory {
    /// The largest task.
    request: hookway_policy::Resources,
    /// The largest image, GB.
    image_gb: f64,
    /// Its images.
    images: HashSet<u32>,
    /// Machines that it needed at a time, with the time.
    machines_needed: VecDeque<(u64, usize)>,
    /// Whether its jobs may use spot machines.
    spot: bool,
    /// Its jobs are gangs.
    gangs: bool,
}

impl ClassHistory {
    /// A class as the store knows it.
    fn from_record(record: &ClassRecord) -> Self {
        Self {
            request: record.request,
            image_gb: record.image_gb,
            images: HashSet::new(),
            machines_needed: VecDeque::new(),
            spot: record.spot,
            gangs: record.gangs,
        }
    }

    /// What the store should know of it.
    fn record(&self) -> ClassRecord {
        let (need, image_gb) = (self.request, self.image_gb);
        ClassRecord { request: need, image_gb, spot: self.spot, gangs: self.gangs }
    }
}

impl ClusterState {
    /// The ledger of a new leader. `at` must be read after the leadership was won.
    pub fn new(
        config: ControllerConfig,
        term: u64,
        lead: Precondition,
        machine_types: Vec<MachineType>,
        loaded: LoadedState,
        at: Timestamp,
    ) -> Self {
        let writer = CommitQueue::new(&config.platform, lead, at.monotonic);
        let holders = ShardLessor::new(
            &config.zone,
            &config.peers,
            &config.platform.zones,
            max_shard_lease_ms(&config),
            at.monotonic,
        );
        let mut cluster = Self {
            config,
            term,
            next_attempt: 0,
            next_request: 0,
            next_job: 0,
            machine_types,
            image_ids: HashMap::new(),
            image_names: Vec::new(),
            jobs: BTreeMap::new(),
            job_keys: HashMap::new(),
            ended_jobs: BoundedSet::new(constants::BOUNDED_SET_SIZE),
            machines: BTreeMap::new(),
            removed_machines: BoundedSet::new(constants::BOUNDED_SET_SIZE),
            blocks: Blocks::default(),
            unreconciled_machines: BTreeSet::new(),
            unreconciled_since: at.monotonic,
            shard_lessor: holders,
            resumed_at: at.monotonic,
            commit_queue: writer,
            completed_jobs: Vec::new(),
            unavailable_capacity: HashMap::new(),
            pending_scale_outs: Vec::new(),
            scaling_in: HashSet::new(),
            last_round: 0,
            unplaced_demand: Vec::new(),
            quota_reservations: Vec::new(),
            reserved_machines: HashSet::new(),
            unknown_tasks: 0,
            machines_with_planned_starts: BTreeSet::new(),
            direct_dispatches_in_flight: 0,
            state_probes_in_flight: 0,
            unproven_cancellations: BTreeSet::new(),
            stops_due: false,
            elected_at: at.monotonic,
            state_probes_from: at.monotonic + constants::STATE_PROBE_DELAY_MS,
            elected_at_timestamp: at,
            reconciliation_logged: false,
            unpublished_machines: HashSet::new(),
            last_timestamp: at,
            classes: HashMap::new(),
        };
        cluster.load(loaded, at);
        cluster
    }

    /// The term, which is the token as well.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Machines that this ledger knows of.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Takes in the machine types.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// Whether everything that an earlier leader may have started is accounted for: each machine of
    /// the roster has reported, is gone, or its lease has surely run out.
    pub fn reconciled(&self, now: u64) -> bool {
        self.unreconciled_machines.is_empty() || self.unreconciled_leases_expired(now)
    }

    /// Says once that everything of earlier terms is accounted for.
    fn log_reconciliation(&mut self, now: u64) {
        if self.reconciliation_logged || !self.reconciled(now) {
            return;
        }
        self.reconciliation_logged = true;
        let after_s = now.saturating_sub(self.elected_at) as f64 / 1000.0;
        tracing::info!("everything of earlier terms is accounted for after {after_s:.1} s");
    }

    /// Whether the leases of all workers that have not reported to this leader are surely over.
    fn unreconciled_leases_expired(&self, now: u64) -> bool {
        let lease = worker_lease_expiry_ms(&self.config.platform);
        self.shard_lessor.worker_lease_expired("", self.unreconciled_since, lease, now)
    }

    /// Another controller asks for its block.
    pub fn renew_shard_lease(
        &mut self,
        renewal: &ShardLeaseRenewal,
        now: u64,
    ) -> Option<ShardLease> {
        let lease = self.shard_lease_ms(now);
        self.shard_lessor.renew(self.term, renewal, lease, now)
    }

    /// How long blocks are leased at this moment, ms. Tasks of a cancelled job must be gone within the
    /// time for a cancellation, also where nobody can stop them and a holder keeps their worker alive. So
    /// while such a task may be anywhere, a lease ends no later than one that was given when its user asked,
    /// before anybody was told: early enough for its worker's lease to follow. While a task of an unknown job
    /// may be anywhere, or of one whose cancellation another controller decided, no lease is given.
    pub fn shard_lease_ms(&self, now: u64) -> u64 {
        if self.unknown_tasks > 0 || !self.reconciled(now) {
            return 0;
        }
        let cancelled = |j: &&Job| j.intended_end == Some(JobState::Cancelled) && j.placed > 0;
        let longest = max_shard_lease_ms(&self.config);
        let left = |job: &Job| {
            let since_asked = job.cancel_asked_at.map(|at| now.saturating_sub(at));
            since_asked.map_or(0, |ms| longest.saturating_sub(ms))
        };
        let shortest = self.jobs.values().filter(cancelled).map(left).min();
        shortest.unwrap_or(longest)
    }

    /// Zones whose block this leader holds itself.
    pub fn own_shard(&self) -> Vec<String> {
        self.shard_lessor.own_shard()
    }

    /// This node answered a worker as a holder while its leadership was in doubt.
    pub fn worker_lease_extended(&mut self, name: &str, now: u64) {
        self.unreconciled_since = self.unreconciled_since.max(now);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.last_response_at = machine.last_response_at.max(now);
        }
    }

    /// Takes in an accepted job, from a watch or a reading of the store. `inherited` says that an
    /// earlier leader may have started some of it.
    pub fn add_job(&mut self, key: &str, value: serde_json::Value, at: Timestamp, inherited: bool) {
        let Some(id) = key.strip_prefix(crate::records::JOBS_PREFIX).and_then(JobId::parse) else {
            return;
        };
        if self.job_keys.contains_key(&id) || self.ended_jobs.contains(&id) {
            return;
        }
        let record: JobRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(e) => {
                tracing::error!("job {id}: its record can't be read: {e}");
                return;
            }
        };
        let image = self.image_id(&record.spec.image);
        let team =
            self.config.platform.teams.iter().position(|t| t.name == record.spec.team).unwrap_or(0);
        self.next_job += 1;
        let key = self.next_job;
        let aims = self.objectives_of(&record.spec);
        tracing::info!(
            "job {id}: seen ({:?}, {} tasks, lane {}, {}, {} GB, guess {:.0} s, due {:?})",
            record.spec.kind,
            record.spec.tasks,
            record.spec.class,
            record.spec.image,
            record.spec.image_gb,
            record.spec.estimate_s,
            record.spec.deadline_s
        );
        let need = hookway_policy::Resources::of_task(&record.spec);
        let fresh =
            ClassRecord { request: need, image_gb: 0.0, spot: true, gangs: record.spec.is_gang() };
        let before = self.classes.get(&record.spec.class).map(ClassHistory::record);
        let class = self
            .classes
            .entry(record.spec.class.clone())
            .or_insert_with(|| ClassHistory::from_record(&fresh));
        class.request.cpus = class.request.cpus.max(need.cpus);
        class.request.gpus = class.request.gpus.max(need.gpus);
        class.request.memory_gb = class.request.memory_gb.max(need.memory_gb);
        class.image_gb = class.image_gb.max(record.spec.image_gb);
        class.images.insert(image);
        class.spot &= record.spec.spot;
        self.commit_queue.classes_changed |= before != Some(class.record());
        let context = JobContext {
            team,
            image,
            zones: self.config.platform.zones.len(),
            value_kb: self.config.platform.state.value_kb,
            inherited,
        };
        let job = Job::new(record, &aims, &context, at);
        self.job_keys.insert(id, key);
        self.jobs.insert(key, job);
    }

    /// A job's own deadline, or what the aims promise its class.
    /// A daemon has none: all of its replicas are wanted all the time, and a late one is wanted no less.
    fn objectives_of(&self, spec: &JobSpec) -> ServiceLevelObjectives {
        if spec.is_daemon() {
            return ServiceLevelObjectives::default();
        }
        let mut start_s: Vec<f64> = self.objectives(spec, "wait").collect();
        start_s.sort_by(f64::total_cmp);
        let finished = self.objectives(spec, "finished").next();
        // All tasks of an array have started in time if the last ones end a task time later.
        let started = start_s.first().filter(|_| !spec.is_gang()).map(|s| s + spec.estimate_s);
        let implied = match (finished, started) {
            (Some(f), Some(s)) => Some(f.min(s)),
            (f, s) => f.or(s),
        };
        ServiceLevelObjectives { deadline_s: spec.deadline_s.or(implied), start_s }
    }

    fn objectives<'a>(
        &'a self,
        spec: &'a JobSpec,
        kind: &'a str,
    ) -> impl Iterator<Item = f64> + 'a {
        let objectives = self.config.platform.objectives.iter();
        objectives
            .filter(move |o| o.kind == kind && o.class.as_deref() == Some(&spec.class))
            .filter_map(|o| o.within_s)
    }

    /// Images of a record, by their numbers.
    fn image_ids_of(&mut self, named: &[(String, f64)]) -> Vec<(u32, f64)> {
        named.iter().map(|(image, gb)| (self.image_id(image), *gb)).collect()
    }

    fn image_id(&mut self, image: &str) -> u32 {
        let next = self.image_ids.len() as u32;
        let found = *self.image_ids.entry(image.to_owned()).or_insert(next);
        if found == next {
            self.image_names.push(image.to_owned());
        }
        found
    }

    /// Tells both clocks anew. The steady one drifts from the time of day, so over a long term the
    /// first reading would not do for times that other nodes read.
    pub fn set_time(&mut self, at: Timestamp) {
        self.last_timestamp = at;
    }

    /// The time of day at `now`, ms.
    fn wall_at(&self, now: u64) -> u64 {
        self.last_timestamp.wall + now.saturating_sub(self.last_timestamp.monotonic)
    }

    /// Whether no worker has reported for several intervals although some should: this node may be
    /// cut off from the workers alone, while another one is not.
    pub fn all_workers_silent(&self, now: u64) -> bool {
        let report_ms = self.config.platform.workers.heartbeat_interval_s * 1000.0;
        let limit = ((report_ms * constants::WORKER_SILENCE_INTERVALS) as u64)
            .max(constants::WORKER_SILENCE_MIN_MS);
        let mut expected = 0u32;
        let since = self.elected_at.max(self.resumed_at);
        let mut latest = since;
        for (name, machine) in &self.machines {
            // Machines that have reported here, and those of the roster that must be up by now.
            let old = machine.first_listed_at.is_some_and(|since| {
                since + (constants::BOOT_CERTAIN_MS as i64) < self.elected_at as i64
            });
            if machine.has_reported && machine.expired_incarnation < machine.newest_message.0 {
                expected += 1;
                latest = latest.max(machine.last_response_at);
            } else if !machine.has_reported && old && self.unreconciled_machines.contains(name) {
                expected += 1;
            }
        }
        // Where hundreds report, all of them are silent together within seconds only if this node can't hear
        // them. But workers that look for a new leader come one by one.
        let part = (constants::WORKER_SILENCE_FLEET_SIZE / f64::from(expected.max(1))).min(1.0);
        let soon = ((report_ms * constants::WORKER_SILENCE_INTERVALS * part) as u64)
            .clamp(constants::WORKER_SILENCE_LARGE_FLEET_MS, limit);
        expected >= 2 && now >= latest + if latest > since { soon } else { limit }
    }

    /// Time after an answer by which a worker surely reports again, ms.
    fn heartbeat_timeout_ms(&self) -> u64 {
        let report_ms = self.config.platform.workers.heartbeat_interval_s * 1000.0;
        (report_ms * constants::MAX_HEARTBEAT_INTERVAL_FACTOR) as u64
            + constants::PROMPT_HEARTBEAT_MS
    }

    /// Whether some worker has missed its report.
    pub fn any_heartbeat_overdue(&self, now: u64) -> bool {
        let late = self.heartbeat_timeout_ms();
        let lease = worker_lease_expiry_ms(&self.config.platform);
        let silent = |h: &Machine| {
            h.has_reported
                && !h.placed_tasks.is_empty()
                && (late..lease).contains(&(now - h.last_response_at.min(now)))
        };
        self.machines.values().any(silent)
    }

    /// The node could not act as leader for a while (its lease was in doubt) and can again.
    pub fn resumed(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// How things stand, for the log.
    pub fn summary(&self, now: u64) -> Summary {
        let scene = self.scheduling_snapshot(now);
        let up = || scene.cluster.machines.iter().filter(|h| !h.booting);
        let total: f64 = up().map(|h| h.total.cpus).sum();
        let free: f64 = up().map(|h| h.free.cpus).sum();
        let waiting: f64 =
            scene.cluster.jobs.iter().map(|j| f64::from(j.startable) * j.request.cpus).sum();
        Summary {
            jobs: self.jobs.len(),
            machines: self.machines.len(),
            up: up().count(),
            tasks: self.machines.values().map(|h| h.placed_tasks.len()).sum(),
            cpus: total.abs(),
            placed: (total - free).abs(),
            waiting: waiting.abs(),
        }
    }
}

/// Length of a block's lease, ms: what the operators say, and so short that it and a worker's lease end
/// within the time for a cancellation.
pub fn max_shard_lease_ms(config: &ControllerConfig) -> u64 {
    let workers = &config.platform.workers;
    let most = (workers.cancel_s - workers.lease_s) * 1000.0 - constants::CANCEL_MARGIN_MS;
    config.operator.shard_lease_ms.min(most.max(0.0) as u64)
}

/// Whether the lease of a worker that nobody answers any more ends within the time for a cancellation.
pub fn leases_expire_within_cancellation(params: &PlatformSettings) -> bool {
    let lease_ms = worker_lease_expiry_ms(params) as f64 + constants::CANCEL_MARGIN_MS;
    lease_ms <= params.workers.cancel_s * 1000.0
}

/// A worker's lease with drift and margin, ms: this long after the last moment when anyone entitled
/// could have answered it, it has killed its tasks.
pub fn worker_lease_expiry_ms(params: &PlatformSettings) -> u64 {
    (params.workers.lease_s * 1000.0 * (1.0 + constants::CLOCK_DRIFT)).ceil() as u64
        + constants::WORKER_LEASE_MARGIN_MS
}
