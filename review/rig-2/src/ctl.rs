//! The controllers: processes of the built program, started with the command of the deploy file.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

pub const NAMES: [&str; 3] = ["worker-0", "worker-1", "worker-2"];

/// The settings of a small deployment: those of the address look-up grid.
pub struct Settings {
    pub zones: [&'static str; 3],
    pub api: Vec<String>,
    pub peers: Vec<String>,
    /// The addresses by which controller i reaches controller j, if not j's own.
    pub peer_address: Option<Box<dyn Fn(usize, usize) -> String>>,
    pub stores: Vec<String>,
    pub cloud: String,
    /// Lines after `[settings]`-level tables, such as teams.
    pub teams: String,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: String,
}

pub struct Controllers {
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

/// Returns addresses with free ports, below those that the system gives to connections, so that the port of a controller
/// whose process has ended stays free for the next one.
pub fn free_addresses(count: usize) -> Vec<String> {
    const FIRST_PORT: u32 = 12_000;
    const PORTS: u32 = 18_000;
    let offset = std::process::id() * 16 % PORTS;
    let addresses = (0..PORTS).map(|i| format!("127.0.0.1:{}", FIRST_PORT + (offset + i) % PORTS));
    let is_free = |address: &String| std::net::TcpListener::bind(address).is_ok();
    addresses.filter(is_free).take(count).collect()
}

impl Controllers {
    pub fn prepare(settings: &Settings) -> Self {
        let folder = std::env::temp_dir().join(format!("hookway-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        for i in 0..3 {
            let mut text = format!(
                "label = \"{}\"\ndomain = \"{}\"\napi_addr = \"{}\"\npeer_bind = \"{}\"\n",
                NAMES[i], settings.zones[i], settings.api[i], settings.peers[i]
            );
            for j in (0..3).filter(|j| *j != i) {
                let address = match &settings.peer_address {
                    Some(address) => address(i, j),
                    None => settings.peers[j].clone(),
                };
                text += &format!(
                    "[[siblings]]\nlabel = \"{}\"\ndomain = \"{}\"\naddress = \"{address}\"\n",
                    NAMES[j], settings.zones[j]
                );
            }
            text += &format!(
                "[outside]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\ninitial_size = 3\nzones = {:?}\nclock_off_ms = 25.0\n\
                 {}\n[settings.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 35.0\ngang_peer_s = 4.0\ncancel_s = {:.1}\n\
                 [settings.state]\n{}\n[settings.cloud]\nrps = 4.0\nlist_lag_s = 4.0\n\
                 [settings.machine_limits]\ncore_share = 0.08\nmemory_mb = 56.0\nmax_sockets = 900\n",
                settings.cloud, settings.stores[i], settings.zones, settings.teams, settings.report_s, settings.lease_s,
                settings.cancel_s, settings.state
            );
            std::fs::write(folder.join(format!("{}.toml", NAMES[i])), text).expect("the settings can be written");
        }
        Self { folder, children: (0..3).map(|_| None).collect() }
    }

    /// Starts controller `i` with the command of the deploy file.
    pub fn start(&mut self, i: usize) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", NAMES[i])))
            .expect("a log file");
        let level = std::env::var("CASE_LOG").unwrap_or_else(|_| "info".into());
        let child = Command::new("target/release/hookway")
            .arg("--config")
            .arg(self.folder.join(format!("{}.toml", NAMES[i])))
            .env("LOG_LEVEL", level)
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.children[i] = Some(child);
    }

    fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.children[i] {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    pub fn stop(&self, i: usize) {
        self.signal(i, "-STOP");
    }

    pub fn go_on(&self, i: usize) {
        self.signal(i, "-CONT");
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self, i: usize) -> bool {
        self.children[i].as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn pid(&self, i: usize) -> u32 {
        self.children[i].as_ref().map_or(0, Child::id)
    }

    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", NAMES[i]))).unwrap_or_default()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill(i));
        if std::env::var("CASE_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
