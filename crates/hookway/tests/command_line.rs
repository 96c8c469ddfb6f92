//! The commands, flags, environment variables, output and exit codes of the binary, which users' scripts rely on.
#![allow(clippy::expect_used, reason = "a test helper fails the test that calls it")]

use hookway_testkit::PLATFORM_SETTINGS;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time limit after which a process that does not exit fails the test.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hookway"));
    command.env_remove("HOOKWAY_OPERATOR_SETTINGS").env_remove("LOG_LEVEL");
    command
}

/// Runs a process until it exits, and returns its output. A process that does not exit, such as a controller that
/// accepts settings which it should reject, is killed and fails the test.
fn run(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut process = command.spawn().expect("the binary starts");
    let started_at = Instant::now();
    while process.try_wait().expect("the process is a child of the test").is_none() {
        if started_at.elapsed() > EXIT_TIMEOUT {
            process.kill().expect("the process is a child of the test");
            let output = process.wait_with_output().expect("the process is a child of the test");
            panic!("the process does not exit: {}", String::from_utf8_lossy(&output.stderr));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    process.wait_with_output().expect("the process is a child of the test")
}

fn hookway(arguments: &[&str]) -> Output {
    run(binary().args(arguments))
}

/// Returns the exit code, standard output and standard error.
fn exit_and_output(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A file that is deleted when the value is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hookway-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the file can be written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts an API server that sends one response. Returns its address, and a thread whose result is the first line of
/// the request.
fn start_api(status: u16, body: &'static str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let request_line = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).expect("the request can be read");
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .expect("the client reads the response");
        // Closing a socket with unread bytes would reset the connection, and the client might lose the response.
        stream.shutdown(Shutdown::Write).expect("the client reads the response");
        std::io::copy(&mut stream, &mut std::io::sink()).expect("the client closes the connection");
        let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    });
    (address, request_line)
}

const JOB_STATUS: &str = r#"{"NameId":"req-000412","Status":"withdrawn","done":3,"running":13,"Owner":"vision",
 "Commander":"worker-1","Notes":["task 3 failed"]}"#;
const SHOWN_STATUS: &str = "req-000412: withdrawn, 3 done, 13 running\n  team: vision\n  commanded by: worker-1\n  task 3 failed\n";

#[test]
fn each_client_command_requests_its_path_and_prints_the_response() {
    let job = TempFile::new("job.json", "{}");
    for (command, argument, expected_line) in [
        ("submit", job.path(), "POST /api/jobs HTTP/1.1"),
        ("status", "req-000412", "GET /api/jobs/req-000412 HTTP/1.1"),
        ("cancel", "req-000412", "POST /api/jobs/req-000412/withdraw HTTP/1.1"),
        ("withdraw", "req-000412", "POST /api/jobs/req-000412/withdraw HTTP/1.1"),
    ] {
        let (address, request_line) = start_api(200, JOB_STATUS);
        let output = hookway(&[command, "--server", &address, argument]);
        assert_eq!(
            exit_and_output(&output),
            (Some(0), SHOWN_STATUS.into(), String::new()),
            "{command}"
        );
        assert_eq!(request_line.join().expect("the API does not panic"), expected_line);
    }
}

#[test]
fn status_without_notes_prints_one_line() {
    let (address, _request_line) = start_api(200, r#"{"NameId":"req-000412","Status":"queued"}"#);
    let output = hookway(&["status", "--server", &address, "req-000412"]);
    let expected = "req-000412: queued, 0 done, 0 running\n";
    assert_eq!(exit_and_output(&output), (Some(0), expected.into(), String::new()));
}

#[test]
fn rejected_request_prints_reason_on_stderr_with_exit_code_1() {
    let (address, _request_line) = start_api(404, r#"{"error":"no such job"}"#);
    let output = hookway(&["status", "--server", &address, "req-000412"]);
    let error = "hookway: 404: no such job\n";
    assert_eq!(exit_and_output(&output), (Some(1), String::new(), error.into()));
    let output = hookway(&["submit", "--server", &address, "/nowhere/job.json"]);
    let (code, _, error) = exit_and_output(&output);
    assert_eq!(code, Some(1));
    assert!(error.starts_with("hookway: can't read /nowhere/job.json: "), "{error}");
    for command in ["status", "cancel", "withdraw"] {
        let output = hookway(&[command, "--server", "127.0.0.1:1", "job-1"]);
        let error = "hookway: a job's id has the form req-000412\n";
        assert_eq!(exit_and_output(&output), (Some(1), String::new(), error.into()), "{command}");
    }
}

#[test]
fn check_accepts_valid_settings_and_names_errors() {
    let settings = TempFile::new("check.toml", PLATFORM_SETTINGS);
    let invalid =
        TempFile::new("wrong.toml", &PLATFORM_SETTINGS.replace("lease_s = 14.0", "lease_s = -1.0"));
    let operator = TempFile::new("check.ini", "[replication]\nstandby = off\n");
    let unknown_key = TempFile::new("unknown.ini", "[replication]\nfollow = on\n");
    let valid = "worker-0: the settings are sound\n";
    let output = hookway(&["check", "--config", settings.path()]);
    assert_eq!(exit_and_output(&output), (Some(0), valid.into(), String::new()));
    let output = hookway(&["check", "--config", settings.path(), "--operator", operator.path()]);
    assert_eq!(exit_and_output(&output), (Some(0), valid.into(), String::new()));
    let output = hookway(&["check", "--config", invalid.path()]);
    let error = format!(
        "hookway: {}: settings.workers.lease_s must be a number above 0, not -1\n",
        invalid.path()
    );
    assert_eq!(exit_and_output(&output), (Some(1), String::new(), error));
    let output = hookway(&["check", "--config", settings.path(), "--operator", unknown_key.path()]);
    let error = format!("hookway: {}: unknown setting [replication] follow\n", unknown_key.path());
    assert_eq!(exit_and_output(&output), (Some(1), String::new(), error));
    let (code, _, error) = exit_and_output(&hookway(&["check", "--config", "/nowhere/x.toml"]));
    assert_eq!(code, Some(1));
    assert!(error.starts_with("hookway: can't read /nowhere/x.toml: "), "{error}");
}

#[test]
fn operator_settings_are_read_from_flag_or_environment() {
    let settings = TempFile::new("run.toml", PLATFORM_SETTINGS);
    let unknown_key = TempFile::new("run.ini", "[replication]\nfollow = on\n");
    let error = format!("hookway: {}: unknown setting [replication] follow\n", unknown_key.path());
    let output = hookway(&["--config", settings.path(), "--operator", unknown_key.path()]);
    assert_eq!(exit_and_output(&output), (Some(1), String::new(), error.clone()));
    let mut command = binary();
    command
        .args(["--config", settings.path()])
        .env("HOOKWAY_OPERATOR_SETTINGS", unknown_key.path());
    let output = run(&mut command);
    assert_eq!(exit_and_output(&output), (Some(1), String::new(), error));
}

#[test]
fn missing_command_ends_with_exit_code_1() {
    let error = "hookway: nothing to do: give --config FILE or a command (see --help)\n";
    assert_eq!(exit_and_output(&hookway(&[])), (Some(1), String::new(), error.into()));
}

#[test]
fn invalid_commands_and_flags_end_with_exit_code_2() {
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
        let (code, stdout, error) = exit_and_output(&hookway(arguments));
        assert_eq!((code, stdout.as_str()), (Some(2), ""), "{arguments:?}");
        assert!(error.starts_with("error: "), "{arguments:?}: {error}");
    }
}

#[test]
fn help_and_version_are_printed_with_exit_code_0() {
    let (code, stdout, _) = exit_and_output(&hookway(&["--version"]));
    assert_eq!((code, stdout), (Some(0), format!("hookway {}\n", env!("CARGO_PKG_VERSION"))));
    let (code, stdout, _) = exit_and_output(&hookway(&["--help"]));
    assert_eq!(code, Some(0));
    for name in ["check", "submit", "status", "cancel", "withdraw", "--config <FILE>"] {
        assert!(stdout.contains(name), "{name} is missing in the help: {stdout}");
    }
    assert!(stdout.contains("--operator <FILE>") && stdout.contains("HOOKWAY_OPERATOR_SETTINGS"));
}
