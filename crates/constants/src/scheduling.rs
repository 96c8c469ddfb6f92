//! Scheduling rounds, the order of the scheduling queue, and the placement cost.

use std::time::Duration;

/// Interval between scheduling rounds.
pub const SCHEDULING_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between a scheduling round and the next one that a heartbeat triggers. Bounds processor time when many
/// heartbeats arrive at once.
pub const HEARTBEAT_ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// Upper bound of the minimum interval between scheduling rounds, which grows with their estimated cost.
pub const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(2_000);
/// Estimated cost of a scheduling round per machine, microseconds of a core.
pub const ROUND_COST_PER_MACHINE_US: f64 = 3.0;
/// Estimated cost of a scheduling round per pair of a machine and a waiting job, microseconds of a core.
pub const ROUND_COST_PER_PAIR_US: f64 = 0.03;
/// Part of the configured `core_share` that scheduling rounds may use. The rest is for heartbeats, whose responses
/// start tasks on the resources that the heartbeats report as free.
pub const ROUND_CORE_SHARE: f64 = 0.25;
/// A job counts as late once its deadline is less than this many task times away; with 0, once the deadline has
/// passed.
pub const LATENESS_TASK_TIMES: f64 = 0.0;
/// Time after submission from which missed start objectives no longer move a job back in the queue, s. The job then
/// precedes those that could still meet their objectives. Half of the four minutes in which users expect the largest
/// jobs to start.
pub const START_OBJECTIVE_LIMIT_S: f64 = 120.0;
/// Age from which deferred jobs and backfill get a share of the CPUs of their own, s. Half of the four minutes in
/// which users expect the largest jobs to start.
pub const AGING_THRESHOLD_S: f64 = 120.0;
/// Share of the CPUs of all machines that take tasks, for jobs older than `AGING_THRESHOLD_S` that would otherwise come
/// after others.
pub const AGING_CPU_SHARE: f64 = 0.15;
/// Deadline assumed for jobs without one when the fleet is sized, as a multiple of the task time.
pub const ASSUMED_DEADLINE_FACTOR: f64 = 2.0;
/// Added to the placement cost of an empty machine, in seconds of image fetch. Keeps whole machines free for gangs and
/// for scale-in.
pub const EMPTY_MACHINE_PENALTY_S: f64 = 3.0;
/// Added to the placement cost, multiplied by the share of the machine's free resources that stays free after the
/// placement (bin packing), in seconds of image fetch.
pub const LOOSE_FIT_PENALTY_S: f64 = 4.0;
/// Added to the placement cost of a machine that could hold a task of a gang, for tasks of other jobs, in seconds of
/// image fetch. Shorter than the fetch of most images, so that image locality still decides.
pub const GANG_MACHINE_PENALTY_S: f64 = 8.0;
/// Added to the placement cost of a machine at twice the lowest price of a CPU, and in proportion to the excess at
/// other prices, in seconds of image fetch. Expensive machines thus become idle first and are scaled in.
pub const PRICE_PENALTY_S: f64 = 2.0;
/// Weight of the image fetch time in the placement cost. It is 1, since the penalties are in seconds of image fetch.
pub const IMAGE_FETCH_WEIGHT: f64 = 1.0;
