//! Replication of a leader's decisions to warm standbys, and the steps by which a standby takes over.
//!
//! The leader's [`Publisher`] turns its picture of machines, tasks and jobs into a log of [`Entry`] values. A
//! [`Follower`] asks for what it lacks, applies it to a copy of its own and checks that copy by digests.
//! [`FailureDetector`] tells when the leader's silence is unusual, and [`Promotion`] which step of a takeover
//! may follow which.
//!
//! What a follower holds is a hint. It shortens what a new leader has to find out, and never stands for proof:
//! who may decide is settled by the state service, and what runs where by workers' reports and ended leases.
//!
//! No I/O, and no clock: the caller passes the time and carries the messages.

mod detector;
mod digest;
mod entry;
mod follower;
mod image;
mod log;
mod message;
mod metrics;
mod position;
mod promotion;
mod publisher;
mod state;

pub use detector::FailureDetector;
pub use digest::RangeDigest;
pub use entry::Entry;
pub use follower::{FollowError, Follower, Progress, Unusable};
pub use image::{ImageError, ImagePiece};
pub use log::ReplicationLog;
pub use message::{FollowAnswer, FollowBody, FollowRequest, Held};
pub use metrics::{Durations, FollowMetrics, TakeoverMetrics};
pub use position::Position;
pub use promotion::{Event, Phase, Promotion, Refused, Step};
pub use publisher::{MachineView, Publisher, TaskView};
pub use state::{ApplyError, JobHints, MachineState, PlacedTask, ReplicatedState, Stage};
