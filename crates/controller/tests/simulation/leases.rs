//! Heartbeats and shard lease renewals at a controller.

use super::Simulation;
use super::messages::{Message, Reply};
use hookway_constants as constants;
use hookway_controller::holders::{BlockLease, Renewal};
use hookway_wire::CheckIn;

impl Simulation {
    pub(super) fn heartbeat_arrives(&mut self, m: usize, n: usize, report: &CheckIn) {
        let now = self.now;
        if !self.worker_linked(n, m) {
            return;
        }
        let entitled = self.controllers[n].entitled(now);
        let controller = &mut self.controllers[n];
        let reply = match &mut controller.leader {
            Some(leader) if entitled => {
                leader.ledger.check_in(report, now).map_or(Reply::Unavailable, Reply::Answer)
            }
            leader => {
                let over = &controller.over;
                let kept =
                    controller.holding.keep(report, now - controller.begun, |id| over.contains(id));
                match (kept, leader) {
                    (Some(kept), leader) => {
                        if let Some(leader) = leader {
                            leader.ledger.kept_alive(&report.machine, now);
                        }
                        self.counts.lessee_extensions += 1;
                        self.counts.stopped_by_lessees += kept.answer.commands.len();
                        Reply::Answer(kept.answer)
                    }
                    (None, Some(_)) => Reply::Unavailable,
                    (None, None) => {
                        let in_touch = controller.holding.leader_in_touch(now - controller.begun);
                        Reply::Redirect(controller.seen.filter(|l| *l != n && in_touch))
                    }
                }
            }
        };
        self.send(|| Message::HeartbeatResponse(m, n, report.tick, reply.clone()));
    }

    pub(super) fn renewal_arrives(&mut self, from: usize, n: usize, renewal: &Renewal, at: u64) {
        let now = self.now;
        if !self.peers_linked(from, n) || !self.controllers[n].entitled(now) {
            return;
        }
        let Some(leader) = &mut self.controllers[n].leader else { return };
        if let Some(lease) = leader.ledger.renew_block(renewal, now) {
            self.send(|| Message::LeaseGranted(from, n, renewal.nonce, lease.clone(), at));
        }
    }

    pub(super) fn shard_lease_arrives(
        &mut self,
        n: usize,
        from: usize,
        nonce: u64,
        lease: BlockLease,
        sent: u64,
    ) {
        let linked = self.peers_linked(from, n);
        let controller = &mut self.controllers[n];
        let here = self.now - controller.begun;
        // A connection ends with its process, and a response after the time limit is not taken.
        let in_time = here < sent + constants::PEER_TIMEOUT_MS;
        let observed = self.now >= controller.responses_lost_until;
        if linked && observed && controller.nonce == nonce && in_time && controller.leader.is_none()
        {
            controller.holding.leased(lease, sent, here);
        }
    }
}
