//! Runs one case of the third review: `review-3 CASE RECORD FOLDER`, from the root of the repository.
//!
//! The controllers run as processes of their own; the state service, the cloud, the workers and the users are
//! stand-ins in this process. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption of the case is left out.

mod cases;
mod cluster;
mod fleet;
mod http;
mod record;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::{env, process, thread};

/// Time after which a case that has not ended counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// The end of a case.
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.line("the case did not end in time");
        // The script ends the processes whose ids are in the folder.
        process::exit(2);
    });
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = cases::run(case, trouble, &record, Path::new(folder))
        .unwrap_or_else(|error| Verdict::CouldNotRun(error.to_string()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
