//! The commands of the binary, as a user calls them.
#![allow(clippy::expect_used, reason = "a test may fail like that")]

use std::process::{Command, Output};

fn hookway(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hookway")).args(arguments).output().expect("it runs")
}

#[test]
fn cancel_command_and_its_withdraw_alias_are_accepted() {
    for word in ["cancel", "withdraw"] {
        let output = hookway(&[word, "--server", "127.0.0.1:1", "not-an-id"]);
        let why = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(why.contains("a job's id has the form"), "{word}: {why}");
    }
}
