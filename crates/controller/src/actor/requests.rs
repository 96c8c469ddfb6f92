//! Handles requests to the controller actor, as a follower and as the leader.

use super::ControllerActor;
use super::messages::{ControllerRequest, HeartbeatReply, PreparedRenewal, Reply};
use super::term::ActiveTerm;
use crate::cluster_state::{CancelOutcome, JobLookup, JobOrigin, Timestamp};
use crate::leadership::wall_clock;
use crate::proven_status::JobEvidence;
use hookway_time::MonotonicTime;
use hookway_wire::{Command, Heartbeat, HeartbeatResponse, ReplicationStatus};
use tokio::sync::oneshot;

impl ControllerActor {
    /// Handles a request while another controller leads or no controller does.
    pub(super) fn handle_as_follower(&mut self, request: ControllerRequest) {
        let now = self.config.clock.now();
        match request {
            ControllerRequest::Heartbeat { heartbeat, reply } => {
                let extension = self.extend_worker_lease(&heartbeat, now);
                let _ = reply.send(extension.unwrap_or_else(|| self.redirect(now)));
            }
            ControllerRequest::Status { reply, .. } => decline(reply),
            ControllerRequest::Cancel { reply, .. } => decline(reply),
            ControllerRequest::AddJob { reply, .. } => decline(reply),
            ControllerRequest::RenewShardLease { reply, .. } => decline(reply),
            ControllerRequest::PrepareShardLeaseRenewal(reply) => {
                let renewal = self.config.shard_lessee.renewal(now);
                answer(reply, PreparedRenewal { renewal, sent_at: now });
            }
            ControllerRequest::ShardLeaseRenewalAnswered { lease, sent_at } => {
                self.config.shard_lessee.apply_renewal_response(lease, sent_at, now);
            }
            ControllerRequest::Follow { reply, .. } => decline(reply),
            ControllerRequest::PrepareFollow(reply) => {
                let _ = reply.send(self.config.standby.next_request(now));
            }
            ControllerRequest::FollowResponseReceived(response) => {
                self.config.standby.handle_response(response, now)
            }
            ControllerRequest::ReplicationStatus(reply) => self.replication_status(reply, now),
        }
    }

    /// Handles a request while this controller leads.
    pub(super) fn handle_as_leader(&mut self, active: &mut ActiveTerm, request: ControllerRequest) {
        let now = self.config.clock.now();
        let may_decide = active.may_decide(now);
        let Some(cluster) = active.cluster.as_mut().filter(|_| may_decide) else {
            return self.handle_without_authority(active, request, now);
        };
        match request {
            ControllerRequest::Heartbeat { heartbeat, reply } => {
                let response = cluster.handle_heartbeat(&heartbeat, now);
                self.reply_to_heartbeat(active, response, reply, now);
            }
            ControllerRequest::Status { job, reply } => {
                let lookup = cluster.status(&job, now);
                let is_unproven = matches!(lookup, JobLookup::Known(JobEvidence::MayBeRunning(_)));
                if is_unproven && cluster.request_status_probes(&job, now) {
                    self.send_state_probes(active, now);
                }
                answer(reply, lookup);
            }
            ControllerRequest::Cancel { job, reply } => match cluster.cancel(&job) {
                CancelOutcome::Pending => {
                    active.pending_cancellations.add(job, reply);
                    self.dispatch(active);
                }
                outcome => answer(reply, outcome),
            },
            ControllerRequest::AddJob { read_in_term, key, value, reply } => {
                if read_in_term == Some(active.leader_term.term()) {
                    let at = Timestamp { monotonic: now, wall: wall_clock() };
                    cluster.add_job(&key, value, at, JobOrigin::ThisTerm);
                }
                answer(reply, ());
            }
            ControllerRequest::RenewShardLease { renewal, reply } => {
                let _ = reply.send(cluster.renew_shard_lease(&renewal, now));
            }
            ControllerRequest::Follow { request, reply } => {
                let _ = reply.send(active.replication.respond(cluster, &request, now));
            }
            // A leader leases its own shard to itself, and does not follow another controller.
            ControllerRequest::PrepareShardLeaseRenewal(reply) => decline(reply),
            ControllerRequest::PrepareFollow(reply) => decline(reply),
            ControllerRequest::ShardLeaseRenewalAnswered { .. }
            | ControllerRequest::FollowResponseReceived(_) => {}
            ControllerRequest::ReplicationStatus(reply) => self.replication_status(reply, now),
        }
    }

    /// Replies to a heartbeat with the response of the cluster state, and sends what that has
    /// decided since.
    fn reply_to_heartbeat(
        &mut self,
        active: &mut ActiveTerm,
        response: Option<HeartbeatResponse>,
        reply: oneshot::Sender<HeartbeatReply>,
        now: MonotonicTime,
    ) {
        if response.as_ref().is_some_and(starts_a_task) {
            self.config.standby.start_dispatched(now);
        }
        let needs_state_probe = response.as_ref().is_some_and(|response| !response.extends_lease());
        let expires_at = active.background_tasks.authority.expires_at();
        let valid_until = self.config.clock.instant_at(expires_at);
        let _ = reply.send(response.map_or(HeartbeatReply::Unavailable, |response| {
            HeartbeatReply::Respond { response, valid_until }
        }));
        if needs_state_probe {
            self.send_state_probes(active, now);
        }
        self.dispatch(active);
    }

    /// Handles a request in a term of this controller while it must not decide: it has not read the
    /// records yet, or its leadership lease has expired, or decisions are still suspended after
    /// that.
    fn handle_without_authority(
        &mut self,
        active: &mut ActiveTerm,
        request: ControllerRequest,
        now: MonotonicTime,
    ) {
        match request {
            ControllerRequest::Heartbeat { heartbeat, reply } => {
                let extension = self.extend_worker_lease(&heartbeat, now);
                if extension.is_some()
                    && let Some(cluster) = &mut active.cluster
                {
                    cluster.record_worker_lease_extension(&heartbeat.machine, now);
                }
                let _ = reply.send(extension.unwrap_or(HeartbeatReply::Unavailable));
            }
            ControllerRequest::PrepareShardLeaseRenewal(reply) => decline(reply),
            ControllerRequest::PrepareFollow(reply) => decline(reply),
            ControllerRequest::ShardLeaseRenewalAnswered { .. }
            | ControllerRequest::FollowResponseReceived(_) => {}
            other => self.handle_as_follower(other),
        }
    }

    /// Returns the reply that redirects a worker to the leader. It names the leader only if that is
    /// another controller and has been reachable recently.
    fn redirect(&self, now: MonotonicTime) -> HeartbeatReply {
        let reachable = self.config.shard_lessee.leader_reachable(now);
        let leader = self.config.leadership_view.borrow().leader.clone().filter(|_| reachable);
        let own_name = &self.config.cluster.controller_name;
        HeartbeatReply::Redirect(leader.filter(|name| name != own_name))
    }

    /// Returns the reply of this controller as the lessee of the worker's shard; `None` if it must
    /// not extend the worker's lease or need not.
    fn extend_worker_lease(
        &mut self,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
    ) -> Option<HeartbeatReply> {
        let final_states = &self.config.final_states;
        let job_finished = |job: &_| final_states.contains(job);
        let extension =
            self.config.shard_lessee.extend_worker_lease(heartbeat, now, job_finished)?;
        tracing::debug!(
            machine = %heartbeat.machine, incarnation = heartbeat.incarnation,
            fencing_token = extension.response.fencing_token,
            "worker lease extended as shard lessee"
        );
        Some(HeartbeatReply::Respond {
            response: extension.response,
            valid_until: self.config.clock.instant_at(extension.valid_until),
        })
    }

    fn replication_status(&self, reply: Reply<ReplicationStatus>, now: MonotonicTime) {
        answer(reply, self.config.standby.status(now));
    }
}

/// Sends a reply. It is dropped if the requester has stopped waiting for it.
fn answer<T>(reply: Reply<T>, value: T) {
    let _ = reply.send(Some(value));
}

/// Replies that this controller does not lead, or has no answer.
fn decline<T>(reply: Reply<T>) {
    let _ = reply.send(None);
}

fn starts_a_task(response: &HeartbeatResponse) -> bool {
    response.commands.iter().any(|command| matches!(command, Command::Run { .. }))
}
