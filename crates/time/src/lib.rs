//! Points in time of the two clocks of a process, and conversions of durations, with millisecond resolution.
//!
//! [`MonotonicTime`] and [`WallTime`] are separate types, so that readings of the two clocks cannot be confused. The
//! crate reads no clock: the callers that do pass on the readings, so tests can set the time.
//!
//! Records and messages between processes contain plain numbers of milliseconds, which are converted where they are
//! read and written.

mod duration;
mod monotonic;
mod wall;

pub use duration::{duration_from_seconds, millis_f64, seconds_f64, whole_millis};
pub use monotonic::MonotonicTime;
pub use wall::WallTime;
