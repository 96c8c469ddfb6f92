//! The scenarios of the review's cases. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. `TROUBLE=0` leaves the disruption out.
#![allow(dead_code, clippy::expect_used)]

mod chaos;
mod controllers;
mod flapping;
mod left_waiting;
mod machines;
mod odd;
mod proxy;
mod quota_wait;
mod record;
mod stuck;
mod users;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a run ended.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else { return ExitCode::from(2) };
    record.line(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let folder: PathBuf =
        std::env::temp_dir().join(format!("hookway-review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::from(2) };
    let outcome = runtime.block_on(async {
        let run = async {
            match case.as_str() {
                "left_waiting" => left_waiting::run(&folder, &record, trouble).await,
                "quota_wait" => quota_wait::run(&folder, &record, trouble).await,
                "flapping" => flapping::run(&folder, &record, trouble).await,
                "mem" => odd::memory(&folder, &record).await,
                "stuck" => stuck::run(&folder, &record, trouble).await,
                "odd" => odd::run(&folder, &record).await,
                "chaos" => chaos::run(&folder, &record, 420).await,
                _ => Outcome::CouldNotRun("no such case".into()),
            }
        };
        let is_case = ["flapping", "left_waiting", "quota_wait"].contains(&case.as_str());
        if !is_case {
            return run.await;
        }
        // A script of a case runs for 120 s at most.
        let limit = std::time::Duration::from_secs(115);
        let late = || Outcome::CouldNotRun("not over after 115 s".into());
        tokio::time::timeout(limit, run).await.unwrap_or_else(|_| late())
    });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Outcome::Held => {
            record.line("RESULT the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(text) => {
            record.line(&format!("RESULT the rule was broken: {text}"));
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(text) => {
            record.line(&format!("RESULT could not run: {text}"));
            ExitCode::from(2)
        }
    }
}
