//! The consensus-backed key-value store: time limits, request budgets, record sizes.

use std::time::Duration;

/// Time limit of a request to the store. Most take less than 10 ms, some a few hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit of an extension of the leadership lease. A request on a connection that failed unnoticed
/// must leave time for retries within one lease.
pub const EXTEND_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the server waits for events before it responds to a watch. Bounds how long a connection
/// that failed unnoticed delays news of jobs or of the leader.
pub const WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// Added to the waiting time of a watch for the time limit of its request: time for the response to arrive.
pub const WATCH_GRACE: Duration = Duration::from_millis(2_000);
/// Delay before a failed watch is opened again.
pub const WATCH_RETRY: Duration = Duration::from_millis(400);
/// Share of the store's write rate that the leader may use. The rest is for submissions, which any
/// controller writes.
pub const LEADER_WRITE_SHARE: f64 = 0.7;
/// Share of the store's write rate for hints to the next leader, such as minimum task counts. They must not delay records that
/// must be durable.
pub const HINT_WRITE_SHARE: f64 = 0.5;
/// Relative change of a minimum task count at which its record is written again (a quarter):
/// smaller changes are not worth a write.
pub const MIN_TASKS_REWRITE_CHANGE: f64 = 0.25;
/// Share of the store's request rate for the controller actor of each controller. Only the
/// leader's uses it.
pub const CONTROLLER_REQUEST_SHARE: f64 = 0.3;
/// Share of the store's request rate for submissions and cancellations at each controller. All of
/// them may come to one controller while others are down.
pub const SUBMISSION_REQUEST_SHARE: f64 = 0.25;
/// Share of the store's request rate for status requests at each controller, needed while no
/// leader responds. What exceeds it is repeated by the client within seconds.
pub const STATUS_REQUEST_SHARE: f64 = 0.12;
/// Share of the store's request rate for leader election, which must not queue behind other
/// requests.
pub const LEADERSHIP_REQUEST_SHARE: f64 = 0.1;
/// How long a submission may queue for the request budget. Beyond it the client is told at
/// once when to retry.
pub const SUBMISSION_QUEUE_LIMIT: Duration = Duration::from_millis(300);
/// Operations in the transaction that ends a job: its final state is written, its record deleted.
pub const JOB_COMPLETION_OPERATIONS: usize = 2;
/// Delay before a record is retried that the store rejected in a transaction of its own. When it would be accepted is
/// unknown, and no other record waits for it.
pub const REJECTED_RETRY: Duration = Duration::from_millis(5_000);
/// Number of steps in which the start watermark of a job rises to its task count. More steps let a
/// new leader start more of the job before reconciliation, and cost a write each.
pub const START_WATERMARK_STEPS: u32 = 4;
/// Minimum step of a start watermark, tasks.
pub const START_WATERMARK_MIN_STEP: u32 = 32;
/// An array of at most this many tasks starts nearly at once: its minimum is not worth a record.
pub const SMALL_JOB_TASKS: u32 = 8;
/// Maximum number of small jobs in one shared watermark record: about a kilobyte, rewritten for
/// each handful of jobs that start.
pub const SHARED_WATERMARK_MAX_JOBS: usize = 64;
/// Maximum size of a job in a shared watermark record, bytes: the longest id, its quotes, the
/// comma, and its part of the envelope.
pub const SHARED_WATERMARK_ENTRY_BYTES: usize = 26;
/// Size of a machine in a registry record with its hints, bytes: name, time and up to
/// [`REGISTRY_ENTRY_IMAGES`] numbers. Determines how many machines share a record.
pub const REGISTRY_ENTRY_BYTES: usize = 128;
/// Images of a machine that its registry entry names, most recently used ones.
pub const REGISTRY_ENTRY_IMAGES: usize = 16;
/// Prefix of the names of registry records, which tells them from the machine names of the 0.1.0
/// format.
pub const REGISTRY_RECORD_PREFIX: &str = "record-";
/// Tasks in one progress page: 4 KiB of bits, which as base64 fit any reasonable value limit.
pub const PROGRESS_PAGE_TASKS: u32 = 16_384;
/// Minimum tasks in a progress page where values must be small: with fewer, large jobs would need
/// too many records.
pub const PROGRESS_PAGE_MIN_TASKS: u32 = 512;
