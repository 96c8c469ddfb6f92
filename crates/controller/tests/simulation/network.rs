//! The network: scheduling of delayed, duplicated and lost messages, and which components can reach each other.

use super::messages::Message;
use super::{CONTROLLERS, Simulation, zone_index};
use hookway_time::MonotonicTime;
use rand::RngExt;

impl Simulation {
    /// Schedules the delivery of a message.
    pub(super) fn schedule(&mut self, time: MonotonicTime, message: Message) {
        self.messages_scheduled += 1;
        self.event_queue.insert((time, self.messages_scheduled), message);
    }

    /// Sends a message over the network, which may delay, duplicate or lose it. Each call of `make` returns a copy.
    pub(super) fn send(&mut self, make: impl Fn() -> Message) {
        let is_direct = matches!(make(), Message::DirectCommands(..));
        let mut copies = 1;
        if self.chance(40) {
            copies = 0;
        } else if self.chance(if is_direct { 300 } else { 60 }) {
            copies = 2;
        }
        for copy in 0..copies {
            let delayed = copy > 0 || self.chance(if is_direct { 250 } else { 30 });
            let delay = match (delayed, self.rng.random_range(0..2)) {
                (false, _) => self.random_duration(5, 60),
                (true, 0) => self.random_duration(500, 6_000),
                (true, _) => self.random_duration(500, 60_000),
            };
            self.schedule(self.now + delay, make());
        }
    }

    /// Whether a zone is not partitioned from the other one, the store and the cloud.
    pub(super) fn is_zone_connected(&self, zone: &str) -> bool {
        self.now >= self.zone_partitioned_until[zone_index(zone)]
    }

    /// Whether two zones can reach each other.
    pub(super) fn are_zones_connected(&self, first: &str, second: &str) -> bool {
        first == second || self.is_zone_connected(first) && self.is_zone_connected(second)
    }

    /// Whether controller `n` can reach the store.
    pub(super) fn can_reach_store(&self, n: usize) -> bool {
        let controller = &self.controllers[n];
        self.now >= self.outage_until
            && self.now >= controller.store_unreachable_until
            && self.is_zone_connected(CONTROLLERS[n].1)
    }

    /// Whether two controllers can reach each other.
    pub(super) fn are_peers_connected(&self, first: usize, second: usize) -> bool {
        let reaches_peers = |n: usize| self.now >= self.controllers[n].peers_unreachable_until;
        reaches_peers(first)
            && reaches_peers(second)
            && self.are_zones_connected(CONTROLLERS[first].1, CONTROLLERS[second].1)
    }

    /// Whether controller `n` and machine `m` can reach each other, apart from one-way partitions.
    pub(super) fn is_worker_connected(&self, n: usize, m: usize) -> bool {
        let machine = &self.machines[m];
        let partitioned = machine
            .partitioned_from
            .is_some_and(|(controller, until)| controller == n && self.now < until);
        !partitioned
            && self.now >= self.controllers[n].workers_unreachable_until
            && self.now >= machine.partitioned_until
            && self.are_zones_connected(CONTROLLERS[n].1, machine.worker.zone())
    }
}
