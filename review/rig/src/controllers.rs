//! Three controllers of the built program, as separate processes on loopback.

use crate::record::Record;
use hookway_clients::HttpClient;
use hookway_testkit::ReservedAddress;
use hookway_wire::ReplicationStatus;
use hyper::Method;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const NAMES: [&str; 3] = ["worker-0", "worker-1", "worker-2"];
pub const ZONES: [&str; 3] = ["bucuresti-vest", "cluj-nord", "iasi-est"];

/// The timing of the protocol with the workers, as in the settings file.
#[derive(Clone, Copy)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// The timing of the smaller of the two deployments.
pub const TIMING: Timing = Timing { report_s: 2.0, lease_s: 14.0, cancel_s: 44.0 };

pub struct Controller {
    pub name: String,
    pub api: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    record: Record,
}

impl Controller {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let program = std::env::var("HOOKWAY").unwrap_or("target/release/hookway".into());
        let child = Command::new(program)
            .arg("--config")
            .arg(&self.settings)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.line(&format!("{} started, pid {}", self.name, child.id()));
        self.process = Some(child);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.name));
        }
    }

    /// Sends a signal by its name to the process, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.process {
            let pid = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
            self.record.line(&format!("{} gets SIG{signal}", self.name));
        }
    }

    /// What the process holds in memory.
    pub fn memory(&self) -> String {
        let pid = self.process.as_ref().map_or(0, Child::id);
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS"));
        line.unwrap_or_default().to_owned()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub async fn is_active(&self) -> bool {
        let client = HttpClient::new(&self.api);
        let wait = Duration::from_millis(400);
        let Ok(answer) = client.exchange(Method::GET, "/replication", None, wait).await else {
            return false;
        };
        serde_json::from_slice::<ReplicationStatus>(&answer.body)
            .is_ok_and(|status| status.phase == "active")
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Controllers {
    pub all: Vec<Controller>,
    _addresses: Vec<ReservedAddress>,
}

/// What differs between the settings of the cases.
pub struct Deployment<'a> {
    pub store: &'a str,
    /// The store's address for each controller, if it differs from `store`.
    pub stores: Option<[String; 3]>,
    pub cloud: &'a str,
    pub timing: Timing,
    /// More lines for the tables of teams.
    pub teams: &'a str,
}

impl Controllers {
    /// Reserves the addresses and writes the settings files. Starts nothing yet.
    pub fn prepare(folder: &Path, deployment: &Deployment<'_>, record: &Record) -> Self {
        let reserved: Vec<ReservedAddress> =
            (0..6).map(|_| ReservedAddress::reserve().expect("a free port")).collect();
        let address = |i: usize| reserved[i].address().to_string();
        let all = (0..3)
            .map(|i| {
                let settings = folder.join(format!("{}.toml", NAMES[i]));
                let mut text = format!(
                    "label = \"{}\"\ndomain = \"{}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n",
                    NAMES[i],
                    ZONES[i],
                    address(i),
                    address(i + 3)
                );
                for other in (0..3).filter(|other| *other != i) {
                    text += &format!(
                        "[[siblings]]\nlabel = \"{}\"\ndomain = \"{}\"\naddress = \"{}\"\n",
                        NAMES[other],
                        ZONES[other],
                        address(other + 3)
                    );
                }
                let store = deployment.stores.as_ref().map_or(deployment.store, |s| &s[i]);
                let Timing { report_s, lease_s, cancel_s } = deployment.timing;
                text += &format!(
                    "[outside]\ncloud = \"{}\"\nstate = \"{store}\"\n\
                     [settings]\ninitial_size = 3\n\
                     zones = [\"bucuresti-vest\", \"cluj-nord\", \"iasi-est\"]\n\
                     clock_off_ms = 25.0\n\
                     [[settings.teams]]\nname = \"echipa-registru\"\ncpus = 0.0\ncpus_max = 0.0\n\
                     gpus = 0.0\ngpus_max = 0.0\n{}\
                     [settings.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n\
                     gang_wait_s = 35.0\ngang_peer_s = 4.0\ncancel_s = {cancel_s:.1}\n\
                     [settings.state]\nrps = 200.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8\n\
                     [settings.cloud]\nrps = 4.0\nlist_lag_s = 4.0\n\
                     [settings.machine_limits]\ncore_share = 0.08\nmemory_mb = 56.0\n\
                     max_sockets = 900\n",
                    deployment.cloud, deployment.teams
                );
                std::fs::write(&settings, text).expect("the settings can be written");
                Controller {
                    name: NAMES[i].into(),
                    api: address(i),
                    log: folder.join(format!("{}.log", NAMES[i])),
                    settings,
                    process: None,
                    record: record.clone(),
                }
            })
            .collect();
        Self { all, _addresses: reserved }
    }

    /// Leads the connections between the controllers through proxies; `[i][j]` is the one from `i` to `j`.
    pub async fn proxy_peers(&mut self) -> Vec<Vec<crate::proxy::Proxy>> {
        let mut proxies = Vec::new();
        for i in 0..3 {
            let mut row = Vec::new();
            for j in 0..3 {
                let direct = self._addresses[j + 3].address().to_string();
                let proxy = crate::proxy::Proxy::start(&direct).await;
                if i != j {
                    let path = &self.all[i].settings;
                    let text = std::fs::read_to_string(path).expect("the settings");
                    let text = text.replace(&direct, &proxy.address);
                    std::fs::write(path, text).expect("the settings");
                }
                row.push(proxy);
            }
            proxies.push(row);
        }
        proxies
    }

    pub fn start_all(&mut self) {
        self.all.iter_mut().for_each(Controller::start);
    }

    pub fn start_missing(&mut self) {
        self.all.iter_mut().filter(|c| c.process.is_none()).for_each(Controller::start);
    }

    /// Waits for a controller that leads; `None` after `wait`.
    pub async fn leader(&self, wait: Duration) -> Option<usize> {
        let until = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < until {
            for (index, controller) in self.all.iter().enumerate() {
                if controller.process.is_some() && controller.is_active().await {
                    return Some(index);
                }
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        None
    }
}
