//! The `cancel` command of the binary and its alias.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use std::process::{Command, Output};

fn hookway(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hookway")).args(arguments).output().expect("the binary starts")
}

#[test]
fn cancel_command_and_its_withdraw_alias_are_accepted() {
    for command in ["cancel", "withdraw"] {
        let output = hookway(&[command, "--server", "127.0.0.1:1", "not-an-id"]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(error.contains("a job's id has the form"), "{command}: {error}");
    }
}
