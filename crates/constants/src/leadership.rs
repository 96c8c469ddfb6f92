//! Leader election, the leadership lease, fencing tokens and attempt numbers.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Default length of the leadership lease. Short enough that a crashed leader is replaced before users notice; long
/// against a response of the store, which can take a few hundred ms.
pub const DEFAULT_LEADER_LEASE: Duration = Duration::from_millis(5_000);
/// Lengths of the leadership lease that operators may set. With a shorter lease, one or two slow responses of the
/// store would end the leadership.
pub const LEADER_LEASE_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(3)..=Duration::from_secs(60);
/// Interval between extensions of the leadership lease. While the store is unavailable, the leader serves workers only
/// for the rest of the lease, so the lease is extended often.
pub const LEADER_EXTEND_INTERVAL: Duration = Duration::from_millis(600);
/// Delay before a failed lease extension, or another failed request to the store, is retried. When an outage of the
/// store ends, leases have their full length again, so a quick retry resumes service soonest.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Safety margin that the leader subtracts from its own estimate of the lease. Covers late timers of a slow process.
pub const LEADER_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Assumed drift between monotonic clocks, as a fraction of the elapsed time. Twice the bound of the protocol
/// (0.0005).
pub const CLOCK_DRIFT: f64 = 0.001;
/// Number of operations in the transaction that wins an election: leader, term and watermark marker. The store must
/// accept that many in one transaction.
pub const ELECTION_OPERATIONS: usize = 3;
/// Upper bound of the random delay (jitter) before a controller campaigns. Spreads the campaigns of the candidates.
pub const ELECTION_JITTER: Duration = Duration::from_millis(150);
/// A controller with a usable standby copy divides its election jitter by this, so that it most likely wins the
/// election: its failover is the fastest.
pub const WARM_STANDBY_JITTER_DIVISOR: u64 = 5;
/// Delay before a controller that stepped down campaigns again. Longer than the delay of the other controllers'
/// campaigns, so that one of them wins the election.
pub const STEP_DOWN_PAUSE: Duration = Duration::from_millis(2_500);
/// Minimum time between two step-downs of a controller for lack of heartbeats. Limits the number of failovers while no
/// controller can reach the workers.
pub const STEP_DOWN_INTERVAL: Duration = Duration::from_millis(60_000);
/// If this long or longer passes between two ticks of the leader's timer, the process itself was paused and could not
/// receive heartbeats: their absence is no evidence against workers.
pub const MIN_PROCESS_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval between ticks of the controller actor's timer. Each tick starts the periodic work that is due.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of fencing tokens per term: the term's own, and one more for each direct dispatch to a machine. Leaves space
/// for 2^24 terms in an attempt number.
pub const TOKENS_PER_TERM: u64 = 4_096;
/// Number of low bits of an attempt number that count the attempts of one term; the bits above them hold the term. No
/// leader starts 2^28 tasks.
pub const ATTEMPT_COUNTER_BITS: u32 = 28;
