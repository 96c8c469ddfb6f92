//! The controllers as processes of their own, and users who send them requests.

use crate::http::request;
use crate::record::Record;
use serde_json::Value;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a user waits for the answer to a submission or a cancellation.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user waits for the answer to a question.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// A controller to be started.
pub struct Node {
    pub label: String,
    pub domain: &'static str,
    pub api: String,
    pub peer: String,
}

/// Chooses free ports of `ip` for a controller in each zone. The listeners hold the ports until the controllers start.
pub fn nodes(ip: &str, domains: &[&'static str]) -> std::io::Result<(Vec<Node>, Vec<TcpListener>)> {
    let mut held = Vec::new();
    let mut free_address = || -> std::io::Result<String> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?.to_string();
        held.push(listener);
        Ok(address)
    };
    let node = |(index, domain): (usize, &&'static str)| {
        Ok(Node { label: format!("worker-{index}"), domain, api: free_address()?, peer: free_address()? })
    };
    let nodes = domains.iter().enumerate().map(node).collect::<std::io::Result<Vec<Node>>>()?;
    Ok((nodes, held))
}

/// The controller processes. They are killed when this is dropped.
pub struct Controllers {
    children: Vec<Child>,
    pids: PathBuf,
}

impl Controllers {
    /// Starts a process for each node with the command of the deploy file. `platform` is the settings table, the same
    /// for all; settings and logs are in `folder`.
    pub fn start(nodes: &[Node], cloud: &str, state: &str, platform: &str, folder: &Path) -> std::io::Result<Self> {
        let deploy = std::fs::read_to_string("deploy/service.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).unwrap_or_default();
        let words: Vec<&str> = run.trim().trim_matches('"').split(' ').collect();
        let mut controllers = Self { children: Vec::new(), pids: folder.join("pids") };
        for node in nodes {
            let mut text = format!(
                "label = \"{}\"\ndomain = \"{}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n",
                node.label, node.domain, node.api, node.peer
            );
            for other in nodes.iter().filter(|other| other.label != node.label) {
                text += &format!(
                    "[[siblings]]\nlabel = \"{}\"\ndomain = \"{}\"\naddress = \"{}\"\n",
                    other.label, other.domain, other.peer
                );
            }
            text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n{platform}");
            let path = folder.join(format!("{}.toml", node.label));
            std::fs::write(&path, text)?;
            let log = std::fs::File::create(folder.join(format!("{}.log", node.label)))?;
            let mut command = Command::new(words[0]);
            command.args(&words[1..]).arg(&path).env("LOG_LEVEL", "info").env_remove("HOOKWAY_OPERATOR_SETTINGS");
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log));
            controllers.children.push(command.spawn()?);
            let pids: Vec<String> = controllers.children.iter().map(|child| child.id().to_string()).collect();
            std::fs::write(&controllers.pids, pids.join("\n"))?;
        }
        Ok(controllers)
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.pids);
    }
}

/// A user, who sends requests to the controllers in turn until one answers.
#[derive(Clone)]
pub struct User {
    pub nodes: Vec<String>,
    pub record: Arc<Record>,
}

impl User {
    /// Waits until each controller says that it is up. `false`: not within `limit`.
    pub fn wait_until_up(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.nodes.iter().all(|node| {
            while Instant::now() < until {
                if request(node, "GET", "/up", "", POLL_TIMEOUT).is_some_and(|(status, _)| status == 200) {
                    return true;
                }
                thread::sleep(Duration::from_millis(100));
            }
            false
        })
    }

    /// Submits a job until it is accepted or refused for good. Returns the status; `None` after 60 s without one.
    pub fn submit(&self, job: &Value) -> Option<u16> {
        self.repeat("POST", "/api/jobs", &job.to_string(), &[200, 201, 400, 422])
    }

    fn repeat(&self, method: &str, path: &str, body: &str, ends: &[u16]) -> Option<u16> {
        for attempt in 0..60 {
            let node = &self.nodes[attempt % self.nodes.len()];
            let answer = request(node, method, path, body, SUBMIT_TIMEOUT);
            self.record.line(format!("user {method} {path} {body} -> {answer:?}"));
            if let Some((status, _)) = answer.filter(|(status, _)| ends.contains(status)) {
                return Some(status);
            }
            thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// Asks for a job's state. `None`: no node gave one.
    pub fn poll(&self, id: &str) -> Option<String> {
        for node in &self.nodes {
            let answer = request(node, "GET", &format!("/api/jobs/{id}"), "", POLL_TIMEOUT);
            self.record.line(format!("user GET {id} -> {answer:?}"));
            if let Some((200, text)) = answer {
                let body: Value = serde_json::from_str(&text).ok()?;
                return body["Status"].as_str().map(str::to_owned);
            }
        }
        None
    }
}
