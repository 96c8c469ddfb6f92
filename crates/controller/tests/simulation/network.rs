//! The network: scheduling of delayed, duplicated and lost messages, and which components can reach each other.

use super::messages::Message;
use super::{CONTROLLERS, Simulation, zone_number};
use hookway_time::MonotonicTime;
use rand::RngExt;

impl Simulation {
    /// Schedules the delivery of a message.
    pub(super) fn at(&mut self, time: MonotonicTime, message: Message) {
        self.sent += 1;
        self.queue.insert((time, self.sent), message);
    }

    /// Sends a message over the network, which may delay, duplicate or lose it. `make` is called for each copy.
    pub(super) fn send(&mut self, make: impl Fn() -> Message) {
        let is_direct = matches!(make(), Message::Direct(..));
        let mut copies = 1;
        if self.chance(40) {
            copies = 0;
        } else if self.chance(if is_direct { 300 } else { 60 }) {
            copies = 2;
        }
        for copy in 0..copies {
            let delayed = copy > 0 || self.chance(if is_direct { 250 } else { 30 });
            let delay = match (delayed, self.rng.random_range(0..2)) {
                (false, _) => self.span(5, 60),
                (true, 0) => self.span(500, 6_000),
                (true, _) => self.span(500, 60_000),
            };
            self.at(self.now + delay, make());
        }
    }

    /// Whether a zone is not partitioned from the other one, the store and the cloud.
    pub(super) fn zone_open(&self, zone: &str) -> bool {
        self.now >= self.zone_partitioned_until[zone_number(zone)]
    }

    /// Whether two zones can reach each other.
    pub(super) fn zones_linked(&self, first: &str, second: &str) -> bool {
        first == second || self.zone_open(first) && self.zone_open(second)
    }

    /// Whether controller `n` can reach the store.
    pub(super) fn store_reachable(&self, n: usize) -> bool {
        let controller = &self.controllers[n];
        self.now >= self.outage_until
            && self.now >= controller.store_unreachable_until
            && self.zone_open(CONTROLLERS[n].1)
    }

    /// Whether two controllers can reach each other.
    pub(super) fn peers_linked(&self, first: usize, second: usize) -> bool {
        let open = |n: usize| self.now >= self.controllers[n].peers_unreachable_until;
        open(first)
            && open(second)
            && self.zones_linked(CONTROLLERS[first].1, CONTROLLERS[second].1)
    }

    /// Whether controller `n` and machine `m` can reach each other, apart from one-way partitions.
    pub(super) fn worker_linked(&self, n: usize, m: usize) -> bool {
        let machine = &self.machines[m];
        let partitioned = machine
            .partitioned_from
            .is_some_and(|(controller, until)| controller == n && self.now < until);
        !partitioned
            && self.now >= self.controllers[n].workers_unreachable_until
            && self.now >= machine.partitioned_until
            && self.zones_linked(CONTROLLERS[n].1, machine.worker.zone())
    }
}
