//! A machine, as the leader knows it.

use super::placed_task::{EndedTask, ExpectedHeartbeat, PlacedTask};
use super::state_probe::StateProbe;
use super::{JobKey, MachineReservation};
use hookway_constants as constants;
use hookway_time::{MonotonicTime, span_of_seconds};
use hookway_wire::Heartbeat;
use std::time::Duration;

/// Why a machine is cordoned: it takes no new task and is scaled in once it is empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// Without a task for longer than its type's idle timeout.
    Idle,
    /// Without heartbeats for longer than its worker's lease.
    Silent,
    /// Its worker never sent a heartbeat within the boot timeout.
    BootTimeout,
    /// In the machine registry, but without a heartbeat since the failover.
    Unreconciled,
    /// Interruption notice: the cloud takes it back.
    Interrupted,
    /// The cloud lists it as failed.
    Failed,
    /// Tasks take far longer on it than elsewhere.
    Slow,
    /// Tasks of different jobs fail on it.
    Faulty,
    /// Its heartbeats arrive, but its worker applies no response.
    Unacknowledged,
}

impl std::fmt::Display for CordonReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Idle => "idle",
            Self::Silent => "silent",
            Self::BootTimeout => "boot timeout",
            Self::Unreconciled => "no heartbeat since failover",
            Self::Interrupted => "interruption notice",
            Self::Failed => "failed",
            Self::Slow => "slow",
            Self::Faulty => "faulty",
            Self::Unacknowledged => "responses not acknowledged",
        })
    }
}

/// Orders the messages of a worker: a later incarnation, or a later one of the same incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageVersion {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number of the message within the incarnation.
    pub sequence: u64,
}

impl MessageVersion {
    /// The version of a heartbeat, or of an answer to direct commands.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// Since when a machine has surely been in the cloud's machine list. That may be before the monotonic
/// clock of this process was created, so it has no reading of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FirstListing {
    /// When this leader learned that the machine is listed.
    pub learned_at: MonotonicTime,
    /// How long it had surely been listed by then.
    pub age: Duration,
}

impl FirstListing {
    /// Whether the machine was listed more than `span` before `at`.
    pub fn precedes(self, at: MonotonicTime, span: Duration) -> bool {
        self.learned_at + span < at + self.age
    }
}

/// An image in a machine's cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CachedImage {
    /// The image's number.
    pub image: u32,
    /// Its size, GB.
    pub size_gb: f64,
}

/// A machine.
#[derive(Debug)]
pub(super) struct Machine {
    /// Machine type; empty until known.
    pub machine_type: String,
    /// Zone; empty until known.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Address where its worker listens; empty until known.
    pub address: String,
    /// Its worker has sent this leader a heartbeat.
    pub has_reported: bool,
    /// This leader's state probes of its worker.
    pub state_probe: StateProbe,
    /// Newest message of any kind.
    pub newest_message: MessageVersion,
    /// Newest heartbeat.
    pub newest_heartbeat: MessageVersion,
    /// Added to the term to make its fencing token: raised with each direct dispatch of starts.
    pub token_offset: u64,
    /// Its next heartbeat is expected before this.
    pub heartbeat_expected_by: MonotonicTime,
    /// The leases of incarnations up to this one have surely expired.
    pub expired_incarnation: u64,
    /// What its next heartbeat shows if its worker has applied the last response.
    pub expected_heartbeat: ExpectedHeartbeat,
    /// Consecutive responses that its worker surely did not apply.
    pub unacknowledged_responses: u32,
    /// Last time when any entitled controller may have answered its worker, which then may have
    /// extended its lease.
    pub last_response_at: MonotonicTime,
    /// Its entry in the machine registry is durable.
    pub registered: bool,
    /// When it was requested or first seen (may be corrected by its listed age).
    pub created_at: MonotonicTime,
    /// Since when it has surely been in the cloud's machine list.
    pub first_listing: Option<FirstListing>,
    /// Tasks on it.
    pub placed_tasks: Vec<PlacedTask>,
    /// Ended tasks that its worker still reports.
    pub ended_tasks: Vec<EndedTask>,
    /// When the cloud takes it back.
    pub interruption_at: Option<MonotonicTime>,
    /// Takes no new task until then.
    pub backoff_until: MonotonicTime,
    /// Jobs that failed on it since a task last completed on it.
    pub failed_jobs: Vec<JobKey>,
    /// Consecutive tasks that took far longer on it than others of their job.
    pub consecutive_slow_tasks: u32,
    /// Takes no new task and is scaled in once empty, for this reason.
    pub cordon_reason: Option<CordonReason>,
    /// Without any task since.
    pub idle_since: Option<MonotonicTime>,
    /// Images in its cache, least recently used first.
    pub images: Vec<CachedImage>,
    /// Images that its entry in the machine registry names, in ascending order.
    pub stored_images: Vec<u32>,
    /// Kept for a job that tasks were preempted for.
    pub reservation: Option<MachineReservation>,
    /// It takes new tasks only until then. [`MonotonicTime::ZERO`]: no scheduling round has admitted it
    /// yet.
    admitted_until: MonotonicTime,
}

impl Machine {
    /// A machine of which nothing is known at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            address: String::new(),
            has_reported: false,
            state_probe: StateProbe::default(),
            newest_message: MessageVersion::default(),
            newest_heartbeat: MessageVersion::default(),
            token_offset: 0,
            heartbeat_expected_by: MonotonicTime::ZERO,
            expected_heartbeat: ExpectedHeartbeat::default(),
            unacknowledged_responses: 0,
            expired_incarnation: 0,
            last_response_at: now,
            registered: false,
            created_at: now,
            first_listing: None,
            placed_tasks: Vec::new(),
            ended_tasks: Vec::new(),
            interruption_at: None,
            backoff_until: MonotonicTime::ZERO,
            failed_jobs: Vec::new(),
            consecutive_slow_tasks: 0,
            cordon_reason: None,
            idle_since: None,
            images: Vec::new(),
            stored_images: Vec::new(),
            reservation: None,
            admitted_until: MonotonicTime::ZERO,
        }
    }

    /// Whether its worker should be probed at `now`: it has sent no heartbeat, or one before it
    /// had seen this leader's fencing token, and the next one is not expected at once.
    pub fn needs_state_probe(&self, now: MonotonicTime) -> bool {
        let heartbeat_expected =
            self.has_reported && now < self.last_response_at + constants::PROMPT_HEARTBEAT;
        self.state_probe.due(now)
            && !heartbeat_expected
            && !self.address.is_empty()
            && self.cordon_reason.is_none()
    }

    /// Takes the machine's own properties from its newest message, received at `now`.
    pub fn update_from(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        self.newest_message = MessageVersion::of(heartbeat);
        self.interruption_at =
            heartbeat.interruption_notice_s.map(|notice_s| now + span_of_seconds(notice_s));
        self.address.clone_from(&heartbeat.addr);
        self.machine_type.clone_from(&heartbeat.machine_type);
        self.zone.clone_from(&heartbeat.zone);
        self.spot = heartbeat.spot;
    }

    /// Lets the machine take new tasks until then; a later end of an earlier admission stays. Each
    /// scheduling round admits the machines that it knows, so heartbeats between rounds place nothing
    /// on a machine that was added since.
    pub fn admit(&mut self, until: MonotonicTime) {
        self.admitted_until = self.admitted_until.max(until);
    }

    /// Whether the machine may take new tasks at `now`.
    pub fn is_admitted(&self, now: MonotonicTime) -> bool {
        now < self.admitted_until
    }

    /// Whether its worker has sent a heartbeat and its lease has not surely expired since.
    pub fn is_live(&self) -> bool {
        self.has_reported && self.expired_incarnation < self.newest_message.incarnation
    }

    /// It takes no new task until then, or until the later end of an earlier backoff.
    pub fn back_off(&mut self, until: MonotonicTime) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Whether it must take no new task: cordoned, or with an interruption notice.
    pub fn is_draining(&self) -> bool {
        self.cordon_reason.is_some() || self.interruption_at.is_some()
    }

    /// Whether it has neither placed tasks nor ended tasks that its worker still reports.
    pub fn is_empty(&self) -> bool {
        self.placed_tasks.is_empty() && self.ended_tasks.is_empty()
    }

    /// Updates since when it has no task, at `now`.
    pub fn update_idle_since(&mut self, now: MonotonicTime) {
        if !self.is_empty() {
            self.idle_since = None;
        } else if self.has_reported {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Cordons the machine unless it is cordoned already; whether it was not.
    pub fn cordon(&mut self, reason: CordonReason) -> bool {
        let was_open = self.cordon_reason.is_none();
        self.cordon_reason.get_or_insert(reason);
        was_open
    }

    /// The images in its cache, in ascending order.
    pub fn image_ids(&self) -> Vec<u32> {
        let mut images: Vec<u32> = self.images.iter().map(|cached| cached.image).collect();
        images.sort_unstable();
        images
    }

    /// An image was used on it; the least recently used ones are dropped beyond `cache_gb`.
    pub fn use_image(&mut self, used: CachedImage, cache_gb: f64) {
        self.images.retain(|cached| cached.image != used.image);
        self.images.push(used);
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.size_gb).sum();
        while self.images.len() > 1 && total_gb > cache_gb {
            total_gb -= self.images.remove(0).size_gb;
        }
    }
}

#[cfg(test)]
mod tests;
