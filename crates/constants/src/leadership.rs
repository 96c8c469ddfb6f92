//! Leader election and the leadership lease.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Length of the leadership lease. Short, so that a crashed leader is replaced before users
/// notice; long against a response of the store, which can take a few hundred ms.
pub const LEADER_TTL: Duration = Duration::from_millis(5_000);
/// Lengths that operators may give the leadership lease. Below the range one or two slow
/// responses of the store would cost the leadership.
pub const LEADER_TTL_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(3)..=Duration::from_secs(60);
/// Interval between extensions of the leadership lease. While the store is unavailable,
/// workers are served for what is left of the lease, so it is extended often.
pub const LEADER_EXTEND_INTERVAL: Duration = Duration::from_millis(600);
/// Delay before a failed extension, or another failed request to the store, is retried. Leases
/// have their full length again when an outage ends, so a quick retry resumes service soonest.
pub const LEADER_RETRY: Duration = Duration::from_millis(250);
/// Safety margin that the leader takes off its own estimate of the lease. Covers late timers
/// of a slow process.
pub const LEADER_MARGIN: Duration = Duration::from_millis(300);
/// Drift allowed between monotonic clocks, as a fraction. Twice the bound of the protocol
/// (0.0005).
pub const CLOCK_DRIFT: f64 = 0.001;
/// Operations in the transaction that wins an election: leader, term and watermark marker. The
/// store must accept that many in one transaction.
pub const ELECTION_OPERATIONS: usize = 3;
/// Upper bound of the random delay before a controller campaigns. Spreads the candidates.
pub const ELECTION_JITTER: Duration = Duration::from_millis(150);
/// A controller with a usable copy of the cluster state divides its election jitter by this, so that it most likely
/// wins: its failover is the fastest.
pub const WARM_STANDBY_JITTER_DIVISOR: u64 = 5;
/// Delay before a controller that stepped down campaigns again, so that another one wins the election: above the delay
/// of their campaigns.
pub const STEP_DOWN_PAUSE: Duration = Duration::from_millis(2_500);
/// Minimum time between two step-downs of a controller for lack of heartbeats. Limits the failovers while no controller
/// can reach the workers.
pub const STEP_DOWN_INTERVAL: Duration = Duration::from_millis(60_000);
/// If the leader's timer fires this late, the process itself was paused, and could not receive heartbeats in the
/// meantime: their absence is no evidence against workers.
pub const PROCESS_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval of the controller actor's timer. Each tick starts the periodic work that is due.
pub const TICK: Duration = Duration::from_millis(100);
/// Fencing tokens per term: the term's own, and one more for each direct dispatch to a machine.
/// Allows 2^24 terms in an attempt number.
pub const TOKENS_PER_TERM: u64 = 4_096;
/// Bits of an attempt number that count the attempts of one term; the bits above are the term. No
/// leader starts 2^28 tasks.
pub const ATTEMPT_COUNTER_BITS: u32 = 28;
