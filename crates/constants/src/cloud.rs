//! The cloud's API, and scaling the fleet out and in.

use std::time::Duration;

/// Time limit of a request to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Share of the cloud's request rate that the leader uses. A deposed leader may still have
/// requests in flight.
pub const CLOUD_RATE_SHARE: f64 = 0.7;
/// Interval between readings of the machine list.
pub const CLOUD_LIST_INTERVAL: Duration = Duration::from_millis(3_000);
/// Added to that interval for each machine: a thousand entries take milliseconds of a core.
pub const CLOUD_LIST_PER_MACHINE: Duration = Duration::from_millis(4);
/// Interval between readings of the machine types. Their prices change.
pub const MACHINE_TYPES_INTERVAL: Duration = Duration::from_millis(60_000);
/// Delay before a failed reading of the machine types is retried.
pub const MACHINE_TYPES_RETRY: Duration = Duration::from_millis(700);
/// Entries per page of the machine list (the maximum of the protocol).
pub const LIST_PAGE: u32 = 500;
/// Interval between autoscaling rounds.
pub const AUTOSCALING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum machines of one scale-out request (protocol).
pub const MAX_SCALE_OUT_MACHINES: u32 = 50;
/// Maximum machines of one deletion (protocol).
pub const MAX_SCALE_IN_MACHINES: usize = 100;
/// How long a machine type in a zone counts as unavailable after the cloud refused it.
pub const UNAVAILABLE_CAPACITY: Duration = Duration::from_millis(15_000);
/// A machine that has not come up after this many times its nominal boot time is given up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// Added to that timeout.
pub const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_millis(10_000);
/// A machine that has been registered for this long, is up, or never will be.
pub const BOOT_CERTAIN: Duration = Duration::from_millis(60_000);
/// Window over which the peak demand of a class of jobs is remembered when spare machines are kept
/// for it.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(120_000);
/// A machine is scaled in once it has been idle for this many times the boot and image fetch time
/// of a new one. At 1 the costs break even; above it late jobs are spared a boot.
pub const IDLE_TIMEOUT_FACTOR: f64 = 2.0;
/// How long after a failover, beyond the longest heartbeat interval, the leader waits for
/// registered machines before it deletes those that have not reported: time for a worker to
/// try each controller, with one that hangs.
pub const UNRECONCILED_SCALE_IN: Duration = Duration::from_millis(7_000);
/// Such a machine is deleted only if its worker's lease would last at least this much longer.
pub const UNRECONCILED_SCALE_IN_MIN_GAIN: Duration = Duration::from_millis(6_000);
/// Machines of a zone that miss heartbeats are deleted before their leases expire if they are at
/// most this share of the zone. A larger share indicates a network partition.
pub const LOST_MACHINES_MAX_SHARE: f64 = 0.25;
/// A zone of which more than this share of machines misses heartbeats counts as partitioned.
pub const PARTITION_SHARE: f64 = 0.5;
/// How long machines of a partitioned zone are kept after their leases expired. Machines that
/// died leave the machine list within a minute; one that stays listed most likely comes back, and
/// a new one would have to boot and fetch images.
pub const PARTITION_SCALE_IN_DELAY: Duration = Duration::from_millis(180_000);
/// How long a silent machine is kept after its worker's lease has expired.
pub const SILENT_SCALE_IN_DELAY: Duration = Duration::from_millis(6_000);
/// A machine that was listed is gone once it has been missing for this many list lags.
pub const UNLISTED_LAG_FACTOR: f64 = 3.0;
