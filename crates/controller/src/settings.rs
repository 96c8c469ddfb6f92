//! Settings: the platform's TOML file, and the operators' own INI file.

use crate::networks::Networks;
use serde::Deserialize;
use std::path::Path;

/// Why settings can't be used. The message names the setting.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("can't read {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not what it should be.
    #[error("{0}: {1}")]
    Invalid(String, String),
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerController {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Its zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where it listens for other controllers.
    pub address: String,
}

/// What lies outside the controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// A team with its guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether what its tasks use is limited.
    pub fn limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// An aim.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Its kind: `wait`, `finished`, `deadline`, or one that this version does not know.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Time, s.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// What workers keep to.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Time between reports, s.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease of a worker, s.
    pub lease_s: f64,
    /// Longest wait of a gang for its tasks, s.
    pub gang_wait_s: f64,
    /// Time in which a gang notices a loss, s.
    pub gang_peer_s: f64,
    /// Time for a cancellation, s.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateSettings {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, KiB.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Limits that replace these at some moment that nobody announces.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
    /// Largest value that it may take at this moment, KiB: the larger of the present and the next limit.
    #[serde(skip)]
    pub largest_value_kb: f64,
}

/// The limits that the state service will have later. What is missing stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateSettings {
    /// Lowers each limit to the smaller of the present and the next one. The change comes unannounced, so
    /// writes that keep to both need not notice it.
    fn apply_stricter_limits(&mut self) {
        self.largest_value_kb = self.value_kb;
        let Some(next) = &self.next else { return };
        self.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps));
        self.largest_value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.max(self.value_kb));
        self.value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Requests a second.
    pub rps: f64,
    /// How late the machine list is, s.
    pub list_lag_s: f64,
}

/// Limits of the controller's own machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Most sockets.
    #[serde(default = "default_sockets")]
    pub max_sockets: usize,
    /// Share of a core.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
}

fn default_core_share() -> f64 {
    1.0
}

fn default_sockets() -> usize {
    1000
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { max_sockets: default_sockets(), core_share: default_core_share() }
    }
}

/// The `settings` table.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// How far the time of day may be off, ms.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// Zones.
    pub zones: Vec<String>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: WorkerSettings,
    /// State service.
    pub state: StateSettings,
    /// Cloud.
    pub cloud: CloudSettings,
    /// This machine.
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

impl PlatformSettings {
    /// The index of a zone.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }
}

/// The platform's settings file. Fields that it does not know are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node's name.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// This node's zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where users, workers and health checks come.
    pub api_addr: String,
    /// Where the other controllers come.
    pub peer_bind: String,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerController>,
    /// Services outside.
    #[serde(rename = "outside")]
    pub endpoints: Endpoints,
    /// Everything else.
    #[serde(rename = "settings")]
    pub platform: PlatformSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(name.clone(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Invalid(name, e))
    }

    /// Reads and checks settings.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut settings: Self = toml::from_str(text).map_err(|e| {
            let message = e.message().to_owned();
            match e.span() {
                Some(span) => {
                    let line = text.get(..span.start).unwrap_or(text).matches('\n').count();
                    let shown = text.lines().nth(line).unwrap_or_default().trim();
                    format!("{message} (line {}: {shown})", line + 1)
                }
                None => message,
            }
        })?;
        settings.check()?;
        settings.platform.state.apply_stricter_limits();
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.controller_name.is_empty() {
            return Err("label must not be empty".into());
        }
        let addresses = [
            ("api_addr", &self.api_addr),
            ("peer_bind", &self.peer_bind),
            ("outside.cloud", &self.endpoints.cloud),
            ("outside.state", &self.endpoints.state),
        ];
        let siblings = self.peers.iter().map(|s| ("siblings.address", &s.address));
        for (name, address) in addresses.into_iter().chain(siblings) {
            if address.parse::<std::net::SocketAddr>().is_err() {
                return Err(format!("{name} must be an address with a port, not {address:?}"));
            }
        }
        let p = &self.platform;
        if p.zones.is_empty() {
            return Err("settings.zones must name a zone".into());
        }
        let positive = [
            ("settings.workers.report_s", p.workers.heartbeat_interval_s),
            ("settings.workers.lease_s", p.workers.lease_s),
            ("settings.workers.gang_wait_s", p.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", p.workers.gang_peer_s),
            ("settings.workers.cancel_s", p.workers.cancel_s),
            ("settings.state.rps", p.state.rps),
            ("settings.state.write_rps", p.state.write_rps),
            ("settings.state.value_kb", p.state.value_kb),
            ("settings.cloud.rps", p.cloud.rps),
            ("settings.machine_limits.core_share", p.machine_limits.core_share),
        ];
        let next = p.state.next.clone().unwrap_or_default();
        let later = [
            ("settings.state.next.rps", next.rps),
            ("settings.state.next.write_rps", next.write_rps),
            ("settings.state.next.value_kb", next.value_kb),
        ];
        let later = later.into_iter().filter_map(|(name, value)| Some((name, value?)));
        for (name, value) in positive.into_iter().chain(later) {
            if !(value.is_finite() && value > 0.0) {
                return Err(format!("{name} must be a number above 0, not {value}"));
            }
        }
        let amounts = [
            ("settings.clock_off_ms", p.clock_off_ms),
            ("settings.cloud.list_lag_s", p.cloud.list_lag_s),
        ];
        for (name, value) in amounts {
            if !(value.is_finite() && value >= 0.0) {
                return Err(format!("{name} must be a number of at least 0, not {value}"));
            }
        }
        if p.machine_limits.max_sockets == 0 {
            return Err("settings.machine_limits.max_sockets must be at least 1".into());
        }
        let operations = [
            ("settings.state.txn_ops", Some(p.state.txn_ops)),
            ("settings.state.next.txn_ops", next.txn_ops),
        ];
        for (name, value) in operations {
            if value.is_some_and(|ops| ops < hookway_constants::ELECTION_OPERATIONS) {
                let least = hookway_constants::ELECTION_OPERATIONS;
                return Err(format!("{name} must be at least {least}"));
            }
        }
        for team in &p.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(format!("settings.teams: {} has a negative amount", team.name));
                }
            }
        }
        Ok(())
    }
}

/// What the operators may set themselves, in an INI file. Every key is optional; unknown ones are
/// refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `[fleet] idle_return_s`: idle time after which a machine is returned, ms; as a rule derived
    /// from the machine type.
    pub idle_return_ms: Option<u64>,
    /// `[fleet] most_machines`: machines rented at a time, at most.
    pub max_machines: usize,
    /// `[scheduling] block_lease_s`: length of a block lease, ms.
    pub shard_lease_ms: u64,
    /// `[replication]`.
    pub replication: ReplicationSettings,
}

/// How controllers follow the one that leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// `standby`: controllers that don't lead keep a copy of the leader's picture.
    pub standby: bool,
    /// `leader_lease_s`: length of the leadership lease, ms. Nobody can lead before the old leader's is over.
    pub leader_lease_ms: u64,
    /// `controller_networks`: from where other controllers may connect.
    pub controller_networks: Networks,
    /// `worker_networks`: addresses that a copy may name as workers'.
    pub worker_networks: Networks,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            standby: hookway_constants::STANDBY_DEFAULT,
            leader_lease_ms: hookway_constants::LEADER_TTL_MS,
            controller_networks: Networks::default(),
            worker_networks: Networks::default(),
        }
    }
}

impl ReplicationSettings {
    /// Takes a key of the section; `false`: there is no such key.
    fn set(&mut self, key: &str, value: &str, name: &str) -> Result<bool, String> {
        let networks = || Networks::parse(value).map_err(|e| format!("{name}: {e}"));
        match key {
            "standby" => {
                self.standby = match value.trim() {
                    "on" => true,
                    "off" => false,
                    _ => return Err(format!("{name} must be on or off")),
                }
            }
            "leader_lease_s" => {
                let range = hookway_constants::LEADER_TTL_RANGE_MS;
                let ms = value.trim().parse::<f64>().unwrap_or(f64::NAN) * 1000.0;
                if !(*range.start() as f64..=*range.end() as f64).contains(&ms) {
                    let (least, most) = (range.start() / 1000, range.end() / 1000);
                    return Err(format!("{name} must be from {least} to {most} seconds"));
                }
                self.leader_lease_ms = ms as u64;
            }
            "controller_networks" => self.controller_networks = networks()?,
            "worker_networks" => self.worker_networks = networks()?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            idle_return_ms: None,
            max_machines: usize::MAX,
            shard_lease_ms: hookway_constants::SHARD_LEASE_MS,
            replication: ReplicationSettings::default(),
        }
    }
}

impl OperatorSettings {
    /// Reads and checks an INI file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(name.clone(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Invalid(name, e))
    }

    /// Reads and checks INI text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let ini = ini::Ini::load_from_str(text).map_err(|e| e.to_string())?;
        let mut found = Self::default();
        for (section, properties) in ini.iter() {
            for (key, value) in properties.iter() {
                let name = format!("[{}] {key}", section.unwrap_or(""));
                let seconds = || -> Result<u64, String> {
                    let s: f64 =
                        value.trim().parse().map_err(|_| format!("{name} must be a number"))?;
                    if s.is_finite() && (1.0..=86_400.0).contains(&s) {
                        Ok((s * 1000.0) as u64)
                    } else {
                        Err(format!("{name} must be from 1 to 86400 seconds"))
                    }
                };
                match (section, key) {
                    (Some("fleet"), "idle_return_s") => found.idle_return_ms = Some(seconds()?),
                    (Some("fleet"), "most_machines") => {
                        found.max_machines = value
                            .trim()
                            .parse()
                            .map_err(|_| format!("{name} must be a whole number"))?;
                    }
                    (Some("scheduling"), "block_lease_s") => found.shard_lease_ms = seconds()?,
                    (Some("replication"), key) if found.replication.set(key, value, &name)? => {}
                    _ => return Err(format!("unknown setting {name}")),
                }
            }
        }
        Ok(found)
    }
}

#[cfg(test)]
mod tests;
