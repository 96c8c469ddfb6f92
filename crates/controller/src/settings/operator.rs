//! The operators' settings file (INI). Every key is optional; unknown keys are rejected.

use super::{ConfigError, SettingError};
use crate::networks::Networks;
use hookway_constants as constants;
use hookway_time::millis_f64;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

/// The range that times must be in, s. The length of the leadership lease has a range of its own.
const TIME_RANGE_S: RangeInclusive<f64> = 1.0..=86_400.0;

/// The operators' settings, with the defaults of keys that the file lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `[fleet] idle_return_s`: idle time after which a machine is scaled in. If `None`, the time
    /// is derived from the machine type.
    pub idle_timeout: Option<Duration>,
    /// `[fleet] most_machines`: maximum number of machines at a time.
    pub max_machines: usize,
    /// `[scheduling] block_lease_s`: length of a shard lease.
    pub shard_lease_length: Duration,
    /// The section `[replication]`.
    pub replication: ReplicationSettings,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            idle_timeout: None,
            max_machines: usize::MAX,
            shard_lease_length: constants::DEFAULT_SHARD_LEASE,
            replication: ReplicationSettings::default(),
        }
    }
}

impl OperatorSettings {
    /// Reads and checks an INI file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        super::load(path, Self::parse)
    }

    /// Parses and checks the text of an INI file.
    pub fn parse(text: &str) -> Result<Self, SettingError> {
        let ini = ini::Ini::load_from_str(text)?;
        let mut settings = Self::default();
        for (section, properties) in ini.iter() {
            for (key, value) in properties.iter() {
                let name = format!("[{}] {key}", section.unwrap_or(""));
                settings.set(section, key, value.trim(), name)?;
            }
        }
        Ok(settings)
    }

    /// Sets one key. Error messages call the setting `name`.
    fn set(
        &mut self,
        section: Option<&str>,
        key: &str,
        value: &str,
        name: String,
    ) -> Result<(), SettingError> {
        match (section, key) {
            (Some("fleet"), "idle_return_s") => {
                self.idle_timeout = Some(parse_time(value, name)?);
            }
            (Some("fleet"), "most_machines") => {
                self.max_machines =
                    value.parse().map_err(|_| SettingError::NotAWholeNumber(name))?;
            }
            (Some("scheduling"), "block_lease_s") => {
                self.shard_lease_length = parse_time(value, name)?;
            }
            (Some("replication"), key) => self.replication.set(key, value, name)?,
            _ => return Err(SettingError::Unknown(name)),
        }
        Ok(())
    }
}

/// The section `[replication]`: leadership, and how controllers follow the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// `standby`: whether this controller keeps a copy of the leader's cluster state while it
    /// follows.
    pub keeps_standby_copy: bool,
    /// `leader_lease_s`: length of the leadership lease. A new leader can't be elected before
    /// the lease of the previous one has expired.
    pub leader_lease_length: Duration,
    /// `controller_networks`: the networks that other controllers may connect from. Empty: any.
    pub controller_networks: Networks,
    /// `worker_networks`: the networks of the worker addresses that a new leader uses from its copy
    /// of the cluster state. Empty: any.
    pub worker_networks: Networks,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            keeps_standby_copy: constants::DEFAULT_STANDBY,
            leader_lease_length: constants::DEFAULT_LEADER_LEASE,
            controller_networks: Networks::default(),
            worker_networks: Networks::default(),
        }
    }
}

impl ReplicationSettings {
    fn set(&mut self, key: &str, value: &str, name: String) -> Result<(), SettingError> {
        match key {
            "standby" => {
                self.keeps_standby_copy = match value {
                    "on" => true,
                    "off" => false,
                    _ => return Err(SettingError::NotOnOrOff(name)),
                }
            }
            "leader_lease_s" => self.leader_lease_length = parse_leader_lease(value, name)?,
            "controller_networks" => self.controller_networks = parse_networks(value, name)?,
            "worker_networks" => self.worker_networks = parse_networks(value, name)?,
            _ => return Err(SettingError::Unknown(name)),
        }
        Ok(())
    }
}

/// Parses a time in s and checks that it is within [`TIME_RANGE_S`].
fn parse_time(value: &str, name: String) -> Result<Duration, SettingError> {
    let Ok(seconds) = value.parse::<f64>() else { return Err(SettingError::NotANumber(name)) };
    if !TIME_RANGE_S.contains(&seconds) {
        let (min_s, max_s) = (*TIME_RANGE_S.start() as u64, *TIME_RANGE_S.end() as u64);
        return Err(SettingError::OutOfRange { name, min_s, max_s });
    }
    Ok(Duration::from_millis((seconds * 1_000.0) as u64))
}

/// Parses the length of the leadership lease in s and checks that it is within `LEADER_LEASE_RANGE`.
/// Text that is not a number becomes NaN, which no range contains.
fn parse_leader_lease(value: &str, name: String) -> Result<Duration, SettingError> {
    let (min, max) = constants::LEADER_LEASE_RANGE.into_inner();
    let lease_ms = value.parse().unwrap_or(f64::NAN) * 1_000.0;
    if !(millis_f64(min)..=millis_f64(max)).contains(&lease_ms) {
        let (min_s, max_s) = (min.as_secs(), max.as_secs());
        return Err(SettingError::OutOfRange { name, min_s, max_s });
    }
    Ok(Duration::from_millis(lease_ms as u64))
}

fn parse_networks(value: &str, name: String) -> Result<Networks, SettingError> {
    Networks::parse(value).map_err(|source| SettingError::Networks { name, source })
}
