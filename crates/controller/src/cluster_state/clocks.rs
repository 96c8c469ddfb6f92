//! The clocks that the cluster state is told: it reads none by itself.

use super::ClusterState;
use hookway_time::{MonotonicTime, WallTime};

/// Readings of both clocks at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock.
    pub monotonic: MonotonicTime,
    /// The wall clock.
    pub wall: WallTime,
}

impl Timestamp {
    /// The reading of the wall clock at a reading of the monotonic clock; the Unix epoch if that
    /// precedes it.
    pub(super) fn wall_at_monotonic(&self, monotonic: MonotonicTime) -> WallTime {
        let later_by = monotonic.saturating_duration_since(self.monotonic);
        let earlier_by = self.monotonic.saturating_duration_since(monotonic);
        (self.wall + later_by).saturating_sub(earlier_by)
    }

    /// The reading of the monotonic clock at a reading of the wall clock;
    /// [`ZERO`](MonotonicTime::ZERO) if that precedes the creation of the clock.
    pub(super) fn monotonic_at_wall(&self, wall: WallTime) -> MonotonicTime {
        let later_by = wall.saturating_duration_since(self.wall);
        let earlier_by = self.wall.saturating_duration_since(wall);
        (self.monotonic + later_by).saturating_sub(earlier_by)
    }
}

/// The moments that a leader's decisions refer to.
#[derive(Debug)]
pub(super) struct LeaderClocks {
    /// When this leader was elected.
    pub elected: Timestamp,
    /// The newest reading of both clocks.
    pub latest: Timestamp,
    /// When this leader could last not answer workers: silence before that is not the workers'.
    pub resumed_at: MonotonicTime,
}

impl LeaderClocks {
    /// The clocks of a leader that was elected at this moment.
    pub fn new(elected: Timestamp) -> Self {
        Self { elected, latest: elected, resumed_at: elected.monotonic }
    }

    /// When this leader was elected.
    pub fn elected_at(&self) -> MonotonicTime {
        self.elected.monotonic
    }

    /// Since when this leader has been able to answer workers.
    pub fn answering_since(&self) -> MonotonicTime {
        self.elected_at().max(self.resumed_at)
    }

    /// The reading of the wall clock at `now`, by the newest reading of both clocks.
    pub fn wall_at(&self, now: MonotonicTime) -> WallTime {
        self.latest.wall + now.saturating_duration_since(self.latest.monotonic)
    }
}

impl ClusterState {
    /// Takes in a new reading of both clocks. The monotonic clock drifts from the wall clock, so over a
    /// long term the first reading would not do for times that other controllers read.
    pub fn set_time(&mut self, at: Timestamp) {
        self.clocks.latest = at;
    }

    /// The controller could not act as leader for a while, as its leadership lease was uncertain, and
    /// can again since `now`.
    pub fn resumed(&mut self, now: MonotonicTime) {
        self.clocks.resumed_at = now;
    }
}
