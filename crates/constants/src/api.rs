//! The HTTP API, inbound connections, concurrency limits, and requests between controllers.

use std::time::Duration;

/// Maximum size of a request body, bytes (set by the protocol).
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Time limit for the response to a submission or cancellation. Below the 5 s that users wait.
pub const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time limit for the response to a status request. Below the 2 s that users wait.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time by which the status of a job may lag behind what its workers do (set by the protocol).
pub const MAX_STATUS_LAG: Duration = Duration::from_millis(3_000);
/// Time for which a read of the start records of all jobs may serve status requests. Together with
/// [`STATUS_TIMEOUT`] it stays below [`MAX_STATUS_LAG`].
pub const START_RECORDS_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Value of `Retry-After` in responses to submissions and cancellations, s.
pub const RETRY_AFTER_S: u32 = 1;
/// Value of `Retry-After` in responses to status requests, s. Shorter than the interval at which users ask again,
/// longer than most failovers.
pub const STATUS_RETRY_AFTER_S: u32 = 3;
/// Time limit of a request to another controller. Short against the time limits of users' requests, during which such
/// requests are sent.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a message between controllers, bytes: a submission and its envelope.
pub const MAX_PEER_FRAME_BYTES: usize = 80 * 1024;
/// Maximum number of idle connections kept to each other controller.
pub const MAX_IDLE_PEER_CONNECTIONS: usize = 4;
/// Time after which an idle connection to the store, the cloud or a controller is closed.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time that the circuit breaker of a controller, or of the store, stays open after a request without a response.
/// While it is open, requests fail at once instead of waiting for a timeout; then one request probes the other side.
pub const CIRCUIT_BREAKER_OPEN: Duration = Duration::from_millis(1_000);
/// Share of the socket limit for inbound connections. The rest is for connections to the store, the cloud, other
/// controllers and workers.
pub const INBOUND_SOCKET_SHARE: f64 = 0.85;
/// An inbound connection without traffic for this many heartbeat intervals is closed: its worker no longer exists, or
/// is partitioned and reconnects later.
pub const CONNECTION_IDLE_HEARTBEATS: f64 = 2.5;
/// Minimum time without traffic after which an inbound connection is closed, s. Users repeat status requests about
/// every 5 s.
pub const CONNECTION_IDLE_MIN_S: f64 = 15.0;
/// A connection with traffic within this time is not closed when the connection table is full: its request may be in
/// progress.
pub const CONNECTION_BUSY_TIME: Duration = Duration::from_millis(2_000);
/// When the connection table is full, its maximum size divided by this is the number of connections closed at a time.
/// Several are closed at a time, since each time the whole table is scanned.
pub const CONNECTION_CLOSE_DIVISOR: usize = 64;
/// Interval at which a full connection table is checked again for a free entry.
pub const CONNECTION_TABLE_RETRY: Duration = Duration::from_millis(20);
/// Maximum of the adaptive concurrency limit, as a share of the socket limit.
pub const CONCURRENCY_SOCKET_SHARE: f64 = 0.25;
/// Minimum of the adaptive concurrency limit, requests, so that slow responses never lower the limit to 0.
pub const MIN_CONCURRENCY: usize = 8;
/// Latency above which the adaptive concurrency limit decreases. Well below the 2 s that users wait.
pub const CONCURRENCY_LATENCY_TARGET: Duration = Duration::from_millis(400);
/// Maximum number of jobs whose final state a controller keeps in memory. Status requests for these jobs need no read
/// from the store.
pub const FINAL_STATE_CACHE_SIZE: usize = 4_096;
/// Maximum number of messages queued for an actor. When the queue is full, senders wait.
pub const CHANNEL_CAPACITY: usize = 1_024;

/// Minimum time between two questions about job statuses that a controller leaves in the store for the leader.
pub const STATUS_RELAY_INTERVAL: Duration = Duration::from_millis(800);
/// Time that a controller waits for the leader's answer in the store. Below [`STATUS_TIMEOUT`].
pub const STATUS_RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a question without an answer in which the controller leaves no other one.
pub const STATUS_RELAY_BACKOFF: Duration = Duration::from_millis(2_000);
/// Maximum number of jobs in one question to the leader.
pub const STATUS_RELAY_MAX_JOBS: usize = 32;
/// Time for which a controller gives users no answer about a job before it presumes that it runs. Users whose connection moves to
/// another controller meanwhile still get an answer before their job counts as forgotten, which is after 75 s.
pub const UNANSWERED_STATUS_TIMEOUT: Duration = Duration::from_millis(15_000);
/// Time without a request after which nobody waits any more for the status of a job.
pub const UNANSWERED_STATUS_MAX_GAP: Duration = Duration::from_millis(30_000);
/// Maximum number of jobs whose users a controller knows to wait for an answer.
pub const MAX_UNANSWERED_JOBS: usize = 4_096;
