//! Workers that have begun anew: detection, and how their machines are given up.
//!
//! A worker keeps its incarnation, the sequence number of its messages and its fencing token for as
//! long as it lives. If its process begins anew on the same machine, all three begin anew. Its
//! messages then look like old ones, it accepts late copies of commands that the earlier process
//! had carried out, and its lease begins anew, whatever this leader has answered before.
//!
//! The order of messages can't be restored on such a machine, so the machine is deleted. Until the
//! deletion is confirmed, its tasks count as placed.

use super::{ClusterState, CordonReason, Machine, MessageVersion};
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;
use std::cmp::Ordering;

/// The highest fencing token that a worker has shown.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShownToken {
    token: u64,
    /// Version of the first message that showed it.
    since: MessageVersion,
}

/// Which process of the worker has sent a message that is older than the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sender {
    /// The message fits the order of messages: it is late, or a copy.
    SameProcess,
    /// The message may be late, or the first ones of a process that has begun anew.
    Unknown,
    /// The message fits no order of messages of one process.
    NewProcess,
}

impl ShownToken {
    /// Records the token of a message that is newer than all before.
    pub fn record(&mut self, message: &Heartbeat) {
        if message.fencing_token > self.token {
            *self = Self { token: message.fencing_token, since: MessageVersion::of(message) };
        }
    }

    /// Determines who has sent a message that is older than the newest one. A process shows no
    /// higher token before the first message with this token, and no lower one afterwards.
    fn sender_of_old(&self, message: &Heartbeat) -> Sender {
        let is_before = MessageVersion::of(message) < self.since;
        match message.fencing_token.cmp(&self.token) {
            Ordering::Less if is_before => Sender::Unknown,
            // A message with this token may have been late or lost before the first one.
            Ordering::Equal if is_before => Sender::Unknown,
            Ordering::Equal => Sender::SameProcess,
            Ordering::Less | Ordering::Greater => Sender::NewProcess,
        }
    }
}

impl Machine {
    /// Returns the latest time at which the lease of its worker may have begun, whichever process
    /// of the worker has it.
    pub fn lease_began_by(&self) -> MonotonicTime {
        self.new_process_by.map_or(self.last_response_at, |at| at.max(self.last_response_at))
    }
}

impl ClusterState {
    /// Whether a heartbeat that is newer than all before shows that its worker has begun anew: the
    /// messages of the new process have passed the sequence number of the earlier one.
    pub(super) fn is_of_new_process(&self, heartbeat: &Heartbeat) -> bool {
        self.machines.get(&heartbeat.machine).is_some_and(|machine| {
            MessageVersion::of(heartbeat) > machine.newest_message
                && heartbeat.fencing_token < machine.shown_token.token
        })
    }

    /// Checks whether a heartbeat that is refused as old may come of a worker that has begun anew.
    /// Until a state probe has shown that it has not, its lease counts from now. The probe also
    /// shows the worker the machine's fencing token, so that it refuses earlier commands.
    pub(super) fn check_for_new_process(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) {
        let name = heartbeat.machine.as_str();
        let Some(machine) = self.machines.get_mut(name) else { return };
        match machine.shown_token.sender_of_old(heartbeat) {
            Sender::SameProcess => {}
            Sender::Unknown => {
                machine.new_process_by = Some(now);
                self.state_probes.request(name);
            }
            Sender::NewProcess => self.give_up_restarted(name, now),
        }
    }

    /// Gives up a machine whose worker has begun anew, as a message received at `now` shows.
    pub(super) fn give_up_restarted(&mut self, name: &str, now: MonotonicTime) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.new_process_by = Some(now);
        if machine.cordon_reason != Some(CordonReason::WorkerRestarted) {
            machine.cordon_reason = Some(CordonReason::WorkerRestarted);
            let reason = CordonReason::WorkerRestarted;
            tracing::info!(machine = %name, %reason, "machine cordoned");
        }
    }
}
