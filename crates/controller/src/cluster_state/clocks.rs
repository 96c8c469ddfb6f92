//! Clock readings that the caller passes to the cluster state, which reads no clock itself.

use super::ClusterState;
use hookway_time::{MonotonicTime, WallTime};

/// Readings of both clocks at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Reading of this controller's monotonic clock.
    pub monotonic: MonotonicTime,
    /// Reading of this controller's wall clock.
    pub wall: WallTime,
}

impl Timestamp {
    /// Converts a reading of the monotonic clock to the wall clock; the Unix epoch if the result
    /// would precede it.
    pub(super) fn wall_at_monotonic(&self, monotonic: MonotonicTime) -> WallTime {
        let later_by = monotonic.saturating_duration_since(self.monotonic);
        let earlier_by = self.monotonic.saturating_duration_since(monotonic);
        (self.wall + later_by).saturating_sub(earlier_by)
    }

    /// Converts a reading of the wall clock to the monotonic clock; [`ZERO`](MonotonicTime::ZERO)
    /// if it precedes the creation of the monotonic clock.
    pub(super) fn monotonic_at_wall(&self, wall: WallTime) -> MonotonicTime {
        let later_by = wall.saturating_duration_since(self.wall);
        let earlier_by = self.wall.saturating_duration_since(wall);
        (self.monotonic + later_by).saturating_sub(earlier_by)
    }
}

/// The clock readings that a leader's decisions refer to.
#[derive(Debug)]
pub(super) struct LeaderClocks {
    /// Readings right after this leader was elected.
    pub elected: Timestamp,
    /// The newest reading of both clocks.
    pub latest: Timestamp,
    /// End of the last period in which this leader could not answer workers; the election if there
    /// was none. Silence before it does not count against the workers.
    pub resumed_at: MonotonicTime,
}

impl LeaderClocks {
    /// Creates the clocks of a leader that was elected at `elected`.
    pub fn new(elected: Timestamp) -> Self {
        Self { elected, latest: elected, resumed_at: elected.monotonic }
    }

    /// Returns when this leader was elected, by the monotonic clock.
    pub fn elected_at(&self) -> MonotonicTime {
        self.elected.monotonic
    }

    /// Returns the time since which this leader has been able to answer workers without
    /// interruption.
    pub fn answering_since(&self) -> MonotonicTime {
        self.elected_at().max(self.resumed_at)
    }

    /// Returns the reading of the wall clock at `now`, derived from the newest reading of both
    /// clocks.
    pub fn wall_at(&self, now: MonotonicTime) -> WallTime {
        self.latest.wall + now.saturating_duration_since(self.latest.monotonic)
    }
}

impl ClusterState {
    /// Records a new reading of both clocks. The monotonic clock drifts from the wall clock, so
    /// late in a long term the readings at the election would give too inaccurate times for the
    /// records that other controllers read.
    pub fn update_clocks(&mut self, at: Timestamp) {
        self.clocks.latest = at;
    }

    /// Records that this controller can act as leader again at `now`, after a period in which its
    /// leadership lease was uncertain.
    pub fn record_resumption(&mut self, now: MonotonicTime) {
        self.clocks.resumed_at = now;
    }
}
