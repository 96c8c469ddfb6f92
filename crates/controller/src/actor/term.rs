//! The state of one term of leadership. It is dropped when the term ends, and its background tasks
//! are aborted with it.

use super::MachineTypes;
use super::messages::{ClusterEvent, ControllerEvent, Reply};
use crate::cluster_state::{CancelOutcome, ClusterState};
use crate::leadership::{Clock, LeaderTerm, LeadershipLease};
use crate::records::FinalRecord;
use hookway_constants as constants;
use hookway_replication::{FollowRequest, FollowResponse, Publisher};
use hookway_time::MonotonicTime;
use hookway_wire::JobId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// A term that this controller leads.
pub(super) struct ActiveTerm {
    pub(super) leader_term: LeaderTerm,
    /// `None` until the records of the state service have been read.
    pub(super) cluster: Option<ClusterState>,
    pub(super) publication: Publication,
    pub(super) tasks: TermTasks,
    pub(super) pending_cancellations: PendingCancellations,
    pub(super) timers: TermTimers,
    /// The lease had expired when the timer last fired. No decision is made until it holds again.
    pub(super) suspended: bool,
    /// The machine types that the cluster state has.
    pub(super) machine_types: MachineTypes,
}

impl ActiveTerm {
    pub(super) fn new(
        leader_term: LeaderTerm,
        lease: &Arc<LeadershipLease>,
        clock: Clock,
        events: mpsc::Sender<ControllerEvent>,
    ) -> Self {
        let term = leader_term.term;
        let authority = Authority { term, lease: lease.clone(), clock };
        Self {
            cluster: None,
            publication: Publication::new(term),
            tasks: TermTasks { authority, events, tasks: JoinSet::new() },
            pending_cancellations: PendingCancellations::default(),
            timers: TermTimers { last_tick_at: clock.now(), ..TermTimers::default() },
            suspended: false,
            machine_types: None,
            leader_term,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.leader_term.term
    }

    /// Whether this controller may decide as the leader of this term at `now`.
    pub(super) fn may_decide(&self, now: MonotonicTime) -> bool {
        self.tasks.authority.holds_at(now) && !self.suspended
    }
}

/// The authority to act as the leader of a term.
///
/// Every effect that no fencing token and no precondition guards must check it right before, in the
/// task that carries it out: the process may have been paused since the decision.
#[derive(Debug, Clone)]
pub(super) struct Authority {
    term: u64,
    lease: Arc<LeadershipLease>,
    clock: Clock,
}

impl Authority {
    pub(super) fn holds(&self) -> bool {
        self.holds_at(self.clock.now())
    }

    pub(super) fn holds_at(&self, now: MonotonicTime) -> bool {
        self.lease.holds(self.term, now)
    }

    /// When it expires, as far as is known now.
    pub(super) fn expires_at(&self) -> MonotonicTime {
        self.lease.expires_at(self.term)
    }
}

/// The background tasks of a term, and what they are given.
pub(super) struct TermTasks {
    pub(super) authority: Authority,
    pub(super) events: mpsc::Sender<ControllerEvent>,
    tasks: JoinSet<()>,
}

impl TermTasks {
    pub(super) fn term(&self) -> u64 {
        self.authority.term
    }

    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Spawns a task that reports one event when it is done.
    pub(super) fn spawn_event(
        &mut self,
        task: impl Future<Output = ClusterEvent> + Send + 'static,
    ) {
        let events = self.events.clone();
        self.spawn(async move { drop(events.send(task.await.into()).await) });
    }

    /// Releases the memory of tasks that are done.
    pub(super) fn reap_finished(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}

/// When the duties of a leader were last carried out; zero: not in this term.
#[derive(Debug, Default)]
pub(super) struct TermTimers {
    pub(super) last_tick_at: MonotonicTime,
    pub(super) last_scheduling_at: MonotonicTime,
    pub(super) last_autoscaling_at: MonotonicTime,
    /// When the machine list was last requested; `None`: not in this term.
    pub(super) last_machine_list_at: Option<MonotonicTime>,
    pub(super) last_summary_at: MonotonicTime,
    pub(super) last_direct_dispatch_at: MonotonicTime,
}

/// Whether `interval` has passed since `last_at`. If so, `last_at` becomes `now`.
pub(super) fn take_due(
    last_at: &mut MonotonicTime,
    interval: Duration,
    now: MonotonicTime,
) -> bool {
    let due = now >= *last_at + interval;
    if due {
        *last_at = now;
    }
    due
}

/// The replication log that standbys follow.
pub(super) struct Publication {
    publisher: Publisher,
    last_published_at: MonotonicTime,
    last_full_publish_at: MonotonicTime,
}

impl Publication {
    fn new(term: u64) -> Self {
        let publisher = Publisher::new(term);
        Self {
            publisher,
            last_published_at: MonotonicTime::ZERO,
            last_full_publish_at: MonotonicTime::ZERO,
        }
    }

    /// Answers a standby; `None` if its request is invalid.
    pub(super) fn answer(
        &mut self,
        cluster: &mut ClusterState,
        request: &FollowRequest,
        now: MonotonicTime,
    ) -> Option<FollowResponse> {
        // Standbys ask one after the other: one comparison of the cluster state serves them all.
        if take_due(&mut self.last_published_at, constants::FOLLOW_INTERVAL / 2, now) {
            let full_interval = constants::FULL_PUBLISH_INTERVAL;
            if take_due(&mut self.last_full_publish_at, full_interval, now) {
                cluster.publish_all(&mut self.publisher);
            } else {
                cluster.publish(&mut self.publisher);
            }
        }
        let answer = self.publisher.respond(request, now);
        if let Err(error) = &answer {
            tracing::error!(standby = request.follower, %error, "answering a standby failed");
        }
        answer.ok()
    }
}

/// The users whose cancellations are not durable yet.
#[derive(Debug, Default)]
pub(super) struct PendingCancellations {
    replies: HashMap<JobId, Vec<Reply<CancelOutcome>>>,
}

impl PendingCancellations {
    pub(super) fn add(&mut self, job: JobId, reply: Reply<CancelOutcome>) {
        self.replies.entry(job).or_default().push(reply);
    }

    /// Answers the users of a job whose final state is durable.
    pub(super) fn job_finished(&mut self, job: &JobId, record: &FinalRecord) {
        for reply in self.replies.remove(job).unwrap_or_default() {
            let _ = reply.send(Some(CancelOutcome::AlreadyFinal(record.status(job))));
        }
    }

    /// Answers all users that their cancellations are pending, so that they retry later. The
    /// decisions stay in the commit queue.
    pub(super) fn store_unavailable(&mut self) {
        for reply in self.replies.drain().flat_map(|(_, replies)| replies) {
            let _ = reply.send(Some(CancelOutcome::Pending));
        }
    }
}
