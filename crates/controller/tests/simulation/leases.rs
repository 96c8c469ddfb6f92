//! Heartbeats and shard lease renewals at a controller.

use super::Simulation;
use super::messages::{Message, Reply};
use hookway_constants as constants;
use hookway_controller::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;

impl Simulation {
    pub(super) fn heartbeat_arrives(&mut self, m: usize, n: usize, report: &Heartbeat) {
        let now = self.now;
        if !self.worker_linked(n, m) {
            return;
        }
        let entitled = self.controllers[n].entitled(now);
        let controller = &mut self.controllers[n];
        let here = controller.clock(now);
        let reply = match &mut controller.leader {
            Some(leader) if entitled => leader
                .cluster
                .handle_heartbeat(report, now)
                .map_or(Reply::Unavailable, Reply::Answer),
            leader => {
                let over = &controller.over;
                let kept =
                    controller.holding.extend_worker_lease(report, here, |id| over.contains(id));
                match (kept, leader) {
                    (Some(kept), leader) => {
                        if let Some(leader) = leader {
                            leader.cluster.worker_lease_extended(&report.machine, now);
                        }
                        self.counts.lessee_extensions += 1;
                        self.counts.stopped_by_lessees += kept.response.commands.len();
                        Reply::Answer(kept.response)
                    }
                    (None, Some(_)) => Reply::Unavailable,
                    (None, None) => {
                        let in_touch = controller.holding.leader_reachable(here);
                        Reply::Redirect(controller.seen.filter(|l| *l != n && in_touch))
                    }
                }
            }
        };
        self.send(|| Message::HeartbeatResponse(m, n, report.sequence, reply.clone()));
    }

    pub(super) fn renewal_arrives(
        &mut self,
        from: usize,
        n: usize,
        renewal: &ShardLeaseRenewal,
        at: MonotonicTime,
    ) {
        let now = self.now;
        if !self.peers_linked(from, n) || !self.controllers[n].entitled(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if let Some(lease) = leader.cluster.renew_shard_lease(renewal, now) {
            self.send(|| Message::LeaseGranted(from, n, renewal.process_nonce, lease.clone(), at));
        }
    }

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
        let here = controller.clock(self.now);
        // A connection ends with its process, and a response after the time limit is not taken.
        let in_time = here < sent + constants::PEER_TIMEOUT;
        let observed = self.now >= controller.responses_lost_until;
        if linked && observed && controller.nonce == nonce && in_time && controller.leader.is_none()
        {
            controller.holding.lease_granted(lease, sent, here);
        }
    }
}
