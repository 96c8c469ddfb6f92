//! Heartbeats at a controller, and shard leases between controllers.

use super::Simulation;
use super::messages::{HeartbeatReply, Message};
use hookway_constants as constants;
use hookway_controller::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;

impl Simulation {
    /// Delivers a heartbeat to a controller, which responds as the leader or as a shard lessee, redirects the worker,
    /// or is unavailable to it.
    pub(super) fn deliver_heartbeat(&mut self, m: usize, n: usize, heartbeat: &Heartbeat) {
        let now = self.now;
        if !self.is_worker_connected(n, m) {
            return;
        }
        let may_lead = self.controllers[n].may_lead(now);
        let controller = &mut self.controllers[n];
        let local_now = controller.local_time(now);
        let reply = match &mut controller.leader {
            Some(leader) if may_lead => leader
                .cluster
                .handle_heartbeat(heartbeat, now)
                .map_or(HeartbeatReply::Unavailable, HeartbeatReply::Response),
            leader => {
                let finished = &controller.finished_jobs;
                let extension = controller
                    .lessee
                    .extend_worker_lease(heartbeat, local_now, |id| finished.contains(id));
                match (extension, leader) {
                    (Some(extension), leader) => {
                        if let Some(leader) = leader {
                            leader.cluster.record_worker_lease_extension(&heartbeat.machine, now);
                        }
                        self.counts.lessee_extensions += 1;
                        self.counts.stopped_by_lessees += extension.response.commands.len();
                        HeartbeatReply::Response(extension.response)
                    }
                    (None, Some(_)) => HeartbeatReply::Unavailable,
                    (None, None) => {
                        let leader_reachable = controller.lessee.leader_reachable(local_now);
                        HeartbeatReply::Redirect(
                            controller
                                .observed_leader
                                .filter(|leader| *leader != n && leader_reachable),
                        )
                    }
                }
            }
        };
        self.send(|| Message::HeartbeatResponse(m, n, heartbeat.sequence, reply.clone()));
    }

    /// Delivers a shard lease renewal to controller `n`, which grants the lease if it leads.
    pub(super) fn deliver_shard_lease_renewal(
        &mut self,
        from: usize,
        n: usize,
        renewal: &ShardLeaseRenewal,
        sent_at: MonotonicTime,
    ) {
        let now = self.now;
        if !self.are_peers_connected(from, n) || !self.controllers[n].may_lead(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if let Some(lease) = leader.cluster.renew_shard_lease(renewal, now) {
            self.send(|| {
                Message::ShardLeaseGranted(from, n, renewal.process_nonce, lease.clone(), sent_at)
            });
        }
    }

    /// Delivers a granted shard lease to its lessee `n`.
    pub(super) fn deliver_shard_lease(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        lease: ShardLease,
        sent_at: MonotonicTime,
    ) {
        let connected = self.are_peers_connected(from, n);
        let controller = &mut self.controllers[n];
        let local_now = controller.local_time(self.now);
        // A connection ends with its process, and a response after the timeout is ignored.
        let in_time = local_now < sent_at + constants::PEER_TIMEOUT;
        let response_delivered = self.now >= controller.responses_lost_until;
        if connected
            && response_delivered
            && controller.nonce == nonce
            && in_time
            && controller.leader.is_none()
        {
            controller.lessee.apply_renewal_response(lease, sent_at, local_now);
        }
    }
}
