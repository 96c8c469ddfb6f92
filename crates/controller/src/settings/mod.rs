//! Settings: the platform's TOML file ([`Settings`]) and the operators' INI file
//! ([`OperatorSettings`]).

mod checks;
mod error;
mod operator;
mod platform;

pub use error::{ConfigError, SettingError};
pub use operator::{OperatorSettings, ReplicationSettings};
pub use platform::{
    CloudSettings, Endpoints, MachineLimits, NextStoreLimits, Objective, PeerController,
    PlatformSettings, Settings, StoreSettings, Team, WorkerSettings,
};

use std::path::Path;

/// Reads a settings file and parses it. Errors name the file.
fn load<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingError>,
) -> Result<T, ConfigError> {
    let name = || path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: name(), source })?;
    parse(&text).map_err(|source| ConfigError::Invalid { path: name(), source })
}

#[cfg(test)]
mod tests;
