//! Every tuning constant of hookway in one place, each with its unit and the reason for its value.
//!
//! Nothing here describes a particular deployment: what depends on one is derived from its settings
//! and from the cloud's list of machine types.

/// Length of the leadership lease, ms. Short, so that a crashed leader is replaced before users
/// notice; long against a store answer that takes a few hundred ms.
pub const LEADER_TTL_MS: u64 = 5_000;
/// Pause between two extensions of the leadership lease, ms. When the state service goes away, what is
/// left of the lease is what workers are still answered for.
pub const LEADER_EXTEND_INTERVAL_MS: u64 = 600;
/// Pause before a failed extension is tried again, ms. An outage ends at an unknown moment and every
/// lease has its full time then, so a quick retry resumes service soonest.
pub const LEADER_RETRY_MS: u64 = 250;
/// Taken off the leader's own reckoning of its lease, ms. Covers late timers of a slow process.
pub const LEADER_MARGIN_MS: u64 = 300;
/// Drift of steady clocks that is allowed for, as a fraction. The protocol's bound is 0.0005; doubled.
pub const CLOCK_DRIFT: f64 = 0.001;
/// Added to a worker's lease before it counts as surely over, ms.
pub const WORKER_LEASE_MARGIN_MS: u64 = 500;
/// Changes in the transaction that wins an election: leader, term and marks. The state service must take so
/// many at a time.
pub const ELECTION_OPERATIONS: usize = 3;
/// Changes in the transaction that ends a job: its final state is put, its record deleted.
pub const JOB_COMPLETION_OPERATIONS: usize = 2;
/// What the state service rejected by itself is tried again after this, ms: nothing tells when it would be
/// taken, and nothing else waits for it.
pub const REJECTED_RETRY_MS: u64 = 5_000;
/// Largest pause before a node stands for leadership after it saw none, ms. Spreads the candidates.
pub const ELECTION_JITTER_MS: u64 = 150;
/// A node with a warm copy pauses for this part of that only: it needs the least time to take over.
pub const WARM_STANDBY_JITTER_DIVISOR: u64 = 5;

/// Time limit for one request to the state service, ms. Most take under 10 ms, some a few hundred.
pub const STORE_TIMEOUT_MS: u64 = 1_200;
/// Time limit for extending the leadership lease, ms. A connection that died unnoticed must leave
/// time for further tries within one lease.
pub const EXTEND_TIMEOUT_MS: u64 = 800;
/// Time a watch waits on the server, ms. Bounds for how long a connection that died unnoticed hides
/// new jobs or a lost leader.
pub const WATCH_WAIT_MS: u64 = 5_000;
/// Added to a watch's waiting time before the client gives up, ms.
pub const WATCH_GRACE_MS: u64 = 2_000;
/// Pause before a failed watch is opened again, ms.
pub const WATCH_RETRY_MS: u64 = 400;
/// Share of the store's write rate that the leader's records may use. The rest is for submissions,
/// which reach the store from every node.
pub const LEADER_WRITE_SHARE: f64 = 0.7;
/// Share of the store's write rate that the records of minimums may use (the design's bound).
pub const MIN_TASKS_WRITE_SHARE: f64 = 0.5;
/// In so many steps the store learns how far a job's tasks may have been started. More steps let a new
/// leader start more of it before all machines have reported, and cost a write each.
pub const START_WATERMARK_STEPS: u32 = 4;
/// Tasks in such a step, at least.
pub const START_WATERMARK_MIN_STEP: u32 = 32;
/// An array of at most so many tasks starts at once or nearly so: its minimum is not worth a record.
pub const SMALL_JOB_TASKS: u32 = 8;
/// Small jobs that share a record of marks: a kilobyte, rewritten for each handful of jobs that begin.
pub const SHARED_WATERMARK_MAX_JOBS: usize = 64;
/// What a job takes in such a record at most, bytes: the longest id, its quotes and the comma, and its share of
/// the envelope.
pub const SHARED_WATERMARK_ENTRY_BYTES: usize = 26;
/// Relative change of a minimum that makes its record be written again (the design's quarter).
pub const MIN_TASKS_REWRITE_CHANGE: f64 = 0.25;
/// Share of the store's request rate that one node's ledger allows itself; only the leader's has any use
/// for it.
pub const CONTROLLER_REQUEST_SHARE: f64 = 0.3;
/// The same for what users submit and cancel at a node. All of it may come to one node while others are
/// down.
pub const SUBMISSION_REQUEST_SHARE: f64 = 0.25;
/// How long a submission waits for its turn at the state service, ms: past that its user is told at once
/// when to come back.
pub const SUBMISSION_QUEUE_LIMIT_MS: u64 = 300;
/// The same share for questions, while no leader answers them. What is beyond it is asked again in a few
/// seconds anyway.
pub const STATUS_REQUEST_SHARE: f64 = 0.12;
/// A controller, or the state service, that did not answer is not waited for again for this long, ms; then one
/// question tries.
pub const CIRCUIT_BREAKER_OPEN_MS: u64 = 1_000;
/// The same for the leadership, which must not wait behind the rest.
pub const LEADERSHIP_REQUEST_SHARE: f64 = 0.1;
/// Bytes that a machine takes in a roster record with the hints about it, bytes: name, time, and up
/// to `REGISTRY_ENTRY_IMAGES` numbers. So many machines to a record as its value may hold.
pub const REGISTRY_ENTRY_BYTES: usize = 128;
/// Images of a machine that its roster entry names, the last used ones.
pub const REGISTRY_ENTRY_IMAGES: usize = 16;
/// Starts the name of a roster record, against the machines' own names of the older format.
pub const REGISTRY_RECORD_PREFIX: &str = "record-";
/// Tasks in one progress record: 4 KiB of bits, which fit in any sensible value limit as base64.
pub const PROGRESS_PAGE_TASKS: u32 = 16_384;
/// The same where values must be small, at least: below that the records of large jobs become too many.
pub const PROGRESS_PAGE_MIN_TASKS: u32 = 512;

/// Time limit for one request to the cloud, ms.
pub const CLOUD_TIMEOUT_MS: u64 = 6_000;
/// Share of the cloud's request rate that the leader uses. A deposed leader may still have calls
/// under way.
pub const CLOUD_RATE_SHARE: f64 = 0.7;
/// Time limit for a connection to come about, ms. A machine that is gone must show soon, and what was
/// never sent needs no proof that it won't arrive.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Tokens that one term may use: the term's own, and a higher one for a machine after each start that
/// was sent straight to it. Leaves room for 2^24 terms in an attempt number.
pub const TOKENS_PER_TERM: u64 = 4_096;
/// Starts sent straight to workers at a time, in messages. Bounds sockets and bursts of work.
pub const MAX_DIRECT_DISPATCHES: usize = 48;
/// Pause between two looks at which starts could be sent, ms. Hundreds of reports come in a second, and
/// what a look costs grows with the machines that wait.
pub const DIRECT_DISPATCH_INTERVAL_MS: u64 = 50;
/// Tasks in one such message.
pub const DIRECT_DISPATCH_MAX_TASKS: usize = 64;
/// A worker that was given commands in an answer reports again within this, ms (protocol: half a
/// second at least between reports): starts wait for that report's answer.
pub const PROMPT_HEARTBEAT_MS: u64 = 800;
/// A machine that could not be reached takes nothing new for this long, ms.
pub const UNREACHABLE_BACKOFF_MS: u64 = 4_000;
/// Commands to stop that are sent straight to workers at a time, in messages. Bounds sockets; what
/// waits goes with the next report as well.
pub const MAX_DIRECT_STOPS: usize = 32;
/// How long such a command waits for its turn, ms; a gang's stops must all arrive within seconds.
pub const DIRECT_STOP_QUEUE_LIMIT_MS: u64 = 2_000;
/// How long a connection to a worker is kept after use, ms. Hundreds of machines are sent to within
/// seconds, few of them twice.
pub const WORKER_IDLE_MS: u64 = 1_000;
/// How long a connection to the state service, the cloud or a controller is kept after use, ms.
pub const CLIENT_IDLE_MS: u64 = 10_000;
/// Time limit for commands sent straight to a worker, ms. What is lost goes with the next report.
pub const WORKER_TIMEOUT_MS: u64 = 1_500;
/// Pause between two readings of the machine list, ms.
pub const CLOUD_LIST_INTERVAL_MS: u64 = 3_000;
/// Added to that for each machine, ms: reading a thousand entries takes milliseconds of a whole core.
pub const CLOUD_LIST_PER_MACHINE_MS: u64 = 4;
/// Pause between two readings of the machine types (their prices move), ms.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;
/// Pause before a failed reading of the machine types, ms.
pub const MACHINE_TYPES_RETRY_MS: u64 = 700;
/// Machines that one rental request may ask for (protocol).
pub const MAX_SCALE_OUT_MACHINES: u32 = 50;
/// Names that one deletion may hold (protocol).
pub const MAX_SCALE_IN_MACHINES: usize = 100;
/// Entries asked for in one page of the machine list (protocol's largest).
pub const LIST_PAGE: u32 = 500;
/// How long a type, zone and kind counts as sold out after a refusal, ms.
pub const UNAVAILABLE_CAPACITY_MS: u64 = 15_000;
/// A machine that is still booting after this many times its nominal boot time is given up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// Added to that, ms.
pub const BOOT_TIMEOUT_MARGIN_MS: u64 = 10_000;
/// How long what a class needed at a time is remembered when spare machines are kept for it, ms.
pub const DEMAND_WINDOW_MS: u64 = 120_000;
/// A machine is returned once it has been idle for this many times what a new one takes to boot and
/// to fetch an image. 1 is the break-even of the cost; above it, late work is spared.
pub const IDLE_RETURN_FACTOR: f64 = 2.0;
/// Longest time between two reports, in the workers' nominal ones (protocol: a quarter more).
pub const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// How long beyond that a new leader waits for machines of the roster before it returns those that
/// have not reported, ms: time for a worker to try each node, with one that hangs among them.
pub const UNRECONCILED_SCALE_IN_MS: u64 = 7_000;
/// Only if their lease lasts this much longer, ms.
pub const UNRECONCILED_SCALE_IN_MIN_GAIN_MS: u64 = 6_000;
/// A leader that has heard no worker for this many report intervals, although it has machines,
/// steps down: it may be cut off from them alone.
pub const WORKER_SILENCE_INTERVALS: f64 = 3.0;
/// The least time for that, ms.
pub const WORKER_SILENCE_MIN_MS: u64 = 5_000;
/// Machines at a time from which that is judged sooner: the fewer reports are to be expected, the longer a
/// silence may be chance.
pub const WORKER_SILENCE_FLEET_SIZE: f64 = 20.0;
/// The least time for that, ms. Above what a process stands still for, and above one lost packet sent again.
pub const WORKER_SILENCE_LARGE_FLEET_MS: u64 = 3_000;
/// The leader's clockwork comes round each `TICK_MS`; after a gap this long it stood still itself, and
/// silence meanwhile proves nothing, ms.
pub const PROCESS_PAUSE_MS: u64 = 1_000;
/// Workers that a new leader asks at a time what is on their machines. Bounds sockets and processor time:
/// their own reports come in meanwhile.
pub const MAX_STATE_PROBES: usize = 24;
/// How long after it won it begins, ms: most workers come by themselves where nothing hangs.
pub const STATE_PROBE_DELAY_MS: u64 = 1_000;
/// A machine that was in the roster this long ago has booted, or never will, ms.
pub const BOOT_CERTAIN_MS: u64 = 60_000;
/// Pause before a node that gave up leadership stands again, ms. Others are quicker.
pub const STEP_DOWN_PAUSE_MS: u64 = 2_500;
/// Pause after a step-down for lack of reports before the node does that again, ms.
pub const STEP_DOWN_INTERVAL_MS: u64 = 60_000;
/// Machines that have missed their reports, or have not reported since a takeover, are given back before
/// their leases are over if they are at most this share of their zone's. Above it a network is cut,
/// most likely.
pub const LOST_MACHINES_MAX_SHARE: f64 = 0.25;
/// A zone of which more than this share is missing counts as cut off.
pub const PARTITION_SHARE: f64 = 0.5;
/// How long machines of a zone that is cut off are kept after their leases are over, ms. Machines that
/// died leave the list within a minute; one that is listed comes back, most likely, and another would
/// have to boot and fetch.
pub const PARTITION_SCALE_IN_DELAY_MS: u64 = 180_000;
/// How long a machine may stay silent after its lease is surely over before it is returned, ms.
pub const SILENT_SCALE_IN_DELAY_MS: u64 = 6_000;
/// After this many list lags without an entry, a machine that had been listed is gone.
pub const UNLISTED_LAG_FACTOR: f64 = 3.0;

/// Pause between two scheduling rounds, ms.
pub const SCHEDULING_INTERVAL_MS: u64 = 250;
/// A report's answer includes a scheduling round unless one was held less than this ago, ms. Bounds
/// the processor time when many workers report at once.
pub const HEARTBEAT_ROUND_INTERVAL_MS: u64 = 40;
/// What a scheduling round takes for each machine, and for each pair of a machine and a job that
/// waits, microseconds of a whole core (measured on this code, rounded up).
pub const ROUND_COST_PER_MACHINE_US: f64 = 3.0;
/// The same for each pair of a machine and a job that waits.
pub const ROUND_COST_PER_PAIR_US: f64 = 0.03;
/// Share of the core that settings give which scheduling rounds may take. The rest is for reports,
/// whose answers fill the room that they show free.
pub const ROUND_CORE_SHARE: f64 = 0.25;
/// Longest pause between two rounds for lack of processor time, ms.
pub const MAX_ROUND_INTERVAL_MS: u64 = 2_000;
/// Pause of the leader's clockwork, ms.
pub const TICK_MS: u64 = 100;
/// Pause between two fleet rounds, ms.
pub const AUTOSCALING_INTERVAL_MS: u64 = 1_000;
/// Length of a block lease from the leader to a controller, ms. The design begins with 15 s; a worker in a
/// zone that is cut off lives for this long and its own lease, and zones are cut for a minute.
pub const SHARD_LEASE_MS: u64 = 30_000;
/// So much before the time for a cancellation is over a block's lease and a worker's lease after it must
/// have ended, ms: drift of the clocks, and a worker that is a little late.
pub const CANCEL_MARGIN_MS: f64 = 1_000.0;
/// Pause between two renewals of a block, ms. So much later than without a holder a lease counts as over.
pub const SHARD_LEASE_RENEWAL_INTERVAL_MS: u64 = 1_000;
/// Answers in a row without effect after which a machine counts as hearing nothing. One or two get
/// lost when a controller is slow or a connection dies.
pub const MAX_UNACKNOWLEDGED_RESPONSES: u32 = 3;
/// A machine that has refused a start for lack of room takes no new task for this long, ms.
pub const REJECTED_START_BACKOFF_MS: u64 = 3_000;
/// Blame from which a machine counts as faulty: each job that failed there since a task completed there
/// counts 1 if it runs elsewhere.
pub const FAULTY_MACHINE_WEIGHT: f64 = 2.0;
/// What a job counts that has failed on this machine alone and run nowhere yet.
pub const UNPROVEN_JOB_WEIGHT: f64 = 0.5;
/// Machines that a job remembers to have failed on. Enough to tell that they are many.
pub const MAX_FAILED_MACHINES: usize = 16;
/// Tries in a row that a gang, or a daemon, may fail before it counts as failing everywhere: it needs many
/// machines, and meets a faulty one the sooner.
pub const GANG_MAX_FAILURES: u32 = 3;
/// Tries in a row that a job of which tasks have completed may fail before it pauses.
pub const PROVEN_JOB_MAX_FAILURES: u32 = 3;
/// A replica of a daemon that has run for this long, ms, worked: that it ended is no reason for a pause.
pub const REPLICA_STEADY_MS: u64 = 30_000;
/// Errors of a daemon's replicas are forgotten after this long without another, ms: it has no completed tasks
/// that would speak for it, and lives for long. Above the longest pause with its jitter.
pub const REPLICA_FAILURE_MEMORY_MS: u64 = 120_000;
/// Finished tasks of a job whose mean time tells whether a machine is slow.
pub const RELIABLE_MEAN_TASKS: u32 = 4;
/// A task that took this many times the mean of its job was slow. Tasks of one job differ by half.
pub const SLOW_TASK_RATIO: f64 = 2.5;
/// After this many slow tasks in a row a machine counts as faulty.
pub const SLOW_TASKS: u32 = 2;
/// A task that has run this many times the mean of its job is given up where it is and run
/// elsewhere: what is left of it there is thought to take longer than all of it on another machine.
pub const STUCK_TASK_RATIO: f64 = 5.0;
/// First pause after a job's task ended with an error, ms; doubled for each further one.
pub const FAILURE_BACKOFF_MS: u64 = 1_000;
/// Longest such pause, ms.
pub const FAILURE_BACKOFF_MAX_MS: u64 = 45_000;
/// Backfill that can save has run for at least this long before it makes room for work with a deadline, s: it
/// is not stopped and started over and over.
pub const BACKFILL_MIN_RUN_S: f64 = 20.0;
/// And for at least this many times what it takes to save.
pub const BACKFILL_MIN_CHECKPOINTS: f64 = 5.0;
/// Stops of one machine's work for a job of higher priority wait this long for machines to free up by
/// themselves, ms.
pub const PREEMPT_AFTER_MS: u64 = 200;
/// A gang that has found no room for this long has machines kept for it, ms. Long enough for
/// tasks to end by themselves, short against what users wait for.
pub const GANG_RESERVATION_DELAY_MS: u64 = 5_000;
/// A gang that has waited this long, and that no machines up or booting could hold, has nothing set aside for
/// it, ms. Above most boots; below the 90 s in which the users expect other work of its team to begin.
pub const GANG_RESERVATION_LIMIT_MS: u64 = 60_000;
/// Time until a command to stop has taken effect and room is free, s: a report and a half.
pub const PREEMPTION_DELAY_S: f64 = 3.0;
/// Weight of the work that a task loses when it makes room, if its job is late already.
pub const LATE_VICTIM_WEIGHT: f64 = 0.5;
/// The same, if its job would be late for it.
pub const TIGHT_VICTIM_WEIGHT: f64 = 3.0;
/// A command to stop that has had no effect is sent again with no grace after SnapshotS and this, ms.
pub const STOP_TIMEOUT_MS: u64 = 10_000;
/// A job counts as late once its deadline is less than this many of its task times away.
pub const LATENESS_TASK_TIMES: f64 = 0.0;
/// A job that has not started this long after its submission goes before those that could still meet
/// their aims, s. Half of the four minutes in which the users expect the largest jobs to begin.
pub const START_DEADLINE_S: f64 = 120.0;
/// Age from which a job that is late, or yields to jobs that can be in time, has a part of the CPUs
/// to itself, s. Half of the four minutes likewise.
pub const AGING_S: f64 = 120.0;
/// That part, as a share of the CPUs that are up.
pub const AGING_CPU_SHARE: f64 = 0.15;
/// Deadline assumed, in multiples of the estimate, when sizing the fleet for deadline-free jobs.
pub const DEFAULT_DEADLINE_FACTOR: f64 = 2.0;
/// What placing a task on an empty machine costs against one that is in use, s of image fetch.
/// Keeps whole machines free for gangs and for being returned.
pub const EMPTY_MACHINE_PENALTY_S: f64 = 3.0;
/// What a machine costs that stays all free after the placement against a full one, likewise.
pub const LOOSE_FIT_PENALTY_S: f64 = 4.0;
/// What a machine costs that could hold a task of a gang, for any other task, likewise. Below the fetch
/// of most images, so that images still decide.
pub const GANG_MACHINE_PENALTY_S: f64 = 8.0;
/// What a machine costs at twice the lowest price of a CPU, likewise.
pub const PRICE_PENALTY_S: f64 = 2.0;
/// Weight of a machine's missing image against its price when choosing where a task goes, s.
pub const IMAGE_MISS_PENALTY: f64 = 1.0;

/// Largest request body, bytes (protocol).
pub const BODY_LIMIT: usize = 64 * 1024;
/// Time a node takes at most to answer a submission, ms. Users wait 5 s.
pub const SUBMIT_LIMIT_MS: u64 = 3_500;
/// Time a node takes at most to answer a status request, ms. Users wait 2 s.
pub const STATUS_LIMIT_MS: u64 = 1_500;
/// Time for one exchange with another controller, ms.
pub const PEER_TIMEOUT_MS: u64 = 600;
/// Largest message between controllers, bytes: a submission and its envelope.
pub const PEER_FRAME_LIMIT: usize = 80 * 1024;
/// Idle connections kept to each other controller.
pub const PEER_IDLE: usize = 4;
/// What `Retry-After` says, s.
pub const RETRY_AFTER_S: u32 = 1;
/// What it says to a question about a job, s: sooner than the user would ask again, and after most changes
/// of leader.
pub const STATUS_RETRY_AFTER_S: u32 = 3;
/// Share of the socket limit that connections from outside may hold. The rest stays for the state
/// service, the cloud, the other controllers and workers that are sent to.
pub const INBOUND_SOCKET_SHARE: f64 = 0.85;
/// A connection without traffic for this many report intervals is closed: its worker is gone, or cut
/// off, and opens a new one when it is back.
pub const CONNECTION_IDLE_HEARTBEATS: f64 = 2.5;
/// The least time for that, s. Users ask about every 5 s.
pub const CONNECTION_IDLE_MIN_S: f64 = 15.0;
/// A connection with traffic in this time is not closed to make room for another, ms: its request may
/// be in progress.
pub const CONNECTION_BUSY_MS: u64 = 2_000;
/// When the table is full, one connection in so many is closed at a time.
pub const CONNECTION_CLOSE_DIVISOR: usize = 64;
/// Pause before a full table is looked at again, ms.
pub const CONNECTION_TABLE_RETRY_MS: u64 = 20;
/// Share of the socket limit that may be requests in progress.
pub const CONCURRENCY_SOCKET_SHARE: f64 = 0.25;
/// Fewest requests in progress that the adaptive limit allows.
pub const MIN_CONCURRENCY: usize = 8;
/// Answer time above which the adaptive limit shrinks, ms. Well under a user's patience of 2 s.
pub const CONCURRENCY_LATENCY_TARGET_MS: u64 = 400;
/// Jobs whose final state a node keeps in memory.
pub const FINAL_STATE_CACHE_SIZE: usize = 4_096;
/// Ended jobs and returned machines that a leader remembers, so that late events and reports don't
/// bring them back. Days of work, against messages that are minutes late.
pub const BOUNDED_SET_SIZE: usize = 20_000;
/// Messages that may wait for an actor.
pub const CHANNEL_CAPACITY: usize = 1_024;
/// Plain-words reasons that a job keeps.
pub const MAX_JOB_NOTES: usize = 6;

/// Pause between two questions of a standby to the leader, ms. A decision reaches it that late.
pub const FOLLOW_INTERVAL_MS: u64 = 200;
/// Entries of the replication log that a leader keeps for standbys, at most: some seconds of the largest fleets.
/// Whoever is further behind gets an image, which costs less than as many entries.
pub const REPLICATION_LOG_ENTRIES: usize = 16_384;
/// Bytes of entries, or of an image, in one message between controllers: well below `PEER_FRAME_LIMIT`.
pub const REPLICATION_PIECE_BYTES: usize = 32 * 1024;
/// Largest image, bytes: some 200 for each machine with its tasks, so enough for 100,000 machines.
pub const REPLICATION_IMAGE_LIMIT: usize = 32 * 1024 * 1024;
/// How long a leader hands out pieces of one image before it makes a new one for whoever asks next, ms.
pub const REPLICATION_IMAGE_LIFETIME_MS: u64 = 5_000;
/// Ranges into which names fall for digests. One range is hashed at a time, so that no round of the leader
/// waits for a whole one.
pub const REPLICATION_DIGEST_RANGES: u32 = 16;
/// Pause between two digests, ms: all ranges are compared within 16 s.
pub const REPLICATION_DIGEST_INTERVAL_MS: u64 = 1_000;
/// A copy whose leader was heard longer ago than this tells a new leader nothing, ms.
pub const REPLICATION_STALE_MS: u64 = 60_000;
/// Names in the log of what a copy had wrong, at most.
pub const REPLICATION_MAX_NAMED_DIFFERENCES: usize = 8;
/// Pauses between signs of life that a failure detector remembers.
pub const DETECTOR_WINDOW: usize = 64;
/// Pauses that it needs before it judges.
pub const DETECTOR_MIN_SAMPLES: usize = 8;
/// A silence is unusual beyond the mean pause and this many standard deviations.
pub const DETECTOR_DEVIATIONS: f64 = 6.0;
/// No silence shorter than this is unusual, ms: a lost packet is sent again within it.
pub const DETECTOR_MIN_SILENCE_MS: u64 = 1_000;
/// Longest time that histograms tell apart, ms.
pub const MAX_RECORDED_DURATION_MS: u64 = 3_600_000;
/// Errors of a job that a new leader takes over from its copy, at most: pauses grow no further anyway.
pub const MAX_RESUMED_FAILURES: u32 = 16;
/// How long a new leader tries to complete a gang of which an earlier one started a part, ms, from when nothing
/// else can be anywhere. Past that the gang begins anew: what waits for it would give up.
pub const GANG_RESUME_LIMIT_MS: u64 = 5_000;
/// Whether controllers keep a copy of the leader's picture unless the operators say otherwise.
pub const STANDBY_DEFAULT: bool = true;
/// Lengths that the operators may give the leadership lease, ms. Below, a slow answer of the state service or two
/// would cost the leadership.
pub const LEADER_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 3_000..=60_000;
/// While the leader is silent a standby asks the state service this often whether it still leads, ms.
pub const LEADER_CHECK_INTERVAL_MS: u64 = 1_000;
/// A leader compares its whole picture with what it has published this often, ms; in between only what was touched.
pub const FULL_PUBLISH_INTERVAL_MS: u64 = 10_000;
/// A worker that has not shown a new leader's token is asked again after this, ms.
pub const STATE_PROBE_RETRY_MS: u64 = 2_000;
/// Questions without an answer in a row after which a machine counts as gone at a takeover, where most of its zone
/// answered.
pub const MAX_UNANSWERED_STATE_PROBES: u32 = 3;
