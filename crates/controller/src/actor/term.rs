//! The state of the controller actor in one term that it leads. When the term ends, the state is
//! dropped, which aborts the background tasks of the term.

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
    /// `None` until the records in the store have been read.
    pub(super) cluster: Option<ClusterState>,
    pub(super) replication: ReplicationPublisher,
    pub(super) background_tasks: BackgroundTasks,
    pub(super) pending_cancellations: PendingCancellations,
    pub(super) timers: TermTimers,
    /// Whether the leadership lease had expired at the last tick. No decision is made until a tick
    /// finds that the lease holds again.
    pub(super) suspended: bool,
    /// The machine types that were last passed to the cluster state.
    pub(super) machine_types: MachineTypes,
}

impl ActiveTerm {
    pub(super) fn new(
        leader_term: LeaderTerm,
        lease: &Arc<LeadershipLease>,
        clock: Clock,
        events: mpsc::Sender<ControllerEvent>,
    ) -> Self {
        let term = leader_term.term();
        let authority = Authority { term, lease: lease.clone(), clock };
        Self {
            cluster: None,
            replication: ReplicationPublisher::new(term),
            background_tasks: BackgroundTasks { authority, events, tasks: JoinSet::new() },
            pending_cancellations: PendingCancellations::default(),
            timers: TermTimers { last_tick_at: clock.now(), ..TermTimers::default() },
            suspended: false,
            machine_types: None,
            leader_term,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.leader_term.term()
    }

    /// Whether this controller may decide as the leader of this term at `now`.
    pub(super) fn may_decide(&self, now: MonotonicTime) -> bool {
        self.background_tasks.authority.holds_at(now) && !self.suspended
    }
}

/// The authority to act as the leader of a term, which ends with the leadership lease.
///
/// An effect that neither a fencing token nor a precondition guards needs a check of the authority
/// right before it, in the task that carries it out: the process may have been paused since the
/// decision.
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

    /// Returns the expiry of the leadership lease according to the extensions so far.
    pub(super) fn expires_at(&self) -> MonotonicTime {
        self.lease.expires_at(self.term)
    }
}

/// The background tasks of a term, with the authority and the event channel that they get.
pub(super) struct BackgroundTasks {
    pub(super) authority: Authority,
    pub(super) events: mpsc::Sender<ControllerEvent>,
    tasks: JoinSet<()>,
}

impl BackgroundTasks {
    pub(super) fn term(&self) -> u64 {
        self.authority.term
    }

    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Spawns a task that reports its result to the controller actor as an event.
    pub(super) fn spawn_event(
        &mut self,
        task: impl Future<Output = ClusterEvent> + Send + 'static,
    ) {
        let events = self.events.clone();
        self.spawn(async move { drop(events.send(task.await.into()).await) });
    }

    /// Releases the memory of background tasks that have ended.
    pub(super) fn reap_finished(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}

/// The timers of a leader's periodic work.
#[derive(Debug, Default)]
pub(super) struct TermTimers {
    pub(super) last_tick_at: MonotonicTime,
    pub(super) scheduling: IntervalTimer,
    pub(super) autoscaling: IntervalTimer,
    /// When the machine list was last requested; `None` if it was not requested in this term.
    pub(super) last_machine_list_at: Option<MonotonicTime>,
    pub(super) summary: IntervalTimer,
    pub(super) direct_dispatch: IntervalTimer,
}

/// The timer of work that is done at intervals.
#[derive(Debug, Default)]
pub(super) struct IntervalTimer {
    /// When the work was last done; [`MonotonicTime::ZERO`] if it was not done in this term, or is
    /// due at once.
    last_at: MonotonicTime,
}

impl IntervalTimer {
    /// Returns whether the work is due: `interval` has passed since it was last done. If so, the
    /// interval starts again at `now`.
    pub(super) fn restart_if_due(&mut self, interval: Duration, now: MonotonicTime) -> bool {
        let is_due = now >= self.last_at + interval;
        if is_due {
            self.last_at = now;
        }
        is_due
    }

    /// Makes the work due at once.
    pub(super) fn make_due(&mut self) {
        self.last_at = MonotonicTime::ZERO;
    }
}

/// The replication log that standbys follow, with the timers of its updates.
pub(super) struct ReplicationPublisher {
    publisher: Publisher,
    publish_timer: IntervalTimer,
    full_publish_timer: IntervalTimer,
}

impl ReplicationPublisher {
    fn new(term: u64) -> Self {
        let publisher = Publisher::new(term);
        Self {
            publisher,
            publish_timer: IntervalTimer::default(),
            full_publish_timer: IntervalTimer::default(),
        }
    }

    /// Responds to the request of a standby, after adding recent changes of the cluster state to
    /// the log. Returns `None` if the request is invalid.
    pub(super) fn respond(
        &mut self,
        cluster: &mut ClusterState,
        request: &FollowRequest,
        now: MonotonicTime,
    ) -> Option<FollowResponse> {
        // The standbys send their requests one after the other. One comparison of the cluster state
        // with the log serves them all.
        if self.publish_timer.restart_if_due(constants::FOLLOW_INTERVAL / 2, now) {
            if self.full_publish_timer.restart_if_due(constants::FULL_PUBLISH_INTERVAL, now) {
                cluster.publish_all(&mut self.publisher);
            } else {
                cluster.publish(&mut self.publisher);
            }
        }
        let response = self.publisher.respond(request, now);
        if let Err(error) = &response {
            tracing::error!(standby = request.follower, %error, "answering a standby failed");
        }
        response.ok()
    }
}

/// The replies to users whose cancellations are not durable yet.
#[derive(Debug, Default)]
pub(super) struct PendingCancellations {
    replies: HashMap<JobId, Vec<Reply<CancelOutcome>>>,
}

impl PendingCancellations {
    pub(super) fn add(&mut self, job: JobId, reply: Reply<CancelOutcome>) {
        self.replies.entry(job).or_default().push(reply);
    }

    /// Replies to the users who wait for the cancellation of a job whose final state is now
    /// durable.
    pub(super) fn job_finished(&mut self, job: &JobId, record: &FinalRecord) {
        for reply in self.replies.remove(job).unwrap_or_default() {
            let _ = reply.send(Some(CancelOutcome::Final(record.status(job))));
        }
    }

    /// Replies to all users that their cancellations are pending, so that they retry later. The
    /// cancellations stay in the commit queue.
    pub(super) fn store_unavailable(&mut self) {
        for reply in self.replies.drain().flat_map(|(_, replies)| replies) {
            let _ = reply.send(Some(CancelOutcome::Pending));
        }
    }
}
