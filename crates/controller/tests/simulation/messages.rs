//! The messages in the event queue, and their delivery to the simulated components.

use super::scenarios::FaultScenario;
use super::{Simulation, ms};
use hookway_clients::Delivery;
use hookway_controller::cluster_state::PendingCommit;
use hookway_controller::shard_lease::{ShardLease, ShardLeaseRenewal};
use hookway_replication::{FollowRequest, FollowResponse};
use hookway_time::MonotonicTime;
use hookway_wire::{DirectCommands, Heartbeat, HeartbeatResponse, JobId, Transaction};

/// A message in the event queue. Controllers and machines are given by index, except where a machine has a name.
#[derive(Debug)]
pub(super) enum Message {
    /// To a controller: machine, controller, content.
    Heartbeat(usize, usize, Heartbeat),
    /// To a machine: machine, controller, sequence number of the heartbeat, reply.
    HeartbeatResponse(usize, usize, u64, Reply),
    /// A lessee requests its shard lease: sender, receiver, the renewal, send time by the sender's own clock.
    LeaseRenewal(usize, usize, ShardLeaseRenewal, MonotonicTime),
    /// The leader grants a shard lease: receiver, sender, nonce of the receiving process, the lease, send time of the
    /// renewal by the receiver's own clock.
    LeaseGranted(usize, usize, u64, ShardLease, MonotonicTime),
    /// A follower requests entries: sender, receiver, nonce of the sending process, position of its copy.
    Follow(usize, usize, u64, FollowRequest),
    /// The leader responds to a follower: receiver, sender, nonce of the receiving process, the entries that its copy
    /// lacks.
    Followed(usize, usize, u64, FollowResponse),
    /// A controller tells another one that a job has finished: receiver, sender, job.
    JobFinished(usize, usize, JobId),
    /// Direct commands to a machine: controller, its term (0: it waits for no response), machine, commands.
    Direct(usize, u64, usize, DirectCommands),
    /// The outcome of direct commands: controller, its term, machine, fencing token of the commands, outcome.
    Delivered(usize, u64, String, u64, Delivery),
    /// To a machine: controller, its term, machine.
    StateProbe(usize, u64, usize),
    /// The outcome of a state probe: controller, its term, machine, the machine's state (`None`: timeout or refusal).
    ProbeResult(usize, u64, String, Option<Heartbeat>),
    /// A transaction to the store: controller, its term, commit.
    PendingCommit(usize, u64, Box<PendingCommit>),
    /// The leader rereads the keys of a commit whose outcome it does not know: controller, its term, commit.
    Reread(usize, u64, Box<PendingCommit>),
    /// A transaction that reaches the store after its sender's timeout.
    DelayedTransaction(Transaction),
    /// Deletes machines at the cloud: controller, its term, machines.
    Delete(usize, u64, Vec<String>),
}

/// A controller's reply to a heartbeat.
#[derive(Debug, Clone)]
pub(super) enum Reply {
    /// From the leader or a shard lessee: extends the worker's lease.
    Response(HeartbeatResponse),
    /// To the controller that leads, if it is known and reachable.
    Redirect(Option<usize>),
    /// From a controller that can't respond now, although it leads or led.
    Unavailable,
}

impl Simulation {
    /// Delivers a message. It is lost if its receiver, a controller, is down.
    #[expect(clippy::too_many_lines, reason = "one short arm for each kind of message")]
    pub(super) fn deliver(&mut self, message: Message) {
        let now = self.now;
        tracing::debug!("{now:?}: {message:?}");
        // Messages to a frozen controller wait until it resumes.
        let receiver = match &message {
            Message::Heartbeat(_, n, _)
            | Message::LeaseRenewal(_, n, ..)
            | Message::LeaseGranted(n, ..)
            | Message::Follow(_, n, ..)
            | Message::Followed(n, ..)
            | Message::JobFinished(n, ..)
            | Message::Delivered(n, ..)
            | Message::ProbeResult(n, ..)
            | Message::Reread(n, ..) => Some(*n),
            _ => None,
        };
        if let Some(n) = receiver {
            if now < self.controllers[n].down_until {
                return;
            }
            let resumes_at = self.controllers[n].frozen_until;
            if now < resumes_at {
                return self.at(resumes_at, message);
            }
        }
        match message {
            Message::Heartbeat(m, n, heartbeat) => self.heartbeat_arrives(m, n, &heartbeat),
            Message::HeartbeatResponse(m, n, sequence, reply) => {
                self.heartbeat_response_arrives(m, n, sequence, reply)
            }
            Message::LeaseRenewal(from, n, renewal, sent) => {
                self.renewal_arrives(from, n, &renewal, sent)
            }
            Message::LeaseGranted(n, from, nonce, lease, sent) => {
                self.shard_lease_arrives(n, from, nonce, lease, sent);
            }
            Message::Follow(from, n, nonce, request) => {
                self.follow_arrives(from, n, nonce, &request);
            }
            Message::Followed(n, from, nonce, response) => {
                self.followed_arrives(n, from, nonce, response);
            }
            Message::JobFinished(n, from, id) => {
                // The invariants must hold without this message, so most scenarios lose it.
                let lost = self
                    .scenario
                    .as_ref()
                    .is_some_and(|scenario| scenario.kind != FaultScenario::LeaderRefused);
                if !lost && self.peers_linked(from, n) {
                    self.controllers[n].finished.insert(id);
                }
            }
            Message::Direct(n, term, m, commands) => self.direct_arrives(n, term, m, commands),
            Message::Delivered(n, term, name, fencing_token, delivery) => {
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.cluster.direct_start_sent(&name, fencing_token, delivery, now);
                }
            }
            Message::StateProbe(n, term, m) => self.probe_arrives(n, term, m),
            Message::ProbeResult(n, term, name, heartbeat) => {
                self.counts.probe_responses += usize::from(heartbeat.is_some());
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.cluster.state_probed(&name, heartbeat, now);
                }
            }
            Message::PendingCommit(n, term, commit) => self.commit_arrives(n, term, commit),
            Message::Reread(n, term, commit) => self.reread(n, term, commit),
            Message::DelayedTransaction(transaction) => {
                if now < self.outage_until {
                    return self
                        .at(self.outage_until + ms(10), Message::DelayedTransaction(transaction));
                }
                let _ = self.store.commit(&transaction);
                self.check_final_states();
            }
            Message::Delete(n, term, names) => {
                for machine in
                    self.machines.iter_mut().filter(|machine| names.contains(&machine.name))
                {
                    machine.dead = true;
                }
                if let Some(leader) = self.controllers[n].leading(term) {
                    leader.cluster.scale_in_finished(&names, now);
                }
            }
        }
    }
}
