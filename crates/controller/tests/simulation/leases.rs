//! Heartbeats at a controller, and shard leases between controllers.

use super::Simulation;
use super::messages::{Message, Reply};
use hookway_constants as constants;
use hookway_controller::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;

impl Simulation {
    /// Delivers a heartbeat to a controller, which responds as the leader or as a shard lessee, redirects the worker,
    /// or is unavailable to it.
    pub(super) fn heartbeat_arrives(&mut self, m: usize, n: usize, heartbeat: &Heartbeat) {
        let now = self.now;
        if !self.worker_linked(n, m) {
            return;
        }
        let may_lead = self.controllers[n].may_lead(now);
        let controller = &mut self.controllers[n];
        let local_now = controller.clock(now);
        let reply = match &mut controller.leader {
            Some(leader) if may_lead => leader
                .cluster
                .handle_heartbeat(heartbeat, now)
                .map_or(Reply::Unavailable, Reply::Response),
            leader => {
                let finished = &controller.finished;
                let extension = controller
                    .lessee
                    .extend_worker_lease(heartbeat, local_now, |id| finished.contains(id));
                match (extension, leader) {
                    (Some(extension), leader) => {
                        if let Some(leader) = leader {
                            leader.cluster.worker_lease_extended(&heartbeat.machine, now);
                        }
                        self.counts.lessee_extensions += 1;
                        self.counts.stopped_by_lessees += extension.response.commands.len();
                        Reply::Response(extension.response)
                    }
                    (None, Some(_)) => Reply::Unavailable,
                    (None, None) => {
                        let leader_reachable = controller.lessee.leader_reachable(local_now);
                        Reply::Redirect(
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
    pub(super) fn renewal_arrives(
        &mut self,
        from: usize,
        n: usize,
        renewal: &ShardLeaseRenewal,
        sent: MonotonicTime,
    ) {
        let now = self.now;
        if !self.peers_linked(from, n) || !self.controllers[n].may_lead(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if let Some(lease) = leader.cluster.renew_shard_lease(renewal, now) {
            self.send(|| {
                Message::LeaseGranted(from, n, renewal.process_nonce, lease.clone(), sent)
            });
        }
    }

    /// Delivers a granted shard lease to its lessee `n`.
    pub(super) fn shard_lease_arrives(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        lease: ShardLease,
        sent: MonotonicTime,
    ) {
        let linked = self.peers_linked(from, n);
        let controller = &mut self.controllers[n];
        let local_now = controller.clock(self.now);
        // A connection ends with its process, and a response after the timeout is ignored.
        let in_time = local_now < sent + constants::PEER_TIMEOUT;
        let observed = self.now >= controller.responses_lost_until;
        if linked && observed && controller.nonce == nonce && in_time && controller.leader.is_none()
        {
            controller.lessee.lease_granted(lease, sent, local_now);
        }
    }
}
