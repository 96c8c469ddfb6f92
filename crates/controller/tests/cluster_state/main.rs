//! `ClusterState` against a state service in memory and scripted workers, with a clock that the test moves. One
//! module for each subject; each test is named by its condition and expected result.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

mod autoscaling;
mod cancellation;
mod commit_queue;
mod direct_dispatch;
mod failure_attribution;
mod gangs;
mod heartbeats;
mod leases;
mod machine_registry;
mod reconciliation;
mod reservations;
mod runtime_estimates;
mod start_watermarks;
mod support;
mod unknown_watermarks;
mod unreachable_machines;

#[path = "../harness/mod.rs"]
mod harness;
