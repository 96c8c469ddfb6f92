//! The clocks that the cluster state is told: it reads none by itself.

use super::ClusterState;

/// Two readings of the same moment: the steady clock and the time of day, both in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Steady clock.
    pub monotonic: u64,
    /// Time of day.
    pub wall: u64,
}

impl Timestamp {
    /// The time of day at a reading of the steady clock, ms.
    pub(super) fn wall_at_monotonic(&self, monotonic: u64) -> u64 {
        (self.wall + monotonic).saturating_sub(self.monotonic)
    }

    /// The reading of the steady clock at a time of day, ms.
    pub(super) fn monotonic_at_wall(&self, wall: u64) -> u64 {
        self.monotonic.saturating_add(wall).saturating_sub(self.wall)
    }
}

/// The moments that a leader's decisions refer to.
#[derive(Debug)]
pub(super) struct LeaderClocks {
    /// When this leader was elected.
    pub elected: Timestamp,
    /// The newest reading of both clocks.
    pub latest: Timestamp,
    /// When this leader could last not answer workers, ms: silence before that is not the workers'.
    pub resumed_at: u64,
}

impl LeaderClocks {
    /// The clocks of a leader that was elected at this moment.
    pub fn new(elected: Timestamp) -> Self {
        Self { elected, latest: elected, resumed_at: elected.monotonic }
    }

    /// When this leader was elected, ms.
    pub fn elected_at(&self) -> u64 {
        self.elected.monotonic
    }

    /// Since when this leader has been able to answer workers, ms.
    pub fn answering_since(&self) -> u64 {
        self.elected_at().max(self.resumed_at)
    }

    /// The time of day at `now` (ms), by the newest reading of both clocks.
    pub fn wall_at(&self, now: u64) -> u64 {
        self.latest.wall + now.saturating_sub(self.latest.monotonic)
    }
}

impl ClusterState {
    /// Takes in a new reading of both clocks. The steady clock drifts from the time of day, so over a
    /// long term the first reading would not do for times that other controllers read.
    pub fn set_time(&mut self, at: Timestamp) {
        self.clocks.latest = at;
    }

    /// The controller could not act as leader for a while, as its leadership lease was uncertain, and
    /// can again since `now` (ms).
    pub fn resumed(&mut self, now: u64) {
        self.clocks.resumed_at = now;
    }
}
