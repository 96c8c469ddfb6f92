//! The consensus-backed key-value store: time limits, request budgets, and the sizes of records.

use std::time::Duration;

/// Time limit of a request to the store. Most take less than 10 ms, some a few hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit of an extension of the leadership lease. After a request on a connection that failed unnoticed, there
/// must be time for retries within one lease.
pub const LEASE_EXTENSION_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that the store waits for events before it responds to a watch. If the connection fails unnoticed, events on
/// jobs or on the leader are delayed by about this time at most.
pub const WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// Added to the waiting time of a watch to get the time limit of its request, so that the response can arrive.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(2_000);
/// Delay before a failed watch is opened again.
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Share of the store's write rate that the leader may use. The rest is for submissions, which any controller writes.
pub const LEADER_WRITE_SHARE: f64 = 0.7;
/// Share of the store's write rate for hints to the next leader, such as minimum task counts. Hints must not delay
/// records that have to be durable.
pub const HINT_WRITE_SHARE: f64 = 0.5;
/// Relative change of a minimum task count at which its record is written again (a quarter). Smaller changes are not
/// worth a write.
pub const MIN_TASKS_REWRITE_CHANGE: f64 = 0.25;
/// Share of the store's request rate for the controller actor. Each controller has one, but only that of the leader
/// uses its share.
pub const CONTROLLER_REQUEST_SHARE: f64 = 0.3;
/// Share of the store's request rate for submissions and cancellations at each controller. All of them may come to one
/// controller while others are down.
pub const SUBMISSION_REQUEST_SHARE: f64 = 0.25;
/// Share of the store's request rate for status requests at each controller. Status requests read the store while no
/// leader responds. Those beyond this share fail at once; clients repeat them within seconds.
pub const STATUS_REQUEST_SHARE: f64 = 0.12;
/// Share of the store's request rate, at each controller, for job statuses that controllers without a connection to the
/// leader get through the store.
pub const STATUS_RELAY_REQUEST_SHARE: f64 = 0.04;
/// Share of the store's request rate for leader election, whose requests must not queue behind others.
pub const LEADERSHIP_REQUEST_SHARE: f64 = 0.1;
/// Maximum time that a submission queues for the request budget. Then the client is told at once when to retry.
pub const SUBMISSION_QUEUE_LIMIT: Duration = Duration::from_millis(300);
/// Number of operations in the transaction that ends a job: its final state is written and its record deleted.
pub const JOB_COMPLETION_OPERATIONS: usize = 2;
/// Delay before a record is written again that the store rejected although it was alone in its transaction. There is
/// no telling when the store would accept the record, and no other record waits for it.
pub const REJECTED_RECORD_RETRY_DELAY: Duration = Duration::from_millis(5_000);
/// Number of steps in which the start watermark of a job increases to the job's task count. With more steps, a new
/// leader can start more tasks of the job before reconciliation; each step costs a write.
pub const START_WATERMARK_STEPS: u32 = 4;
/// Minimum step by which a start watermark increases, tasks.
pub const START_WATERMARK_MIN_STEP: u32 = 32;
/// Maximum number of tasks of an array that counts as small: its tasks start nearly at once, so its minimum task count
/// is not worth a record.
pub const MAX_SMALL_JOB_TASKS: u32 = 8;
/// Maximum number of small jobs in one shared watermark record: about a kilobyte, rewritten for every few jobs that
/// start.
pub const SHARED_WATERMARK_MAX_JOBS: usize = 64;
/// Maximum size of a job in a shared watermark record, bytes: the longest id, its quotes, the comma, and its part of
/// the envelope.
pub const SHARED_WATERMARK_ENTRY_BYTES: usize = 26;
/// Size of a machine's entry in a registry record with its hints, bytes: name, time and up to
/// [`REGISTRY_ENTRY_IMAGES`] image numbers. Determines how many machines share a record.
pub const REGISTRY_ENTRY_BYTES: usize = 128;
/// Maximum number of images, the most recently used ones, in the registry entry of a machine.
pub const REGISTRY_ENTRY_IMAGES: usize = 16;
/// Prefix of the names of registry records, which distinguishes them from the machine names of the 0.1.0 format.
pub const REGISTRY_RECORD_PREFIX: &str = "record-";
/// Maximum number of tasks in one progress page. One bit per task makes 2 KiB, which as base64 fits any reasonable
/// value limit.
pub const PROGRESS_PAGE_TASKS: u32 = 16_384;
/// Minimum number of tasks in a progress page if the store allows only small values. With fewer tasks, large jobs
/// would need too many records.
pub const PROGRESS_PAGE_MIN_TASKS: u32 = 512;
