//! Replication of the leader's cluster state to warm standbys, and the phases of a failover.
//!
//! The leader's [`Publisher`] turns changes of machines, tasks and jobs into a log of [`Entry`] values. A
//! [`Follower`] requests missing entries, applies them to its copy and verifies the copy by digests. The
//! [`FailureDetector`] suspects a silent leader, and [`Promotion`] is the state machine of a failover.
//!
//! A follower's copy is a hint: it shortens the recovery of a new leader, but proves nothing. The store
//! decides which controller is the leader; heartbeats and expired leases prove what runs on which machine.
//!
//! A replication snapshot ("snapshot" in this crate) is a copy of the whole replicated state as of one position
//! of the log. The leader sends it in chunks to a follower whose missing entries are no longer in the log.
//!
//! The crate does no I/O and reads no clock: callers pass the time and transport the messages.

mod detector;
mod digest;
mod entry;
mod follower;
mod log;
mod message;
mod metrics;
mod position;
mod promotion;
mod publisher;
mod snapshot;
mod state;

pub use detector::FailureDetector;
pub use digest::RangeDigest;
pub use entry::Entry;
pub use follower::{FollowError, FollowOutcome, Follower, UnusableCopy};
pub use log::ReplicationLog;
pub use message::{FollowRequest, FollowResponse, FollowResponseBody, FollowerProgress};
pub use metrics::{DurationHistogram, FailoverMetrics, FollowerMetrics};
pub use position::Position;
pub use promotion::{FailoverAction, FailoverEvent, FailoverPhase, Promotion, TransitionError};
pub use publisher::{PublishedMachine, PublishedTask, Publisher};
pub use snapshot::{SnapshotChunk, SnapshotError};
pub use state::{ApplyError, PlacedTask, ReplicatedJob, ReplicatedMachine, ReplicatedState, Stage};
