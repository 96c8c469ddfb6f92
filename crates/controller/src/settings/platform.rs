//! The platform's settings, a TOML file. Unknown fields are ignored. Names in the file differ from
//! those of the fields where `serde(rename)` says so.

use super::{ConfigError, SettingError, checks};
use serde::Deserialize;
use std::path::Path;

/// Sockets of a machine whose limit is not given.
const DEFAULT_MAX_SOCKETS: usize = 1000;
/// Share of a core of a machine whose limit is not given.
const DEFAULT_CORE_SHARE: f64 = 1.0;

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// The zone of this controller.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// The address of the HTTP interface.
    pub api_addr: String,
    /// The address for connections of the other controllers.
    pub peer_bind: String,
    /// The other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerController>,
    /// The addresses of external services.
    #[serde(rename = "outside")]
    pub endpoints: Endpoints,
    /// The settings that all controllers share.
    #[serde(rename = "settings")]
    pub platform: PlatformSettings,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        super::load(path, Self::parse)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingError> {
        let mut settings: Self = toml::from_str(text).map_err(|error| toml_error(&error, text))?;
        checks::check(&settings)?;
        settings.platform.state.apply_stricter_limits();
        Ok(settings)
    }
}

/// The error with the line in which the parser found it.
fn toml_error(error: &toml::de::Error, text: &str) -> SettingError {
    let message = error.message().to_owned();
    let Some(span) = error.span() else { return SettingError::TomlWithoutLine(message) };
    let index = text.get(..span.start).unwrap_or(text).matches('\n').count();
    let line_text = text.lines().nth(index).unwrap_or_default().trim();
    SettingError::Toml { message, line: index + 1, text: line_text.to_owned() }
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
    /// Its address for connections of other controllers.
    pub address: String,
}

/// The addresses of external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// The `settings` table, which all controllers share.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Maximum error of the wall clock, ms.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The zones.
    pub zones: Vec<String>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The protocol with the workers.
    pub workers: WorkerSettings,
    /// The limits of the state service.
    pub state: StateSettings,
    /// The limits of the cloud.
    pub cloud: CloudSettings,
    /// The limits of this controller's machine.
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

impl PlatformSettings {
    /// The index of a zone in the list of zones.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }
}

/// A team with its guarantee and its limit; 0: none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether the resources of its tasks are limited.
    pub fn limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// A service level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Its kind: `wait`, `finished`, `deadline`, or one that this version does not know.
    pub kind: String,
    /// The class of jobs that it is for.
    #[serde(default)]
    pub class: Option<String>,
    /// The time limit, s.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// The protocol with the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval between heartbeats, s.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Length of a worker lease, s.
    pub lease_s: f64,
    /// Maximum time that a gang waits for its tasks, s.
    pub gang_wait_s: f64,
    /// Time in which a gang detects the loss of a task, s.
    pub gang_peer_s: f64,
    /// Time in which a cancellation must stop all tasks, s.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateSettings {
    /// Requests per second.
    pub rps: f64,
    /// Operations of transactions per second.
    pub write_rps: f64,
    /// Maximum size of a value, KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Limits that replace these at an unannounced time.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
    /// Maximum size of a value that may be accepted at present, KiB: the larger one of the present
    /// and the next limit.
    #[serde(skip)]
    pub largest_value_kb: f64,
}

/// The next limits of the state service. A limit that is missing does not change.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Operations of transactions per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateSettings {
    /// Lowers each limit to the smaller one of the present and the next limit. The change is
    /// unannounced, so requests keep to both.
    fn apply_stricter_limits(&mut self) {
        self.largest_value_kb = self.value_kb;
        let Some(next) = &self.next else { return };
        self.largest_value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.max(self.value_kb));
        self.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
    }
}

/// The limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// Maximum delay of the machine list, s.
    pub list_lag_s: f64,
}

/// The limits of this controller's machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Maximum number of sockets.
    #[serde(default = "default_max_sockets")]
    pub max_sockets: usize,
    /// Share of a core.
    #[serde(default = "default_core_share")]
    pub core_share: f64,
}

fn default_core_share() -> f64 {
    DEFAULT_CORE_SHARE
}

fn default_max_sockets() -> usize {
    DEFAULT_MAX_SOCKETS
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { max_sockets: DEFAULT_MAX_SOCKETS, core_share: DEFAULT_CORE_SHARE }
    }
}
