//! Communication with workers: heartbeats, worker leases, direct dispatch and state probes.

use std::time::Duration;

/// Added to the length of a worker's lease before the lease counts as expired. Covers a worker that ends its tasks
/// late; clock drift is added separately.
pub const WORKER_LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Longest interval between two heartbeats of a worker, as a multiple of the nominal one (the protocol allows a
/// quarter more).
pub const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// Time within which a worker that received commands sends its next heartbeat (the protocol requires at least half a
/// second between heartbeats). Starts wait for that heartbeat instead of a direct dispatch.
pub const MAX_PROMPT_HEARTBEAT_DELAY: Duration = Duration::from_millis(800);
/// Number of consecutive responses that a worker did not act on after which its machine is cordoned. One or two may
/// get lost when a controller is slow or a connection fails.
pub const MAX_UNACKNOWLEDGED_RESPONSES: u32 = 3;
/// Time that a machine gets no new task after it rejected a start, so that tasks are placed on others in the meantime.
pub const REJECTED_START_BACKOFF: Duration = Duration::from_millis(3_000);
/// Time limit for opening a connection. An unreachable machine must be detected soon, and a command that was never
/// sent is known not to arrive later.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit of a request sent directly to a worker. Lost commands are repeated in the response to its next
/// heartbeat.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection to a worker is closed. Requests go to hundreds of machines within seconds, but
/// to few of them twice.
pub const WORKER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a machine gets no new task after it could not be reached, so that tasks are placed on others in the
/// meantime.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(4_000);
/// Maximum number of direct dispatches of starts in flight, one message each. Bounds the number of sockets and bursts
/// of work.
pub const MAX_DIRECT_DISPATCHES: usize = 48;
/// Minimum interval between searches for starts to dispatch directly. Hundreds of heartbeats arrive per second and
/// would each cause a search, which takes time for each machine with planned starts.
pub const DIRECT_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of tasks in one direct dispatch. Bounds the size of its message.
pub const DIRECT_DISPATCH_MAX_TASKS: usize = 64;
/// Maximum number of direct stop messages in flight. Bounds the number of sockets; the response to the next heartbeat
/// has the same commands.
pub const MAX_DIRECT_STOPS: usize = 32;
/// Maximum time that a direct stop queues before it is dropped. All stops of a gang must arrive within seconds.
pub const DIRECT_STOP_QUEUE_LIMIT: Duration = Duration::from_millis(2_000);
/// Added to the checkpoint time for the grace period of a stop, s. Covers a worker that begins the checkpoint late.
pub const CHECKPOINT_MARGIN_S: f64 = 1.0;
/// Time beyond the checkpoint time after which a stop without effect is repeated without a grace period. Machines stay
/// reserved for the beneficiary of a preemption for as long.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Maximum number of state probes in flight after a failover. Bounds the number of sockets, and processor time, since
/// heartbeats arrive at the same time.
pub const MAX_STATE_PROBES: usize = 24;
/// Maximum number of workers that are probed to prove the status of a job that a user asks for.
pub const MAX_STATUS_PROBES: usize = 8;
/// Time after which the status of a job is looked up again while its workers are probed. Most answer within a few
/// milliseconds.
pub const STATUS_PROBE_WAIT: Duration = Duration::from_millis(100);
/// Delay between the election and the first state probes. Most workers find the new leader by themselves.
pub const STATE_PROBE_DELAY: Duration = Duration::from_millis(1_000);
/// Minimum interval between two state probes of a worker.
pub const STATE_PROBE_RETRY: Duration = Duration::from_millis(2_000);
/// Number of consecutive unanswered state probes after which a machine counts as lost at a failover, if most machines
/// of its zone responded.
pub const MAX_UNANSWERED_STATE_PROBES: u32 = 3;
/// Number of heartbeat intervals without any heartbeat, although workers should have sent some, after which a leader
/// steps down: a network partition may separate it from the workers, but not from the store.
pub const WORKER_SILENCE_INTERVALS: f64 = 3.0;
/// Minimum time without any heartbeat before a leader steps down. Longer than a pause of the process or the
/// retransmission of a packet.
pub const WORKER_SILENCE_MIN: Duration = Duration::from_millis(5_000);
/// Number of workers above which a leader steps down after a shorter time without any heartbeat: the time is divided by
/// their number and multiplied by this one. Fewer workers may be silent together by coincidence.
pub const WORKER_SILENCE_FLEET_SIZE: f64 = 20.0;
/// Minimum time without any heartbeat before a leader steps down in a large fleet. Longer than a pause of the process
/// or the retransmission of a packet.
pub const WORKER_SILENCE_LARGE_FLEET: Duration = Duration::from_millis(3_000);
