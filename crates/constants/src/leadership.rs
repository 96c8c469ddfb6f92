//! Leader election and the leadership lease.

/// Length of the leadership lease, ms. Short, so that a crashed leader is replaced before users
/// notice; long against a response of the store, which can take a few hundred ms.
pub const LEADER_TTL_MS: u64 = 5_000;
/// Lengths that operators may give the leadership lease, ms. Below the range one or two slow
/// responses of the store would cost the leadership.
pub const LEADER_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 3_000..=60_000;
/// Interval between extensions of the leadership lease, ms. While the store is unavailable,
/// workers are served for what is left of the lease, so it is extended often.
pub const LEADER_EXTEND_INTERVAL_MS: u64 = 600;
/// Delay before a failed extension, or another failed request to the store, is retried, ms. Leases
/// have their full length again when an outage ends, so a quick retry resumes service soonest.
pub const LEADER_RETRY_MS: u64 = 250;
/// Safety margin that the leader takes off its own estimate of the lease, ms. Covers late timers
/// of a slow process.
pub const LEADER_MARGIN_MS: u64 = 300;
/// Drift allowed between monotonic clocks, as a fraction. Twice the bound of the protocol
/// (0.0005).
pub const CLOCK_DRIFT: f64 = 0.001;
/// Operations in the transaction that wins an election: leader, term and watermark marker. The
/// store must accept that many in one transaction.
pub const ELECTION_OPERATIONS: usize = 3;
/// Upper bound of the random delay before a controller campaigns, ms. Spreads the candidates.
pub const ELECTION_JITTER_MS: u64 = 150;
/// A controller with a usable copy of the cluster state divides its election jitter by this: it
/// fails over fastest.
pub const WARM_STANDBY_JITTER_DIVISOR: u64 = 5;
/// Delay before a controller that stepped down campaigns again, ms, so that another one wins.
pub const STEP_DOWN_PAUSE_MS: u64 = 2_500;
/// Minimum time between two step-downs for lack of heartbeats, ms.
pub const STEP_DOWN_INTERVAL_MS: u64 = 60_000;
/// If the leader's timer fires this late, ms, the process itself was paused, and silence of
/// workers in the meantime proves nothing.
pub const PROCESS_PAUSE_MS: u64 = 1_000;
/// Interval of the leader's timer, ms.
pub const TICK_MS: u64 = 100;
/// Fencing tokens per term: the term's own, and one more for each direct dispatch to a machine.
/// Leaves room for 2^24 terms in an attempt number.
pub const TOKENS_PER_TERM: u64 = 4_096;
