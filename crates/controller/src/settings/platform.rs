//! The platform's settings file (TOML). Unknown keys are ignored. A key is named like the field
//! here, unless `serde(rename)` gives it another name.

use super::{ConfigError, SettingError, checks};
use serde::Deserialize;
use std::path::Path;

/// Maximum number of sockets of a controller's machine if the file does not set it.
const DEFAULT_MAX_SOCKETS: usize = 1000;
/// Share of a core that a controller may use if the file does not set it.
const DEFAULT_CORE_SHARE: f64 = 1.0;

/// The contents of the platform's settings file for one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    #[serde(rename = "label")]
    pub controller_name: String,
    /// The zone that this controller runs in; empty if not set.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// The address that this controller serves HTTP at.
    pub api_addr: String,
    /// The address that this controller accepts connections of other controllers at.
    pub peer_bind: String,
    /// All other controllers.
    #[serde(rename = "siblings", default)]
    pub peers: Vec<PeerController>,
    /// The addresses of external services.
    #[serde(rename = "outside")]
    pub endpoints: Endpoints,
    /// The `settings` table, which is the same for all controllers.
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
        settings.platform.store.apply_stricter_limits();
        Ok(settings)
    }
}

/// Converts an error of the TOML parser, and adds the line that it refers to.
fn toml_error(error: &toml::de::Error, text: &str) -> SettingError {
    let message = error.message().to_owned();
    let Some(span) = error.span() else { return SettingError::TomlWithoutLine(message) };
    let index = text.get(..span.start).unwrap_or(text).matches('\n').count();
    let line_text = text.lines().nth(index).unwrap_or_default().trim();
    SettingError::Toml { message, line: index + 1, text: line_text.to_owned() }
}

/// Another controller, as this controller's settings file describes it.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerController {
    /// The name of the controller.
    #[serde(rename = "label")]
    pub name: String,
    /// The zone that the controller runs in; empty if not set.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// The address that the controller accepts connections of other controllers at.
    pub address: String,
}

/// The addresses of external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's API.
    pub cloud: String,
    /// Address of the store.
    #[serde(rename = "state")]
    pub store: String,
}

/// The `settings` table, which is the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Maximum error of a controller's wall clock in either direction, ms.
    #[serde(rename = "clock_off_ms", default)]
    pub max_clock_error_ms: f64,
    /// The names of the zones that machines can run in.
    pub zones: Vec<String>,
    /// The teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives of the classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing of the protocol with the workers.
    pub workers: WorkerSettings,
    /// The limits of the store.
    #[serde(rename = "state")]
    pub store: StoreSettings,
    /// The limits of the cloud's API.
    pub cloud: CloudSettings,
    /// The limits of this controller's machine.
    #[serde(default)]
    pub machine_limits: MachineLimits,
}

impl PlatformSettings {
    /// Returns the index of a zone in `zones`; `None` if there is no such zone.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }
}

/// A team with its guarantee and its limit. An amount of 0 means no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The name of the team, as jobs give it.
    pub name: String,
    /// Guaranteed number of CPUs; 0: no guarantee.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs that the team's tasks may use at a time; 0: no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Guaranteed number of GPUs; 0: no guarantee.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use at a time; 0: no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

impl Team {
    /// Whether the team has a limit on CPUs or GPUs.
    pub fn has_limit(&self) -> bool {
        self.max_cpus > 0.0 || self.max_gpus > 0.0
    }
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The kind of objective: `wait`, `finished`, `deadline`, or one that this version does not
    /// know.
    pub kind: String,
    /// The class of jobs that the objective is for.
    #[serde(default)]
    pub class: Option<String>,
    /// Time after the submission of a job within which the objective must be met, s.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// The timing of the protocol with the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval between two heartbeats of a worker, s.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Length of a worker lease, s: a worker kills its tasks if no controller has extended the
    /// lease for this long.
    pub lease_s: f64,
    /// Maximum time that the tasks of a gang wait for one another to start, s. Checked to be
    /// positive, and not used otherwise.
    pub gang_wait_s: f64,
    /// Time in which the tasks of a gang detect the loss of one of them, s. Checked to be positive,
    /// and not used otherwise.
    pub gang_peer_s: f64,
    /// Time in which a cancellation must stop all tasks of the job, s.
    pub cancel_s: f64,
}

/// The limits of the store, which all controllers share.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct StateSettings")]
pub struct StoreSettings {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of operations in transactions per second.
    pub write_rps: f64,
    /// Maximum size of a value, KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Limits that will replace the present ones at an unannounced time.
    #[serde(default)]
    pub next: Option<NextStoreLimits>,
    /// Largest size of a value that the store can accept at this time, KiB: the larger one of the
    /// present and the next `value_kb`. Not a key of the file; set when the file is parsed.
    #[serde(skip)]
    pub max_accepted_value_kb: f64,
}

/// The next limits of the store. A limit that is missing keeps its present value.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(expecting = "struct NextStateLimits")]
pub struct NextStoreLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of operations in transactions per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreSettings {
    /// Lowers each limit to the smaller one of the present and the next limit, and sets
    /// `max_accepted_value_kb`. The time of the change is unannounced, so requests must be within
    /// both limits.
    fn apply_stricter_limits(&mut self) {
        self.max_accepted_value_kb = self.value_kb;
        let Some(next) = &self.next else { return };
        self.max_accepted_value_kb =
            next.value_kb.map_or(self.value_kb, |kb| kb.max(self.value_kb));
        self.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |rps| rps.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
    }
}

/// The limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum time after which a change shows in the cloud's list of machines, s.
    pub list_lag_s: f64,
}

/// The limits of this controller's machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Maximum number of sockets that can be open at a time.
    #[serde(default = "default_max_sockets")]
    pub max_sockets: usize,
    /// Share of one core that the controller may use.
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
