//! The HTTP API without a state service: invalid requests are rejected at once with a reason in JSON, and requests
//! that can't be decided get 503 with `Retry-After`.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod circuit_breakers;
mod heartbeats;
mod replication;
mod status;
mod submissions;
mod support;
