//! Detection of workers that do not apply the responses to their heartbeats.

use super::{ClusterState, CordonReason};
use hookway_constants as constants;
use hookway_time::MonotonicTime;
use hookway_wire::Heartbeat;

/// Up to one in this many machines counts as few; a single machine always does.
const FEW_MACHINES_DIVISOR: usize = 4;

impl ClusterState {
    /// Checks whether the worker applied the last response before it sent `heartbeat`. If that
    /// response had nothing whose effect a heartbeat shows, nothing is checked.
    ///
    /// A worker has at most one heartbeat in flight and ignores the response to an earlier one. So
    /// a response without effect was not received and never will be: it extended no lease. From
    /// the second consecutive response without effect on, the machine gets no new task for the
    /// longest interval between heartbeats. From [`constants::MAX_UNACKNOWLEDGED_RESPONSES`] on, it
    /// is cordoned if few machines are affected. Its tasks still count as placed until the lease of
    /// its worker has certainly expired.
    pub(super) fn check_acknowledgement(
        &mut self,
        name: &str,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let expected = std::mem::take(&mut machine.expected_heartbeat);
        let Some(is_applied) = expected.shows_response_applied(heartbeat) else { return };
        if is_applied {
            machine.unacknowledged_responses = 0;
            if machine.cordon_reason == Some(CordonReason::Unacknowledged) {
                tracing::info!(machine = %name, "response acknowledged again, uncordoned");
                machine.cordon_reason = None;
            }
            return;
        }
        // All machines are counted only after a missed response, not for every heartbeat.
        let few_affected = self.few_machines_miss_responses();
        let backoff_until = now + self.max_heartbeat_interval();
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.unacknowledged_responses += 1;
        // The response extended no lease, so the time of the response before it applies again.
        // Not so if this controller has answered the worker since, as a lessee while its leadership
        // was uncertain.
        if machine.last_response_at <= expected.responded_at {
            machine.last_response_at = expected.previous_response_at;
        }
        // A single response may get lost.
        if machine.unacknowledged_responses > 1 {
            machine.back_off(backoff_until);
        }
        if machine.unacknowledged_responses >= constants::MAX_UNACKNOWLEDGED_RESPONSES
            && few_affected
            && machine.cordon(CordonReason::Unacknowledged)
        {
            let reason = CordonReason::Unacknowledged;
            tracing::info!(machine = %name, %reason, "machine cordoned");
        }
    }

    /// Whether few machines have missed several consecutive responses. If many have, the cause is
    /// this controller, whose responses are late.
    fn few_machines_miss_responses(&self) -> bool {
        let affected = self
            .machines
            .values()
            .filter(|m| m.unacknowledged_responses >= constants::MAX_UNACKNOWLEDGED_RESPONSES)
            .count();
        affected * FEW_MACHINES_DIVISOR <= self.machines.len().max(FEW_MACHINES_DIVISOR)
    }
}
