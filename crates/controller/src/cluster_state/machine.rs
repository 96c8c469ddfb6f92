//! A machine and its tasks, as the leader knows them.

use super::placed_task::{EndedTask, ExpectedHeartbeat, PlacedTask};
use super::state_probe::StateProbe;
use super::worker_restart::ShownToken;
use super::{JobKey, MachineReservation};
use hookway_time::{MonotonicTime, duration_from_seconds};
use hookway_wire::Heartbeat;
use std::time::Duration;

/// Why a machine is cordoned. A cordoned machine takes no new tasks and is scaled in once it is
/// empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// The machine had no task for longer than the idle timeout of its type.
    Idle,
    /// The machine has tasks and sends no heartbeats while most other machines of its zone do, or it
    /// sent no heartbeat for longer than its worker's lease.
    Silent,
    /// The worker sent no heartbeat within the boot timeout.
    BootTimeout,
    /// The machine is in the machine registry, but has sent no heartbeat since the failover.
    Unreconciled,
    /// An interruption notice announced that the cloud reclaims the machine.
    Interrupted,
    /// The cloud lists the machine as failed.
    Failed,
    /// Tasks take far longer on the machine than on other machines, or one task on it is stuck.
    Slow,
    /// Tasks of different jobs fail on the machine.
    Faulty,
    /// Heartbeats arrive, but the worker applies no response.
    Unacknowledged,
    /// The process of the worker has begun anew.
    WorkerRestarted,
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
            Self::WorkerRestarted => "worker process restarted",
        })
    }
}

/// The version of a worker's message, which orders messages: first by incarnation, then by sequence
/// number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageVersion {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number of the message within the incarnation.
    pub sequence: u64,
}

impl MessageVersion {
    /// Returns the version of a heartbeat, or of an answer to direct commands or a state probe.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// The time since which a machine has certainly been in the cloud's machine list. This may precede
/// the creation of this process's monotonic clock, so it can't be stored as a reading of that
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FirstListing {
    /// When this leader learned that the machine is listed.
    pub learned_at: MonotonicTime,
    /// How long the machine had certainly been listed at `learned_at`.
    pub age: Duration,
}

impl FirstListing {
    /// Whether the machine was certainly listed more than `span` before `at`.
    pub fn precedes(self, at: MonotonicTime, span: Duration) -> bool {
        self.learned_at + span < at + self.age
    }
}

/// A container image in a machine's cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CachedImage {
    /// Id that this leader gave the image.
    pub image: u32,
    /// Size of the image, GB.
    pub size_gb: f64,
}

/// A machine of the cluster, with the state of its worker.
#[derive(Debug)]
pub(super) struct Machine {
    /// Machine type; empty until known.
    pub machine_type: String,
    /// Zone; empty until known.
    pub zone: String,
    /// Whether it is a spot machine.
    pub is_spot: bool,
    /// Address where its worker listens; empty until known.
    pub address: String,
    /// Whether its worker has sent this leader a heartbeat or answered a state probe.
    pub has_reported: bool,
    /// This leader's state probes of its worker.
    pub state_probe: StateProbe,
    /// Version of the newest message of any kind from its worker.
    pub newest_message: MessageVersion,
    /// When the newest message of any kind was received; the creation of this value before the
    /// first one.
    last_message_at: MonotonicTime,
    /// Until when the newest message certainly shows the states of its tasks.
    pub states_known_at: MonotonicTime,
    /// The highest fencing token that its worker has shown.
    pub shown_token: ShownToken,
    /// Latest time by which its worker may have begun anew; `None` if nothing suggests that it has.
    pub new_process_by: Option<MonotonicTime>,
    /// Version of the newest heartbeat, which answers to direct commands and state probes do not
    /// change.
    pub newest_heartbeat: MessageVersion,
    /// Added to the term to get the machine's fencing token. Raised with each direct dispatch of
    /// starts.
    pub token_offset: u64,
    /// Time until which a prompt heartbeat is expected, because the last response had commands.
    /// Until then, starts wait for that heartbeat instead of being dispatched directly.
    /// [`MonotonicTime::ZERO`] if the last response had no commands.
    pub heartbeat_expected_by: MonotonicTime,
    /// The leases of incarnations up to this one have certainly expired.
    pub expired_incarnation: u64,
    /// What its next heartbeat shows if its worker has applied the last response.
    pub expected_heartbeat: ExpectedHeartbeat,
    /// Number of consecutive responses that its worker certainly did not apply.
    pub unacknowledged_responses: u32,
    /// Latest time at which the lease of its worker may have begun, or may have been extended by an
    /// answer of this controller or of an earlier leader. Answers of other controllers as lessees
    /// are not included: the shard lessor tracks them.
    pub last_response_at: MonotonicTime,
    /// Whether its entry in the machine registry is durable.
    pub has_durable_registration: bool,
    /// When it was requested or first seen; earlier if the machine list shows a greater age.
    pub created_at: MonotonicTime,
    /// Since when it has certainly been in the cloud's machine list; `None` if that is unknown.
    pub first_listing: Option<FirstListing>,
    /// Tasks that take its resources, also those whose start has not been sent yet.
    pub placed_tasks: Vec<PlacedTask>,
    /// Ended tasks that its worker still reports.
    pub ended_tasks: Vec<EndedTask>,
    /// When the cloud reclaims it, according to an interruption notice.
    pub interruption_at: Option<MonotonicTime>,
    /// Time until which it takes no new task.
    pub backoff_until: MonotonicTime,
    /// Jobs whose tasks failed on it since a task last completed on it.
    pub failed_jobs: Vec<JobKey>,
    /// Number of consecutive tasks that took far longer on it than other tasks of their job.
    pub consecutive_slow_tasks: u32,
    /// Why it takes no new tasks and is scaled in once empty; `None` if it is not cordoned.
    pub cordon_reason: Option<CordonReason>,
    /// Time since which it has been empty; `None` while it is not empty or has not reported.
    pub idle_since: Option<MonotonicTime>,
    /// Images in its cache, least recently used first.
    pub images: Vec<CachedImage>,
    /// Ids of the images in its cache when its entry in the machine registry was last written or
    /// loaded, in ascending order.
    pub stored_images: Vec<u32>,
    /// Reservation for a job for which tasks were preempted on it.
    pub reservation: Option<MachineReservation>,
    /// Time until which it takes new tasks. [`MonotonicTime::ZERO`] if no scheduling round has
    /// admitted it yet.
    admitted_until: MonotonicTime,
}

impl Machine {
    /// Creates a machine about which nothing is known at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            machine_type: String::new(),
            zone: String::new(),
            is_spot: false,
            address: String::new(),
            has_reported: false,
            state_probe: StateProbe::default(),
            newest_message: MessageVersion::default(),
            last_message_at: now,
            states_known_at: now,
            shown_token: ShownToken::default(),
            new_process_by: None,
            newest_heartbeat: MessageVersion::default(),
            token_offset: 0,
            heartbeat_expected_by: MonotonicTime::ZERO,
            expected_heartbeat: ExpectedHeartbeat::default(),
            unacknowledged_responses: 0,
            expired_incarnation: 0,
            last_response_at: now,
            has_durable_registration: false,
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

    /// Records a heartbeat that is the newest message of the worker, received at `now`. If none came
    /// for longer than `max_gap`, the network may have held it back, and the states in it may be as
    /// old as the gap.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        max_gap: Duration,
    ) {
        if now <= self.last_message_at + max_gap {
            self.states_known_at = now;
        }
        self.record_message(heartbeat, now);
    }

    /// Records the answer to a direct request, which is the newest message of the worker, received
    /// at `now`. The worker has sent it after `requested_at`.
    pub fn record_direct_answer(
        &mut self,
        answer: &Heartbeat,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.states_known_at = self.states_known_at.max(requested_at);
        self.record_message(answer, now);
    }

    fn record_message(&mut self, message: &Heartbeat, now: MonotonicTime) {
        self.newest_message = MessageVersion::of(message);
        self.last_message_at = now;
        self.shown_token.record(message);
    }

    /// Updates the machine's own properties from its newest message, received at `now`.
    pub fn update_from(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        self.interruption_at =
            heartbeat.interruption_notice_s.map(|notice_s| now + duration_from_seconds(notice_s));
        self.address.clone_from(&heartbeat.address);
        self.machine_type.clone_from(&heartbeat.machine_type);
        self.zone.clone_from(&heartbeat.zone);
        self.is_spot = heartbeat.spot;
    }

    /// Admits the machine for new tasks until `until`; a later end of an earlier admission stays.
    /// Each scheduling round admits the machines that exist in it, so heartbeats between rounds
    /// place no task on a machine that was added since.
    pub fn admit(&mut self, until: MonotonicTime) {
        self.admitted_until = self.admitted_until.max(until);
    }

    /// Whether the machine may take new tasks at `now`.
    pub fn is_admitted(&self, now: MonotonicTime) -> bool {
        now < self.admitted_until
    }

    /// Whether its worker has sent a heartbeat or answered a state probe, and the lease of its
    /// newest incarnation has not certainly expired.
    pub fn is_live(&self) -> bool {
        self.has_reported && self.expired_incarnation < self.newest_message.incarnation
    }

    /// Keeps new tasks off the machine until `until`; a later end of an earlier backoff stays.
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

    /// Updates at `now` the time since which it has been empty.
    pub fn update_idle_since(&mut self, now: MonotonicTime) {
        if !self.is_empty() {
            self.idle_since = None;
        } else if self.has_reported {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Cordons the machine unless it is cordoned already. Returns whether it was not.
    pub fn cordon(&mut self, reason: CordonReason) -> bool {
        let was_uncordoned = self.cordon_reason.is_none();
        self.cordon_reason.get_or_insert(reason);
        was_uncordoned
    }

    /// Returns the ids of the images in its cache, in ascending order.
    pub fn image_ids(&self) -> Vec<u32> {
        let mut images: Vec<u32> = self.images.iter().map(|cached| cached.image).collect();
        images.sort_unstable();
        images
    }

    /// Marks an image as the most recently used one; drops the least recently used ones beyond
    /// `cache_gb`.
    pub fn mark_image_used(&mut self, used: CachedImage, cache_gb: f64) {
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
