//! The cloud's API, and scaling the fleet out and in.

use std::time::Duration;

/// Time limit of a request to the cloud. Longer than that of the store, since no user waits for the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Share of the cloud's request rate that the leader uses. Not all of it, since the previous leader may still have
/// requests in flight.
pub const CLOUD_RATE_SHARE: f64 = 0.7;
/// Minimum interval between reads of the machine list.
pub const CLOUD_LIST_INTERVAL: Duration = Duration::from_millis(3_000);
/// Added to `CLOUD_LIST_INTERVAL` for each machine unless a heartbeat is overdue, since reading a thousand entries
/// takes milliseconds of a core.
pub const CLOUD_LIST_PER_MACHINE: Duration = Duration::from_millis(4);
/// Interval between reads of the machine types, whose prices change.
pub const MACHINE_TYPES_INTERVAL: Duration = Duration::from_millis(60_000);
/// Delay before a failed read of the machine types is retried.
pub const MACHINE_TYPES_RETRY: Duration = Duration::from_millis(700);
/// Number of entries per page of the machine list (the maximum of the protocol).
pub const MACHINE_LIST_PAGE_SIZE: u32 = 500;
/// Interval between autoscaling rounds. Short against the boot time of a machine.
pub const AUTOSCALING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of machines in one scale-out request (set by the protocol).
pub const MAX_SCALE_OUT_MACHINES: u32 = 50;
/// Maximum number of machines in one deletion request (set by the protocol).
pub const MAX_SCALE_IN_MACHINES: usize = 100;
/// Time that a machine type in a zone counts as unavailable after the cloud refused to add machines of it. Other types
/// and zones are used in the meantime.
pub const UNAVAILABLE_CAPACITY_BACKOFF: Duration = Duration::from_millis(15_000);
/// A machine that has sent no heartbeat after this many times its nominal boot time is deleted.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// Added to the boot timeout, for delays that do not grow with the nominal boot time.
pub const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_millis(10_000);
/// A registered machine that was first listed at least this long before the election counts as booted: a missing
/// heartbeat is not explained by its boot time. Longer than most boot times.
pub const MAX_ASSUMED_BOOT_TIME: Duration = Duration::from_millis(60_000);
/// Window over which the peak demand of a class of jobs is determined. The peak determines how many spare machines are
/// kept for the class.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(120_000);
/// A machine is scaled in once it has been idle for this many times the boot and image fetch time of a new machine. At
/// 1 keeping a machine costs as much as replacing it; above 1 fewer jobs wait for a boot.
pub const IDLE_TIMEOUT_FACTOR: f64 = 2.0;
/// Time after a failover, beyond the longest heartbeat interval, that the leader waits for registered machines before
/// it deletes those that have sent no heartbeat. A worker can try each controller in this time, even if one of them
/// accepts the request without responding.
pub const UNRECONCILED_SCALE_IN_DELAY: Duration = Duration::from_millis(7_000);
/// A registered machine without heartbeats after a failover is deleted only if its worker's lease would last more than
/// this much longer. Otherwise the expiry of the lease soon proves as well that its tasks have ended, and the machine
/// is kept.
pub const UNRECONCILED_SCALE_IN_MIN_GAIN: Duration = Duration::from_millis(6_000);
/// Machines of a zone that miss heartbeats are deleted before their leases expire if they are at most this share of
/// the machines in the zone. A larger share indicates a network partition.
pub const LOST_MACHINES_MAX_SHARE: f64 = 0.25;
/// A zone in which more than this share of the machines misses heartbeats counts as partitioned: most machines of
/// a zone are unlikely to fail at once.
pub const PARTITION_SHARE: f64 = 0.5;
/// Time that machines of a partitioned zone are kept after their workers' leases have expired. Machines that failed
/// leave the machine list within a minute. One that stays listed is most likely reachable again later, while a new
/// machine would have to boot and fetch images.
pub const PARTITION_SCALE_IN_DELAY: Duration = Duration::from_millis(180_000);
/// Time that a machine without heartbeats, in a zone that is not partitioned, is kept after its worker's lease has
/// expired.
pub const SILENT_SCALE_IN_DELAY: Duration = Duration::from_millis(6_000);
/// A machine counts as removed if it is missing from a list requested more than this many list lags after it was first
/// listed. A list may be older than the previous one by up to two list lags.
pub const UNLISTED_LAG_FACTOR: f64 = 3.0;
