//! Points in time of the two clocks of a process, and spans of time, with millisecond resolution.
//!
//! [`MonotonicTime`] and [`WallTime`] are separate types, so that readings of the two clocks can't be mixed. A span is a
//! [`std::time::Duration`]. The crate reads no clock: whoever does passes its reading on, which lets tests set the time.
//!
//! Records and messages between processes carry plain numbers of milliseconds; they are converted where they are read
//! and written.

mod monotonic;
mod span;
mod wall;

pub use monotonic::MonotonicTime;
pub use span::{millis_f64, seconds_f64, span_of_seconds, whole_millis};
pub use wall::WallTime;
