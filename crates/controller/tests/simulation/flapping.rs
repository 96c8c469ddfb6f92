//! Flapping networks: the machines of a zone lose the network as a start command is on its way to one of them, have it
//! back for a moment after the next leader was elected, and lose it again. What was held back is delivered in that
//! moment: start commands of the previous leader, and heartbeats whose connections were still being opened.

use super::messages::Message;
use super::{Simulation, ms};
use hookway_time::MonotonicTime;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Probability that the network of a machine is interrupted as a start is sent to it, per mille.
const INTERRUPTION_RATE: u32 = 500;
/// Time for which the network is back: a held message and the response to it arrive, the next heartbeat does not.
const RESTORED_FOR: Duration = Duration::from_millis(300);
/// Time between two interruptions, in which the cluster recovers.
const PAUSE: Duration = Duration::from_millis(8_000);

/// An interruption of the network between the machines of a zone and all controllers.
struct Interruption {
    machines: BTreeSet<usize>,
    leader: usize,
    /// When the leader is killed; `None` once it was.
    leader_killed_at: Option<MonotonicTime>,
    /// The network is restored between these times, if possible while a worker with a held start waits for a response
    /// of the next leader.
    restorable: RangeInclusive<MonotonicTime>,
    /// `None` until the network is restored.
    restored_at: Option<MonotonicTime>,
    ends_at: MonotonicTime,
    /// Messages that are held back until the network is restored, in the order of sending.
    held: Vec<Message>,
}

/// The interruptions of a day.
#[derive(Default)]
pub(super) struct FlappingNetwork {
    current: Option<Interruption>,
    /// Earliest start of the next interruption.
    next_at: MonotonicTime,
}

impl Simulation {
    /// Creates a day on which the networks of machines flap while leaders change, with no other faults of controllers,
    /// zones and the store. All controllers have the new version from the beginning.
    pub fn with_flapping_networks(seed: u64) -> Self {
        let mut simulation = Self::with_new_version(seed);
        simulation.flapping_network = Some(FlappingNetwork::default());
        simulation
    }

    /// May interrupt the network of a machine's zone, as leader `n` sends a start to the machine. The leader is killed
    /// soon after.
    pub(super) fn interrupt_network_at_start(&mut self, n: usize, m: usize) {
        let now = self.now;
        let is_possible = self
            .flapping_network
            .as_ref()
            .is_some_and(|network| network.current.is_none() && now >= network.next_at);
        if !is_possible || !self.chance(INTERRUPTION_RATE) {
            return;
        }
        let leader_killed_at = Some(now + self.random_duration(100, 1_000));
        let restorable_from = now + self.random_duration(7_000, 11_000);
        // At the latest when the leases of the workers expire.
        let restorable = restorable_from..=now + ms(13_000);
        let ends_at = now + ms(13_000) + self.random_duration(1_000, 20_000);
        let zone = self.machines[m].worker.zone().to_owned();
        let machines: BTreeSet<usize> =
            (0..self.machines.len()).filter(|m| self.machines[*m].worker.zone() == zone).collect();
        for m in &machines {
            self.machines[*m].partitioned_until = ends_at;
        }
        let interruption = Interruption {
            machines,
            leader: n,
            leader_killed_at,
            restorable,
            restored_at: None,
            ends_at,
            held: Vec::new(),
        };
        self.counts.network_interruptions += 1;
        self.flapping_network =
            Some(FlappingNetwork { current: Some(interruption), next_at: ends_at + PAUSE });
    }

    /// Holds a message to or from machine `m` back if its network is interrupted. Returns whether it is held.
    pub(super) fn hold_message(&mut self, m: usize, message: impl FnOnce() -> Message) -> bool {
        let interruption = self.flapping_network.as_mut().and_then(|n| n.current.as_mut());
        let held_by = interruption.filter(|i| i.machines.contains(&m) && i.restored_at.is_none());
        let is_held = held_by.is_some();
        if let Some(interruption) = held_by {
            interruption.held.push(message());
        }
        is_held
    }

    /// Kills the leader, restores the network, and interrupts it again, each at its time.
    pub(super) fn run_flapping_network(&mut self) {
        let now = self.now;
        let Some(mut network) = self.flapping_network.take() else { return };
        if let Some(interruption) = &mut network.current {
            if interruption.leader_killed_at.is_some_and(|at| now >= at) {
                interruption.leader_killed_at = None;
                self.kill_and_restart(interruption.leader);
            }
            match interruption.restored_at {
                None if self.is_restored_now(interruption) => {
                    interruption.restored_at = Some(now);
                    self.set_partitioned_until(&interruption.machines, now);
                    let held = std::mem::take(&mut interruption.held);
                    held.into_iter().for_each(|message| self.deliver_held(message));
                }
                Some(at) if now >= at + RESTORED_FOR => {
                    self.set_partitioned_until(&interruption.machines, interruption.ends_at);
                    network.current = None;
                }
                _ => {}
            }
        }
        self.flapping_network = Some(network);
    }

    fn set_partitioned_until(&mut self, machines: &BTreeSet<usize>, until: MonotonicTime) {
        for m in machines {
            self.machines[*m].partitioned_until = until;
        }
    }

    /// Whether the network is restored in this step.
    fn is_restored_now(&self, interruption: &Interruption) -> bool {
        let now = self.now;
        let leader = self.leadership.as_ref().map(|leadership| leadership.controller);
        let waits_for_leader = |message: &Message| match message {
            Message::DirectCommands(_, _, m, _) => {
                self.machines[*m].awaited_controller().is_some_and(|n| Some(n) == leader)
            }
            _ => false,
        };
        let is_suitable = interruption.held.iter().any(waits_for_leader)
            && leader.is_some_and(|n| self.controllers[n].may_lead(now));
        interruption.restorable.contains(&now) && is_suitable
            || now >= *interruption.restorable.end()
    }

    /// Delivers a message that was held back. A heartbeat that its worker has given up is lost: a connection attempt
    /// that was given up does not complete afterwards.
    fn deliver_held(&mut self, message: Message) {
        if let Message::Heartbeat(m, _, heartbeat) = &message
            && !self.machines[*m].awaits_response_to(heartbeat.sequence)
        {
            return;
        }
        self.counts.held_messages += 1;
        let at = self.now + self.random_duration(1, 20);
        self.schedule(at, message);
    }
}
