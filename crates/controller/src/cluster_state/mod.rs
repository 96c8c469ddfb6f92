//! The leader's picture of jobs, machines and what is where, and every decision that follows from it.
//!
//! No I/O and no clock: the caller says what happened and when (milliseconds on its steady clock),
//! and carries out what comes back.

mod acknowledgement;
mod autoscaling;
mod bounded_set;
mod class_history;
mod command_dispatch;
mod commit_queue;
mod commits;
mod completion;
mod direct_dispatch;
mod draining;
mod failure_attribution;
mod gang_repair;
mod heartbeat;
mod heartbeat_tasks;
mod heartbeat_timing;
mod job;
mod job_operations;
mod machine;
mod machine_fill;
mod machine_list;
mod machine_registry;
mod placed_task;
mod placement;
mod progress;
mod recovery;
mod scale_in;
mod scale_out;
mod scheduling_round;
mod service_level_objectives;
mod shared_watermarks;
mod silence;
mod snapshot;
mod spare_machines;
mod standby_feed;
mod start_watermark;
mod startable_tasks;
mod state_probe;
mod task_adoption;
mod task_removal;

pub use autoscaling::ScalingAction;
pub use commit_queue::{CommitResult, PendingCommit, RereadKey};
pub use job_operations::{CancelOutcome, JobLookup};
pub use standby_feed::WarmStart;

use crate::records::{FinalRecord, JobRecord};
use crate::settings::{OperatorSettings, PlatformSettings};
use crate::shard_lease::{ShardLease, ShardLeaseRenewal, ShardLessor};
use bounded_set::BoundedSet;
use class_history::ClassHistory;
use commit_queue::CommitQueue;
use hookway_constants as constants;
use hookway_wire::{JobId, JobState, KeyValue, MachineType, Precondition};
use job::{Job, JobContext, JobKey, TaskPlacement};
use machine::{CachedImage, CordonReason, GangReservation, Machine, MessageVersion};
use placed_task::{EndedTask, ExpectedHeartbeat, PlacedTask, StopOrder, TaskAttempt, TaskPhase};
use scale_out::ScaleOutState;
use scheduling_round::LastRound;
use service_level_objectives::ServiceLevelObjectives;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

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
    next_job: u64,
    machine_types: Vec<MachineType>,
    image_ids: HashMap<String, u32>,
    image_names: Vec<String>,
    jobs: BTreeMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    /// Jobs that ended in this term: a late event must not bring them back.
    ended_jobs: BoundedSet<JobId>,
    machines: BTreeMap<String, Machine>,
    /// Machines that this leader knows to be gone: late reports must not bring them back.
    removed_machines: BoundedSet<String>,
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
    scale_outs: ScaleOutState,
    /// Machines whose deletion is requested.
    scaling_in: HashSet<String>,
    /// What the last scheduling round left for heartbeats.
    last_round: LastRound,
    /// Tasks on machines that belong to no job in this ledger.
    unknown_tasks: usize,
    /// Machines with starts that no worker was told of yet.
    machines_with_planned_starts: BTreeSet<String>,
    /// Messages with starts that are under way straight to workers.
    direct_dispatches_in_flight: usize,
    /// Workers that are being asked what is on their machines.
    state_probes_in_flight: usize,
    /// Cancelled jobs whose tasks may not be gone in time yet.
    unproven_cancellations: BTreeSet<JobKey>,
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
            next_job: 0,
            machine_types,
            image_ids: HashMap::new(),
            image_names: Vec::new(),
            jobs: BTreeMap::new(),
            job_keys: HashMap::new(),
            ended_jobs: BoundedSet::new(constants::BOUNDED_SET_SIZE),
            machines: BTreeMap::new(),
            removed_machines: BoundedSet::new(constants::BOUNDED_SET_SIZE),
            unreconciled_machines: BTreeSet::new(),
            unreconciled_since: at.monotonic,
            shard_lessor: holders,
            resumed_at: at.monotonic,
            commit_queue: writer,
            completed_jobs: Vec::new(),
            scale_outs: ScaleOutState::default(),
            scaling_in: HashSet::new(),
            last_round: LastRound::default(),
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
        let cancelled =
            |j: &&Job| j.completion.end_state() == Some(JobState::Cancelled) && j.placed > 0;
        let longest = max_shard_lease_ms(&self.config);
        let left = |job: &Job| {
            let since_asked =
                job.completion.cancel_requested_at_ms().map(|at| now.saturating_sub(at));
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
        let key = JobKey::new(self.next_job);
        let aims = ServiceLevelObjectives::of_job(&record.spec, &self.config.platform);
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
        let before = self.classes.get(&record.spec.class).map(ClassHistory::record);
        let class = self
            .classes
            .entry(record.spec.class.clone())
            .or_insert_with(|| ClassHistory::before_first_job(&record.spec));
        class.add_job(&record.spec, image);
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

    /// Images of a record, by their numbers.
    fn image_ids_of(&mut self, named: &[(String, f64)]) -> Vec<CachedImage> {
        named
            .iter()
            .map(|(image, gb)| CachedImage { image: self.image_id(image), size_gb: *gb })
            .collect()
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
