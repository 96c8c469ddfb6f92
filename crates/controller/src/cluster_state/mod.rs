//! The cluster state: jobs, machines and tasks as the leader knows them, and all decisions of the
//! leader that follow from them.
//!
//! The cluster state does no I/O and reads no clock: the caller reports what happened and when, by
//! its own clocks, and carries out the returned actions.

mod acknowledgement;
mod autoscaling;
mod bounded_set;
mod cancellation;
mod class_history;
mod clocks;
mod command_dispatch;
mod commit_items;
mod commit_outcome;
mod commit_queue;
mod commits;
mod completion;
mod direct_dispatch;
mod draining;
mod failure_attribution;
mod failure_history;
mod gang_repair;
mod gang_state;
mod heartbeat;
mod heartbeat_placement;
mod heartbeat_tasks;
mod heartbeat_timing;
mod image_ids;
mod job;
mod job_index;
mod job_intake;
mod job_status;
mod lease_expiry;
mod leases;
mod machine;
mod machine_list;
mod machine_registry;
mod placed_task;
mod placement;
mod progress;
mod reconciliation;
mod recovery;
mod relocation;
mod reservation;
mod run_times;
mod scale_in;
mod scale_out;
mod scheduling_round;
mod service_level_objectives;
mod shared_watermarks;
mod silence_detection;
mod snapshot;
mod spare_machines;
mod standby_replication;
mod start_watermark;
mod startable_tasks;
mod state_probe;
mod summary;
mod task_adoption;
mod task_end;
mod task_removal;
mod token_bucket;
mod watermark_marker;
mod worker_restart;

pub use autoscaling::ScalingAction;
pub use cancellation::{CancelOutcome, CompletedJob};
pub use clocks::Timestamp;
pub use command_dispatch::DirectStop;
pub use commit_queue::{CommitResult, PendingCommit, RereadKey};
pub use direct_dispatch::DirectStart;
pub use job::JobOrigin;
pub use job_status::JobLookup;
pub use leases::{leases_expire_within_cancellation, longest_worker_lease, max_shard_lease};
pub use recovery::LoadedRecords;
pub use standby_replication::RestoredHints;
pub use state_probe::StateProbeRequest;
pub use summary::Summary;

use crate::settings::{OperatorSettings, PeerController, PlatformSettings};
use crate::shard_lease::ShardLessor;
use bounded_set::BoundedSet;
use class_history::ClassHistory;
use clocks::LeaderClocks;
use commit_queue::CommitQueue;
use direct_dispatch::DirectDispatch;
use hookway_constants as constants;
use hookway_wire::{MachineType, Precondition};
use image_ids::ImageIds;
use job::{Job, JobKey, TaskPlacement};
use job_index::JobIndex;
use machine::{CachedImage, CordonReason, Machine, MessageVersion};
use placed_task::{EndedTask, ExpectedHeartbeat, PlacedTask, StopOrder, TaskAttempt, TaskPhase};
use reconciliation::Reconciliation;
use relocation::ActiveRelocation;
use reservation::MachineReservation;
use scale_out::ScaleOutState;
use scheduling_round::LastRound;
use state_probe::StateProbes;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Settings and identity of a controller, which do not change while it is the leader.
#[derive(Debug, Clone)]
pub struct ControllerConfig {
    /// Name of this controller, as status responses show it.
    pub controller_name: String,
    /// Zone that this controller runs in.
    pub zone: String,
    /// The other controllers of the platform, to which shards may be leased.
    pub peers: Vec<PeerController>,
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Settings of the operators.
    pub operator: OperatorSettings,
}

/// The cluster as its leader knows it, in one term.
#[derive(Debug)]
pub struct ClusterState {
    config: ControllerConfig,
    term: u64,
    /// Counter of the attempts that were numbered in this term.
    attempt_counter: u64,
    clocks: LeaderClocks,
    machine_types: Vec<MachineType>,
    images: ImageIds,
    jobs: JobIndex,
    classes: HashMap<String, ClassHistory>,
    machines: BTreeMap<String, Machine>,
    /// Machines that this leader knows to no longer exist: late heartbeats must not add them again.
    removed_machines: BoundedSet<String>,
    /// Number of placed tasks that belong to no known job.
    unknown_job_tasks: usize,
    reconciliation: Reconciliation,
    /// The shard leases: which controllers may extend worker leases while the leader can't.
    shard_lessor: ShardLessor,
    commit_queue: CommitQueue,
    /// Jobs whose end has become durable and which the caller has not taken yet.
    completed_jobs: Vec<CompletedJob>,
    /// Cancelled jobs whose tasks are not yet proven to end in time, so that the cancellation can't
    /// be confirmed.
    unconfirmed_cancellations: BTreeSet<JobKey>,
    /// What the last scheduling round left for placement at heartbeats.
    last_round: LastRound,
    /// Replicas that move so that other jobs find capacity.
    relocations: Vec<ActiveRelocation>,
    scale_outs: ScaleOutState,
    /// Machines whose deletion has been requested.
    machines_being_deleted: HashSet<String>,
    direct_dispatch: DirectDispatch,
    state_probes: StateProbes,
    /// Whether some task may have to be stopped for which no direct stop has been returned yet.
    has_pending_stops: bool,
    /// Machines that may have changed since changes were last published to standbys.
    unpublished_machines: HashSet<String>,
}

impl ClusterState {
    /// Creates the cluster state of a new leader. `at` must be read after the election was won, and
    /// `leader_precondition` must hold as long as this controller is the leader.
    pub fn new(
        config: ControllerConfig,
        term: u64,
        leader_precondition: Precondition,
        machine_types: Vec<MachineType>,
        loaded: LoadedRecords,
        at: Timestamp,
    ) -> Self {
        let mut cluster = Self {
            term,
            attempt_counter: 0,
            clocks: LeaderClocks::new(at),
            machine_types,
            images: ImageIds::default(),
            jobs: JobIndex::new(),
            classes: HashMap::new(),
            machines: BTreeMap::new(),
            removed_machines: BoundedSet::new(constants::MAX_REMEMBERED_NAMES),
            unknown_job_tasks: 0,
            reconciliation: Reconciliation::default(),
            shard_lessor: ShardLessor::new(
                &config.zone,
                &config.peers,
                &config.platform.zones,
                max_shard_lease(&config),
                at.monotonic,
            ),
            commit_queue: CommitQueue::new(&config.platform, leader_precondition, at.monotonic),
            completed_jobs: Vec::new(),
            unconfirmed_cancellations: BTreeSet::new(),
            last_round: LastRound::default(),
            relocations: Vec::new(),
            scale_outs: ScaleOutState::default(),
            machines_being_deleted: HashSet::new(),
            direct_dispatch: DirectDispatch::default(),
            state_probes: StateProbes::new(at.monotonic),
            has_pending_stops: false,
            unpublished_machines: HashSet::new(),
            config,
        };
        cluster.load_records(loaded, at);
        cluster
    }

    /// Returns the term, which is also the lowest fencing token of this leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the number of machines in the cluster state.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Replaces the list of machine types that the cloud offers.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }
}
