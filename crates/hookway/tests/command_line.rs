//! The words, flags, environment, output and exit codes of the binary, as scripts rely on them.
#![allow(clippy::expect_used, reason = "a helper of a test may fail like the test itself")]

use hookway_testkit::SETTINGS;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Only tells a process that would run for ever.
const LIMIT: Duration = Duration::from_secs(30);

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hookway"));
    command.env_remove("HOOKWAY_OPERATOR_SETTINGS").env_remove("LOG_LEVEL");
    command
}

/// What it prints until it ends. One that goes on, as a controller does that was to be refused, is ended.
fn run(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut process = command.spawn().expect("it runs");
    let begun = Instant::now();
    while process.try_wait().expect("its own process").is_none() {
        if begun.elapsed() > LIMIT {
            process.kill().expect("its own process");
            let output = process.wait_with_output().expect("its own process");
            panic!("it goes on: {}", String::from_utf8_lossy(&output.stderr));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    process.wait_with_output().expect("its own process")
}

fn hookway(arguments: &[&str]) -> Output {
    run(binary().args(arguments))
}

fn shown(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A file that goes with the test.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hookway-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a plain path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// An API that gives one answer; its address, and the first line that it was asked with.
fn api(status: u16, body: &'static str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).expect("a request");
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .expect("it listens");
        // A socket that is closed with bytes unread may take its answer along.
        stream.shutdown(Shutdown::Write).expect("it listens");
        std::io::copy(&mut stream, &mut std::io::sink()).expect("the other side closes");
        let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    });
    (address, served)
}

const STATUS: &str = r#"{"NameId":"req-000412","Status":"withdrawn","done":3,"running":13,"Owner":"vision",
 "Commander":"worker-1","Notes":["task 3 failed"]}"#;
const SHOWN: &str = "req-000412: withdrawn, 3 done, 13 running\n  team: vision\n  commanded by: worker-1\n  task 3 failed\n";

#[test]
fn each_client_word_asks_its_path_and_shows_the_answer() {
    let job = File::new("job.json", "{}");
    for (word, what, line) in [
        ("submit", job.path(), "POST /api/jobs HTTP/1.1"),
        ("status", "req-000412", "GET /api/jobs/req-000412 HTTP/1.1"),
        ("cancel", "req-000412", "POST /api/jobs/req-000412/withdraw HTTP/1.1"),
        ("withdraw", "req-000412", "POST /api/jobs/req-000412/withdraw HTTP/1.1"),
    ] {
        let (address, served) = api(200, STATUS);
        let output = hookway(&[word, "--server", &address, what]);
        assert_eq!(shown(&output), (Some(0), SHOWN.into(), String::new()), "{word}");
        assert_eq!(served.join().expect("no panic"), line);
    }
}

#[test]
fn a_status_without_additions_is_one_line() {
    let (address, _served) = api(200, r#"{"NameId":"req-000412","Status":"queued"}"#);
    let output = hookway(&["status", "--server", &address, "req-000412"]);
    let line = "req-000412: queued, 0 done, 0 running\n";
    assert_eq!(shown(&output), (Some(0), line.into(), String::new()));
}

#[test]
fn a_refusal_is_told_on_standard_error_with_exit_code_1() {
    let (address, _served) = api(404, r#"{"error":"no such job"}"#);
    let output = hookway(&["status", "--server", &address, "req-000412"]);
    let why = "hookway: 404: no such job\n";
    assert_eq!(shown(&output), (Some(1), String::new(), why.into()));
    let output = hookway(&["submit", "--server", &address, "/nowhere/job.json"]);
    let (code, _, why) = shown(&output);
    assert_eq!(code, Some(1));
    assert!(why.starts_with("hookway: can't read /nowhere/job.json: "), "{why}");
    for word in ["status", "cancel", "withdraw"] {
        let output = hookway(&[word, "--server", "127.0.0.1:1", "job-1"]);
        let why = "hookway: a job's id has the form req-000412\n";
        assert_eq!(shown(&output), (Some(1), String::new(), why.into()), "{word}");
    }
}

#[test]
fn check_tells_sound_settings_from_wrong_ones() {
    let settings = File::new("check.toml", SETTINGS);
    let wrong = File::new("wrong.toml", &SETTINGS.replace("lease_s = 14.0", "lease_s = -1.0"));
    let operator = File::new("check.ini", "[replication]\nstandby = off\n");
    let unknown = File::new("unknown.ini", "[replication]\nfollow = on\n");
    let sound = "worker-0: the settings are sound\n";
    let output = hookway(&["check", "--config", settings.path()]);
    assert_eq!(shown(&output), (Some(0), sound.into(), String::new()));
    let output = hookway(&["check", "--config", settings.path(), "--operator", operator.path()]);
    assert_eq!(shown(&output), (Some(0), sound.into(), String::new()));
    let output = hookway(&["check", "--config", wrong.path()]);
    let why = format!(
        "hookway: {}: settings.workers.lease_s must be a number above 0, not -1\n",
        wrong.path()
    );
    assert_eq!(shown(&output), (Some(1), String::new(), why));
    let output = hookway(&["check", "--config", settings.path(), "--operator", unknown.path()]);
    let why = format!("hookway: {}: unknown setting [replication] follow\n", unknown.path());
    assert_eq!(shown(&output), (Some(1), String::new(), why));
    let (code, _, why) = shown(&hookway(&["check", "--config", "/nowhere/x.toml"]));
    assert_eq!(code, Some(1));
    assert!(why.starts_with("hookway: can't read /nowhere/x.toml: "), "{why}");
}

#[test]
fn a_controller_takes_operator_settings_from_its_flag_and_its_environment() {
    let settings = File::new("run.toml", SETTINGS);
    let unknown = File::new("run.ini", "[replication]\nfollow = on\n");
    let why = format!("hookway: {}: unknown setting [replication] follow\n", unknown.path());
    let output = hookway(&["--config", settings.path(), "--operator", unknown.path()]);
    assert_eq!(shown(&output), (Some(1), String::new(), why.clone()));
    let mut command = binary();
    command.args(["--config", settings.path()]).env("HOOKWAY_OPERATOR_SETTINGS", unknown.path());
    let output = run(&mut command);
    assert_eq!(shown(&output), (Some(1), String::new(), why));
}

#[test]
fn without_a_word_there_is_nothing_to_do_and_the_exit_code_is_1() {
    let why = "hookway: nothing to do: give --config FILE or a command (see --help)\n";
    assert_eq!(shown(&hookway(&[])), (Some(1), String::new(), why.into()));
}

#[test]
fn words_and_flags_that_do_not_exist_or_lack_something_end_with_exit_code_2() {
    for arguments in [
        &["start"][..],
        &["--settings", "x"],
        &["--config"],
        &["check"],
        &["submit", "job.json"],
        &["submit", "--server", "127.0.0.1:1"],
        &["status", "req-000412"],
        &["status", "--server", "127.0.0.1:1"],
        &["cancel", "req-000412"],
        &["--config", "x.toml", "check", "--config", "x.toml"],
    ] {
        let (code, out, why) = shown(&hookway(arguments));
        assert_eq!((code, out.as_str()), (Some(2), ""), "{arguments:?}");
        assert!(why.starts_with("error: "), "{arguments:?}: {why}");
    }
}

#[test]
fn help_and_version_are_printed_with_exit_code_0() {
    let (code, out, _) = shown(&hookway(&["--version"]));
    assert_eq!((code, out), (Some(0), format!("hookway {}\n", env!("CARGO_PKG_VERSION"))));
    let (code, out, _) = shown(&hookway(&["--help"]));
    assert_eq!(code, Some(0));
    for word in ["check", "submit", "status", "cancel", "withdraw", "--config <FILE>"] {
        assert!(out.contains(word), "{word} is missing: {out}");
    }
    assert!(out.contains("--operator <FILE>") && out.contains("HOOKWAY_OPERATOR_SETTINGS"));
}
