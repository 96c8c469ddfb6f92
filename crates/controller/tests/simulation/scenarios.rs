//! Days on which one meeting of troubles is brought about, at a moment that differs from seed to seed.

use super::{NODES, World, zone_number};
use rand::RngExt;

/// Longer than a cancellation may take, and a lease after it, ms.
const AWAY: u64 = 64_000;
const LONG: u64 = 100_000;

/// Which meeting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meeting {
    /// The gap: the state service refuses the leader alone, another controller confirms cancellations, and
    /// then the state service is away for all for longer than `cancel_s`, while workers report to the old
    /// leader.
    Gap,
    /// The same, and the old leader can't reach the other controllers either: nobody can tell it.
    GapApart,
    /// The leader's whole zone is cut off, with workers that nobody else reaches.
    GapZone,
    /// Machines can't be reached by the leader that confirms cancellations, but by their block's holder, which
    /// loses the leader later. What the leader told it of the cancellations is lost.
    Holder,
}

pub(super) struct Scenario {
    pub meeting: Meeting,
    /// When it begins, ms.
    pub at: u64,
    /// Who led then.
    pub leader: usize,
    /// From then on the state service is away, ms.
    pub away_at: u64,
}

impl World {
    /// What strikes, and when.
    pub(super) fn run_scenario(&mut self) {
        let now = self.now;
        let Some(scenario) = &self.scenario else { return };
        if now < scenario.at {
            return;
        }
        let meeting = scenario.meeting;
        if scenario.away_at == 0 {
            let Some(leader) = self.lead.as_ref().map(|l| l.node) else { return };
            let away_at = match meeting {
                Meeting::Holder => now + self.span(3_000, 7_000),
                _ => now + self.span(5_000, 9_000),
            };
            self.scenario = Some(Scenario { meeting, at: now, leader, away_at });
            let node = &mut self.controllers[leader];
            match meeting {
                Meeting::Gap | Meeting::GapApart => {
                    node.no_store_until = now + LONG;
                    node.refused = true;
                    if meeting == Meeting::GapApart {
                        node.no_peers_until = now + LONG;
                    }
                }
                Meeting::GapZone => {
                    self.zone_cut_until[zone_number(NODES[leader].1)] = now + LONG;
                }
                Meeting::Holder => {
                    let there = |z: &str| z != NODES[leader].1;
                    let far = self.machines.iter_mut().filter(|m| there(m.worker.zone()));
                    far.for_each(|m| m.cut_from = Some((leader, now + LONG)));
                }
            }
        } else if now >= scenario.away_at && now < scenario.away_at + 100 {
            self.outage_until = now + AWAY;
            if meeting == Meeting::Holder {
                // Nothing but the block's lease speaks for the holder from now on.
                let leader = scenario.leader;
                self.controllers[leader].no_peers_until = now + LONG;
            }
        }
    }

    /// Users cancel everything, at whichever controller, once it matters.
    pub(super) fn cancel_in_scenario(&mut self) {
        let now = self.now;
        let Some(scenario) = self.scenario.as_ref().filter(|p| p.away_at > 0 && now < p.away_at)
        else {
            return;
        };
        let (meeting, leader) = (scenario.meeting, scenario.leader);
        let ready = match meeting {
            Meeting::Holder => now < scenario.at + 2_000,
            _ => self.lead.as_ref().is_none_or(|l| l.node != leader),
        };
        if !ready {
            return;
        }
        let n = match meeting {
            Meeting::Holder => leader,
            _ => self.rng.random_range(0..NODES.len()),
        };
        let ids: Vec<_> = self.jobs.iter().map(|j| j.id.clone()).collect();
        for id in ids {
            self.cancel_at(n, &id);
        }
    }
}
