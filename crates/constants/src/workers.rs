//! Workers: heartbeats, leases, direct dispatch and state probes.

use std::time::Duration;

/// Added to a worker's lease before it counts as expired. Covers a worker that ends its tasks late; clock drift is
/// added separately.
pub const WORKER_LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Longest interval between two heartbeats, as a multiple of the nominal one (protocol: a quarter
/// more).
pub const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// A worker that received commands sends its next heartbeat within this time (protocol: at
/// least half a second between heartbeats). Starts wait for that heartbeat instead of a direct dispatch.
pub const PROMPT_HEARTBEAT: Duration = Duration::from_millis(800);
/// A machine that did not act on this many responses in a row is cordoned. One or two may get lost
/// when a controller is slow or a connection fails.
pub const MAX_UNACKNOWLEDGED_RESPONSES: u32 = 3;
/// A machine that rejected a start gets no new task for this long, so that tasks go to others meanwhile.
pub const REJECTED_START_BACKOFF: Duration = Duration::from_millis(3_000);
/// Time limit for opening a connection. An unreachable machine must be noticed soon, and a
/// command that was never sent is known not to arrive later.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit of a direct request to a worker. Lost commands are sent again in the response to the next heartbeat.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection to a worker is kept. Hundreds of machines are contacted within
/// seconds, few of them twice.
pub const WORKER_IDLE: Duration = Duration::from_millis(1_000);
/// A machine that could not be reached gets no new task for this long, so that tasks go to others meanwhile.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(4_000);
/// Maximum direct dispatches of starts in flight, in messages. Bounds sockets and bursts of work.
pub const MAX_DIRECT_DISPATCHES: usize = 48;
/// Minimum interval between searches for starts to dispatch directly. Hundreds of heartbeats
/// arrive per second, and a search costs time for each waiting machine.
pub const DIRECT_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of tasks in one direct dispatch. Bounds the size of a message.
pub const DIRECT_DISPATCH_MAX_TASKS: usize = 64;
/// Maximum direct stop messages in flight. Bounds sockets; the response to the next heartbeat has the
/// same commands.
pub const MAX_DIRECT_STOPS: usize = 32;
/// How long a direct stop may queue. All stops of a gang must arrive within seconds.
pub const DIRECT_STOP_QUEUE_LIMIT: Duration = Duration::from_millis(2_000);
/// Added to the time for a checkpoint when a task is stopped, s. Covers a worker that begins the
/// checkpoint late.
pub const CHECKPOINT_MARGIN_S: f64 = 1.0;
/// A stop that had no effect is repeated without grace this long after the time for a checkpoint. Machines stay
/// reserved for a preempting job for as long.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Maximum state probes in flight after a failover. Bounds sockets and processor time, since
/// heartbeats arrive meanwhile.
pub const MAX_STATE_PROBES: usize = 24;
/// Delay between the election and the first state probes: most workers find the new leader by
/// themselves.
pub const STATE_PROBE_DELAY: Duration = Duration::from_millis(1_000);
/// Minimum interval between two state probes of a worker.
pub const STATE_PROBE_RETRY: Duration = Duration::from_millis(2_000);
/// After this many unanswered state probes in a row a machine counts as gone at a failover, if
/// most of its zone responded.
pub const MAX_UNANSWERED_STATE_PROBES: u32 = 3;
/// A leader that has received no heartbeat for this many intervals, though some are due, steps
/// down: it may be partitioned from the workers alone.
pub const WORKER_SILENCE_INTERVALS: f64 = 3.0;
/// Minimum silence before such a step-down. Above the pause of a process and a retransmitted packet.
pub const WORKER_SILENCE_MIN: Duration = Duration::from_millis(5_000);
/// Fleet size from which that silence leads to a step-down sooner: with fewer machines, their silence may be
/// coincidence.
pub const WORKER_SILENCE_FLEET_SIZE: f64 = 20.0;
/// Minimum silence before a step-down in a large fleet. Above the pause of a process and a
/// retransmitted packet.
pub const WORKER_SILENCE_LARGE_FLEET: Duration = Duration::from_millis(3_000);
